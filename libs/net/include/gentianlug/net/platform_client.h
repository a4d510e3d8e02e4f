#ifndef GENTIANLUG_NET_PLATFORM_CLIENT_H
#define GENTIANLUG_NET_PLATFORM_CLIENT_H

#include "gentianlug/core/address.h"
#include "gentianlug/store/object_store.h"

#include <memory>

namespace gentianlug::net {

class event_loop;

/// Object store of the platform, accessed through its HTTP API.
class platform_client final : public store::object_store {
public:
  platform_client(event_loop &Loop, address Platform);
  ~platform_client() override;

  void get(const std::string &Key, callback<store::object> Done) override;
  void put(const std::string &Key, const std::string &Value,
           std::optional<object_revision> Expected,
           callback<object_revision> Done) override;
  void remove(const std::string &Key, object_revision Expected,
              callback<object_revision> Done) override;
  void list(const std::string &Prefix,
            callback<store::object_list> Done) override;
  void watch(const std::string &Prefix, object_revision After,
             std::chrono::milliseconds Wait,
             callback<store::change_batch> Done) override;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_PLATFORM_CLIENT_H
