#include "gentianlug/http1/client_pool.h"

#include "detail/stream_socket.h"
#include "gentianlug/net/timer.h"

#include <algorithm>
#include <charconv>
#include <event2/buffer.h>
#include <map>
#include <optional>
#include <unordered_map>

namespace gentianlug::http1 {

using time_point = std::chrono::steady_clock::time_point;

/// Period of the check for expired idle connections.
static constexpr std::chrono::milliseconds IdleCheckPeriod{1000};
/// Idle timeout of a connection whose server sends no `Keep-Alive` field.
static constexpr std::chrono::milliseconds DefaultIdleTimeout{4000};

/// Returns the idle timeout that the server advertises in its `Keep-Alive`
/// field, shortened so that the client closes the connection first.
static std::chrono::milliseconds
advertisedIdleTimeout(const response &Response) {
  const std::string *Field = Response.Headers.find("keep-alive");
  constexpr std::string_view Parameter = "timeout=";
  std::size_t Position = Field ? Field->find(Parameter) : std::string::npos;
  if (Position == std::string::npos)
    return DefaultIdleTimeout;
  long Seconds = 0;
  const char *Begin = Field->data() + Position + Parameter.size();
  std::from_chars(Begin, Field->data() + Field->size(), Seconds);
  constexpr long UsableMillisPerSecond = 700;
  constexpr long MaxSeconds = 3600;
  return std::chrono::milliseconds(UsableMillisPerSecond *
                                   std::clamp(Seconds, 0L, MaxSeconds));
}

namespace {

/// A connection of the pool and its request in flight, if any.
class pooled_connection final
    : public std::enable_shared_from_this<pooled_connection> {
public:
  using connection_callback = std::function<void(pooled_connection &)>;

  pooled_connection(net::event_loop &Loop, address To, message_limits Limits,
                    memory_guard *Memory)
      : Loop(Loop), To(std::move(To)),
        Socket(Loop, {.Connected = [this] { onConnected(); },
                      .Readable = [this] { onReadable(); },
                      .Closed = [this](bool Orderly) { onClosed(Orderly); }}),
        Reader(message_kind::Response, Limits),
        ReceivedBytes(Memory, memory::holder_kind::Response) {}

  net::event_loop &Loop;
  address To;
  detail::stream_socket Socket;
  message_reader Reader;
  memory_holding ReceivedBytes;
  client_pool::callback OnComplete;
  client_pool::ticket Ticket = 0;
  std::optional<net::timer> ConnectTimer;
  std::string EchoedHeader;
  std::string ExpectedEcho;
  time_point IdleSince{};
  time_point IdleDeadline{};
  bool Connected = false;
  bool Used = false;
  bool Reusable = true;
  /// Called when the request is complete and the connection can be reused.
  connection_callback OnIdle;
  /// Called when the connection is closed.
  connection_callback OnClose;
  /// Called after bytes of a body have been read; returns false if the bodies
  /// of all connections take too much memory.
  std::function<bool()> OnBodyGrown;

  void start(request Request, const send_options &Options,
             client_pool::callback Callback) {
    OnComplete = std::move(Callback);
    EchoedHeader = Options.EchoedHeader;
    const std::string *Echo = Request.Headers.find(EchoedHeader);
    ExpectedEcho = Echo ? *Echo : "";
    if (Request.Method == "HEAD")
      Reader.expectNoBody();
    std::string Head = encodeHead(Request);
    Socket.write(std::move(Head));
    Socket.write(Request.Body);
    if (Connected)
      return;
    ConnectTimer.emplace(Loop, [this] {
      Socket.close();
      complete(send_outcome::NotSent, {});
    });
    ConnectTimer->startOnce(Options.ConnectTimeout);
  }

  /// Closes the connection and removes it from the pool.
  void end() {
    auto Self = shared_from_this();
    ConnectTimer.reset();
    Socket.close();
    ReceivedBytes = {};
    if (auto Callback = std::exchange(OnClose, nullptr))
      Callback(*this);
    // Callbacks of the socket may still be on the stack.
    Loop.defer([Self] {});
  }

private:
  void onConnected() {
    Connected = true;
    ConnectTimer.reset();
  }

  void complete(send_outcome Outcome, response Response) {
    auto Self = shared_from_this();
    auto Callback = std::exchange(OnComplete, nullptr);
    ReceivedBytes.resize(0);
    bool Reused = std::exchange(Used, true);
    if (Socket.isOpen() && Reusable && OnIdle)
      OnIdle(*this);
    else
      end();
    if (Callback)
      Callback({Outcome, Reused, std::move(Response)});
  }

  /// Returns whether \p Response belongs to the request in flight.
  bool matchesRequest(const response &Response) const {
    const std::string *Value =
        EchoedHeader.empty() ? nullptr : Response.Headers.find(EchoedHeader);
    return !Value || *Value == ExpectedEcho;
  }

  void onReadable() {
    auto Self = shared_from_this();
    evbuffer *Input = Socket.input();
    while (Socket.isOpen()) {
      std::size_t Size = evbuffer_get_length(Input);
      if (Size == 0)
        return;
      // Without a request in flight, received bytes are unsolicited and could
      // be taken for part of the next response.
      if (!OnComplete)
        return end();
      const auto *Bytes =
          reinterpret_cast<const char *>(evbuffer_pullup(Input, ssize_t(Size)));
      evbuffer_drain(Input, Reader.feed({Bytes, Size}));
      if (!ReceivedBytes.resize(Reader.heldBytes())) {
        Reusable = false;
        return complete(send_outcome::NoMemory, {});
      }
      bool TooMuch =
          Reader.state() == reader_state::Body && OnBodyGrown && !OnBodyGrown();
      if (Reader.state() == reader_state::Failed || TooMuch) {
        Reusable = false;
        return complete(send_outcome::Malformed, {});
      }
      if (Reader.state() == reader_state::Complete)
        onResponse(evbuffer_get_length(Input) > 0);
    }
  }

  void onResponse(bool HasSurplusBytes) {
    response Response = Reader.takeResponse();
    if (!matchesRequest(Response)) {
      Reusable = false;
      return;
    }
    // A second copy of a response without an echo could arrive during the next
    // request and be taken for its response.
    bool HasEcho = Response.Headers.find(EchoedHeader) != nullptr;
    if (!EchoedHeader.empty() && !HasEcho)
      Reusable = false;
    // If the response arrives before the whole request is sent, the rest of the
    // body would precede the next request on this connection.
    if (!Response.KeepAlive || HasSurplusBytes || Socket.hasUnsentBytes() ||
        Socket.hasWriteFailed())
      Reusable = false;
    IdleSince = std::chrono::steady_clock::now();
    IdleDeadline = IdleSince + advertisedIdleTimeout(Response);
    complete(send_outcome::Responded, std::move(Response));
  }

  void onClosed(bool Orderly) {
    if (!OnComplete)
      return end();
    if (!Connected)
      return complete(send_outcome::NotSent, {});
    Reusable = false;
    if (Orderly) {
      Reader.finish();
      if (Reader.state() == reader_state::Complete) {
        response Response = Reader.takeResponse();
        if (matchesRequest(Response))
          return complete(send_outcome::Responded, std::move(Response));
      }
    }
    complete(send_outcome::ConnectionLost, {});
  }
};

} // namespace

struct client_pool::impl : std::enable_shared_from_this<client_pool::impl> {
  net::event_loop &Loop;
  message_limits Limits;
  socket_options SocketOptions;
  memory_guard *Memory;
  ticket LastTicket = 0;
  std::uint64_t Opened = 0;
  std::unordered_map<ticket, std::shared_ptr<pooled_connection>> Active;
  std::map<address, std::vector<std::shared_ptr<pooled_connection>>> Idle;
  std::size_t IdleCount = 0;
  net::timer IdleTimer;

  impl(net::event_loop &Loop, message_limits Limits,
       socket_options SocketOptions, memory_guard *Memory)
      : Loop(Loop), Limits(Limits), SocketOptions(SocketOptions),
        Memory(Memory), IdleTimer(Loop, [this] { closeExpired(); }) {
    IdleTimer.startEvery(IdleCheckPeriod);
  }

  std::shared_ptr<pooled_connection>
  takeIdle(const address &To, std::chrono::milliseconds MaxIdleTime) {
    auto Found = Idle.find(To);
    if (Found == Idle.end())
      return nullptr;
    auto Now = std::chrono::steady_clock::now();
    while (!Found->second.empty()) {
      auto Candidate = Found->second.back();
      if (Now - Candidate->IdleSince > MaxIdleTime)
        return nullptr;
      Found->second.pop_back();
      --IdleCount;
      if (Now < Candidate->IdleDeadline && Candidate->Socket.isOpen())
        return Candidate;
      Candidate->OnClose = nullptr;
      Candidate->end();
    }
    return nullptr;
  }

  std::shared_ptr<pooled_connection> open(const address &To) {
    auto NewConnection =
        std::make_shared<pooled_connection>(Loop, To, Limits, Memory);
    std::weak_ptr<impl> Weak = weak_from_this();
    NewConnection->OnIdle = [Weak](pooled_connection &Connection) {
      if (auto Self = Weak.lock())
        Self->release(Connection);
    };
    NewConnection->OnClose = [Weak](pooled_connection &Connection) {
      if (auto Self = Weak.lock())
        Self->remove(Connection);
    };
    NewConnection->OnBodyGrown = [Weak] {
      auto Self = Weak.lock();
      return !Self || Self->bodyBytes() <= Self->Limits.MaxTotalBodyBytes;
    };
    ++Opened;
    return NewConnection;
  }

  void release(pooled_connection &Connection) {
    auto Self = Connection.shared_from_this();
    removeActive(Connection);
    auto &IdleConnections = Idle[Connection.To];
    if (IdleConnections.size() >= MaxIdlePerAddress ||
        IdleCount >= MaxIdleConnections) {
      Connection.OnClose = nullptr;
      Connection.end();
      return;
    }
    IdleConnections.push_back(std::move(Self));
    ++IdleCount;
  }

  /// Returns the size of the bodies that are being received.
  std::size_t bodyBytes() const {
    std::size_t Bytes = 0;
    for (const auto &[Ticket, Connection] : Active)
      Bytes += Connection->Reader.bodyBytes();
    return Bytes;
  }

  void removeActive(pooled_connection &Connection) {
    Active.erase(Connection.Ticket);
  }

  void remove(pooled_connection &Connection) {
    removeActive(Connection);
    auto Found = Idle.find(Connection.To);
    if (Found == Idle.end())
      return;
    IdleCount -= std::erase_if(Found->second, [&](const auto &Pooled) {
      return Pooled.get() == &Connection;
    });
    if (Found->second.empty())
      Idle.erase(Found);
  }

  void closeExpired() {
    auto Now = std::chrono::steady_clock::now();
    std::vector<std::shared_ptr<pooled_connection>> Expired;
    for (auto &[To, IdleConnections] : Idle)
      for (auto &Connection : IdleConnections)
        if (Now >= Connection->IdleDeadline)
          Expired.push_back(Connection);
    for (auto &Connection : Expired)
      Connection->end();
  }
};

client_pool::client_pool(net::event_loop &Loop, message_limits Limits,
                         socket_options SocketOptions, memory_guard *Memory)
    : Impl(std::make_shared<impl>(Loop, Limits, SocketOptions, Memory)) {}

client_pool::~client_pool() = default;

client_pool::ticket client_pool::send(const address &To, request Request,
                                      const send_options &Options,
                                      callback OnComplete) {
  ticket Ticket = ++Impl->LastTicket;
  auto Connection = Impl->takeIdle(To, Options.MaxIdleTime);
  if (!Connection) {
    Connection = Impl->open(To);
    if (!Connection->Socket.connect(To, Impl->SocketOptions)) {
      Connection->OnClose = nullptr;
      Impl->Loop.defer(
          [OnComplete = std::move(OnComplete)] { OnComplete({}); });
      return Ticket;
    }
  }
  Connection->Ticket = Ticket;
  Impl->Active.emplace(Ticket, Connection);
  Connection->start(std::move(Request), Options, std::move(OnComplete));
  return Ticket;
}

void client_pool::cancel(ticket Ticket) {
  auto Found = Impl->Active.find(Ticket);
  if (Found == Impl->Active.end())
    return;
  auto Connection = Found->second;
  Connection->OnComplete = nullptr;
  Connection->end();
}

std::uint64_t client_pool::openedConnections() const { return Impl->Opened; }

} // namespace gentianlug::http1
