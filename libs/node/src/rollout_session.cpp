#include "rollout_session.h"

#include "gentianlug/observe/log.h"
#include "gentianlug/store/keys.h"
#include "gentianlug/store/lease.h"
#include "gentianlug/store/store_errc.h"
#include "gentianlug/wire/lease_values.h"
#include "gentianlug/wire/rollout_values.h"

namespace gentianlug::node {

using observe::event;
using observe::logEvent;
using rollout::controller_operation;
using store::lease_operation;
using store::store_errc;

static bool isError(const error &Failure, store_errc Code) {
  return Failure.Code == make_error_code(Code);
}

struct rollout_session::impl : std::enable_shared_from_this<impl> {
  context Context;
  rollout::controller_parameters Parameters;
  store::lease_contender Lease;
  rollout::rollout_controller Controller;
  std::string LeaseKey;
  std::string StateKey;
  int PlatformCallsInFlight = 0;

  impl(context C, rollout::controller_parameters T,
       std::unique_ptr<rollout::version_evaluator> Evaluator)
      : Context(std::move(C)), Parameters(std::move(T)),
        Lease(Context.Node, Parameters.ControlAddress),
        Controller(Parameters, std::move(Evaluator)),
        LeaseKey(store::rolloutLeaseKey(Parameters.Rollout.Service)),
        StateKey(store::rolloutKey(Parameters.Rollout.Service)) {}

  rollout::clock_reading now() const {
    return {Context.Clock.steadyNow(), Context.Clock.wallNow()};
  }

  /// Wraps a handler of a platform response. Responses that arrive after the
  /// end of the session are ignored.
  template <class T, class Handler>
  store::object_store::callback<T> responseHandler(Handler OnResponse) {
    ++PlatformCallsInFlight;
    return [Weak = weak_from_this(), OnResponse](result<T> Answer) {
      auto Self = Weak.lock();
      if (!Self)
        return;
      --Self->PlatformCallsInFlight;
      OnResponse(*Self, std::move(Answer));
    };
  }

  void advanceLease() {
    auto Action = Lease.next(now().Steady, Context.Gen);
    if (Action.Operation == lease_operation::Read)
      return Context.Store.get(
          LeaseKey, responseHandler<store::object>(
                        [](impl &Self, result<store::object> Answer) {
                          Self.onLeaseRead(std::move(Answer));
                        }));
    if (Action.Operation == lease_operation::Write)
      Context.Store.put(LeaseKey, wire::encode(Action.Value),
                        Action.ExpectedRevision,
                        responseHandler<object_revision>(
                            [](impl &Self, result<object_revision> Answer) {
                              Self.onLeaseWritten(std::move(Answer));
                            }));
  }

  void onLeaseRead(result<store::object> Answer) {
    if (!Answer && isError(Answer.failure(), store_errc::NotFound)) {
      Lease.onRead(now().Steady, std::nullopt);
      return advanceLease();
    }
    auto Value = Answer ? wire::decodeLeaseValue(Answer->Value)
                        : result<store::lease_value>(Answer.failure());
    if (!Value)
      return Lease.onNoResponse(now().Steady);
    Lease.onRead(now().Steady, store::observed_lease{*Value, Answer->Revision});
    advanceLease();
  }

  void onLeaseWritten(result<object_revision> Answer) {
    if (!Answer && isError(Answer.failure(), store_errc::Conflict))
      return Lease.onConflict(now().Steady);
    if (!Answer)
      return Lease.onNoResponse(now().Steady);
    bool WasHolder = Lease.isLastKnownHolder();
    Lease.onWritten(now().Steady, *Answer);
    if (!WasHolder && Lease.isLastKnownHolder())
      logEvent(event::RolloutController, Parameters.Rollout.id() + " epoch " +
                                             std::to_string(Lease.epoch()));
    advanceController();
  }

  void advanceController() {
    Controller.onLeaseChanged(Lease.holds(now().Steady), Lease.epoch());
    auto Action = Controller.nextAction(now(), Context.Gen);
    if (Action.Operation == controller_operation::Read)
      return Context.Store.get(
          StateKey, responseHandler<store::object>(
                        [](impl &Self, result<store::object> Answer) {
                          Self.onStateRead(std::move(Answer));
                        }));
    if (Action.Operation == controller_operation::Write)
      Context.Store.put(StateKey, wire::encode(Action.State),
                        Action.ExpectedRevision,
                        responseHandler<object_revision>(
                            [](impl &Self, result<object_revision> Answer) {
                              Self.onStateWritten(std::move(Answer));
                            }));
  }

  void onStateRead(result<store::object> Answer) {
    if (!Answer && isError(Answer.failure(), store_errc::NotFound))
      Controller.onStateRead(now(), std::nullopt);
    else if (!Answer)
      return Controller.onNoResponse(now());
    else
      Controller.onStateRead(now(), decodeState(*Answer));
    advanceController();
  }

  /// Decodes a rollout state. A malformed one is treated as the state of no
  /// rollout and overwritten.
  static rollout::versioned_state decodeState(const store::object &Object) {
    auto State = wire::decodeRolloutState(Object.Value);
    if (!State)
      logEvent(event::BadRequest,
               Object.Key + ": " + State.failure().message());
    return {State ? *State : rollout::rollout_state{}, Object.Revision};
  }

  void onStateWritten(result<object_revision> Answer) {
    if (!Answer && isError(Answer.failure(), store_errc::Conflict))
      Controller.onWriteConflict(now());
    else if (!Answer)
      return Controller.onNoResponse(now());
    else {
      Controller.onWriteSucceeded(now(), *Answer);
      logState(*Controller.state());
    }
    advanceController();
  }

  static void logState(const rollout::rollout_state &State) {
    if (State.Phase == rollout::rollout_phase::RolledBack)
      return logEvent(event::RolloutTakenBack, State.Id + ": " + State.Reason);
    logEvent(event::RolloutStep,
             State.Id + " share " + std::to_string(State.Share));
  }

  void tick(bool MayContend) {
    Controller.evaluate(now());
    if (Controller.isFinished())
      Lease.release();
    if (MayContend || Lease.isLastKnownHolder())
      advanceLease();
    advanceController();
  }
};

rollout_session::rollout_session(
    context Context, rollout::controller_parameters Parameters,
    std::unique_ptr<rollout::version_evaluator> Evaluator)
    : Impl(std::make_shared<impl>(std::move(Context), std::move(Parameters),
                                  std::move(Evaluator))) {}
rollout_session::~rollout_session() = default;

void rollout_session::tick(bool MayContend) { Impl->tick(MayContend); }

void rollout_session::onEvidence(const rollout::server_evidence &Evidence) {
  Impl->Controller.onEvidence(Impl->now().Steady, Evidence);
}

void rollout_session::onStateDelivered(const rollout::rollout_state &State) {
  Impl->Controller.onStateDelivered(State);
}

void rollout_session::onConfigurationChanged(config_version Version) {
  Impl->Controller.onConfigurationChanged(Version);
}

bool rollout_session::isController() const {
  return Impl->Lease.isLastKnownHolder();
}

void rollout_session::release() { Impl->Lease.release(); }

bool rollout_session::isBusy() const {
  return Impl->PlatformCallsInFlight > 0 || isController();
}

rollout::controller_notice rollout_session::notice() const {
  return {Impl->Parameters.Rollout.id(),
          Impl->Parameters.Rollout.Service,
          Impl->Lease.epoch(),
          Impl->Parameters.ControlAddress,
          Impl->Lease.holds(Impl->now().Steady),
          Impl->Controller.oldErrorRate(),
          Impl->Controller.quarantineReason(Impl->now().Steady)};
}

const rollout::rollout_state *rollout_session::state() const {
  return Impl->Controller.state();
}

} // namespace gentianlug::node
