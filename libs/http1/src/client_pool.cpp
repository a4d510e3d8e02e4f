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

/// How often idle connections are checked.
static constexpr std::chrono::milliseconds IdleCheckPeriod{1000};
/// Idle time of a connection whose other side states none.
static constexpr std::chrono::milliseconds DefaultIdleTime{4000};

/// Returns the idle time that an answer states, less a margin for the way.
static std::chrono::milliseconds statedIdleTime(const response &Answer) {
  const std::string *Field = Answer.Headers.find("keep-alive");
  constexpr std::string_view Key = "timeout=";
  std::size_t At = Field ? Field->find(Key) : std::string::npos;
  if (At == std::string::npos)
    return DefaultIdleTime;
  long Seconds = 0;
  const char *Begin = Field->data() + At + Key.size();
  std::from_chars(Begin, Field->data() + Field->size(), Seconds);
  constexpr long MillisKeptOfASecond = 700;
  constexpr long MaxSeconds = 3600;
  return std::chrono::milliseconds(MillisKeptOfASecond *
                                   std::clamp(Seconds, 0L, MaxSeconds));
}

namespace {

/// A connection of a pool, with the request under way on it.
class pooled_connection final
    : public std::enable_shared_from_this<pooled_connection> {
public:
  using ended = std::function<void(pooled_connection &)>;

  pooled_connection(net::event_loop &Loop, address To, message_limits Limits)
      : Loop(Loop), To(std::move(To)),
        Socket(Loop, {.Connected = [this] { onConnected(); },
                      .Readable = [this] { onReadable(); },
                      .Closed = [this](bool Orderly) { onClosed(Orderly); }}),
        Reader(message_kind::Response, Limits) {}

  net::event_loop &Loop;
  address To;
  detail::stream_socket Socket;
  message_reader Reader;
  client_pool::callback Done;
  client_pool::ticket Ticket = 0;
  std::optional<net::timer> ConnectTimer;
  std::string EchoedField;
  std::string EchoedValue;
  time_point IdleSince{};
  time_point IdleUntil{};
  bool Connected = false;
  bool Used = false;
  bool Clean = true;
  /// The pool takes a connection back or forgets it.
  ended OnIdle;
  ended OnEnded;

  void start(request Request, const send_options &Options,
             client_pool::callback Next) {
    Done = std::move(Next);
    EchoedField = Options.EchoedField;
    if (const std::string *Value = Request.Headers.find(EchoedField))
      EchoedValue = *Value;
    if (Request.Method == "HEAD")
      Reader.expectNoBody();
    std::string Head = encodeHead(Request);
    Socket.write(std::move(Head));
    Socket.write(std::move(Request.Body));
    if (Connected)
      return;
    ConnectTimer.emplace(Loop, [this] {
      Socket.close();
      finish(send_end::NotSent, {});
    });
    ConnectTimer->startOnce(Options.ConnectTimeout);
  }

  void end() {
    auto Keep = shared_from_this();
    ConnectTimer.reset();
    Socket.close();
    if (auto Action = std::exchange(OnEnded, nullptr))
      Action(*this);
    Loop.defer([Keep] {});
  }

private:
  void onConnected() {
    Connected = true;
    ConnectTimer.reset();
  }

  void finish(send_end End, response Answer) {
    auto Keep = shared_from_this();
    auto Callback = std::exchange(Done, nullptr);
    bool Reused = std::exchange(Used, true);
    if (Socket.isOpen() && Clean && OnIdle)
      OnIdle(*this);
    else
      end();
    if (Callback)
      Callback({End, Reused, std::move(Answer)});
  }

  /// Whether \p Answer belongs to the request under way.
  bool isOurs(const response &Answer) const {
    const std::string *Value =
        EchoedField.empty() ? nullptr : Answer.Headers.find(EchoedField);
    return !Value || *Value == EchoedValue;
  }

  void onReadable() {
    auto Keep = shared_from_this();
    evbuffer *Input = Socket.input();
    while (Socket.isOpen()) {
      std::size_t Size = evbuffer_get_length(Input);
      if (Size == 0)
        return;
      // Bytes that no request asked for make the connection unusable.
      if (!Done)
        return end();
      const auto *Bytes =
          reinterpret_cast<const char *>(evbuffer_pullup(Input, ssize_t(Size)));
      evbuffer_drain(Input, Reader.feed({Bytes, Size}));
      if (Reader.state() == reader_state::Failed) {
        Clean = false;
        return finish(send_end::Malformed, {});
      }
      if (Reader.state() == reader_state::Complete)
        takeAnswer(evbuffer_get_length(Input) > 0);
    }
  }

  void takeAnswer(bool MoreBytes) {
    response Answer = Reader.takeResponse();
    if (!isOurs(Answer)) {
      Clean = false;
      return;
    }
    // An answer that comes before the whole request is sent leaves a
    // connection on which the rest of the body would still be due.
    if (!Answer.KeepAlive || MoreBytes || Socket.sending())
      Clean = false;
    IdleSince = std::chrono::steady_clock::now();
    IdleUntil = IdleSince + statedIdleTime(Answer);
    finish(send_end::Answered, std::move(Answer));
  }

  void onClosed(bool Orderly) {
    if (!Done)
      return end();
    if (!Connected)
      return finish(send_end::NotSent, {});
    Clean = false;
    if (Orderly) {
      Reader.finish();
      if (Reader.state() == reader_state::Complete) {
        response Answer = Reader.takeResponse();
        if (isOurs(Answer))
          return finish(send_end::Answered, std::move(Answer));
      }
    }
    finish(send_end::Lost, {});
  }
};

} // namespace

struct client_pool::impl : std::enable_shared_from_this<client_pool::impl> {
  net::event_loop &Loop;
  message_limits Limits;
  socket_rules Rules;
  ticket LastTicket = 0;
  std::uint64_t Opened = 0;
  std::unordered_map<ticket, std::shared_ptr<pooled_connection>> Busy;
  std::map<address, std::vector<std::shared_ptr<pooled_connection>>> Idle;
  net::timer IdleTimer;

  impl(net::event_loop &Loop, message_limits Limits, socket_rules Rules)
      : Loop(Loop), Limits(Limits), Rules(Rules),
        IdleTimer(Loop, [this] { closeExpired(); }) {
    IdleTimer.startEvery(IdleCheckPeriod);
  }

  std::shared_ptr<pooled_connection>
  takeIdle(const address &To, std::chrono::milliseconds MaxIdle) {
    auto Found = Idle.find(To);
    if (Found == Idle.end())
      return nullptr;
    auto Now = std::chrono::steady_clock::now();
    while (!Found->second.empty()) {
      auto Last = Found->second.back();
      if (Now - Last->IdleSince > MaxIdle)
        return nullptr;
      Found->second.pop_back();
      if (Now < Last->IdleUntil && Last->Socket.isOpen())
        return Last;
      Last->OnEnded = nullptr;
      Last->end();
    }
    return nullptr;
  }

  std::shared_ptr<pooled_connection> open(const address &To) {
    auto Next = std::make_shared<pooled_connection>(Loop, To, Limits);
    std::weak_ptr<impl> Weak = weak_from_this();
    Next->OnIdle = [Weak](pooled_connection &Connection) {
      if (auto Self = Weak.lock())
        Self->keep(Connection);
    };
    Next->OnEnded = [Weak](pooled_connection &Connection) {
      if (auto Self = Weak.lock())
        Self->drop(Connection);
    };
    ++Opened;
    return Next;
  }

  void keep(pooled_connection &Connection) {
    auto Self = Connection.shared_from_this();
    eraseBusy(Connection);
    auto &Kept = Idle[Connection.To];
    if (Kept.size() >= MaxIdlePerAddress) {
      Connection.OnEnded = nullptr;
      Connection.end();
      return;
    }
    Kept.push_back(std::move(Self));
  }

  void eraseBusy(pooled_connection &Connection) {
    Busy.erase(Connection.Ticket);
  }

  void drop(pooled_connection &Connection) {
    eraseBusy(Connection);
    auto Found = Idle.find(Connection.To);
    if (Found == Idle.end())
      return;
    std::erase_if(Found->second,
                  [&](const auto &Kept) { return Kept.get() == &Connection; });
    if (Found->second.empty())
      Idle.erase(Found);
  }

  void closeExpired() {
    auto Now = std::chrono::steady_clock::now();
    std::vector<std::shared_ptr<pooled_connection>> Expired;
    for (auto &[To, Kept] : Idle)
      for (auto &Connection : Kept)
        if (Now >= Connection->IdleUntil)
          Expired.push_back(Connection);
    for (auto &Connection : Expired)
      Connection->end();
  }
};

client_pool::client_pool(net::event_loop &Loop, message_limits Limits,
                         socket_rules Rules)
    : Impl(std::make_shared<impl>(Loop, Limits, Rules)) {}

client_pool::~client_pool() = default;

client_pool::ticket client_pool::send(const address &To, request Request,
                                      const send_options &Options,
                                      callback Done) {
  ticket Ticket = ++Impl->LastTicket;
  auto Connection = Impl->takeIdle(To, Options.MaxIdle);
  if (!Connection) {
    Connection = Impl->open(To);
    if (!Connection->Socket.connect(To, Impl->Rules)) {
      Connection->OnEnded = nullptr;
      Impl->Loop.defer([Done = std::move(Done)] { Done({}); });
      return Ticket;
    }
  }
  Connection->Ticket = Ticket;
  Impl->Busy.emplace(Ticket, Connection);
  Connection->start(std::move(Request), Options, std::move(Done));
  return Ticket;
}

void client_pool::cancel(ticket Ticket) {
  auto Found = Impl->Busy.find(Ticket);
  if (Found == Impl->Busy.end())
    return;
  auto Connection = Found->second;
  Connection->Done = nullptr;
  Connection->end();
}

std::uint64_t client_pool::opened() const { return Impl->Opened; }

} // namespace gentianlug::http1
