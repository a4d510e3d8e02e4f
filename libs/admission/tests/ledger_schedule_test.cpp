#include "gentianlug/admission/call_ledger.h"
#include "gentianlug/core/random.h"

#include <map>
#include <set>
#include <vector>

// After the standard headers, since it redefines new.
#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::admission;
using state = call_ledger::state;
using std::chrono::milliseconds;

namespace {

/// Simulates a serving node and the network in front of it. Messages are
/// delivered in random order, duplicated and delayed; responses are lost. Entry
/// nodes follow the protocol: they query the state of a call before they send a
/// further attempt.
struct schedule {
  struct message {
    call_id Id;
    std::uint32_t Attempt = 1;
    bool IsQuery = false;
  };

  generator Gen;
  manual_clock Clock;
  // Low limits, so that the ledger also becomes full.
  call_ledger Ledger{{64, 6000, std::chrono::seconds(60)}};
  std::vector<message> Network;
  std::vector<call_id> Running;
  std::map<call_id, int> RunCounts;
  /// Latest attempt of each call that the node reported as not run.
  std::map<call_id, std::uint32_t> Refused;
  std::map<call_id, std::uint32_t> LastAttempt;
  int SentCalls = 0;
  int FullCount = 0;

  explicit schedule(std::uint64_t Seed) : Gen(Seed) {}

  void send() {
    call_id Id("c" + std::to_string(SentCalls++));
    LastAttempt[Id] = 1;
    Network.push_back({Id, 1, false});
  }

  void deliver() {
    std::size_t Index = drawIndex(Gen, Network.size());
    message Message = Network[Index];
    // A message that is not removed is delivered again later.
    if (drawBool(Gen, 0.7)) {
      Network[Index] = Network.back();
      Network.pop_back();
    }
    if (Message.IsQuery)
      onQuery(Message);
    else
      onCall(Message);
  }

  void onCall(const message &Message) {
    state State = Ledger.begin(Message.Id, Message.Attempt, Clock.steadyNow());
    FullCount += State == state::Full;
    if (State != state::Started) {
      if (drawBool(Gen, 0.5))
        Network.push_back({Message.Id, LastAttempt[Message.Id], true});
      return;
    }
    if (drawBool(Gen, 0.1))
      return Ledger.abandon(Message.Id, Clock.steadyNow());
    auto RefusedAttempt = Refused.find(Message.Id);
    CHECK(RefusedAttempt == Refused.end() ||
          Message.Attempt > RefusedAttempt->second);
    CHECK_EQUAL(1, ++RunCounts[Message.Id]);
    Running.push_back(Message.Id);
  }

  void onQuery(const message &Message) {
    state State =
        Ledger.queryOrRefuse(Message.Id, Message.Attempt, Clock.steadyNow());
    if (State != state::Refused)
      return;
    CHECK_EQUAL(0, RunCounts[Message.Id]);
    std::uint32_t &Latest = Refused[Message.Id];
    Latest = std::max(Latest, Message.Attempt);
    // The reply may be lost; otherwise the entry node sends a further attempt.
    if (drawBool(Gen, 0.5) && LastAttempt[Message.Id] <= Message.Attempt &&
        Message.Attempt < 5) {
      LastAttempt[Message.Id] = Message.Attempt + 1;
      Network.push_back({Message.Id, Message.Attempt + 1, false});
    }
  }

  void finishRandomCall() {
    std::size_t Index = drawIndex(Gen, Running.size());
    Ledger.finish(Running[Index], recorded_response{200, {}, "ok"},
                  Clock.steadyNow());
    Running.erase(Running.begin() + std::ptrdiff_t(Index));
  }

  void step() {
    Clock.advance(milliseconds(drawIndex(Gen, 20)));
    std::size_t Choice = drawIndex(Gen, 4);
    if (Choice == 0 && SentCalls < 200)
      send();
    else if (Choice == 1 && !Running.empty())
      finishRandomCall();
    else if (!Network.empty())
      deliver();
  }
};

} // namespace

TEST_GROUP(ledger_schedule){};

// Guards against a call that runs twice, and against a call that runs after it
// was reported as not run, with duplicated, delayed and reordered messages and
// lost responses. The simulated time of a schedule is shorter than the
// retention time of entries.
TEST(ledger_schedule, CallsRunAtMostOnceAndRefusedIdsNeverRun) {
  int FullCount = 0;
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    schedule Schedule(Seed);
    for (int Step = 0; Step < 3000; ++Step)
      Schedule.step();
    FullCount += Schedule.FullCount;
    CHECK_EQUAL(200, Schedule.SentCalls);
  }
  CHECK(FullCount > 0);
}
