#include "gentianlug/http1/link_pacer.h"

#include <algorithm>

namespace gentianlug::http1 {

/// Faster links are not paced: they transmit a chunk in less time than the
/// timer needs to fire.
static constexpr double MaxPacedBytesPerSecond = 6e6;

link_pacer::link_pacer(net::event_loop &Loop, double BytesPerSecond)
    : Timer(Loop,
            [this] {
              TimerScheduled = false;
              sendChunks();
            }),
      BytesPerSecond(BytesPerSecond <= MaxPacedBytesPerSecond ? BytesPerSecond
                                                              : 0) {}

void link_pacer::add(paced_sender &Sender) {
  if (std::find(Senders.begin(), Senders.end(), &Sender) == Senders.end())
    Senders.push_back(&Sender);
  if (!TimerScheduled)
    sendChunks();
}

void link_pacer::remove(paced_sender &Sender) { std::erase(Senders, &Sender); }

void link_pacer::sendChunks() {
  auto Now = std::chrono::steady_clock::now();
  LinkIdleAt = std::max(LinkIdleAt, Now);
  // Sending one chunk ahead keeps the link busy when the timer fires late.
  std::chrono::duration<double> ChunkTime(double(ChunkBytes) / BytesPerSecond);
  while (!Senders.empty() && LinkIdleAt - Now < ChunkTime) {
    paced_sender *Sender = Senders.front();
    std::size_t SentBytes = Sender->sendChunk(ChunkBytes);
    if (!Sender->hasPendingChunk())
      remove(*Sender);
    LinkIdleAt +=
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            std::chrono::duration<double>(double(SentBytes) / BytesPerSecond));
  }
  if (Senders.empty())
    return;
  TimerScheduled = true;
  Timer.startOnce(std::chrono::duration_cast<std::chrono::microseconds>(
      LinkIdleAt - Now - ChunkTime + std::chrono::milliseconds(1)));
}

} // namespace gentianlug::http1
