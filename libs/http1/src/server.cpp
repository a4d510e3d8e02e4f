#include "gentianlug/http1/server.h"

#include "detail/server_connection.h"
#include "gentianlug/net/net_errc.h"
#include "gentianlug/net/timer.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>

namespace gentianlug::http1 {

/// Period of the check of all connections for expired timeouts.
static constexpr std::chrono::milliseconds TimeoutCheckPeriod{1000};
static constexpr int ListenBacklog = 512;

struct server::impl {
  detail::server_state State;
  socket_options SocketOptions;
  evconnlistener *Listener = nullptr;
  std::unordered_map<detail::server_connection *,
                     std::shared_ptr<detail::server_connection>>
      Connections;
  net::timer TimeoutTimer;

  impl(net::event_loop &Loop, server_limits Limits, handler Handler)
      : State{Loop, Limits, std::move(Handler), nullptr, nullptr},
        TimeoutTimer(Loop, [this] { enforceTimeouts(); }) {}

  ~impl() {
    if (Listener)
      evconnlistener_free(Listener);
    auto OpenConnections = std::exchange(Connections, {});
    for (auto &[Pointer, Connection] : OpenConnections)
      Connection->closeAndNotify();
  }

  void accept(int Fd) {
    if (Connections.size() >= State.Limits.MaxConnections && !closeOneIdle()) {
      ::close(Fd);
      return;
    }
    auto Connection = std::make_shared<detail::server_connection>(
        State, [this](detail::server_connection *Pointer) {
          Connections.erase(Pointer);
        });
    Connections.emplace(Connection.get(), Connection);
    Connection->start(Fd, SocketOptions);
  }

  /// Closes the connection that has been idle for longest. Returns whether
  /// there was one.
  bool closeOneIdle() {
    std::shared_ptr<detail::server_connection> Oldest;
    detail::server_connection::time_point OldestSince{};
    for (auto &[Pointer, Connection] : Connections) {
      auto Since = Connection->idleSince();
      if (!Since || (Oldest && *Since >= OldestSince))
        continue;
      Oldest = Connection;
      OldestSince = *Since;
    }
    if (Oldest)
      Oldest->closeAndNotify();
    return Oldest != nullptr;
  }

  /// Waits until descriptors may be free again; the event loop would report the
  /// same connection without a pause.
  void onAcceptError() {
    if (Listener)
      evconnlistener_disable(Listener);
  }

  template <class Function> void forEach(Function Operation) {
    std::vector<std::shared_ptr<detail::server_connection>> Snapshot;
    Snapshot.reserve(Connections.size());
    for (auto &[Pointer, Connection] : Connections)
      Snapshot.push_back(Connection);
    for (auto &Connection : Snapshot)
      Operation(*Connection);
  }

  void enforceTimeouts() {
    if (Listener)
      evconnlistener_enable(Listener);
    auto Now = std::chrono::steady_clock::now();
    forEach([&](auto &Connection) { Connection.enforceTimeouts(Now); });
  }
};

server::server(net::event_loop &Loop, server_limits Limits, handler Handler)
    : Impl(std::make_shared<impl>(Loop, Limits, std::move(Handler))) {}

server::~server() = default;

result<void> server::listen(const address &At, const socket_options &Options) {
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_port = htons(At.Port);
  if (inet_pton(AF_INET, At.Host.c_str(), &SocketAddress.sin_addr) != 1)
    return makeError(net::net_errc::ListenFailed, At.str());
  Impl->SocketOptions = Options;
  Impl->Listener = evconnlistener_new_bind(
      Impl->State.Loop.base(),
      [](evconnlistener *, evutil_socket_t Fd, sockaddr *, int, void *Self) {
        static_cast<impl *>(Self)->accept(int(Fd));
      },
      Impl.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, ListenBacklog,
      reinterpret_cast<sockaddr *>(&SocketAddress), sizeof SocketAddress);
  if (!Impl->Listener)
    return makeError(net::net_errc::ListenFailed, At.str());
  evconnlistener_set_error_cb(Impl->Listener, [](evconnlistener *, void *Self) {
    static_cast<impl *>(Self)->onAcceptError();
  });
  Impl->TimeoutTimer.startEvery(TimeoutCheckPeriod);
  return {};
}

void server::setLimits(const server_limits &Limits) {
  Impl->State.Limits = Limits;
}

void server::setRefusalObserver(refusal_observer Observer) {
  Impl->State.OnRefusal = std::move(Observer);
}

void server::setRefusalDecorator(refusal_decorator Decorator) {
  Impl->State.DecorateRefusal = std::move(Decorator);
}

void server::setMemoryGuard(memory_guard &Guard) {
  Impl->State.Memory = &Guard;
}

void server::setPacer(link_pacer &Pacer) { Impl->State.Pacer = &Pacer; }

void server::startDraining() { Impl->State.Draining = true; }

void server::closeIdle() {
  Impl->forEach([](auto &Connection) { Connection.closeIfIdle(); });
}

void server::stopListening() {
  if (Impl->Listener)
    evconnlistener_free(Impl->Listener);
  Impl->Listener = nullptr;
}

std::size_t server::connections() const { return Impl->Connections.size(); }

std::size_t server::unsentBytes() const {
  std::size_t Total = 0;
  for (const auto &[Pointer, Connection] : Impl->Connections)
    Total += Connection->unsentBytes();
  return Total;
}

std::size_t server::pendingRequests() const {
  return Impl->State.PendingRequests;
}

} // namespace gentianlug::http1
