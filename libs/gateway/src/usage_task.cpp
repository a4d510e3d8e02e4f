#include "gentianlug/gateway/usage_task.h"

#include "gentianlug/core/weak_callback.h"
#include "gentianlug/gateway/usage_messages.h"
#include "gentianlug/http1/client_pool.h"
#include "gentianlug/mesh/stable_wall_clock.h"
#include "gentianlug/mesh/usage_counter.h"
#include "gentianlug/net/timer.h"

namespace gentianlug::gateway {

using observe::event;

/// Messages with counts that a node sends in each window.
static constexpr int MessagesPerWindow = 4;
/// Steps in each window of a node that contends for the duty.
static constexpr int DutyStepsPerWindow = 20;
static constexpr std::chrono::milliseconds CollectorConnectTimeout{300};
static constexpr std::chrono::milliseconds CollectorIdleTimeout{20000};
static constexpr std::chrono::milliseconds CollectorTimeout{1500};
/// Time after a takeover in which the collectors learn of the new holder and
/// send their counts again.
static constexpr std::chrono::milliseconds HandoverTime{2500};
static constexpr std::chrono::milliseconds ReportRetryDelay{500};
static constexpr int Ok = 200;
static constexpr int BadRequest = 400;
/// The node collects no counts.
static constexpr int Gone = 410;

/// Returns the times of the lease. A holder may begin a report for half of the
/// lease time after a renewal, and another process takes over after the whole
/// of it. So two holders cannot alternate within the lease time.
static store::lease_times leaseTimesFor(const mesh::usage_terms &Terms) {
  store::lease_times Times;
  Times.Expiry = Terms.LeaseTime;
  Times.HoldingTime = Terms.LeaseTime / 2;
  Times.RenewalPeriod = Terms.LeaseTime / 3;
  Times.ReadPeriod = Terms.LeaseTime / 3;
  return Times;
}

/// Returns the longest time that a report takes. It ends before another process
/// takes over the duty.
static std::chrono::milliseconds maxReportTime(const mesh::usage_terms &Terms) {
  return Terms.LeaseTime / 3;
}

struct usage_task::impl : std::enable_shared_from_this<usage_task::impl> {
  task_context Context;
  node_id Node;
  mesh::usage_terms Terms;
  usage_duty_store &Store;
  accounting_service &Accounting;
  mesh::stable_wall_clock WallClock;
  mesh::usage_counter Counter;
  mesh::usage_collector Collector;
  store::lease_contender Lease;
  http1::client_pool Pool;
  net::timer StepTimer;
  net::timer CollectorTimer;
  steady_time NextMessage{};
  change_source Source;
  std::set<node_id> ServingNodes;
  /// The node that receives the counts collected here.
  std::optional<address> NextCollector;
  std::optional<http1::client_pool::ticket> ActiveMessage;
  /// Progress as last read or stored under the lease.
  mesh::usage_progress Progress;
  /// Progress that the next write of the lease stores.
  std::optional<mesh::usage_progress> Decision;
  /// Progress that the write in progress stores.
  mesh::usage_progress WrittenProgress;
  bool ReportInFlight = false;
  steady_time NextReport{};
  bool WasHolder = false;
  /// Start of the time for which this node has held the duty.
  steady_time HeldSince{};

  impl(task_context Context, node_id NodeName, address NodeAddress,
       const mesh::usage_terms &Terms, usage_duty_store &Store,
       accounting_service &Accounting)
      : Context(Context), Node(std::move(NodeName)), Terms(Terms), Store(Store),
        Accounting(Accounting), Counter(Node, Context.Gen(), Terms, wallNow()),
        Lease(Node, std::move(NodeAddress), leaseTimesFor(Terms)),
        Pool(Context.Loop, {}, {}, &Context.Memory),
        StepTimer(Context.Loop, [this] { step(); }),
        CollectorTimer(Context.Loop, [this] { onCollectorTimeout(); }) {}

  steady_time now() const { return Context.Clock.steadyNow(); }

  wall_time wallNow() {
    return WallClock.update(now(), Context.Clock.wallNow());
  }

  /// Returns whether this node contends for the duty. A holder that no longer
  /// watches the store keeps the duty as long as it can renew its lease.
  bool contends() const { return Source.WatchesStore || Lease.holds(now()); }

  void step() {
    for (const mesh::node_usage &Usage : Counter.takeChanges(wallNow()))
      collect(Usage);
    if (contends()) {
      stepLease();
      stepDuty();
    }
    sendCounts();
    StepTimer.startOnce(Terms.WindowLength /
                        (contends() ? DutyStepsPerWindow : MessagesPerWindow));
  }

  void collect(const mesh::node_usage &Usage) {
    if (!Collector.add(Usage, Terms.windowAt(wallNow())))
      Context.Metrics.count("usage_entries_dropped_total");
  }

  // Passing on counts.

  /// Returns the node that receives the counts collected here, if any.
  std::optional<address> findNextCollector() const {
    if (!contends())
      return Source.Relay;
    auto Holder = Lease.observedLease();
    if (!Holder || Holder->Value.Holder == Node)
      return std::nullopt;
    return Holder->Value.ControlAddress;
  }

  void sendCounts() {
    auto Next = findNextCollector();
    if (Next != NextCollector) {
      NextCollector = Next;
      Collector.resetAcknowledged();
    }
    if (!NextCollector || ActiveMessage || now() < NextMessage)
      return;
    // A relay sends each window once, after its end.
    mesh::usage_window Last = Terms.windowAt(wallNow()) - (contends() ? 1 : 0);
    auto Entries = Collector.unacknowledged(Last);
    if (Entries.empty())
      return;
    NextMessage = now() + Terms.WindowLength / MessagesPerWindow;
    http1::request Request;
    Request.Method = "POST";
    Request.Target = UsagePath;
    Request.Headers.add("Host", NextCollector->str());
    Request.Body = encodeUsage(Entries);
    ActiveMessage = Pool.send(
        *NextCollector, std::move(Request),
        {CollectorConnectTimeout, CollectorIdleTimeout, ""},
        [this, To = *NextCollector,
         Entries = std::move(Entries)](const http1::send_result &Result) {
          ActiveMessage.reset();
          CollectorTimer.cancel();
          bool Received = Result.Outcome == http1::send_outcome::Responded &&
                          Result.Response.Status == Ok;
          if (Received && NextCollector == To)
            Collector.acknowledge(Entries);
        });
    CollectorTimer.startOnce(CollectorTimeout);
  }

  void onCollectorTimeout() {
    if (auto Ticket = std::exchange(ActiveMessage, std::nullopt))
      Pool.cancel(*Ticket);
  }

  void onUsage(http1::exchange &Exchange) {
    if (!contends())
      return Exchange.respond(http1::makeStatusResponse(Gone));
    auto Entries = decodeUsage(Exchange.receivedRequest().Body.str());
    if (!Entries) {
      Context.Log.write(event::BadRequest,
                        {{"peer", Exchange.clientAddress().str()},
                         {"reason", Entries.failure().message()}});
      return Exchange.respond(http1::makeStatusResponse(BadRequest));
    }
    for (const mesh::node_usage &Usage : *Entries)
      collect(Usage);
    Exchange.respond(http1::makeStatusResponse(Ok));
  }

  // The lease of the duty.

  void stepLease() {
    store::lease_action Action = Lease.next(now(), Context.Gen);
    if (Action.Operation == store::lease_operation::Read)
      Store.read(bindWeakly(shared_from_this(), &impl::onDutyRead));
    else if (Action.Operation == store::lease_operation::Write)
      write(Action);
    reportHolder();
  }

  void write(const store::lease_action &Action) {
    WrittenProgress = Decision.value_or(Progress);
    Store.write({Action.Value, WrittenProgress}, Action.ExpectedRevision,
                bindWeakly(shared_from_this(), &impl::onDutyWritten));
  }

  void onDutyRead(duty_outcome Outcome, const usage_duty &Duty,
                  object_revision Revision) {
    if (Outcome == duty_outcome::NoResponse)
      return Lease.onNoResponse(now());
    std::optional<store::observed_lease> Observed;
    if (Outcome == duty_outcome::Done)
      Observed = {Duty.Lease, Revision};
    Lease.onRead(now(), Observed);
    // Whatever this node wanted to store, only what is stored counts.
    Progress = Observed ? Duty.Progress : mesh::usage_progress();
    Decision.reset();
    reportHolder();
  }

  void onDutyWritten(duty_outcome Outcome, object_revision Revision) {
    if (Outcome == duty_outcome::NoResponse)
      return Lease.onNoResponse(now());
    if (Outcome == duty_outcome::Conflict)
      return Lease.onConflict(now());
    Lease.onWritten(now(), Revision);
    // The report may have been accepted, and the next window decided, while the
    // write was in progress.
    if (Progress.DecidedWindow == WrittenProgress.DecidedWindow)
      WrittenProgress.IsAccepted |= Progress.IsAccepted;
    Progress = std::move(WrittenProgress);
    if (Decision && Decision->DecidedWindow == Progress.DecidedWindow)
      Decision.reset();
    reportHolder();
    stepDuty();
  }

  void reportHolder() {
    bool Holds = Lease.holds(now());
    if (Holds == std::exchange(WasHolder, Holds))
      return;
    HeldSince = now();
    Context.Metrics.gauge("usage_duty_holder", Holds ? 1 : 0);
    Context.Log.write(Holds ? event::UsageDutyGained : event::UsageDutyLost,
                      {{"fencing_token", std::int64_t(Lease.epoch())}});
  }

  // The duty.

  void stepDuty() {
    if (!Lease.holds(now()) || Decision || ReportInFlight)
      return;
    bool CountsMayBeOnTheWay = now() - HeldSince < HandoverTime;
    mesh::usage_action Action =
        mesh::nextUsageStep(Progress, Collector, ServingNodes, Terms, wallNow(),
                            CountsMayBeOnTheWay);
    switch (Action.Step) {
    case mesh::usage_step::Wait:
      return;
    case mesh::usage_step::Decide:
      logDecision(Action);
      Decision = std::move(Action.Next);
      Lease.requestRenewal();
      return stepLease();
    case mesh::usage_step::Report:
      if (now() >= NextReport)
        sendReport();
      return;
    }
  }

  void logDecision(const mesh::usage_action &Action) {
    if (Action.SkippedWindows > 0)
      Context.Metrics.count("usage_windows_total{outcome=\"skipped\"}",
                            std::uint64_t(Action.SkippedWindows));
    if (Action.SkippedWindows > 0 || Action.UncertainNodes > 0)
      Context.Log.write(
          event::UsageIncomplete,
          {{"window", Action.Next.DecidedWindow},
           {"skipped", Action.SkippedWindows},
           {"uncertain_nodes", std::int64_t(Action.UncertainNodes)}});
  }

  void sendReport() {
    ReportInFlight = true;
    usage_report Report{Node, Lease.epoch(), Progress.DecidedWindow,
                        *Progress.Calls};
    Accounting.report(
        Report, maxReportTime(Terms),
        bindWeakly(shared_from_this(),
                   [Window = Report.Window](impl &Self, bool Accepted) {
                     Self.onReported(Window, Accepted);
                   }));
  }

  void onReported(mesh::usage_window Window, bool Accepted) {
    ReportInFlight = false;
    NextReport = now() + ReportRetryDelay;
    if (!Accepted) {
      Context.Metrics.count("usage_reports_failed_total");
      Context.Log.write(event::UsageReportFailed, {{"window", Window}});
      return;
    }
    auto Late = wallNow() - Terms.endOf(Window) - Terms.ReportDeadline;
    Context.Metrics.count(Late > wall_time::duration(0)
                              ? "usage_windows_total{outcome=\"late\"}"
                              : "usage_windows_total{outcome=\"reported\"}");
    if (Progress.DecidedWindow == Window)
      Progress.IsAccepted = true;
    stepDuty();
  }
};

usage_task::usage_task(task_context Context, node_id Node, address NodeAddress,
                       const mesh::usage_terms &Terms, usage_duty_store &Store,
                       accounting_service &Accounting)
    : Impl(std::make_shared<impl>(Context, std::move(Node),
                                  std::move(NodeAddress), Terms, Store,
                                  Accounting)) {}

usage_task::~usage_task() = default;

void usage_task::start() { Impl->step(); }

void usage_task::onCallStarted(const account_name &Account) {
  Impl->Counter.onCallStarted(Account, Impl->wallNow());
}

void usage_task::onCallNotRun(const account_name &Account,
                              steady_time StartedAt) {
  auto Age =
      std::chrono::duration_cast<wall_time::duration>(Impl->now() - StartedAt);
  Impl->Counter.onCallNotRun(Account, Impl->wallNow() - Age);
}

void usage_task::onServers(const std::vector<mesh::server_record> &Servers) {
  Impl->ServingNodes.clear();
  for (const mesh::server_record &Record : Servers)
    if (Record.State != mesh::server_state::Gone)
      Impl->ServingNodes.insert(Record.Node);
}

void usage_task::onChangeSource(const change_source &Source) {
  if (Source == Impl->Source)
    return;
  Impl->Source = Source;
  // Not within the message: the sender of it may still be changing its state.
  Impl->StepTimer.startOnce(std::chrono::milliseconds(1));
}

void usage_task::onPredecessorFound() { Impl->Counter.setHasPredecessor(); }

void usage_task::onUsage(http1::exchange &Exchange) { Impl->onUsage(Exchange); }

} // namespace gentianlug::gateway
