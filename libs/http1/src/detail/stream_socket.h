#ifndef GENTIANLUG_HTTP1_DETAIL_STREAM_SOCKET_H
#define GENTIANLUG_HTTP1_DETAIL_STREAM_SOCKET_H

#include "gentianlug/core/address.h"
#include "gentianlug/http1/link_pacer.h"
#include "gentianlug/http1/socket_rules.h"
#include "gentianlug/net/event_loop.h"

#include <functional>
#include <string>

struct event;
struct evbuffer;

namespace gentianlug::http1::detail {

/// A non-blocking TCP connection of one event loop.
///
/// Its owner must outlive the callback under way; owners defer their own
/// destruction to the next round of the loop.
class stream_socket final : public paced_sender {
public:
  struct callbacks {
    /// A connection that this side opened is established.
    std::function<void()> Connected;
    /// Bytes have been added to `input`.
    std::function<void()> Readable;
    /// The connection has ended. \p Orderly: the other side closed it and sent
    /// everything before. Runs at most once, and never after `close`.
    std::function<void(bool Orderly)> Closed;
    /// Bytes that had to wait have been sent.
    std::function<void()> Sent = nullptr;
  };

  /// \param Pacer of the link that large messages leave by; may be null.
  stream_socket(net::event_loop &Loop, callbacks Callbacks,
                link_pacer *Pacer = nullptr);
  ~stream_socket() override;
  stream_socket(const stream_socket &) = delete;
  stream_socket &operator=(const stream_socket &) = delete;

  /// Takes over an accepted connection.
  void adopt(int Fd, const socket_rules &Rules);
  /// Opens a connection. `Closed` follows when that fails later.
  ///
  /// \returns whether the attempt has begun.
  bool connect(const address &To, const socket_rules &Rules);

  /// Sends \p Bytes, at once as far as the connection takes them.
  void write(std::string Bytes);
  /// Returns whether bytes wait to be sent.
  bool sending() const;
  std::size_t unsentBytes() const;
  void pauseReading();
  void resumeReading();
  /// Closes once all bytes are sent.
  void closeAfterSending();
  /// Closes now; bytes that wait are dropped.
  void close();
  bool isOpen() const { return Fd >= 0; }

  std::size_t sendPiece(std::size_t Bytes) override;
  bool hasPiece() const override;

  evbuffer *input() const { return In; }
  /// Returns the address of the other side.
  address peer() const;

private:
  static void onEvent(int Fd, short What, void *Argument);
  void onReadable();
  void onWritable();
  void flush();
  /// Returns whether what waits has to leave in pieces.
  bool isPaced() const;
  void onSent();
  void watchWritable(bool Watch);
  void fail(bool Orderly);

  net::event_loop &Loop;
  callbacks Callbacks;
  link_pacer *Pacer;
  int Fd = -1;
  evbuffer *In;
  evbuffer *Out;
  ::event *Read = nullptr;
  ::event *Write = nullptr;
  bool Connecting = false;
  bool Reading = false;
  bool WatchingWrite = false;
  bool CloseWhenSent = false;
};

} // namespace gentianlug::http1::detail

#endif // GENTIANLUG_HTTP1_DETAIL_STREAM_SOCKET_H
