#include "gentianlug/gateway/usage_task.h"
#include "task_fixture.h"

using namespace gentianlug;
using namespace gentianlug::gateway;
using namespace std::chrono_literals;
using http1::freePort;
using http1::runUntil;

namespace {

const account_name Account{"a"};

/// The object of the duty, which all nodes share.
struct shared_duty {
  usage_duty Duty;
  object_revision Revision = 0;
};

/// Store client of one node.
class fake_duty_store final : public usage_duty_store {
public:
  fake_duty_store(net::event_loop &Loop, shared_duty &Shared)
      : Loop(Loop), Shared(Shared) {}

  void read(read_callback Done) override {
    bool Exists = Shared.Revision > 0;
    Loop.defer([Done = std::move(Done), Exists, Shared = Shared] {
      Done(Exists ? duty_outcome::Done : duty_outcome::Conflict, Shared.Duty,
           Shared.Revision);
    });
  }
  void write(const usage_duty &Next, object_revision Expected,
             write_callback Done) override {
    bool Written = Expected == Shared.Revision;
    if (Written)
      Shared = {Next, Shared.Revision + 1};
    duty_outcome Outcome =
        Written ? duty_outcome::Done : duty_outcome::Conflict;
    if (LosesResponses)
      Outcome = duty_outcome::NoResponse;
    Loop.defer([Done = std::move(Done), Outcome, Revision = Shared.Revision] {
      Done(Outcome, Revision);
    });
  }

  bool LosesResponses = false;

private:
  net::event_loop &Loop;
  shared_duty &Shared;
};

/// Accounting service that all nodes call.
class fake_accounting final : public accounting_service {
public:
  fake_accounting(net::event_loop &Loop, std::vector<usage_report> &Reports)
      : Loop(Loop), Reports(Reports) {}

  void report(const usage_report &Report, std::chrono::milliseconds,
              std::function<void(bool)> Done) override {
    Reports.push_back(Report);
    Loop.defer([Done = std::move(Done), Accepts = Accepts] { Done(Accepts); });
  }

  /// Whether the answers arrive that accept a report.
  bool Accepts = true;

private:
  net::event_loop &Loop;
  std::vector<usage_report> &Reports;
};

mesh::usage_terms shortWindows() {
  return {.WindowLength = 400ms, .ReportDeadline = 10s, .LeaseTime = 500ms};
}

/// A node with its own event loop and clock, so that it can be suspended.
struct usage_node {
  task_environment Environment;
  fake_duty_store Store;
  fake_accounting Accounting;
  address Address{"127.0.0.1", freePort()};
  usage_task Task;
  http1::server Listener;

  usage_node(const char *Name, shared_duty &Duty,
             std::vector<usage_report> &Reports)
      : Store(Environment.Loop, Duty), Accounting(Environment.Loop, Reports),
        Task(Environment.context(), node_id(Name), Address, shortWindows(),
             Store, Accounting),
        Listener(Environment.Loop, {},
                 [this](std::shared_ptr<http1::exchange> Exchange) {
                   Task.onUsage(*Exchange);
                 }) {
    CHECK(bool(Listener.listen(Address, {})));
    mesh::server_record Record;
    Record.Node = node_id(Name);
    Task.onServers({Record});
    Task.start();
  }
  void watchStore() { Task.onChangeSource({true, std::nullopt}); }
};

} // namespace

TEST_GROUP(UsageTask) {
  shared_duty Duty;
  std::vector<usage_report> Reports;
  std::unique_ptr<usage_node> First;
  std::unique_ptr<usage_node> Second;

  void setup() override {
    First = std::make_unique<usage_node>("n1", Duty, Reports);
    Second = std::make_unique<usage_node>("n2", Duty, Reports);
  }
  void teardown() override {
    First.reset();
    Second.reset();
  }
  /// Runs only \p Node; the other one stands still.
  void runNode(usage_node & Node, std::function<bool()> Done) {
    runUntil(Node.Environment.Loop, std::move(Done));
  }
  std::uint64_t reportedCalls() const {
    std::uint64_t Sum = 0;
    for (const usage_report &Report : Reports)
      for (const auto &[Name, Count] : Report.Calls)
        Sum += Count;
    return Sum;
  }
};

TEST(UsageTask, ReportsEachWindowOnce) {
  First->watchStore();
  runNode(*First, [&] { return !Reports.empty(); });
  First->Task.onCallStarted(Account);
  First->Task.onCallStarted(Account);
  runNode(*First, [&] { return reportedCalls() == 2; });
  for (std::size_t Index = 1; Index < Reports.size(); ++Index)
    LONGS_EQUAL(Reports[Index - 1].Window + 1, Reports[Index].Window);
  LONGS_EQUAL(1, Reports.back().FencingToken);
}

// Guards against reports that lack the calls at nodes without the duty.
TEST(UsageTask, FollowersSendTheirCountsToTheirRelay) {
  First->watchStore();
  runNode(*First, [&] { return Duty.Revision > 0; });
  Second->Task.onCallStarted(Account);
  Second->Task.onChangeSource({false, First->Address});
  // Both nodes run: each step of the first one lets the second one run too.
  runNode(*First, [&] {
    net::timer Stop(Second->Environment.Loop,
                    [&] { Second->Environment.Loop.stop(); });
    Stop.startOnce(1ms);
    Second->Environment.Loop.run();
    return reportedCalls() == 1;
  });
}

// Guards against a second report with other counts after the answer to the
// first one was lost: calls that become known later must not be added.
TEST(UsageTask, RepeatsAReportUnchangedAfterALostAnswer) {
  First->watchStore();
  First->Accounting.Accepts = false;
  runNode(*First, [&] { return Reports.size() == 1; });
  First->Task.onCallStarted(Account);
  runNode(*First, [&] { return Reports.size() == 3; });
  First->Accounting.Accepts = true;
  runNode(*First, [&] { return reportedCalls() == 1; });
  for (const usage_report &Report : Reports)
    for (const usage_report &Other : Reports)
      if (Report.Window == Other.Window)
        CHECK(Report.Calls == Other.Calls);
}

// Guards against a holder that was suspended and sends a report after another
// node has taken over the duty.
TEST(UsageTask, SuspendedHolderSendsNothingAfterItsSuccessor) {
  First->watchStore();
  runNode(*First, [&] { return Reports.size() == 2; });
  Second->watchStore();
  runNode(*Second, [&] {
    return !Reports.empty() && Duty.Revision > 0 &&
           Second->Environment.Metrics.render().find("usage_duty_holder") ==
               std::string::npos;
  });
  // Twice the lease time passes while the first node stands still.
  runNode(*Second, [&] { return Duty.Duty.Lease.Epoch == 2; });
  runNode(*Second, [&] { return Reports.back().FencingToken == 2; });
  std::size_t Before = Reports.size();
  First->Environment.Clock.advance(5000ms);
  object_revision Seen = Duty.Revision;
  runNode(*First, [&, Steps = 0]() mutable { return ++Steps > 300; });
  UNSIGNED_LONGS_EQUAL(Before, Reports.size());
  UNSIGNED_LONGS_EQUAL(Seen, Duty.Revision);
}

// Guards against two holders after a hand-over: tokens only grow, and a window
// that was reported is not reported with other counts.
TEST(UsageTask, SuccessorContinuesWithALargerToken) {
  First->watchStore();
  runNode(*First, [&] { return Reports.size() == 2; });
  Second->watchStore();
  runNode(*Second, [&] { return Reports.back().FencingToken == 2; });
  for (std::size_t Index = 1; Index < Reports.size(); ++Index) {
    CHECK(Reports[Index - 1].FencingToken <= Reports[Index].FencingToken);
    CHECK(Reports[Index - 1].Window <= Reports[Index].Window);
  }
}

// Guards against a report whose counts are not known to be stored.
TEST(UsageTask, SendsNothingWhileTheStoreDoesNotConfirm) {
  First->Store.LosesResponses = true;
  First->watchStore();
  runNode(*First, [&, Steps = 0]() mutable { return ++Steps > 500; });
  First->Store.LosesResponses = false;
  runNode(*First, [&] { return !Reports.empty(); });
  CHECK(Duty.Duty.Progress.DecidedWindow >= Reports.back().Window);
}
