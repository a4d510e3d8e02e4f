#include "gentianlug/net/event_loop.h"

#include "gentianlug/core/error_table.h"
#include "gentianlug/net/net_errc.h"
#include "gentianlug/net/signal_watch.h"
#include "gentianlug/net/task.h"
#include "gentianlug/net/timer.h"
#include "gentianlug/net/wakeup.h"

#include <event2/event.h>
#include <event2/thread.h>
#include <utility>
#include <vector>

namespace gentianlug::net {

static constexpr error_text NetTexts[] = {
    {int(net_errc::ListenFailed), "cannot listen"},
    {int(net_errc::ConnectFailed), "cannot connect"},
    {int(net_errc::Timeout), "no answer in time"},
    {int(net_errc::ConnectionLost), "connection lost before the whole answer"},
    {int(net_errc::ResponseTooLarge), "answer too large"},
    {int(net_errc::Canceled), "request canceled"},
    {int(net_errc::ResponseWithoutLength), "answer without a length"},
    {int(net_errc::MalformedResponse), "malformed response"},
};

std::error_code make_error_code(net_errc Code) {
  static const error_table Category("net", NetTexts);
  return {int(Code), Category};
}

static timeval toTimeval(std::chrono::microseconds Time) {
  constexpr long MicrosPerSecond = 1000000;
  return {Time.count() / MicrosPerSecond, Time.count() % MicrosPerSecond};
}

namespace {

/// A libevent event and the action that it runs.
struct action_event {
  std::function<void()> Action;
  ::event *Event = nullptr;

  action_event(event_base *Base, short Flags, std::function<void()> Action)
      : Action(std::move(Action)),
        Event(event_new(Base, -1, Flags, &action_event::run, this)) {}
  ~action_event() { event_free(Event); }
  action_event(const action_event &) = delete;
  action_event &operator=(const action_event &) = delete;

  static void run(evutil_socket_t, short, void *Argument) {
    static_cast<action_event *>(Argument)->Action();
  }
};

} // namespace

/// Actions to run in the next iteration of a loop.
struct event_loop::deferred_actions {
  std::vector<std::function<void()>> Actions;
  action_event Event;

  explicit deferred_actions(event_base *Base)
      : Event(Base, 0, [this] { run(); }) {}

  void add(std::function<void()> Action) {
    Actions.push_back(std::move(Action));
    timeval Now{0, 0};
    event_add(Event.Event, &Now);
  }

  void run() {
    for (auto &Action : std::exchange(Actions, {}))
      Action();
  }
};

static event_base *newBase() {
  event_config *Config = event_config_new();
  // A connection changes its events several times per request. The changelist
  // merges these changes into one epoll_ctl call per loop iteration. It
  // requires that no socket is registered through duplicate file descriptors,
  // which holds here.
  event_config_set_flag(Config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  event_base *Base = event_base_new_with_config(Config);
  event_config_free(Config);
  return Base;
}

event_loop::event_loop() {
  // Must run before the first event_base is created; otherwise the base would
  // not use locks, and `wakeup::signal` would not be thread-safe.
  static const int ThreadingEnabled = evthread_use_pthreads();
  (void)ThreadingEnabled;
  Base.reset(newBase());
  Deferred = std::make_unique<deferred_actions>(Base.get());
}

event_loop::~event_loop() = default;

void event_loop::base_deleter::operator()(event_base *Base) const {
  event_base_free(Base);
}

void event_loop::run() { event_base_loop(Base.get(), EVLOOP_NO_EXIT_ON_EMPTY); }

void event_loop::stop() { event_base_loopbreak(Base.get()); }

void event_loop::defer(std::function<void()> Action) {
  Deferred->add(std::move(Action));
}

struct timer::impl {
  event_loop &Loop;
  std::function<void()> Action;
  std::unique_ptr<action_event> Event;

  void start(short Flags, std::chrono::microseconds Time) {
    Event = std::make_unique<action_event>(Loop.base(), Flags, Action);
    timeval Interval = toTimeval(Time);
    event_add(Event->Event, &Interval);
  }
};

timer::timer(event_loop &Loop, std::function<void()> Action)
    : Impl(new impl{Loop, std::move(Action), nullptr}) {}
timer::~timer() = default;
timer::timer(timer &&) noexcept = default;
timer &timer::operator=(timer &&) noexcept = default;

void timer::startOnce(std::chrono::microseconds Delay) {
  // An action may restart its own timer, and must not free the event that is
  // running it; therefore a one-shot event is reused.
  if (Impl->Event && !(event_get_events(Impl->Event->Event) & EV_PERSIST)) {
    timeval Interval = toTimeval(Delay);
    event_add(Impl->Event->Event, &Interval);
    return;
  }
  Impl->start(0, Delay);
}

void timer::startEvery(std::chrono::microseconds Period) {
  Impl->start(EV_PERSIST, Period);
}

void timer::cancel() {
  if (Impl->Event)
    event_del(Impl->Event->Event);
}

struct wakeup::impl {
  action_event Event;
};

wakeup::wakeup(event_loop &Loop, std::function<void()> Action)
    : Impl(new impl{{Loop.base(), EV_PERSIST, std::move(Action)}}) {}
wakeup::~wakeup() = default;

void wakeup::signal() { event_active(Impl->Event.Event, EV_TIMEOUT, 0); }

struct signal_watch::impl {
  std::function<void(int)> Action;
  std::vector<::event *> Events;
};

signal_watch::signal_watch(event_loop &Loop, std::initializer_list<int> Signals,
                           std::function<void(int)> Action)
    : Impl(new impl{std::move(Action), {}}) {
  for (int Signal : Signals) {
    ::event *Event = evsignal_new(
        Loop.base(), Signal,
        [](evutil_socket_t Number, short, void *Argument) {
          static_cast<impl *>(Argument)->Action(int(Number));
        },
        Impl.get());
    event_add(Event, nullptr);
    Impl->Events.push_back(Event);
  }
}

signal_watch::~signal_watch() {
  for (::event *Event : Impl->Events)
    event_free(Event);
}

void task::start() {
  Thread = std::thread([this] {
    onStart();
    Loop.run();
    onStop();
  });
}

void task::join() {
  if (Thread.joinable())
    Thread.join();
}

} // namespace gentianlug::net
