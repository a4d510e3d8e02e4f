#include "gentianlug/http1/link_pacer.h"

#include <algorithm>

namespace gentianlug::http1 {

/// Links above this bandwidth send a piece in less time than a timer takes.
static constexpr double MostPacedBytesPerSecond = 6e6;

link_pacer::link_pacer(net::event_loop &Loop, double BytesPerSecond)
    : Timer(Loop,
            [this] {
              Scheduled = false;
              sendPieces();
            }),
      BytesPerSecond(BytesPerSecond <= MostPacedBytesPerSecond ? BytesPerSecond
                                                               : 0) {}

void link_pacer::add(paced_sender &Sender) {
  if (std::find(Senders.begin(), Senders.end(), &Sender) == Senders.end())
    Senders.push_back(&Sender);
  if (!Scheduled)
    sendPieces();
}

void link_pacer::remove(paced_sender &Sender) { std::erase(Senders, &Sender); }

void link_pacer::sendPieces() {
  auto Now = std::chrono::steady_clock::now();
  FreeAt = std::max(FreeAt, Now);
  // One piece ahead keeps the link busy while the timer is late.
  std::chrono::duration<double> PieceTime(double(PieceBytes) / BytesPerSecond);
  while (!Senders.empty() && FreeAt - Now < PieceTime) {
    paced_sender *First = Senders.front();
    std::size_t Sent = First->sendPiece(PieceBytes);
    if (!First->hasPiece())
      remove(*First);
    FreeAt += std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(double(Sent) / BytesPerSecond));
  }
  if (Senders.empty())
    return;
  Scheduled = true;
  Timer.startOnce(std::chrono::duration_cast<std::chrono::microseconds>(
      FreeAt - Now - PieceTime + std::chrono::milliseconds(1)));
}

} // namespace gentianlug::http1
