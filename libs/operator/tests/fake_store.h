#ifndef GENTIANLUG_OPERATOR_TESTS_FAKE_STORE_H
#define GENTIANLUG_OPERATOR_TESTS_FAKE_STORE_H

#include "gentianlug/operator/commands.h"
#include "gentianlug/operator/operator_errc.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <map>

namespace gentianlug::operator_cli::test {

using store::object_change;
using store::store_errc;

/// Advances a manual clock instead of blocking.
class fake_driver final : public operation_driver {
public:
  void wait() override {
    FAIL("the fake store completes every operation synchronously");
  }
  void wake() override {}
  void sleepFor(std::chrono::milliseconds Delay) override {
    Clock.advance(Delay);
  }
  steady_time steadyNow() const override { return Clock.steadyNow(); }
  wall_time wallNow() const override { return Clock.wallNow(); }

  manual_clock Clock;
};

/// Fault to inject into an operation of `fake_store`.
enum class fault { None, Unavailable, RateLimited, LostResponse };

/// In-memory object store with fault injection.
class fake_store final : public store::object_store {
public:
  explicit fake_store(fake_driver &Driver) : Driver(Driver) {}

  void get(const std::string &Key, callback<store::object> Done) override {
    if (injectFault(Done))
      return;
    auto Entry = Objects.find(Key);
    if (Entry == Objects.end())
      return Done(makeError(store_errc::NotFound, Key));
    Done(Entry->second);
  }

  void put(const std::string &Key, const std::string &Value,
           std::optional<object_revision> Expected,
           callback<object_revision> Done) override {
    // Cleared before the call, since the hook may itself write to the store.
    if (auto Hook = std::exchange(BeforeNextPut, nullptr))
      Hook();
    fault Fault = takeNextFault();
    if (completeWithFault(Fault, Done))
      return;
    ++PutCount;
    if (Expected && *Expected != revisionOf(Key))
      return Done(makeError(store_errc::Conflict, Key));
    Objects[Key] = {Key, Value, ++Revision};
    if (Fault == fault::LostResponse)
      return Done(makeError(store_errc::NoResponse, Key));
    Done(Revision);
  }

  void remove(const std::string &Key, object_revision Expected,
              callback<object_revision> Done) override {
    if (auto Hook = std::exchange(BeforeNextRemove, nullptr))
      Hook();
    if (injectFault(Done))
      return;
    if (revisionOf(Key) != Expected)
      return Done(makeError(store_errc::Conflict, Key));
    Objects.erase(Key);
    Done(++Revision);
  }

  void list(const std::string &Prefix,
            callback<store::object_list> Done) override {
    if (injectFault(Done))
      return;
    store::object_list List;
    for (const auto &[Key, Object] : Objects)
      if (Key.starts_with(Prefix))
        List.Objects.push_back(Object);
    List.Revision = Revision;
    Done(std::move(List));
  }

  void watch(const std::string &, object_revision,
             std::chrono::milliseconds Wait,
             callback<store::change_batch> Done) override {
    if (injectFault(Done))
      return;
    Driver.sleepFor(Wait);
    if (auto Hook = std::exchange(OnNextWatch, nullptr))
      Hook();
    Done(store::change_batch{{}, Revision});
  }

  /// Writes a value on behalf of another operator or a node, without faults.
  void set(const std::string &Key, const std::string &Value) {
    Objects[Key] = {Key, Value, ++Revision};
  }

  object_revision revisionOf(const std::string &Key) const {
    auto Entry = Objects.find(Key);
    return Entry == Objects.end() ? 0 : Entry->second.Revision;
  }

  std::map<std::string, store::object> Objects;
  /// Faults of the next operations, in order; then `Always` applies.
  std::deque<fault> NextFaults;
  fault DefaultFault = fault::None;
  std::function<void()> BeforeNextPut;
  std::function<void()> BeforeNextRemove;
  std::function<void()> OnNextWatch;
  unsigned PutCount = 0;

private:
  fault takeNextFault() {
    if (NextFaults.empty())
      return DefaultFault;
    fault Fault = NextFaults.front();
    NextFaults.pop_front();
    return Fault;
  }

  /// Completes an operation with the error of \p Fault. Returns false without a
  /// call of \p Done if the fault lets the operation run.
  template <class Callback>
  static bool completeWithFault(fault Fault, const Callback &Done) {
    if (Fault != fault::Unavailable && Fault != fault::RateLimited)
      return false;
    Done(makeError(Fault == fault::Unavailable ? store_errc::NoResponse
                                               : store_errc::RateLimited,
                   "fault"));
    return true;
  }

  /// Applies the next fault to an operation; see `completeWithFault`.
  template <class Callback> bool injectFault(const Callback &Done) {
    return completeWithFault(takeNextFault(), Done);
  }

  fake_driver &Driver;
  object_revision Revision = 0;
};

/// Runs commands against a `fake_store`.
struct command_fixture {
  fake_driver Driver;
  fake_store Objects{Driver};
  generator Gen{7};
  sync_store Store{Objects, Driver, Gen};

  command_report run(std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.begin(),
                     {"gentianlug", "--platform", "127.0.0.1:1"});
    std::vector<char *> Argv;
    for (std::string &Argument : Arguments)
      Argv.push_back(Argument.data());
    auto Options = parseOptions(int(Argv.size()), Argv.data());
    CHECK(bool(Options));
    command_context Context{*Options, Store, Driver, Gen, {}};
    auto Report = runCommand(Context);
    if (Report)
      return *Report;
    return {exitCodeOf(Report.failure()), {Report.failure().message()}, {}};
  }

  /// Applies an example configuration, with its overlay as site `east`.
  command_report apply(const std::string &Example,
                       const std::string &Author = "marie") {
    return run(withFiles(Example, {"apply", "--author", Author, "--reason",
                                   "because of " + Example}));
  }

  /// Appends the file options of an example configuration to \p Arguments.
  static std::vector<std::string>
  withFiles(const std::string &Example, std::vector<std::string> Arguments) {
    std::string ExampleFolder =
        std::string(GENTIANLUG_SOURCE_DIR) + "/examples/" + Example;
    std::string Overlay =
        Example == "beaudoin" ? "/qc-east.json" : "/sk-zapad.json";
    Arguments.insert(Arguments.end(),
                     {"--base", ExampleFolder + "/base.json", "--overlay",
                      "east=" + ExampleFolder + Overlay});
    return Arguments;
  }

  /// Returns whether a line of \p Report contains \p Text.
  static bool hasText(const command_report &Report, const std::string &Text) {
    for (const std::string &Line : Report.Lines)
      if (Line.find(Text) != std::string::npos)
        return true;
    return false;
  }
};

} // namespace gentianlug::operator_cli::test

#endif // GENTIANLUG_OPERATOR_TESTS_FAKE_STORE_H
