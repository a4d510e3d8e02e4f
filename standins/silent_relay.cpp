#include "silent_relay.h"

#include "gentianlug/net/net_errc.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
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

struct silent_relay::impl {
  /// One connection with both of its sides.
  struct link {
    impl *Owner = nullptr;
    bufferevent *Client = nullptr;
    bufferevent *Server = nullptr;
    bool Silent = false;

    bufferevent *other(bufferevent *Side) const {
      return Side == Client ? Server : Client;
    }
  };

  net::event_loop &Loop;
  address To;
  evconnlistener *Listener = nullptr;
  std::list<link> Links;

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
    Link.Client = Relay.open(Link, Socket);
    Link.Server = Relay.open(Link, -1);
    sockaddr_in Target = toSockaddr(Relay.To);
    bufferevent_enable(Link.Client, EV_READ | EV_WRITE);
    bufferevent_enable(Link.Server, EV_READ | EV_WRITE);
    bufferevent_socket_connect(
        Link.Server, reinterpret_cast<sockaddr *>(&Target), sizeof Target);
    int On = 1;
    for (bufferevent *Side : {Link.Client, Link.Server})
      setsockopt(bufferevent_getfd(Side), IPPROTO_TCP, TCP_NODELAY, &On,
                 sizeof On);
  }

  static void onRead(bufferevent *Side, void *Argument) {
    auto &Link = *static_cast<link *>(Argument);
    evbuffer *Input = bufferevent_get_input(Side);
    if (Link.Silent)
      evbuffer_drain(Input, evbuffer_get_length(Input));
    else
      bufferevent_write_buffer(Link.other(Side), Input);
  }

  static void onEvent(bufferevent *Side, short What, void *Argument) {
    auto &Link = *static_cast<link *>(Argument);
    if (!(What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
      return;
    // A silent connection tells neither side that the other one has gone.
    if (Link.Silent) {
      bufferevent_disable(Side, EV_READ | EV_WRITE);
      return;
    }
    // What was read last still goes out.
    bufferevent *Other = Link.other(Side);
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
    bufferevent_free(Link.Client);
    bufferevent_free(Link.Server);
    Links.remove_if([&](const link &Each) { return &Each == &Link; });
  }
};

silent_relay::silent_relay(net::event_loop &Loop, address To)
    : Impl(std::make_unique<impl>(Loop, std::move(To))) {}

silent_relay::~silent_relay() {
  for (impl::link &Link : Impl->Links) {
    bufferevent_free(Link.Client);
    bufferevent_free(Link.Server);
  }
  if (Impl->Listener)
    evconnlistener_free(Impl->Listener);
}

result<void> silent_relay::listen(const address &Address) {
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

std::size_t silent_relay::silenceAll() {
  std::size_t Count = connections();
  for (impl::link &Link : Impl->Links)
    Link.Silent = true;
  return Count;
}

std::size_t silent_relay::connections() const {
  std::size_t Count = 0;
  for (const impl::link &Link : Impl->Links)
    Count += Link.Silent ? 0 : 1;
  return Count;
}

} // namespace gentianlug::standins
