#include "gentianlug/operator/sync_store.h"

#include "gentianlug/core/error_table.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/operator/operator_errc.h"
#include "gentianlug/store/retry_schedule.h"

namespace gentianlug::operator_cli {

using store::store_errc;

static constexpr error_text OperatorTexts[] = {
    {int(operator_errc::BadArguments), "invalid arguments"},
    {int(operator_errc::Refused), "refused"},
    {int(operator_errc::PlatformDown),
     "the platform does not respond or rejects requests; no change can be "
     "accepted, everything in force stays in force"},
    {int(operator_errc::TimedOut), "timed out"},
};

std::error_code make_error_code(operator_errc Code) {
  static const error_table Category("operator", OperatorTexts);
  return {int(Code), Category};
}

void event_loop_driver::sleepFor(std::chrono::milliseconds Delay) {
  net::timer Timer(Loop, [this] { Loop.stop(); });
  Timer.startOnce(Delay);
  Loop.run();
}

template <class T, class Operation>
result<T> sync_store::runOnce(const Operation &Start) {
  std::optional<result<T>> Finished;
  Start([&](result<T> Result) {
    Finished = std::move(Result);
    Driver.wake();
  });
  while (!Finished)
    Driver.wait();
  return std::move(*Finished);
}

template <class T, class Operation>
result<T> sync_store::repeat(const Operation &Start, bool RetryNoAnswer) {
  store::retry_schedule Retries;
  for (;;) {
    result<T> Result = runOnce<T>(Start);
    if (Result)
      return Result;
    bool Unanswered = hasCode(Result.failure(), store_errc::NoResponse);
    bool RateLimited = hasCode(Result.failure(), store_errc::RateLimited);
    if (!RateLimited && !(Unanswered && RetryNoAnswer))
      return Result;
    auto Delay = Retries.next(Gen);
    if (!Delay)
      return makeError(operator_errc::PlatformDown, Result.failure().message());
    Driver.sleepFor(*Delay);
  }
}

result<store::object> sync_store::get(const std::string &Key) {
  return repeat<store::object>(
      [&](auto Done) { Store.get(Key, std::move(Done)); }, true);
}

result<store::object_list> sync_store::list(const std::string &Prefix) {
  return repeat<store::object_list>(
      [&](auto Done) { Store.list(Prefix, std::move(Done)); }, true);
}

result<store::change_batch> sync_store::watch(const std::string &Prefix,
                                              object_revision After,
                                              std::chrono::milliseconds Wait) {
  return repeat<store::change_batch>(
      [&](auto Done) { Store.watch(Prefix, After, Wait, std::move(Done)); },
      true);
}

result<object_revision> sync_store::putIf(const std::string &Key,
                                          const std::string &Value,
                                          object_revision Expected) {
  return repeat<object_revision>(
      [&](auto Done) { Store.put(Key, Value, Expected, std::move(Done)); },
      false);
}

result<object_revision> sync_store::putContent(const std::string &Key,
                                               const std::string &Value) {
  return repeat<object_revision>(
      [&](auto Done) { Store.put(Key, Value, std::nullopt, std::move(Done)); },
      true);
}

result<object_revision> sync_store::remove(const std::string &Key,
                                           object_revision Expected) {
  return repeat<object_revision>(
      [&](auto Done) { Store.remove(Key, Expected, std::move(Done)); }, true);
}

} // namespace gentianlug::operator_cli
