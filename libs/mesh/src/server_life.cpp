#include "gentianlug/mesh/server_life.h"

namespace gentianlug::mesh {

static bool leaves(server_state State) {
  return State == server_state::Draining || State == server_state::Gone;
}

void server_life::onStored(const server_record &Record) { Stored = Record; }

life_change server_life::onAnnouncement(const server_announcement &Next) {
  if (Stored && Stored->Instance == Next.Instance &&
      Stored->Incarnation == Next.Incarnation && leaves(Stored->State) &&
      !leaves(Next.State))
    return life_change::Ignored;
  if (Stored && Next.Incarnation < Stored->Incarnation)
    return life_change::Ignored;
  if (!Current || Next.Incarnation > Current->Incarnation) {
    Current = Next;
    return life_change::Changed;
  }
  if (Next.Incarnation < Current->Incarnation ||
      Next.Instance != Current->Instance || Next.Sequence <= Current->Sequence)
    return life_change::Ignored;
  server_state Before = Current->State;
  bool Same = Before == Next.State && Current->Slots == Next.Slots &&
              Current->Version == Next.Version &&
              Current->Address == Next.Address;
  Current = Next;
  if (leaves(Before))
    Current->State = Before;
  return Same || leaves(Before) ? life_change::Seen : life_change::Changed;
}

life_change server_life::onLeave(const std::string &Instance) {
  if (!Current || Current->Instance != Instance)
    return life_change::Ignored;
  if (Current->State == server_state::Gone)
    return life_change::Seen;
  Current->State = server_state::Gone;
  return life_change::Changed;
}

} // namespace gentianlug::mesh
