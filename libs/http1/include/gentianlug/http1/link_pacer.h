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

  /// Sends at most \p Bytes.
  ///
  /// \returns the number of bytes that the connection took; 0 when it takes
  /// none now or has none.
  virtual std::size_t sendPiece(std::size_t Bytes) = 0;
  /// Returns whether another piece waits and the connection may take it.
  virtual bool hasPiece() const = 0;
};

/// Shares a narrow link: large messages leave in pieces, no faster than the
/// link carries them, so that small ones never wait behind a whole large one.
class link_pacer {
public:
  /// Bytes of one piece; smaller messages are sent at once.
  static constexpr std::size_t PieceBytes = 16UL << 10;

  /// \param BytesPerSecond bandwidth of the link; 0 when it has no bound.
  link_pacer(net::event_loop &Loop, double BytesPerSecond);

  /// Returns whether large messages have to go through the pacer.
  bool paces() const { return BytesPerSecond > 0; }
  /// Queues a sender that has a piece. Its pieces go out one after the other,
  /// in front of those of senders that came later.
  void add(paced_sender &Sender);
  /// Forgets a sender; does nothing if it is not queued.
  void remove(paced_sender &Sender);

private:
  void sendPieces();

  net::timer Timer;
  double BytesPerSecond;
  std::deque<paced_sender *> Senders;
  /// When the link has sent what it was given.
  std::chrono::steady_clock::time_point FreeAt{};
  bool Scheduled = false;
};

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_LINK_PACER_H
