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

static constexpr auto Step = rollout::EvaluationPeriod;
static constexpr auto AnswerTimeout = 2000ms;

/// The objects of the platform, with every state that took effect.
struct simulated_platform {
  struct entry {
    std::string Value;
    object_revision Revision = 0;
  };
  struct written_state {
    rollout::rollout_state State;
    /// Empty for the operator.
    node_id Writer;
    wall_time At;
  };
  std::map<std::string, entry> Objects;
  std::vector<written_state> States;
  bool Down = false;

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

/// One node's way to the platform, with delays and losses.
struct faulty_store final : store::object_store {
  simulated_platform &Platform;
  const gentianlug::clock &Clock;
  generator &Gen;
  node_id Node;
  double Loss = 0;
  struct event_at {
    steady_time At;
    std::function<void()> Action;
  };
  /// Effects at the platform happen while the node is paused, answers wait.
  std::vector<event_at> Effects;
  std::vector<event_at> Answers;

  faulty_store(simulated_platform &Platform, const gentianlug::clock &Clock,
               generator &Gen, node_id Node)
      : Platform(Platform), Clock(Clock), Gen(Gen), Node(std::move(Node)) {}

  template <class T>
  void call(std::function<result<T>()> Effect, callback<T> Done) {
    steady_time Now = Clock.steadyNow();
    bool RequestLost = drawChance(Gen, Loss / 2);
    bool AnswerLost = drawChance(Gen, Loss / 2);
    auto Delay = std::chrono::milliseconds(drawIndex(Gen, 400));
    Effects.push_back(
        {Now + Delay, [=, this] {
           std::optional<result<T>> Answer;
           if (!RequestLost && !Platform.Down)
             Answer = Effect();
           if (AnswerLost || !Answer)
             Answers.push_back({Now + AnswerTimeout, [Done] {
                                  Done(makeError(store_errc::NoAnswer));
                                }});
           else
             Answers.push_back({Now + 2 * Delay, [=] { Done(*Answer); }});
         }});
  }

  static void perform(std::vector<event_at> &Events, steady_time Now) {
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

  void get(const std::string &Key, callback<store::object> Done) override {
    call<store::object>(
        [=, this]() -> result<store::object> {
          auto Found = Platform.Objects.find(Key);
          if (Found == Platform.Objects.end() || Found->second.Revision == 0)
            return makeError(store_errc::NotFound);
          return store::object{Key, Found->second.Value,
                               Found->second.Revision};
        },
        Done);
  }

  void put(const std::string &Key, const std::string &Value,
           std::optional<object_revision> Expected,
           callback<object_revision> Done) override {
    call<object_revision>(
        [=, this] {
          return Platform.put(Key, Value, *Expected, Node, Clock.wallNow());
        },
        Done);
  }

  void remove(const std::string &, object_revision,
              callback<object_revision>) override {}
  void list(const std::string &, callback<store::object_list>) override {}
  void watch(const std::string &, object_revision, std::chrono::milliseconds,
             callback<store::change_batch>) override {}
};

enum class version_kind : std::uint8_t { Good, Failing, FailingLater };

/// Six nodes beside servers of one service, the upper three with new servers.
struct simulated_mesh {
  struct member {
    faulty_store Store;
    std::unique_ptr<rollout_participation> Part;
    std::optional<rollout::rollout_state> Delivered;
    steady_time PausedUntil{};
    steady_time DeadUntil{};
    bool Cut = false;
  };

  manual_clock Clock;
  generator Gen;
  simulated_platform Platform;
  config::service Service;
  config::rollout Rollout;
  version_kind Kind;
  bool NoticesArrive = true;
  std::vector<std::unique_ptr<member>> Members;
  /// Faults of platform, nodes and operators happen before this.
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

  bool isNew(std::size_t Index) const { return Index >= 3; }

  void startMember(std::size_t Index) {
    member &Member = *Members[Index];
    wire::server_announcement Server;
    Server.Service = Service.Name;
    Server.Version = isNew(Index) ? Rollout.Version : Service.Version;
    rollout::controller_parameters Task{
        Rollout,
        Service.Version,
        {route_name("orders")},
        1,
        {"127.0.0.1", std::uint16_t(7000 + Index)},
        {}};
    Member.Part = std::make_unique<rollout_participation>(
        rollout_session::context{Member.Store, Clock, Gen, Member.Store.Node},
        Task, Server, std::make_unique<rollout::sequential_evaluator>(),
        rollout_participation::outputs{
            [&Member](const version_quarantine &Cut) {
              Member.Cut = Cut.Quarantined;
            },
            [this](const address &To, const rollout::server_evidence &E) {
              sendTo(To.Port - 7000, E);
            },
            [this, Index](const rollout::controller_notice &Notice) {
              notify(Index, Notice);
            }});
  }

  bool runs(const member &Member) const {
    return Member.Part && Clock.steadyNow() >= Member.PausedUntil;
  }

  void drawFaults() {
    bool Allowed = Clock.steadyNow() < FaultsUntil;
    Platform.Down = Allowed && (Platform.Down ? !drawChance(Gen, 0.02)
                                              : drawChance(Gen, 0.004));
    for (std::size_t Index = 0; Index < Members.size(); ++Index) {
      member &Member = *Members[Index];
      Member.Store.Loss = Allowed ? 0.1 : 0;
      if (!Member.Part && Clock.steadyNow() >= Member.DeadUntil)
        startMember(Index);
      // The controller is the most interesting node to lose.
      double Rate = Member.Part && Member.Part->isController() ? 0.02 : 0.002;
      if (!Allowed || !runs(Member) || !drawChance(Gen, Rate))
        continue;
      auto Time = std::chrono::milliseconds(500 + drawIndex(Gen, 12000));
      if (drawChance(Gen, 0.5)) {
        Member.PausedUntil = Clock.steadyNow() + Time;
      } else {
        Member.Part.reset();
        Member.Cut = false;
        Member.DeadUntil = Clock.steadyNow() + Time;
      }
    }
    if (Allowed && drawChance(Gen, 0.004))
      operatorWrites();
  }

  void operatorWrites() {
    std::string Key = store::rolloutKey(Service.Name);
    auto Found = Platform.Objects.find(Key);
    if (Platform.Down || Found == Platform.Objects.end())
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

  /// The tree brings the newest state to some nodes.
  void deliver() {
    if (Platform.Down || Platform.States.empty())
      return;
    for (auto &Member : Members)
      if (runs(*Member) && drawChance(Gen, 0.4)) {
        Member->Delivered = Platform.States.back().State;
        Member->Part->onDelivered(*Member->Delivered);
      }
  }

  double shareSeenBy(const member &Member) const {
    return rollout::splitVersions(Service, &Rollout,
                                  Member.Delivered ? &*Member.Delivered
                                                   : nullptr,
                                  Clock.wallNow(), true)
        .NewShare;
  }

  bool fails() const {
    auto Left = Rollout.FinishBy - Clock.wallNow();
    return Kind == version_kind::Failing ||
           (Kind == version_kind::FailingLater && Left < 40s);
  }

  /// 20 calls per node and step enter anywhere.
  void sendEvidence() {
    const member &Entry = *Members[drawIndex(Gen, Members.size())];
    double Share = shareSeenBy(Entry);
    for (std::size_t Index = 0; Index < Members.size(); ++Index) {
      member &Member = *Members[Index];
      if (!runs(Member))
        continue;
      double Mean = 40 * (isNew(Index) ? Share : 1 - Share);
      auto Calls = Member.Cut ? 0U
                              : std::uint32_t(std::poisson_distribution<int>(
                                    std::max(Mean, 1e-9))(Gen));
      rollout::server_evidence Evidence;
      Evidence.Service = Service.Name;
      Evidence.Version = isNew(Index) ? Rollout.Version : Service.Version;
      Evidence.ConcurrencyLimit = 10;
      Evidence.Routes.push_back({route_name("orders"), Calls, 0, {}});
      if (isNew(Index) && fails())
        Evidence.Routes[0].Errors = Calls;
      else
        Evidence.Routes[0].Latencies[7] = Calls;
      // The proxy reports only calls.
      if (Calls > 0)
        Member.Part->onLocalEvidence(Evidence);
    }
  }

  /// Evidence may arrive twice or not at all.
  void sendTo(std::size_t Index, const rollout::server_evidence &Evidence) {
    member &Receiver = *Members[Index];
    if (!runs(Receiver))
      return;
    for (int Copy = drawChance(Gen, 0.1) ? 2 : 1; Copy > 0; --Copy)
      if (!drawChance(Gen, 0.05))
        Receiver.Part->onRemoteEvidence(Evidence);
  }

  void notify(std::size_t From, const rollout::controller_notice &Notice) {
    if (!NoticesArrive)
      return;
    for (std::size_t Index = 0; Index < Members.size(); ++Index)
      if (Index != From && runs(*Members[Index]))
        Members[Index]->Part->onNotice(Notice);
  }

  void tickMembers() {
    for (auto &Member : Members) {
      faulty_store::perform(Member->Store.Effects, Clock.steadyNow());
      if (!runs(*Member))
        continue;
      faulty_store::perform(Member->Store.Answers, Clock.steadyNow());
      Member->Part->tick();
    }
  }

  void step() {
    Clock.advance(Step);
    drawFaults();
    deliver();
    sendEvidence();
    tickMembers();
  }

  const rollout::rollout_state &last() const {
    return Platform.States.back().State;
  }
};

static bool isDecided(rollout_phase Phase) {
  return Phase == rollout_phase::Completed ||
         Phase == rollout_phase::RolledBack;
}

/// Checks the states that took effect, in their order.
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

static void runSchedule(std::uint64_t Seed, version_kind Kind, int &Done) {
  simulated_mesh Mesh(Seed, Kind);
  auto End = Mesh.Clock.steadyNow() + 130s;
  while (Mesh.Clock.steadyNow() < End) {
    Mesh.step();
    if (Mesh.Clock.wallNow() < Mesh.Rollout.FinishBy)
      continue;
    // Decided by its time, whatever failed.
    for (const auto &Member : Mesh.Members) {
      double Share = Mesh.shareSeenBy(*Member);
      CHECK_TRUE(Share == 0 ||
                 Member->Delivered->Phase == rollout_phase::Completed);
    }
  }
  checkWrites(Mesh);
  CHECK_FALSE(Mesh.Platform.States.empty());
  CHECK_TRUE(isDecided(Mesh.last().Phase));
  Done += Mesh.last().Phase == rollout_phase::Completed;
}

TEST_GROUP(rollout_schedule){};

// Guards against two controllers whose writes take effect under one epoch, a
// rollout that nobody decides, `done` too late, and a share after the end,
// under random kills, pauses, outages, lost answers and operators.
TEST(rollout_schedule, everyRolloutIsDecidedOnceAndInTime) {
  int Done = 0;
  for (std::uint64_t Seed = 0; Seed < 150; ++Seed)
    runSchedule(Seed, version_kind::Good, Done);
  CHECK_TRUE(Done > 0);
}

// Guards against a faulty version that gets through because its controller
// died or was paused.
TEST(rollout_schedule, faultyVersionsAreNeverDone) {
  int Done = 0;
  for (std::uint64_t Seed = 0; Seed < 100; ++Seed) {
    runSchedule(Seed, version_kind::Failing, Done);
    runSchedule(Seed, version_kind::FailingLater, Done);
  }
  LONGS_EQUAL(0, Done);
}

// Guards against a schedule test that passes because nothing ever grows.
TEST(rollout_schedule, goodVersionIsDoneWithoutFaults) {
  for (std::uint64_t Seed = 0; Seed < 20; ++Seed) {
    simulated_mesh Mesh(Seed, version_kind::Good);
    Mesh.FaultsUntil = {};
    auto End = Mesh.Clock.steadyNow() + 60s;
    while (Mesh.Clock.steadyNow() < End)
      Mesh.step();
    checkWrites(Mesh);
    CHECK(Mesh.last().Phase == rollout_phase::Completed);
  }
}

/// Returns the state at the end of a good rollout whose controller dies for
/// good, or is paused for 10 s, at one step.
static rollout::rollout_state loseController(int At, bool Dies) {
  simulated_mesh Mesh(std::uint64_t(At), version_kind::Good);
  Mesh.FaultsUntil = {};
  for (int Count = 0; Count < int(60s / Step); ++Count) {
    if (Count == At)
      for (auto &Member : Mesh.Members)
        if (Member->Part && Member->Part->isController()) {
          Member->DeadUntil = Mesh.Clock.steadyNow() + 1h;
          Member->PausedUntil = Mesh.Clock.steadyNow() + 10s;
          if (Dies)
            Member->Part.reset();
        }
    Mesh.step();
  }
  checkWrites(Mesh);
  return Mesh.last();
}

// Guards against a rollout that waits for a dead or paused controller: another
// node must bring it to its end, and finish it when there is time.
TEST(rollout_schedule, lostControllerIsReplacedAtEveryStep) {
  for (int At = 4; At < int(60s / Step); At += 3)
    for (bool Dies : {true, false}) {
      rollout::rollout_state End = loseController(At, Dies);
      CHECK_TRUE(isDecided(End.Phase));
      if (At * Step < 20s)
        CHECK(End.Phase == rollout_phase::Completed);
    }
}

// Guards against a new server whose node never hears of the controller, because
// the controller does not know it as a member: the state names the controller.
TEST(rollout_schedule, evidenceFindsTheControllerWithoutNotices) {
  simulated_mesh Mesh(1, version_kind::Good);
  Mesh.FaultsUntil = {};
  Mesh.NoticesArrive = false;
  auto End = Mesh.Clock.steadyNow() + 60s;
  while (Mesh.Clock.steadyNow() < End)
    Mesh.step();
  CHECK(Mesh.last().Phase == rollout_phase::Completed);
}
