#ifndef GENTIANLUG_HTTP1_LINK_PACER_H
#define GENTIANLUG_HTTP1_LINK_PACER_H

#include "gentianlug/net/event_loop.h"
#include "gentianlug/net/timer.h"

#include <chrono>
#include <cstddef>
#include <deque>

namespace gentianlug::http1 {

/// A connection that sends through a `link_pacer`.
class paced_sender {
public:
  virtual ~paced_sender() = default;

  /// Sends up to \p Bytes.
  ///
  /// \returns the number of bytes sent; 0 if the connection is not writable or
  /// has nothing to send.
  virtual std::size_t sendChunk(std::size_t Bytes) = 0;
  /// Returns whether there is another chunk that the connection can send now.
  virtual bool hasPendingChunk() const = 0;
};

/// Limits the rate of large messages to the bandwidth of a slow link.
///
/// Large messages are sent in chunks, no faster than the link transmits them,
/// so that small messages do not queue behind a whole large one.
class link_pacer {
public:
  /// Size of one chunk. Up to this many unsent bytes are sent without pacing.
  static constexpr std::size_t ChunkBytes = 16UL << 10;

  /// \param BytesPerSecond bandwidth of the link; 0 if it is unlimited.
  link_pacer(net::event_loop &Loop, double BytesPerSecond);

  /// Returns whether large messages have to be sent through the pacer.
  bool isEnabled() const { return BytesPerSecond > 0; }
  /// Queues a sender that has a pending chunk. Senders are served first come,
  /// first served: all chunks of one are sent before those of the next. A
  /// sender whose connection is blocked is removed and has to be added again.
  void add(paced_sender &Sender);
  /// Removes a sender from the queue, if it is queued.
  void remove(paced_sender &Sender);

private:
  void sendChunks();

  net::timer Timer;
  double BytesPerSecond;
  std::deque<paced_sender *> Senders;
  /// Time at which the link has transmitted all chunks handed to it.
  std::chrono::steady_clock::time_point LinkIdleAt{};
  bool TimerScheduled = false;
};

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_LINK_PACER_H
