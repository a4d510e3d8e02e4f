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

/// Open connections, silent ones included; further ones are closed at once.
static constexpr std::size_t MaxConnections = 2000;

static sockaddr_in toSockaddr(const address &Address) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Address.Port);
  inet_pton(AF_INET, Address.Host.c_str(), &Result.sin_addr);
  return Result;
}

/// Bytes that are held back until their time.
struct delayed_bytes {
  std::chrono::steady_clock::time_point Due;
  std::string Bytes;
};

struct fault_relay::impl {
  /// One side of a connection and the bytes on their way to it.
  struct side {
    bufferevent *Socket = nullptr;
    bool Silent = false;
    std::deque<delayed_bytes> Held;
  };
  /// One connection with both of its sides.
  struct link {
    impl *Owner = nullptr;
    side Client;
    side Server;
    std::unique_ptr<net::timer> Timer;

    side &other(bufferevent *Socket) {
      return Socket == Client.Socket ? Server : Client;
    }
    bool silent() const { return Client.Silent && Server.Silent; }
  };

  net::event_loop &Loop;
  address To;
  evconnlistener *Listener = nullptr;
  std::list<link> Links;
  std::chrono::milliseconds Delay{0};

  impl(net::event_loop &Loop, address To) : Loop(Loop), To(std::move(To)) {}

  bufferevent *open(link &Link, evutil_socket_t Socket) {
    bufferevent *Side =
        bufferevent_socket_new(Loop.base(), Socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(Side, &onRead, nullptr, &onEvent, &Link);
    return Side;
  }

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Argument) {
    auto &Relay = *static_cast<impl *>(Argument);
    if (Relay.Links.size() >= MaxConnections) {
      evutil_closesocket(Socket);
      return;
    }
    link &Link = Relay.Links.emplace_back();
    Link.Owner = &Relay;
    Link.Client.Socket = Relay.open(Link, Socket);
    Link.Server.Socket = Relay.open(Link, -1);
    Link.Timer = std::make_unique<net::timer>(
        Relay.Loop, [&Link] { Link.Owner->passHeld(Link); });
    sockaddr_in Target = toSockaddr(Relay.To);
    bufferevent_enable(Link.Client.Socket, EV_READ | EV_WRITE);
    bufferevent_enable(Link.Server.Socket, EV_READ | EV_WRITE);
    bufferevent_socket_connect(Link.Server.Socket,
                               reinterpret_cast<sockaddr *>(&Target),
                               sizeof Target);
    int On = 1;
    for (bufferevent *Side : {Link.Client.Socket, Link.Server.Socket})
      setsockopt(bufferevent_getfd(Side), IPPROTO_TCP, TCP_NODELAY, &On,
                 sizeof On);
  }

  static void onRead(bufferevent *Side, void *Argument) {
    auto &Link = *static_cast<link *>(Argument);
    evbuffer *Input = bufferevent_get_input(Side);
    side &To = Link.other(Side);
    if (To.Silent) {
      evbuffer_drain(Input, evbuffer_get_length(Input));
      return;
    }
    auto Delay = Link.Owner->Delay;
    if (Delay.count() == 0 && To.Held.empty()) {
      bufferevent_write_buffer(To.Socket, Input);
      return;
    }
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    To.Held.push_back(
        {std::chrono::steady_clock::now() + Delay, std::move(Bytes)});
    Link.Owner->passHeld(Link);
  }

  /// Passes on what is due, in the order in which it came.
  void passHeld(link &Link) {
    auto Now = std::chrono::steady_clock::now();
    auto Next = std::chrono::steady_clock::time_point::max();
    for (side *To : {&Link.Client, &Link.Server}) {
      while (!To->Held.empty() && To->Held.front().Due <= Now) {
        const std::string &Bytes = To->Held.front().Bytes;
        bufferevent_write(To->Socket, Bytes.data(), Bytes.size());
        To->Held.pop_front();
      }
      if (!To->Held.empty())
        Next = std::min(Next, To->Held.front().Due);
    }
    if (Next != std::chrono::steady_clock::time_point::max())
      Link.Timer->startOnce(
          std::chrono::ceil<std::chrono::microseconds>(Next - Now));
  }

  static void onEvent(bufferevent *Side, short What, void *Argument) {
    auto &Link = *static_cast<link *>(Argument);
    if (!(What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
      return;
    // A silent connection tells neither side that the other one has gone.
    if (Link.silent()) {
      bufferevent_disable(Side, EV_READ | EV_WRITE);
      return;
    }
    // What was read last still goes out.
    side &To = Link.other(Side);
    for (const delayed_bytes &Each : std::exchange(To.Held, {}))
      bufferevent_write(To.Socket, Each.Bytes.data(), Each.Bytes.size());
    bufferevent *Other = To.Socket;
    if (evbuffer_get_length(bufferevent_get_output(Other)) == 0)
      return Link.Owner->close(Link);
    bufferevent_disable(Side, EV_READ);
    bufferevent_setcb(
        Other, nullptr,
        [](bufferevent *, void *Argument) {
          auto &Flushed = *static_cast<link *>(Argument);
          Flushed.Owner->close(Flushed);
        },
        &onEvent, &Link);
  }

  void close(link &Link) {
    bufferevent_free(Link.Client.Socket);
    bufferevent_free(Link.Server.Socket);
    Links.remove_if([&](const link &Each) { return &Each == &Link; });
  }
};

fault_relay::fault_relay(net::event_loop &Loop, address To)
    : Impl(std::make_unique<impl>(Loop, std::move(To))) {}

fault_relay::~fault_relay() {
  for (impl::link &Link : Impl->Links) {
    bufferevent_free(Link.Client.Socket);
    bufferevent_free(Link.Server.Socket);
  }
  if (Impl->Listener)
    evconnlistener_free(Impl->Listener);
}

result<void> fault_relay::listen(const address &Address) {
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

std::size_t fault_relay::blackholeAll() {
  std::size_t Count = connections();
  blackholeAll(link_direction::ToServer);
  blackholeAll(link_direction::ToClient);
  return Count;
}

void fault_relay::blackholeAll(link_direction Direction) {
  for (impl::link &Link : Impl->Links) {
    auto &To =
        Direction == link_direction::ToServer ? Link.Server : Link.Client;
    To.Silent = true;
    To.Held.clear();
  }
}

void fault_relay::resetAll() {
  for (impl::link &Link : Impl->Links)
    for (bufferevent *Side : {Link.Client.Socket, Link.Server.Socket}) {
      // A close without lingering resets the connection.
      linger Now{1, 0};
      setsockopt(bufferevent_getfd(Side), SOL_SOCKET, SO_LINGER, &Now,
                 sizeof Now);
      bufferevent_free(Side);
    }
  Impl->Links.clear();
}

void fault_relay::setDelay(std::chrono::milliseconds Delay) {
  Impl->Delay = Delay;
}

std::size_t fault_relay::connections() const {
  std::size_t Count = 0;
  for (const impl::link &Link : Impl->Links)
    Count += Link.silent() ? 0 : 1;
  return Count;
}

} // namespace gentianlug::standins
