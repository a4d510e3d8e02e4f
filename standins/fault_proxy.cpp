#include "fault_proxy.h"

#include "gentianlug/net/net_errc.h"
#include "gentianlug/net/timer.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <list>
#include <netinet/tcp.h>

namespace gentianlug::standins {

/// Limit of open connections, blackholed ones included; connections beyond it
/// are closed on accept.
static constexpr std::size_t MaxConnections = 2000;

static sockaddr_in toSockaddr(const address &Address) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Address.Port);
  inet_pton(AF_INET, Address.Host.c_str(), &Result.sin_addr);
  return Result;
}

/// Data that is held back until its due time.
struct delayed_bytes {
  std::chrono::steady_clock::time_point Due;
  std::string Bytes;
};

struct fault_proxy::impl {
  /// One end of a connection and the data that is delayed on the way to it.
  struct endpoint {
    bufferevent *Socket = nullptr;
    bool Blackholed = false;
    std::deque<delayed_bytes> Delayed;
  };
  /// A client connection and the server connection to which it is forwarded.
  struct proxied_connection {
    impl *Proxy = nullptr;
    endpoint Client;
    endpoint Server;
    std::unique_ptr<net::timer> DelayTimer;

    endpoint &peerOf(bufferevent *Socket) {
      return Socket == Client.Socket ? Server : Client;
    }
    bool isBlackholed() const { return Client.Blackholed && Server.Blackholed; }
  };

  net::event_loop &Loop;
  address Target;
  evconnlistener *Listener = nullptr;
  std::list<proxied_connection> Connections;
  std::chrono::milliseconds Latency{0};

  impl(net::event_loop &Loop, address T) : Loop(Loop), Target(std::move(T)) {}

  bufferevent *createEndpoint(proxied_connection &Connection,
                              evutil_socket_t Fd) {
    bufferevent *Socket =
        bufferevent_socket_new(Loop.base(), Fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(Socket, &onRead, nullptr, &onEvent, &Connection);
    return Socket;
  }

  static void onAccept(evconnlistener *, evutil_socket_t Fd, sockaddr *, int,
                       void *Argument) {
    auto &Proxy = *static_cast<impl *>(Argument);
    if (Proxy.Connections.size() >= MaxConnections) {
      evutil_closesocket(Fd);
      return;
    }
    proxied_connection &Connection = Proxy.Connections.emplace_back();
    Connection.Proxy = &Proxy;
    Connection.Client.Socket = Proxy.createEndpoint(Connection, Fd);
    Connection.Server.Socket = Proxy.createEndpoint(Connection, -1);
    Connection.DelayTimer =
        std::make_unique<net::timer>(Proxy.Loop, [&Connection] {
          Connection.Proxy->forwardDueBytes(Connection);
        });
    sockaddr_in Target = toSockaddr(Proxy.Target);
    bufferevent_enable(Connection.Client.Socket, EV_READ | EV_WRITE);
    bufferevent_enable(Connection.Server.Socket, EV_READ | EV_WRITE);
    bufferevent_socket_connect(Connection.Server.Socket,
                               reinterpret_cast<sockaddr *>(&Target),
                               sizeof Target);
    int On = 1;
    for (bufferevent *Socket :
         {Connection.Client.Socket, Connection.Server.Socket})
      setsockopt(bufferevent_getfd(Socket), IPPROTO_TCP, TCP_NODELAY, &On,
                 sizeof On);
  }

  static void onRead(bufferevent *Socket, void *Argument) {
    auto &Connection = *static_cast<proxied_connection *>(Argument);
    evbuffer *Input = bufferevent_get_input(Socket);
    endpoint &Destination = Connection.peerOf(Socket);
    if (Destination.Blackholed) {
      evbuffer_drain(Input, evbuffer_get_length(Input));
      return;
    }
    auto Latency = Connection.Proxy->Latency;
    if (Latency.count() == 0 && Destination.Delayed.empty()) {
      bufferevent_write_buffer(Destination.Socket, Input);
      return;
    }
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    Destination.Delayed.push_back(
        {std::chrono::steady_clock::now() + Latency, std::move(Bytes)});
    Connection.Proxy->forwardDueBytes(Connection);
  }

  /// Forwards all data that is due, in the order of arrival.
  void forwardDueBytes(proxied_connection &Connection) {
    auto Now = std::chrono::steady_clock::now();
    auto Next = std::chrono::steady_clock::time_point::max();
    for (endpoint *Destination : {&Connection.Client, &Connection.Server}) {
      while (!Destination->Delayed.empty() &&
             Destination->Delayed.front().Due <= Now) {
        const std::string &Bytes = Destination->Delayed.front().Bytes;
        bufferevent_write(Destination->Socket, Bytes.data(), Bytes.size());
        Destination->Delayed.pop_front();
      }
      if (!Destination->Delayed.empty())
        Next = std::min(Next, Destination->Delayed.front().Due);
    }
    if (Next != std::chrono::steady_clock::time_point::max())
      Connection.DelayTimer->startOnce(
          std::chrono::ceil<std::chrono::microseconds>(Next - Now));
  }

  static void onEvent(bufferevent *Socket, short What, void *Argument) {
    auto &Connection = *static_cast<proxied_connection *>(Argument);
    if (!(What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
      return;
    // On a blackholed connection, neither end learns that the other one has
    // closed.
    if (Connection.isBlackholed()) {
      bufferevent_disable(Socket, EV_READ | EV_WRITE);
      return;
    }
    // Data that was read before the close is still forwarded.
    endpoint &Destination = Connection.peerOf(Socket);
    for (const delayed_bytes &Each : std::exchange(Destination.Delayed, {}))
      bufferevent_write(Destination.Socket, Each.Bytes.data(),
                        Each.Bytes.size());
    bufferevent *OtherSocket = Destination.Socket;
    if (evbuffer_get_length(bufferevent_get_output(OtherSocket)) == 0)
      return Connection.Proxy->closeConnection(Connection);
    bufferevent_disable(Socket, EV_READ);
    bufferevent_setcb(
        OtherSocket, nullptr,
        [](bufferevent *, void *Argument) {
          auto &Flushed = *static_cast<proxied_connection *>(Argument);
          Flushed.Proxy->closeConnection(Flushed);
        },
        &onEvent, &Connection);
  }

  void closeConnection(proxied_connection &Connection) {
    bufferevent_free(Connection.Client.Socket);
    bufferevent_free(Connection.Server.Socket);
    Connections.remove_if(
        [&](const proxied_connection &Each) { return &Each == &Connection; });
  }
};

fault_proxy::fault_proxy(net::event_loop &Loop, address Target)
    : Impl(std::make_unique<impl>(Loop, std::move(Target))) {}

fault_proxy::~fault_proxy() {
  for (impl::proxied_connection &Connection : Impl->Connections) {
    bufferevent_free(Connection.Client.Socket);
    bufferevent_free(Connection.Server.Socket);
  }
  if (Impl->Listener)
    evconnlistener_free(Impl->Listener);
}

result<void> fault_proxy::listen(const address &Address) {
  sockaddr_in Target = toSockaddr(Address);
  Impl->Listener = evconnlistener_new_bind(
      Impl->Loop.base(), &impl::onAccept, Impl.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr *>(&Target), sizeof Target);
  if (!Impl->Listener)
    return makeError(net::net_errc::ListenFailed,
                     Address.str() + ": " + std::strerror(errno));
  return {};
}

std::size_t fault_proxy::blackholeAll() {
  std::size_t Count = openConnectionCount();
  blackholeAll(traffic_direction::ToServer);
  blackholeAll(traffic_direction::ToClient);
  return Count;
}

void fault_proxy::blackholeAll(traffic_direction Direction) {
  for (impl::proxied_connection &Connection : Impl->Connections) {
    auto &Destination = Direction == traffic_direction::ToServer
                            ? Connection.Server
                            : Connection.Client;
    Destination.Blackholed = true;
    Destination.Delayed.clear();
  }
}

void fault_proxy::resetAll() {
  for (impl::proxied_connection &Connection : Impl->Connections)
    for (bufferevent *Socket :
         {Connection.Client.Socket, Connection.Server.Socket}) {
      // SO_LINGER with a timeout of 0 makes close() send a reset.
      linger ResetOnClose{1, 0};
      setsockopt(bufferevent_getfd(Socket), SOL_SOCKET, SO_LINGER,
                 &ResetOnClose, sizeof ResetOnClose);
      bufferevent_free(Socket);
    }
  Impl->Connections.clear();
}

void fault_proxy::setLatency(std::chrono::milliseconds Latency) {
  Impl->Latency = Latency;
}

std::size_t fault_proxy::openConnectionCount() const {
  std::size_t Count = 0;
  for (const impl::proxied_connection &Connection : Impl->Connections)
    Count += Connection.isBlackholed() ? 0 : 1;
  return Count;
}

} // namespace gentianlug::standins
