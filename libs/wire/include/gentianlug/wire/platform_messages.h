#ifndef GENTIANLUG_WIRE_PLATFORM_MESSAGES_H
#define GENTIANLUG_WIRE_PLATFORM_MESSAGES_H

#include "gentianlug/core/result.h"
#include "gentianlug/store/object_store.h"

#include <optional>
#include <string>
#include <string_view>

namespace gentianlug::wire {

// Requests and responses of the platform's object API as JSON text.

/// Body of a write request.
struct put_request {
  std::string Value;
  /// Revision that the object must have; 0 creates it, absent writes always.
  std::optional<object_revision> Expected;
};

result<put_request> decodePutRequest(std::string_view Text);
std::string encode(const put_request &Request);

result<store::object> decodeObject(std::string_view Text);
std::string encode(const store::object &Object);

result<object_revision> decodeRevision(std::string_view Text);
std::string encodeRevision(object_revision Revision);

result<store::object_list> decodeObjectList(std::string_view Text);
std::string encode(const store::object_list &List);

result<store::change_batch> decodeChangeBatch(std::string_view Text);
std::string encode(const store::change_batch &Batch);

} // namespace gentianlug::wire

#endif // GENTIANLUG_WIRE_PLATFORM_MESSAGES_H
