#include "detail/server_connection.h"

#include <event2/buffer.h>
#include <utility>

namespace gentianlug::http1::detail {

/// Time that a client gets to take more of the last answer, and to close its
/// side after it.
static constexpr std::chrono::seconds CloseGrace{2};
/// Unsent bytes at which a connection is not read any further.
static constexpr std::size_t MaxUnsentBytes = 4UL << 20;

server_exchange::server_exchange(std::weak_ptr<server_connection> Connection,
                                 request Request, server_state &Server,
                                 address Client)
    : Connection(std::move(Connection)), Request(std::move(Request)),
      Server(Server), Client(std::move(Client)) {
  ++Server.UnderWay;
}

void server_exchange::finish() {
  if (Finished)
    return;
  Finished = true;
  Gone = nullptr;
  --Server.UnderWay;
}

void server_exchange::respond(response Next) {
  if (Finished)
    return;
  finish();
  Answer = std::move(Next);
  if (auto Owner = Connection.lock())
    Owner->sendReady();
}

void server_exchange::abandon() {
  if (Finished)
    return;
  finish();
  Abandoned = true;
  if (auto Owner = Connection.lock())
    Owner->sendReady();
}

void server_exchange::onClientGone(std::function<void()> Action) {
  if (!Finished)
    Gone = std::move(Action);
}

void server_exchange::clientGone() {
  if (Finished)
    return;
  auto Action = std::move(Gone);
  finish();
  if (Action)
    Action();
}

server_connection::server_connection(
    server_state &Server, std::function<void(server_connection *)> Ended)
    : Server(Server), Ended(std::move(Ended)),
      Socket(Server.Loop,
             {.Connected = nullptr,
              .Readable = [this] { readRequests(); },
              .Closed = [this](bool) { onClosed(); },
              .Sent = [this] { updateReading(); }},
             Server.Pacer),
      Reader(message_kind::Request, Server.Limits.Message),
      LastActive(std::chrono::steady_clock::now()) {}

void server_connection::start(int Fd, const socket_rules &Rules) {
  Socket.adopt(Fd, Rules);
  Client = Socket.peer();
}

void server_connection::checkTimes(time_point Now) {
  auto Passed = [&](const std::optional<time_point> &Since, auto Limit) {
    return Since && Now - *Since > Limit;
  };
  std::size_t Unsent = Socket.unsentBytes();
  if (ClosingSince && Unsent < std::exchange(UnsentBefore, Unsent))
    ClosingSince = Now;
  if (Passed(ClosingSince, CloseGrace))
    return drop();
  if (ClosingSince)
    return;
  constexpr int RequestTimeout = 408;
  if (Passed(HeadSince, Server.Limits.HeadTimeout))
    return refuse(RequestTimeout);
  if (Waiting.empty() && !HeadSince && !Socket.sending() &&
      Now - LastActive > Server.Limits.IdleTimeout)
    drop();
}

void server_connection::closeIfIdle() {
  if (Waiting.empty() && Reader.state() == reader_state::Idle &&
      !Socket.sending())
    drop();
}

void server_connection::drop() {
  Socket.close();
  onClosed();
}

bool server_connection::feedReader() {
  evbuffer *Input = Socket.input();
  std::size_t Size = evbuffer_get_length(Input);
  if (Size == 0)
    return false;
  const auto *Bytes =
      reinterpret_cast<const char *>(evbuffer_pullup(Input, ssize_t(Size)));
  std::size_t Used = Reader.feed({Bytes, Size});
  evbuffer_drain(Input, Used);
  return true;
}

void server_connection::readRequests() {
  auto Keep = shared_from_this();
  LastActive = std::chrono::steady_clock::now();
  Dispatching = true;
  while (Socket.isOpen() && !LastRequestSeen &&
         Waiting.size() < Server.Limits.MaxPipelined && feedReader()) {
    if (Reader.state() == reader_state::Complete) {
      HeadSince.reset();
      ContinueSent = false;
      dispatch(Reader.takeRequest());
      continue;
    }
    if (Reader.state() == reader_state::Failed) {
      constexpr int BadRequest = 400;
      constexpr int TooLarge = 413;
      constexpr int HeadTooLarge = 431;
      refuse(Reader.fault() == reader_fault::HeadTooLarge   ? HeadTooLarge
             : Reader.fault() == reader_fault::BodyTooLarge ? TooLarge
                                                            : BadRequest);
      break;
    }
    if (Reader.state() == reader_state::Head && !HeadSince)
      HeadSince = LastActive;
    if (Reader.state() == reader_state::Body)
      HeadSince.reset();
    // With answers before it still to come, the client sends the body after
    // its own time limit for the interim answer.
    if (Reader.waitsForContinue() && !ContinueSent && Waiting.empty()) {
      ContinueSent = true;
      Socket.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
  Dispatching = false;
  sendReady();
}

void server_connection::dispatch(request Request) {
  if (!Request.KeepAlive)
    LastRequestSeen = true;
  if (Request.Headers.count("host") != 1) {
    constexpr int BadRequest = 400;
    return refuse(BadRequest);
  }
  auto Next = std::make_shared<server_exchange>(
      weak_from_this(), std::move(Request), Server, Client);
  Waiting.push_back(Next);
  Server.Handler(Next);
}

void server_connection::refuse(int Status) {
  HeadSince.reset();
  LastRequestSeen = true;
  if (Server.Refused)
    Server.Refused(Client, Status);
  auto Next = std::make_shared<server_exchange>(weak_from_this(), request{},
                                                Server, Client);
  Waiting.push_back(Next);
  Next->respond(statusAnswer(Status));
}

void server_connection::sendReady() {
  if (!Socket.isOpen() || Dispatching || ClosingSince)
    return;
  auto Keep = shared_from_this();
  while (!Waiting.empty() && Waiting.front()->Finished) {
    auto Done = std::move(Waiting.front());
    Waiting.pop_front();
    bool Last = Done->Abandoned || (LastRequestSeen && Waiting.empty());
    // While later requests of the connection run, their answers are still
    // owed, so the connection stays.
    if (Server.Draining && Waiting.empty() &&
        Reader.state() == reader_state::Idle)
      Last = LastRequestSeen = true;
    if (!Done->Abandoned) {
      Socket.write(encodeHead(*Done->Answer, !Last));
      Socket.write(std::move(Done->Answer->Body));
    }
    LastActive = std::chrono::steady_clock::now();
    if (Last) {
      ClosingSince = LastActive;
      UnsentBefore = Socket.unsentBytes();
      Socket.closeAfterSending();
      return;
    }
  }
  updateReading();
}

void server_connection::updateReading() {
  bool Room = Waiting.size() < Server.Limits.MaxPipelined &&
              Socket.unsentBytes() < MaxUnsentBytes;
  if (!Room)
    return Socket.pauseReading();
  Socket.resumeReading();
  if (evbuffer_get_length(Socket.input()) > 0 && !LastRequestSeen)
    Server.Loop.defer([Weak = weak_from_this()] {
      auto Self = Weak.lock();
      if (Self && Self->Socket.isOpen())
        Self->readRequests();
    });
}

void server_connection::onClosed() {
  auto Keep = shared_from_this();
  for (auto &Each : std::exchange(Waiting, {}))
    Each->clientGone();
  if (auto Action = std::exchange(Ended, nullptr))
    Action(this);
  Server.Loop.defer([Keep] {});
}

} // namespace gentianlug::http1::detail
