#ifndef GENTIANLUG_OPERATOR_SYNC_STORE_H
#define GENTIANLUG_OPERATOR_SYNC_STORE_H

#include "gentianlug/core/address.h"
#include "gentianlug/platform/object_store.h"

#include <memory>

namespace gentianlug::operator_cli {

/// The object store for commands, which do one operation after the other.
class sync_store {
public:
  explicit sync_store(const address &Platform);
  ~sync_store();

  result<platform::object> get(const std::string &Key);
  result<object_revision> put(const std::string &Key, const std::string &Value,
                              std::optional<object_revision> Expected);
  result<platform::object_list> list(const std::string &Prefix);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_SYNC_STORE_H
