#ifndef GENTIANLUG_HTTP1_DETAIL_SERVER_CONNECTION_H
#define GENTIANLUG_HTTP1_DETAIL_SERVER_CONNECTION_H

#include "detail/stream_socket.h"
#include "gentianlug/http1/server.h"

#include <deque>
#include <optional>

namespace gentianlug::http1::detail {

class server_exchange;

/// State that all connections of a server share.
struct server_state {
  net::event_loop &Loop;
  server_limits Limits;
  server::handler Handler;
  server::refusal_observer Refused;
  link_pacer *Pacer = nullptr;
  bool Draining = false;
  std::size_t UnderWay = 0;
};

/// One connection of a client.
class server_connection final
    : public std::enable_shared_from_this<server_connection> {
public:
  using time_point = std::chrono::steady_clock::time_point;

  server_connection(server_state &Server,
                    std::function<void(server_connection *)> Ended);

  void start(int Fd, const socket_rules &Rules);
  /// Closes the connection if one of its time limits has passed.
  void checkTimes(time_point Now);
  void closeIfIdle();
  /// Drops the connection and tells the requests under way.
  void drop();
  std::size_t unsentBytes() const { return Socket.unsentBytes(); }

private:
  friend class server_exchange;

  void readRequests();
  bool feedReader();
  void dispatch(request Request);
  void refuse(int Status);
  void sendReady();
  void onClosed();
  void updateReading();

  server_state &Server;
  std::function<void(server_connection *)> Ended;
  stream_socket Socket;
  message_reader Reader;
  std::deque<std::shared_ptr<server_exchange>> Waiting;
  address Client;
  time_point LastActive;
  std::optional<time_point> HeadSince;
  /// When the last answer was given, or bytes of it were taken last.
  std::optional<time_point> ClosingSince;
  std::size_t UnsentBefore = 0;
  /// The client asked to close after its last request, or a request could not
  /// be read: nothing more is read.
  bool LastRequestSeen = false;
  bool ContinueSent = false;
  bool Dispatching = false;
};

/// Request of a `server_connection` with its place in the order of answers.
class server_exchange final : public exchange {
public:
  server_exchange(std::weak_ptr<server_connection> Connection, request Request,
                  server_state &Server, address Client);

  request &received() override { return Request; }
  address client() const override { return Client; }
  void respond(response Next) override;
  void abandon() override;
  void onClientGone(std::function<void()> Action) override;

private:
  friend class server_connection;

  void finish();
  void clientGone();

  std::weak_ptr<server_connection> Connection;
  request Request;
  server_state &Server;
  address Client;
  std::optional<response> Answer;
  std::function<void()> Gone;
  bool Finished = false;
  bool Abandoned = false;
};

} // namespace gentianlug::http1::detail

#endif // GENTIANLUG_HTTP1_DETAIL_SERVER_CONNECTION_H
