#include "gentianlug/operator/sync_store.h"

#include "gentianlug/core/error_table.h"
#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/platform_client.h"
#include "gentianlug/operator/operator_errc.h"

namespace gentianlug::operator_cli {

static constexpr error_text OperatorTexts[] = {
    {int(operator_errc::BadArguments), "wrong arguments"},
    {int(operator_errc::NotAccepted), "not accepted"},
    {int(operator_errc::PlatformDown),
     "the platform does not answer; nothing new can be accepted, everything in "
     "force stays in force"},
};

std::error_code make_error_code(operator_errc Code) {
  static const error_table Category("operator", OperatorTexts);
  return {int(Code), Category};
}

struct sync_store::impl {
  net::event_loop Loop;
  net::platform_client Client;

  explicit impl(const address &Platform) : Client(Loop, Platform) {}

  /// Runs the loop until the operation that \p Start begins has finished.
  template <class T, class Operation> result<T> wait(Operation Start) {
    std::optional<result<T>> Finished;
    Start([&](result<T> Result) {
      Finished = std::move(Result);
      Loop.stop();
    });
    Loop.run();
    return std::move(*Finished);
  }
};

sync_store::sync_store(const address &Platform)
    : Impl(std::make_unique<impl>(Platform)) {}
sync_store::~sync_store() = default;

result<platform::object> sync_store::get(const std::string &Key) {
  return Impl->wait<platform::object>(
      [&](auto Done) { Impl->Client.get(Key, std::move(Done)); });
}

result<object_revision>
sync_store::put(const std::string &Key, const std::string &Value,
                std::optional<object_revision> Expected) {
  return Impl->wait<object_revision>([&](auto Done) {
    Impl->Client.put(Key, Value, Expected, std::move(Done));
  });
}

result<platform::object_list> sync_store::list(const std::string &Prefix) {
  return Impl->wait<platform::object_list>(
      [&](auto Done) { Impl->Client.list(Prefix, std::move(Done)); });
}

} // namespace gentianlug::operator_cli
