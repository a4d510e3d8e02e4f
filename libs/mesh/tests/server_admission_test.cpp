#include "gentianlug/mesh/server_admission.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>

using namespace gentianlug;
using namespace gentianlug::mesh;
using namespace std::chrono_literals;

TEST_GROUP(ServerAdmission) {
  server_admission Admission;
  steady_time Now{1h};
  local_call_id LastId = 0;

  void setup() override {
    mesh_bounds Bounds;
    Admission.retryBudget().configure(Bounds, 1);
    configureServer(2, 10);
  }
  void configureServer(std::uint32_t Slots, double ColdCallsPerSecond) {
    Admission.setServer(admitted_server{"i-1", Slots, ColdCallsPerSecond, 1});
    Admission.setConfirmed(true);
  }
  incoming_call call(std::uint32_t QueuePriority = 1) {
    incoming_call Call;
    Call.Id = ++LastId;
    Call.Instance = "i-1";
    Call.QueuePriority = QueuePriority;
    Call.Deadline = Now + 1s;
    Call.MaxQueueTime = 100ms;
    return Call;
  }
  local_call_id submit(const incoming_call &Call) {
    Admission.submit(Call, Now);
    return Call.Id;
  }
  /// Advances and returns the decisions as text, such as "+1 -2:busy".
  std::string advance() {
    std::string Text;
    for (const admission_decision &Decision : Admission.advance(Now)) {
      bool Start = Decision.Kind == admission_decision::kind::Start;
      Text += (Text.empty() ? "" : " ");
      Text += (Start ? "+" : "-") + std::to_string(Decision.Id);
      if (!Start)
        Text += std::string(":") + describe(Decision.Reason);
    }
    return Text;
  }
};

TEST(ServerAdmission, StartsUpToTheSlotsThenQueues) {
  for (int Count = 0; Count < 3; ++Count)
    submit(call());
  STRCMP_EQUAL("+1 +2", advance().c_str());
  Admission.finish(1, 10ms);
  STRCMP_EQUAL("+3", advance().c_str());
}

// Guards against calls that are queued until their response is useless.
TEST(ServerAdmission, RejectsCallsThatWaitTooLong) {
  for (int Count = 0; Count < 3; ++Count)
    submit(call());
  advance();
  CHECK(Admission.nextWakeup(Now) == Now + 100ms);
  Now += 100ms;
  STRCMP_EQUAL("-3:busy", advance().c_str());
}

// Guards against nested calls that wait behind new calls: work has already been
// spent on their parent calls.
TEST(ServerAdmission, HighPriorityStartsFirst) {
  submit(call());
  submit(call());
  advance();
  submit(call(2));
  submit(call(0));
  Admission.finish(1, 10ms);
  STRCMP_EQUAL("+4", advance().c_str());
}

TEST(ServerAdmission, FullQueueRejectsLowestPriority) {
  std::string Text;
  for (int Count = 0; Count < 7; ++Count)
    submit(call(Count == 2 ? 5 : 1));
  STRCMP_EQUAL("+1 +2 -3:busy", advance().c_str());
}

// Guards against a cold server that receives more calls than its limit in any
// interval of one second.
TEST(ServerAdmission, ColdStartLimitHoldsInAnySecond) {
  configureServer(100, 10);
  Admission.setColdStartEnd(Now + 10s);
  std::vector<steady_time> Starts;
  for (int Step = 0; Step < 3000; ++Step) {
    auto Id = submit(call());
    if (advance() == "+" + std::to_string(Id))
      Starts.push_back(Now);
    Admission.finish(Id, 1ms);
    Now += 1ms;
  }
  CHECK(Starts.size() >= 28);
  for (std::size_t First = 0; First < Starts.size(); ++First) {
    std::size_t Count = 0;
    for (std::size_t Each = First; Each < Starts.size(); ++Each)
      Count += Starts[Each] - Starts[First] <= 1s ? 1 : 0;
    CHECK(Count <= 10);
  }
}

TEST(ServerAdmission, RejectsWithBlockReason) {
  submit(call());
  submit(call());
  submit(call());
  advance();
  Admission.setBlockReason(rejection_reason::Draining);
  STRCMP_EQUAL("-3:draining", advance().c_str());
  submit(call());
  STRCMP_EQUAL("-4:draining", advance().c_str());
  UNSIGNED_LONGS_EQUAL(0, Admission.report(Now).ConcurrencyLimit);
}

// Guards against calls that reach another server that now has the address.
TEST(ServerAdmission, CallsForAnotherInstanceAreRejected) {
  auto Call = call();
  Call.Instance = "i-0";
  submit(Call);
  STRCMP_EQUAL("-1:no-server", advance().c_str());
  Admission.setServer(admitted_server{"i-2", 2, 10, 1});
  submit(call());
  STRCMP_EQUAL("-2:no-server", advance().c_str());
}

TEST(ServerAdmission, NewServerWaitsForConfirmation) {
  Admission.setServer(admitted_server{"i-2", 2, 10, 1});
  auto Call = call();
  Call.Instance = "i-2";
  submit(Call);
  STRCMP_EQUAL("-1:unconfirmed", advance().c_str());
}

// Guards against retries beyond the budget of this server.
TEST(ServerAdmission, RetriesAreLimited) {
  configureServer(1000, 10);
  mesh_bounds Bounds;
  Bounds.RetryBudgetRatio = 0.2;
  Bounds.RetryBudgetSlack = 10;
  Admission.retryBudget().configure(Bounds, 1);
  int Retries = 0;
  for (int Count = 0; Count < 100; ++Count) {
    submit(call());
    auto Retry = call();
    Retry.IsRetry = true;
    submit(Retry);
    if (advance().find("repeats-spent") == std::string::npos)
      ++Retries;
  }
  CHECK(Retries > 10);
  CHECK(Retries <= 0.2 * 100 + 10);
}

// Guards against calls made by retries that are not counted as retries.
TEST(ServerAdmission, InheritedRepeatsUseUpTheBudget) {
  configureServer(1000, 10);
  mesh_bounds Bounds;
  Bounds.RetryBudgetSlack = 10;
  Admission.retryBudget().configure(Bounds, 1);
  for (int Count = 0; Count < 10; ++Count) {
    auto Nested = call();
    Nested.InheritedRetry = true;
    submit(Nested);
  }
  advance();
  auto Retry = call();
  Retry.IsRetry = true;
  submit(Retry);
  STRCMP_EQUAL("-11:repeats-spent", advance().c_str());
}

// Guards against large responses that fill a slow link and delay small ones.
TEST(ServerAdmission, LargeResponsesAreLimitedByLinkBacklog) {
  configureServer(100, 10);
  Admission.setLinkBytesPerSecond(1e6);
  auto Large = call();
  Large.ExpectedResponseBytes = 90000;
  submit(Large);
  STRCMP_EQUAL("+1", advance().c_str());
  Large.Id = ++LastId;
  submit(Large);
  STRCMP_EQUAL("-2:link-busy", advance().c_str());
  submit(call());
  STRCMP_EQUAL("+3", advance().c_str());
  Admission.finish(1, 10ms);
  Admission.setUnsentBytes(90000);
  Large.Id = ++LastId;
  submit(Large);
  STRCMP_EQUAL("-4:link-busy", advance().c_str());
  Admission.setUnsentBytes(0);
  Large.Id = ++LastId;
  submit(Large);
  STRCMP_EQUAL("+5", advance().c_str());
}

// Guards against an idle link while the server processes calls: one large
// response at a time uses far less than the bandwidth of the link.
TEST(ServerAdmission, LinkBacklogMayLastForTheServiceTime) {
  configureServer(100, 10);
  Admission.setLinkBytesPerSecond(1e6);
  submit(call());
  STRCMP_EQUAL("+1", advance().c_str());
  Admission.finish(1, 180ms);
  auto Large = call();
  Large.ExpectedResponseBytes = 90000;
  for (const char *Expected : {"+3", "+4", "+5", "-6:link-busy"}) {
    Large.Id = ++LastId;
    submit(Large);
    STRCMP_EQUAL(Expected, advance().c_str());
  }
}

// Guards against a server that counts as the fastest one because it has not
// responded yet.
TEST(ServerAdmission, ReportsNoServiceTimeBeforeFirstResponse) {
  configureServer(100, 10);
  LONGS_EQUAL(0, Admission.report(Now).ServiceTime.count());
  submit(call());
  (void)advance();
  Admission.finish(1, 180ms);
  LONGS_EQUAL(180, Admission.report(Now).ServiceTime.count());
}

TEST(ServerAdmission, CallsNearDeadlineAreRejected) {
  auto Call = call();
  Call.Deadline = Now + 1ms;
  submit(Call);
  STRCMP_EQUAL("-1:late", advance().c_str());
}

TEST(ServerAdmission, CallsBeyondTheRateLimitAreRejectedAtOnce) {
  Admission.setRateLimit(2, Now);
  submit(call());
  submit(call());
  STRCMP_EQUAL("+1 -2:rate-limited", advance().c_str());
}

// Guards against a server that gets more calls in some seconds than it names,
// because those of a time without calls were saved up.
TEST(ServerAdmission, RateLimitHoldsInAnyFourSeconds) {
  for (double Rate : {0.3, 4.0, 17.5}) {
    configureServer(100, 10);
    Admission.setRateLimit(Rate, Now);
    std::deque<steady_time> Starts;
    for (int Step = 0; Step < 2000; ++Step) {
      Now += Step == 700 ? 5s : 10ms;
      submit(call());
      for (const admission_decision &Decision : Admission.advance(Now)) {
        if (Decision.Kind != admission_decision::kind::Start)
          continue;
        Starts.push_back(Now);
        Admission.finish(Decision.Id, 10ms);
      }
      while (!Starts.empty() && Now - Starts.front() >= 4s)
        Starts.pop_front();
      CHECK(double(Starts.size()) <= 4 * Rate + std::max(1.0, Rate / 2) + 1);
    }
    CHECK(!Starts.empty());
  }
}

// Guards against an urgent call that is rejected while a less urgent one takes
// the next start.
TEST(ServerAdmission, UrgentCallsStartFirstUnderARateLimit) {
  Admission.setRateLimit(20, Now);
  for (int Count = 0; Count < 10; ++Count) {
    auto Id = submit(call(1));
    advance();
    Admission.finish(Id, 1ms);
  }
  submit(call(2));
  submit(call(2));
  auto Urgent = submit(call(0));
  advance();
  Now += 50ms;
  STRCMP_EQUAL(("+" + std::to_string(Urgent)).c_str(), advance().c_str());
}

// Guards against a limit that outlives the server which named it.
TEST(ServerAdmission, RestartedServerHasNoRateLimit) {
  Admission.setRateLimit(1, Now);
  Admission.setServer(admitted_server{"i-1", 2, 10, 1});
  CHECK(Admission.rateLimit().has_value());
  Admission.setServer(admitted_server{"i-1", 2, 10, 2});
  CHECK_FALSE(Admission.rateLimit().has_value());
}

// Guards against other nodes that keep sending calls to a limited server.
TEST(ServerAdmission, ReportsTheConcurrencyOfTheRateLimit) {
  configureServer(9, 10);
  auto Id = submit(call());
  advance();
  Admission.finish(Id, 200ms);
  LONGS_EQUAL(9, Admission.report(Now).ConcurrencyLimit);
  Admission.setRateLimit(10, Now);
  LONGS_EQUAL(2, Admission.report(Now).ConcurrencyLimit);
}

// Guards against small accounts that wait behind all calls of a large one: the
// next slot goes to the account that has been served least.
TEST(ServerAdmission, SlotsAreSharedBetweenAccounts) {
  auto From = [&](const char *Account) {
    incoming_call Call = call();
    Call.Account = account_name(Account);
    return Call;
  };
  for (int Count = 0; Count < 5; ++Count)
    submit(From("large"));
  submit(From("small"));
  STRCMP_EQUAL("+1 +2", advance().c_str());
  Admission.finish(1, 10ms);
  STRCMP_EQUAL("+6", advance().c_str());
  Admission.finish(2, 10ms);
  STRCMP_EQUAL("+3", advance().c_str());
}

// Guards against an account that fills the queue, so that the calls of all
// others are rejected.
TEST(ServerAdmission, FullQueueDisplacesTheAccountWithTheMostCalls) {
  for (int Count = 0; Count < 7; ++Count) {
    incoming_call Call = call();
    Call.Account = account_name(Count == 6 ? "small" : "large");
    submit(Call);
  }
  STRCMP_EQUAL("+1 +2 -6:busy", advance().c_str());
}

// Guards against accounts that push a call of a higher priority aside.
TEST(ServerAdmission, PriorityGoesBeforeAccounts) {
  for (int Count = 0; Count < 4; ++Count) {
    incoming_call Call = call(Count == 3 ? 2 : 1);
    Call.Account = account_name(Count == 3 ? "small" : "large");
    submit(Call);
  }
  STRCMP_EQUAL("+1 +2", advance().c_str());
  Admission.finish(1, 10ms);
  STRCMP_EQUAL("+3", advance().c_str());
}
