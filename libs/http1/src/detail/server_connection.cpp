#include "detail/server_connection.h"

#include <event2/buffer.h>
#include <utility>

namespace gentianlug::http1::detail {

/// Time within which a client must accept more bytes of the last response and,
/// after it, close its side of the connection.
static constexpr std::chrono::seconds LingerTimeout{2};
/// Number of unsent bytes from which on a connection is not read.
static constexpr std::size_t MaxUnsentBytes = 4UL << 20;
/// Memory of a call besides its request: its state in the tasks of the node.
static constexpr std::size_t CallStateBytes = 4UL << 10;
/// The fields of a request are held twice, by the exchange and for the attempt
/// that waits for a server.
static constexpr std::size_t CopiesOfFields = 2;

static constexpr int BadRequest = 400;
static constexpr int RequestTimeout = 408;
static constexpr int ContentTooLarge = 413;
static constexpr int HeadTooLarge = 431;
static constexpr int Unavailable = 503;

static int statusOf(reader_fault Fault) {
  switch (Fault) {
  case reader_fault::HeadTooLarge:
    return HeadTooLarge;
  case reader_fault::BodyTooLarge:
    return ContentTooLarge;
  default:
    return BadRequest;
  }
}

server_exchange::server_exchange(std::weak_ptr<server_connection> Connection,
                                 request Request, server_state &Server,
                                 address Client)
    : Connection(std::move(Connection)), Request(std::move(Request)),
      Server(Server), Client(std::move(Client)) {
  ++Server.PendingRequests;
}

bool server_exchange::countCall() {
  HeldBytes = memory_holding(Server.Memory, memory::holder_kind::Call);
  return HeldBytes.resize(CallStateBytes + Request.Target.size() +
                          CopiesOfFields * Request.Headers.heldBytes() +
                          Request.Body.size());
}

void server_exchange::countResponse() {
  Request.Headers = {};
  Request.Body = {};
  HeldBytes = memory_holding(Server.Memory, memory::holder_kind::Delivery,
                             [Weak = Connection] {
                               if (auto Owner = Weak.lock())
                                 Owner->closeLater();
                             });
  HeldBytes.resize(Response->Headers.heldBytes() + Response->Body.size());
}

void server_exchange::finish() {
  if (Finished)
    return;
  Finished = true;
  OnDisconnect = nullptr;
  --Server.PendingRequests;
}

void server_exchange::respond(response NewResponse) {
  if (Finished)
    return;
  finish();
  Response = std::move(NewResponse);
  countResponse();
  if (auto Owner = Connection.lock())
    Owner->sendReadyResponses();
}

void server_exchange::abandon() {
  if (Finished)
    return;
  finish();
  Abandoned = true;
  if (auto Owner = Connection.lock())
    Owner->sendReadyResponses();
}

void server_exchange::onClientDisconnect(std::function<void()> Callback) {
  if (!Finished)
    OnDisconnect = std::move(Callback);
}

void server_exchange::notifyDisconnect() {
  if (Finished)
    return;
  auto Callback = std::move(OnDisconnect);
  finish();
  HeldBytes = {};
  if (Callback)
    Callback();
}

server_connection::server_connection(
    server_state &Server, std::function<void(server_connection *)> OnClose)
    : Server(Server), OnClose(std::move(OnClose)),
      Socket(Server.Loop,
             {.Connected = nullptr,
              .Readable = [this] { readRequests(); },
              .Closed = [this](bool) { onClosed(); },
              .Sent =
                  [this] {
                    countUnsentBytes();
                    updateReading();
                  }},
             Server.Pacer),
      Reader(message_kind::Request, Server.Limits.Message),
      ReceivedBytes(Server.Memory, memory::holder_kind::Request,
                    [this] { refuseForMemory(); }),
      UnsentBytes(Server.Memory, memory::holder_kind::Delivery,
                  [this] { closeLater(); }),
      LastActivity(std::chrono::steady_clock::now()) {}

void server_connection::start(int Fd, const socket_options &Options) {
  Socket.adopt(Fd, Options);
  Client = Socket.peer();
}

void server_connection::enforceTimeouts(time_point Now) {
  auto HasExpired = [&](const std::optional<time_point> &Since, auto Timeout) {
    return Since && Now - *Since > Timeout;
  };
  countUnsentBytes();
  std::size_t Unsent = Socket.unsentBytes();
  if (ClosingSince && Unsent < std::exchange(LastUnsentBytes, Unsent))
    ClosingSince = Now;
  if (HasExpired(ClosingSince, LingerTimeout))
    return closeAndNotify();
  if (ClosingSince)
    return;
  if (HasExpired(HeadStart, Server.Limits.HeadTimeout))
    return refuse(RequestTimeout);
  if (Exchanges.empty() && !HeadStart && !Socket.hasUnsentBytes() &&
      Now - LastActivity > Server.Limits.IdleTimeout)
    closeAndNotify();
}

void server_connection::closeIfIdle() {
  if (Exchanges.empty() && Reader.state() == reader_state::Idle &&
      !Socket.hasUnsentBytes())
    closeAndNotify();
}

std::optional<server_connection::time_point>
server_connection::idleSince() const {
  if (!Exchanges.empty() || Socket.hasUnsentBytes())
    return std::nullopt;
  return LastActivity;
}

void server_connection::closeLater() {
  Server.Loop.defer([Weak = weak_from_this()] {
    auto Self = Weak.lock();
    if (Self && Self->Socket.isOpen())
      Self->closeAndNotify();
  });
}

void server_connection::closeAndNotify() {
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
  std::size_t Consumed = Reader.feed({Bytes, Size});
  evbuffer_drain(Input, Consumed);
  return true;
}

void server_connection::readRequests() {
  auto Self = shared_from_this();
  LastActivity = std::chrono::steady_clock::now();
  Dispatching = true;
  while (Socket.isOpen() && !LastRequestSeen &&
         Exchanges.size() < Server.Limits.MaxPipelined && feedReader()) {
    if (Reader.state() == reader_state::Complete) {
      HeadStart.reset();
      ContinueSent = false;
      dispatch(Reader.takeRequest());
      continue;
    }
    if (Reader.state() == reader_state::Failed) {
      refuse(statusOf(Reader.fault()));
      break;
    }
    if (!countReceivedBytes()) {
      refuseForMemory();
      break;
    }
    if (Reader.state() == reader_state::Head && !HeadStart)
      HeadStart = LastActivity;
    if (Reader.state() == reader_state::Body)
      HeadStart.reset();
    // Responses to earlier requests have to be sent first. Until then no
    // interim response is sent, and the client sends the body after its own
    // timeout.
    if (Reader.expectsContinue() && !ContinueSent && Exchanges.empty()) {
      ContinueSent = true;
      Socket.write(std::string("HTTP/1.1 100 Continue\r\n\r\n"));
    }
  }
  Dispatching = false;
  if (LastRequestSeen)
    discardInput();
  else if (!countReceivedBytes())
    refuseForMemory();
  sendReadyResponses();
}

bool server_connection::countReceivedBytes() {
  return ReceivedBytes.resize(Reader.heldBytes() +
                              evbuffer_get_length(Socket.input()));
}

void server_connection::countUnsentBytes() {
  UnsentBytes.resize(Socket.unsentBytes());
}

void server_connection::discardInput() {
  evbuffer *Input = Socket.input();
  evbuffer_drain(Input, evbuffer_get_length(Input));
  Reader.discard();
  ReceivedBytes.resize(0);
}

void server_connection::dispatch(request Request) {
  if (!Request.KeepAlive)
    LastRequestSeen = true;
  if (Request.Headers.count("host") != 1)
    return refuse(BadRequest);
  auto Exchange = std::make_shared<server_exchange>(
      weak_from_this(), std::move(Request), Server, Client);
  // The bytes of the request are counted for its call from now on.
  countReceivedBytes();
  if (!Exchange->countCall()) {
    Exchange->finish();
    return refuse(Unavailable);
  }
  Exchanges.push_back(Exchange);
  Server.Handler(Exchange);
}

void server_connection::refuse(int Status) {
  HeadStart.reset();
  LastRequestSeen = true;
  discardInput();
  if (Server.OnRefusal)
    Server.OnRefusal(Client, Status);
  auto Exchange = std::make_shared<server_exchange>(weak_from_this(), request{},
                                                    Server, Client);
  Exchanges.push_back(Exchange);
  response Response = makeStatusResponse(Status);
  if (Server.DecorateRefusal)
    Server.DecorateRefusal(Response);
  Exchange->respond(std::move(Response));
}

void server_connection::refuseForMemory() {
  if (!LastRequestSeen)
    refuse(Unavailable);
}

void server_connection::sendReadyResponses() {
  if (!Socket.isOpen() || Dispatching || ClosingSince)
    return;
  auto Self = shared_from_this();
  while (!Exchanges.empty() && Exchanges.front()->Finished) {
    auto Exchange = std::move(Exchanges.front());
    Exchanges.pop_front();
    bool Last = Exchange->Abandoned || (LastRequestSeen && Exchanges.empty());
    // A draining connection stays open while responses to later requests are
    // pending or another request is being received.
    if (Server.Draining && Exchanges.empty() &&
        Reader.state() == reader_state::Idle)
      Last = LastRequestSeen = true;
    if (!Exchange->Abandoned) {
      Socket.write(encodeHead(*Exchange->Response, !Last));
      Socket.write(Exchange->Response->Body);
    }
    // From here on the response is counted with the unsent bytes.
    Exchange->Response.reset();
    Exchange->HeldBytes = {};
    LastActivity = std::chrono::steady_clock::now();
    if (Last) {
      ClosingSince = LastActivity;
      LastUnsentBytes = Socket.unsentBytes();
      countUnsentBytes();
      Socket.shutdownAfterSending();
      return;
    }
  }
  countUnsentBytes();
  updateReading();
}

void server_connection::updateReading() {
  bool CanRead = Exchanges.size() < Server.Limits.MaxPipelined &&
                 Socket.unsentBytes() < MaxUnsentBytes;
  if (!CanRead)
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
  auto Self = shared_from_this();
  ReceivedBytes = {};
  UnsentBytes = {};
  for (auto &Exchange : std::exchange(Exchanges, {}))
    Exchange->notifyDisconnect();
  if (auto Callback = std::exchange(OnClose, nullptr))
    Callback(this);
  // Callbacks of the socket may still be on the stack.
  Server.Loop.defer([Self] {});
}

} // namespace gentianlug::http1::detail
