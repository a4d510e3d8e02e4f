#ifndef GENTIANLUG_WIRE_PLATFORM_MESSAGES_H
#define GENTIANLUG_WIRE_PLATFORM_MESSAGES_H

#include "gentianlug/core/result.h"
#include "gentianlug/platform/object_store.h"

#include <optional>
#include <string>
#include <string_view>

namespace gentianlug::wire {

// Requests and answers of the platform's object API.

/// Body of a write.
struct put_request {
  std::string Value;
  std::optional<object_revision> Expected;
};

result<put_request> decodePutRequest(std::string_view Text);
std::string encode(const put_request &Request);

result<platform::object> decodeObject(std::string_view Text);
std::string encode(const platform::object &Object);

result<object_revision> decodeRevision(std::string_view Text);
std::string encodeRevision(object_revision Revision);

result<platform::object_list> decodeObjectList(std::string_view Text);
std::string encode(const platform::object_list &List);

result<platform::change_batch> decodeChangeBatch(std::string_view Text);
std::string encode(const platform::change_batch &Batch);

} // namespace gentianlug::wire

#endif // GENTIANLUG_WIRE_PLATFORM_MESSAGES_H
