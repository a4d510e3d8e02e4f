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

/// How often the time limits of all connections are checked.
static constexpr std::chrono::milliseconds CheckPeriod{1000};
static constexpr int ListenBacklog = 512;

struct server::impl {
  detail::server_state State;
  socket_rules Rules;
  evconnlistener *Listener = nullptr;
  std::unordered_map<detail::server_connection *,
                     std::shared_ptr<detail::server_connection>>
      Connections;
  net::timer CheckTimer;

  impl(net::event_loop &Loop, server_limits Limits, handler Handler)
      : State{Loop, Limits, std::move(Handler), nullptr, nullptr},
        CheckTimer(Loop, [this] { checkTimes(); }) {}

  ~impl() {
    if (Listener)
      evconnlistener_free(Listener);
    auto All = std::exchange(Connections, {});
    for (auto &[Key, Connection] : All)
      Connection->drop();
  }

  void accept(int Fd) {
    if (Connections.size() >= State.Limits.MaxConnections) {
      ::close(Fd);
      return;
    }
    auto Connection = std::make_shared<detail::server_connection>(
        State,
        [this](detail::server_connection *Key) { Connections.erase(Key); });
    Connections.emplace(Connection.get(), Connection);
    Connection->start(Fd, Rules);
  }

  template <class Action> void forEach(Action Apply) {
    std::vector<std::shared_ptr<detail::server_connection>> All;
    All.reserve(Connections.size());
    for (auto &[Key, Connection] : Connections)
      All.push_back(Connection);
    for (auto &Connection : All)
      Apply(*Connection);
  }

  void checkTimes() {
    auto Now = std::chrono::steady_clock::now();
    forEach([&](auto &Connection) { Connection.checkTimes(Now); });
  }
};

server::server(net::event_loop &Loop, server_limits Limits, handler Handler)
    : Impl(std::make_shared<impl>(Loop, Limits, std::move(Handler))) {}

server::~server() = default;

result<void> server::listen(const address &At, const socket_rules &Rules) {
  sockaddr_in Name{};
  Name.sin_family = AF_INET;
  Name.sin_port = htons(At.Port);
  if (inet_pton(AF_INET, At.Host.c_str(), &Name.sin_addr) != 1)
    return makeError(net::net_errc::ListenFailed, At.str());
  Impl->Rules = Rules;
  Impl->Listener = evconnlistener_new_bind(
      Impl->State.Loop.base(),
      [](evconnlistener *, evutil_socket_t Fd, sockaddr *, int, void *Self) {
        static_cast<impl *>(Self)->accept(int(Fd));
      },
      Impl.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, ListenBacklog,
      reinterpret_cast<sockaddr *>(&Name), sizeof Name);
  if (!Impl->Listener)
    return makeError(net::net_errc::ListenFailed, At.str());
  Impl->CheckTimer.startEvery(CheckPeriod);
  return {};
}

void server::setLimits(const server_limits &Limits) {
  Impl->State.Limits = Limits;
}

void server::observeRefusals(refusal_observer Observer) {
  Impl->State.Refused = std::move(Observer);
}

void server::paceBy(link_pacer &Pacer) { Impl->State.Pacer = &Pacer; }

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
  std::size_t Sum = 0;
  for (const auto &[Key, Connection] : Impl->Connections)
    Sum += Connection->unsentBytes();
  return Sum;
}

std::size_t server::underWay() const { return Impl->State.UnderWay; }

} // namespace gentianlug::http1
