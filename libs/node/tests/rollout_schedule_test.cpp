#include "gentianlug/rollout/sequential_evaluator.h"
#include "gentianlug/rollout/version_split.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/store/store_errc.h"
#include "gentianlug/wire/rollout_values.h"
#include "rollout_participation.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace gentianlug;
using namespace gentianlug::node;
using namespace std::chrono_literals;
using rollout::rollout_phase;
using store::store_errc;

static constexpr auto TickPeriod = rollout::EvaluationPeriod;
static constexpr auto AnswerTimeout = 2000ms;

/// Objects on the platform, with the history of all rollout states written.
struct simulated_platform {
  struct entry {
    std::string Value;
    object_revision Revision = 0;
  };
  struct written_state {
    rollout::rollout_state State;
    /// Empty if an operator wrote the state.
    node_id Writer;
    wall_time At;
  };
  std::map<std::string, entry> Objects;
  std::vector<written_state> States;
  bool Unreachable = false;

  result<object_revision> put(const std::string &Key, const std::string &Value,
                              object_revision Expected, const node_id &Writer,
                              wall_time Now) {
    entry &Entry = Objects[Key];
    if (Entry.Revision != Expected)
      return makeError(store_errc::Conflict);
    Entry = {Value, Expected + 1};
    if (Key.starts_with(store::RolloutPrefix))
      States.push_back({*wire::decodeRolloutState(Value), Writer, Now});
    return Entry.Revision;
  }
};

/// Object store of one node, whose requests and responses are delayed or lost.
struct faulty_store final : store::object_store {
  simulated_platform &Platform;
  const gentianlug::clock &Clock;
  generator &Gen;
  node_id Node;
  double Loss = 0;
  struct timed_event {
    steady_time At;
    std::function<void()> Action;
  };
  /// While the node is paused, requests still take effect on the platform, but
  /// responses are not handled.
  std::vector<timed_event> PendingRequests;
  std::vector<timed_event> PendingResponses;

  faulty_store(simulated_platform &Platform, const gentianlug::clock &Clock,
               generator &Gen, node_id Node)
      : Platform(Platform), Clock(Clock), Gen(Gen), Node(std::move(Node)) {}

  template <class T>
  void call(std::function<result<T>()> Operation, callback<T> OnResponse) {
    steady_time Now = Clock.steadyNow();
    bool RequestLost = drawBool(Gen, Loss / 2);
    bool ResponseLost = drawBool(Gen, Loss / 2);
    auto Delay = std::chrono::milliseconds(drawIndex(Gen, 400));
    PendingRequests.push_back(
        {Now + Delay, [=, this] {
           std::optional<result<T>> Answer;
           if (!RequestLost && !Platform.Unreachable)
             Answer = Operation();
           if (ResponseLost || !Answer)
             PendingResponses.push_back(
                 {Now + AnswerTimeout, [OnResponse] {
                    OnResponse(makeError(store_errc::NoResponse));
                  }});
           else
             PendingResponses.push_back(
                 {Now + 2 * Delay, [=] { OnResponse(*Answer); }});
         }});
  }

  static void runDueEvents(std::vector<timed_event> &Events, steady_time Now) {
    for (std::size_t Index = 0; Index < Events.size();) {
      if (Events[Index].At > Now) {
        ++Index;
        continue;
      }
      auto Action = std::move(Events[Index].Action);
      Events.erase(Events.begin() + std::ptrdiff_t(Index));
      Action();
    }
  }

  void get(const std::string &Key,
           callback<store::object> OnResponse) override {
    call<store::object>(
        [=, this]() -> result<store::object> {
          auto Found = Platform.Objects.find(Key);
          if (Found == Platform.Objects.end() || Found->second.Revision == 0)
            return makeError(store_errc::NotFound);
          return store::object{Key, Found->second.Value,
                               Found->second.Revision};
        },
        OnResponse);
  }

  void put(const std::string &Key, const std::string &Value,
           std::optional<object_revision> Expected,
           callback<object_revision> OnResponse) override {
    call<object_revision>(
        [=, this] {
          return Platform.put(Key, Value, *Expected, Node, Clock.wallNow());
        },
        OnResponse);
  }

  void remove(const std::string &, object_revision,
              callback<object_revision>) override {}
  void list(const std::string &, callback<store::object_list>) override {}
  void watch(const std::string &, object_revision, std::chrono::milliseconds,
             callback<store::change_batch>) override {}
};

enum class version_kind : std::uint8_t { Good, Failing, FailingLater };

/// Six nodes with local servers of one service. The servers of the last three
/// nodes have the new version.
struct simulated_mesh {
  struct member {
    faulty_store Store;
    std::unique_ptr<rollout_participation> Participation;
    std::optional<rollout::rollout_state> DeliveredState;
    steady_time PausedUntil{};
    steady_time DeadUntil{};
    bool Quarantined = false;
  };

  manual_clock Clock;
  generator Gen;
  simulated_platform Platform;
  config::service Service;
  config::rollout Rollout;
  version_kind Kind;
  bool DeliverNotices = true;
  std::vector<std::unique_ptr<member>> Members;
  /// Faults and operator writes are injected only before this time.
  steady_time FaultsUntil;

  simulated_mesh(std::uint64_t Seed, version_kind Kind)
      : Gen(Seed), Kind(Kind) {
    Service.Name = service_name("commandes");
    Service.Version = version_name("v1");
    Rollout.Service = Service.Name;
    Rollout.Version = version_name("v2");
    Rollout.FinishBy = Clock.wallNow() + 60s;
    FaultsUntil = Clock.steadyNow() + 75s;
    for (int Index = 0; Index < 6; ++Index)
      Members.push_back(std::make_unique<member>(
          member{{Platform, Clock, Gen, node_id("n" + std::to_string(Index))},
                 nullptr,
                 std::nullopt,
                 {},
                 {},
                 false}));
  }

  bool hasNewVersion(std::size_t Index) const { return Index >= 3; }

  void startMember(std::size_t Index) {
    member &Member = *Members[Index];
    wire::server_announcement Server;
    Server.Service = Service.Name;
    Server.Version = hasNewVersion(Index) ? Rollout.Version : Service.Version;
    rollout::controller_parameters Parameters{
        Rollout,
        Service.Version,
        {route_name("orders")},
        1,
        {"127.0.0.1", std::uint16_t(7000 + Index)},
        {}};
    Member.Participation = std::make_unique<rollout_participation>(
        rollout_session::context{Member.Store, Clock, Gen, Member.Store.Node},
        Parameters, Server, std::make_unique<rollout::sequential_evaluator>(),
        rollout_participation::outputs{
            [&Member](const version_quarantine &Change) {
              Member.Quarantined = Change.Quarantined;
            },
            [this](const address &To, const rollout::server_evidence &E) {
              sendEvidenceTo(To.Port - 7000, E);
            },
            [this, Index](const rollout::controller_notice &Notice) {
              broadcastNotice(Index, Notice);
            }});
  }

  bool isRunning(const member &Member) const {
    return Member.Participation && Clock.steadyNow() >= Member.PausedUntil;
  }

  void drawFaults() {
    bool Allowed = Clock.steadyNow() < FaultsUntil;
    Platform.Unreachable =
        Allowed &&
        (Platform.Unreachable ? !drawBool(Gen, 0.02) : drawBool(Gen, 0.004));
    for (std::size_t Index = 0; Index < Members.size(); ++Index) {
      member &Member = *Members[Index];
      Member.Store.Loss = Allowed ? 0.1 : 0;
      if (!Member.Participation && Clock.steadyNow() >= Member.DeadUntil)
        startMember(Index);
      // Failures of the controller are injected more often than other failures.
      double Rate = Member.Participation && Member.Participation->isController()
                        ? 0.02
                        : 0.002;
      if (!Allowed || !isRunning(Member) || !drawBool(Gen, Rate))
        continue;
      auto Time = std::chrono::milliseconds(500 + drawIndex(Gen, 12000));
      if (drawBool(Gen, 0.5)) {
        Member.PausedUntil = Clock.steadyNow() + Time;
      } else {
        Member.Participation.reset();
        Member.Quarantined = false;
        Member.DeadUntil = Clock.steadyNow() + Time;
      }
    }
    if (Allowed && drawBool(Gen, 0.004))
      togglePause();
  }

  void togglePause() {
    std::string Key = store::rolloutKey(Service.Name);
    auto Found = Platform.Objects.find(Key);
    if (Platform.Unreachable || Found == Platform.Objects.end())
      return;
    rollout::rollout_state State =
        *wire::decodeRolloutState(Found->second.Value);
    if (State.Phase != rollout_phase::Progressing &&
        State.Phase != rollout_phase::Paused)
      return;
    State.Phase = State.Phase == rollout_phase::Progressing
                      ? rollout_phase::Paused
                      : rollout_phase::Progressing;
    State.WriteId = drawHexId(Gen);
    (void)Platform.put(Key, wire::encode(State), Found->second.Revision, {},
                       Clock.wallNow());
  }

  /// Delivers the newest state to a random subset of the nodes, as the relay
  /// tree does.
  void deliverState() {
    if (Platform.Unreachable || Platform.States.empty())
      return;
    for (auto &Member : Members)
      if (isRunning(*Member) && drawBool(Gen, 0.4)) {
        Member->DeliveredState = Platform.States.back().State;
        Member->Participation->onStateDelivered(*Member->DeliveredState);
      }
  }

  double newShareSeenBy(const member &Member) const {
    return rollout::splitVersions(
               Service, &Rollout,
               Member.DeliveredState ? &*Member.DeliveredState : nullptr,
               Clock.wallNow(), true)
        .NewShare;
  }

  bool newVersionFails() const {
    auto Left = Rollout.FinishBy - Clock.wallNow();
    return Kind == version_kind::Failing ||
           (Kind == version_kind::FailingLater && Left < 40s);
  }

  /// Simulates 20 calls per node and step on average. All of them enter at one
  /// random node, whose known state determines the share of the new version.
  void sendEvidence() {
    const member &Entry = *Members[drawIndex(Gen, Members.size())];
    double Share = newShareSeenBy(Entry);
    for (std::size_t Index = 0; Index < Members.size(); ++Index) {
      member &Member = *Members[Index];
      if (!isRunning(Member))
        continue;
      double Mean = 40 * (hasNewVersion(Index) ? Share : 1 - Share);
      auto Calls = Member.Quarantined
                       ? 0U
                       : std::uint32_t(std::poisson_distribution<int>(
                             std::max(Mean, 1e-9))(Gen));
      rollout::server_evidence Evidence;
      Evidence.Service = Service.Name;
      Evidence.Version =
          hasNewVersion(Index) ? Rollout.Version : Service.Version;
      Evidence.ConcurrencyLimit = 10;
      Evidence.Routes.push_back({route_name("orders"), Calls, 0, {}});
      if (hasNewVersion(Index) && newVersionFails())
        Evidence.Routes[0].Errors = Calls;
      else
        Evidence.Routes[0].Latencies[7] = Calls;
      // The proxy sends no evidence without calls.
      if (Calls > 0)
        Member.Participation->onLocalEvidence(Evidence);
    }
  }

  /// Delivers evidence, which may be duplicated or lost.
  void sendEvidenceTo(std::size_t Index,
                      const rollout::server_evidence &Evidence) {
    member &Receiver = *Members[Index];
    if (!isRunning(Receiver))
      return;
    for (int Copy = drawBool(Gen, 0.1) ? 2 : 1; Copy > 0; --Copy)
      if (!drawBool(Gen, 0.05))
        Receiver.Participation->onRemoteEvidence(Evidence);
  }

  void broadcastNotice(std::size_t From,
                       const rollout::controller_notice &Notice) {
    if (!DeliverNotices)
      return;
    for (std::size_t Index = 0; Index < Members.size(); ++Index)
      if (Index != From && isRunning(*Members[Index]))
        Members[Index]->Participation->onNotice(Notice);
  }

  void tickMembers() {
    for (auto &Member : Members) {
      faulty_store::runDueEvents(Member->Store.PendingRequests,
                                 Clock.steadyNow());
      if (!isRunning(*Member))
        continue;
      faulty_store::runDueEvents(Member->Store.PendingResponses,
                                 Clock.steadyNow());
      Member->Participation->tick();
    }
  }

  void step() {
    Clock.advance(TickPeriod);
    drawFaults();
    deliverState();
    sendEvidence();
    tickMembers();
  }

  const rollout::rollout_state &lastState() const {
    return Platform.States.back().State;
  }
};

static bool isDecided(rollout_phase Phase) {
  return Phase == rollout_phase::Completed ||
         Phase == rollout_phase::RolledBack;
}

/// Checks the written states in the order of their writes.
static void checkWrites(const simulated_mesh &Mesh) {
  std::map<std::uint64_t, node_id> Writers;
  std::uint64_t Epoch = 0;
  rollout_phase Before = rollout_phase::Waiting;
  for (const auto &[State, Writer, At] : Mesh.Platform.States) {
    CHECK_FALSE(isDecided(Before));
    CHECK_TRUE(State.Epoch >= Epoch);
    if (!Writer.empty()) {
      auto [Found, Added] = Writers.emplace(State.Epoch, Writer);
      CHECK_TRUE(Found->second == Writer);
    }
    if (State.Phase == rollout_phase::Completed)
      CHECK_TRUE(At + rollout::CompletionMargin <= Mesh.Rollout.FinishBy);
    if (State.Phase == rollout_phase::RolledBack)
      DOUBLES_EQUAL(0, State.Share, 0);
    Epoch = State.Epoch;
    Before = State.Phase;
  }
}

static void runSchedule(std::uint64_t Seed, version_kind Kind,
                        int &CompletedCount) {
  simulated_mesh Mesh(Seed, Kind);
  auto End = Mesh.Clock.steadyNow() + 130s;
  while (Mesh.Clock.steadyNow() < End) {
    Mesh.step();
    if (Mesh.Clock.wallNow() < Mesh.Rollout.FinishBy)
      continue;
    // After the finish time, the new version gets calls only if the rollout has
    // completed, whatever faults were injected.
    for (const auto &Member : Mesh.Members) {
      double Share = Mesh.newShareSeenBy(*Member);
      CHECK_TRUE(Share == 0 ||
                 Member->DeliveredState->Phase == rollout_phase::Completed);
    }
  }
  checkWrites(Mesh);
  CHECK_FALSE(Mesh.Platform.States.empty());
  CHECK_TRUE(isDecided(Mesh.lastState().Phase));
  CompletedCount += Mesh.lastState().Phase == rollout_phase::Completed;
}

TEST_GROUP(rollout_schedule){};

// Guards against writes of two controllers in the same epoch, rollouts that are
// never decided, completion too late, and a share of the new version after the
// end of a rollout. Injects node failures and pauses, platform outages, lost
// responses and operator writes.
TEST(rollout_schedule, everyRolloutIsDecidedOnceAndInTime) {
  int CompletedCount = 0;
  for (std::uint64_t Seed = 0; Seed < 150; ++Seed)
    runSchedule(Seed, version_kind::Good, CompletedCount);
  CHECK_TRUE(CompletedCount > 0);
}

// Guards against completing the rollout of a faulty version because the
// controller failed or was paused.
TEST(rollout_schedule, faultyVersionsNeverComplete) {
  int CompletedCount = 0;
  for (std::uint64_t Seed = 0; Seed < 100; ++Seed) {
    runSchedule(Seed, version_kind::Failing, CompletedCount);
    runSchedule(Seed, version_kind::FailingLater, CompletedCount);
  }
  LONGS_EQUAL(0, CompletedCount);
}

// Guards against schedule tests that pass only because the share never grows.
TEST(rollout_schedule, goodVersionCompletesWithoutFaults) {
  for (std::uint64_t Seed = 0; Seed < 20; ++Seed) {
    simulated_mesh Mesh(Seed, version_kind::Good);
    Mesh.FaultsUntil = {};
    auto End = Mesh.Clock.steadyNow() + 60s;
    while (Mesh.Clock.steadyNow() < End)
      Mesh.step();
    checkWrites(Mesh);
    CHECK(Mesh.lastState().Phase == rollout_phase::Completed);
  }
}

/// Returns the final state of a good rollout whose controller fails permanently
/// or is paused for 10 s at the given step.
static rollout::rollout_state loseController(int At, bool Dies) {
  simulated_mesh Mesh(std::uint64_t(At), version_kind::Good);
  Mesh.FaultsUntil = {};
  for (int Count = 0; Count < int(60s / TickPeriod); ++Count) {
    if (Count == At)
      for (auto &Member : Mesh.Members)
        if (Member->Participation && Member->Participation->isController()) {
          Member->DeadUntil = Mesh.Clock.steadyNow() + 1h;
          Member->PausedUntil = Mesh.Clock.steadyNow() + 10s;
          if (Dies)
            Member->Participation.reset();
        }
    Mesh.step();
  }
  checkWrites(Mesh);
  return Mesh.lastState();
}

// Guards against a rollout that waits for a failed or paused controller.
// Another node must decide it, and complete it if enough time is left.
TEST(rollout_schedule, lostControllerIsReplacedAtEveryStep) {
  for (int At = 4; At < int(60s / TickPeriod); At += 3)
    for (bool Dies : {true, false}) {
      rollout::rollout_state End = loseController(At, Dies);
      CHECK_TRUE(isDecided(End.Phase));
      if (At * TickPeriod < 20s)
        CHECK(End.Phase == rollout_phase::Completed);
    }
}

// Guards against lost evidence of a node that receives no notices because the
// controller does not know it as a member. It must take the address of the
// controller from the rollout state.
TEST(rollout_schedule, evidenceReachesControllerWithoutNotices) {
  simulated_mesh Mesh(1, version_kind::Good);
  Mesh.FaultsUntil = {};
  Mesh.DeliverNotices = false;
  auto End = Mesh.Clock.steadyNow() + 60s;
  while (Mesh.Clock.steadyNow() < End)
    Mesh.step();
  CHECK(Mesh.lastState().Phase == rollout_phase::Completed);
}
