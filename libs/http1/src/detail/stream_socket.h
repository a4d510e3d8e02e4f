#ifndef GENTIANLUG_HTTP1_DETAIL_STREAM_SOCKET_H
#define GENTIANLUG_HTTP1_DETAIL_STREAM_SOCKET_H

#include "gentianlug/core/address.h"
#include "gentianlug/http1/link_pacer.h"
#include "gentianlug/http1/message_body.h"
#include "gentianlug/http1/socket_options.h"
#include "gentianlug/net/event_loop.h"

#include <functional>
#include <string>

struct event;
struct evbuffer;

namespace gentianlug::http1::detail {

/// A non-blocking TCP connection on one event loop.
///
/// The socket must not be destroyed during one of its callbacks; owners defer
/// their own destruction to the next iteration of the loop.
class stream_socket final : public paced_sender {
public:
  struct callbacks {
    /// The connection that `connect` started is established.
    std::function<void()> Connected;
    /// Received bytes have been appended to `input`.
    std::function<void()> Readable;
    /// The connection has been closed by the peer or by an error. \p Orderly is
    /// true if the peer ended the stream without a reset and has taken all
    /// bytes until then. Called at most once, and never after `close`.
    std::function<void(bool Orderly)> Closed;
    /// All bytes written so far have been sent.
    std::function<void()> Sent = nullptr;
  };

  /// \param Pacer limits the rate at which large messages are sent; may be
  /// null.
  stream_socket(net::event_loop &Loop, callbacks Callbacks,
                link_pacer *Pacer = nullptr);
  ~stream_socket() override;
  stream_socket(const stream_socket &) = delete;
  stream_socket &operator=(const stream_socket &) = delete;

  /// Takes ownership of an accepted connection.
  void adopt(int Fd, const socket_options &Options);
  /// Starts to open a connection. If the attempt fails later, `Closed` is
  /// called.
  ///
  /// \returns whether the attempt was started.
  bool connect(const address &To, const socket_options &Options);

  /// Sends \p Bytes. What the kernel does not accept at once is buffered.
  void write(std::string Bytes);
  /// Sends \p Body without copying its parts.
  void write(const message_body &Body);
  bool hasUnsentBytes() const;
  std::size_t unsentBytes() const;
  void pauseReading();
  void resumeReading();
  /// Shuts down the sending side once all buffered bytes are sent. Bytes
  /// received after the call are discarded.
  void shutdownAfterSending();
  /// Closes immediately and discards unsent bytes.
  void close();
  bool isOpen() const { return Fd >= 0; }
  /// Returns whether the peer no longer takes bytes, because a write has
  /// failed. Bytes that it sent before may still arrive.
  bool hasWriteFailed() const { return WriteFailed; }

  std::size_t sendChunk(std::size_t Bytes) override;
  bool hasPendingChunk() const override;

  evbuffer *input() const { return In; }
  /// Returns the address of the peer, or an empty one on an error.
  address peer() const;

private:
  /// Adds \p Bytes to the output. They are copied if they are few.
  void append(message_body::part Bytes);
  void flushIfWritable();

  static void onEvent(int Fd, short What, void *Argument);
  void onReadable();
  void onWritable();
  void flush();
  /// Returns whether the unsent bytes are sent in chunks through the pacer.
  bool isPaced() const;
  void onSent();
  void watchWritable(bool Watch);
  void closeAndNotify(bool Orderly);

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
  bool ShutdownWhenSent = false;
  bool WriteFailed = false;
};

} // namespace gentianlug::http1::detail

#endif // GENTIANLUG_HTTP1_DETAIL_STREAM_SOCKET_H
