#include "gentianlug/admission/call_ledger.h"

namespace gentianlug::admission {

/// Memory of an entry without id and response: table node, expiry queue element
/// and state.
static constexpr std::size_t EntryOverheadBytes = 256;

static std::size_t sizeOf(const recorded_response &Response) {
  std::size_t Size = Response.Body.size();
  for (const auto &[Name, Value] : Response.Headers)
    Size += Name.size() + Value.size();
  return Size;
}

bool call_ledger::hasRoom(std::size_t Size) const {
  return Bytes + Size <= Bounds.MaxBytes;
}

void call_ledger::setEntrySize(entry &Entry, std::size_t Size) {
  Bytes += Size - Entry.Bytes;
  Entry.Bytes = Size;
}

void call_ledger::startRetention(const call_id &Id, entry &Entry, state State,
                                 steady_time Now) {
  Entry.State = State;
  Entry.Expiry = Now + Bounds.RetentionTime;
  Expiries.emplace_back(Entry.Expiry, Id);
}

void call_ledger::expire(steady_time Now) {
  while (!Expiries.empty() && Expiries.front().first <= Now) {
    auto Entry = Entries.find(Expiries.front().second);
    // Since the expiry was queued, the entry may have got a later one, or the
    // call may be running again.
    if (Entry != Entries.end() && Entry->second.State != state::Running &&
        Entry->second.Expiry <= Now) {
      Bytes -= Entry->second.Bytes;
      Entries.erase(Entry);
    }
    Expiries.pop_front();
  }
}

call_ledger::state call_ledger::begin(const call_id &Id, std::uint32_t Attempt,
                                      steady_time Now) {
  expire(Now);
  auto Entry = Entries.find(Id);
  if (Entry != Entries.end() && (Entry->second.State != state::Refused ||
                                 Attempt <= Entry->second.RefusedUpTo))
    return Entry->second.State;
  std::size_t Reserved =
      EntryOverheadBytes + Id.str().size() + Bounds.MaxResponseBytes;
  if (!hasRoom(Reserved))
    return state::Full;
  entry &Running = Entries[Id];
  Running.State = state::Running;
  setEntrySize(Running, Reserved);
  return state::Started;
}

void call_ledger::finish(const call_id &Id,
                         std::optional<recorded_response> Response,
                         steady_time Now) {
  auto Entry = Entries.find(Id);
  if (Entry == Entries.end() || Entry->second.State != state::Running)
    return;
  std::size_t Size = Response ? sizeOf(*Response) : 0;
  bool Kept = Response && Size <= Bounds.MaxResponseBytes;
  setEntrySize(Entry->second,
               EntryOverheadBytes + Id.str().size() + (Kept ? Size : 0));
  if (Kept)
    Entry->second.Response = std::move(*Response);
  startRetention(Id, Entry->second,
                 Kept ? state::Completed : state::ResponseNotKept, Now);
}

void call_ledger::abandon(const call_id &Id, steady_time Now) {
  auto Entry = Entries.find(Id);
  if (Entry == Entries.end() || Entry->second.State != state::Running)
    return;
  if (Entry->second.RefusedUpTo > 0) {
    setEntrySize(Entry->second, EntryOverheadBytes + Id.str().size());
    return startRetention(Id, Entry->second, state::Refused, Now);
  }
  Bytes -= Entry->second.Bytes;
  Entries.erase(Entry);
}

call_ledger::state call_ledger::queryOrRefuse(const call_id &Id,
                                              std::uint32_t Attempt,
                                              steady_time Now) {
  expire(Now);
  auto Known = Entries.find(Id);
  if (Known != Entries.end() && Known->second.State != state::Refused)
    return Known->second.State;
  if (Known != Entries.end() && Known->second.RefusedUpTo >= Attempt)
    return state::Refused;
  std::size_t Size = EntryOverheadBytes + Id.str().size();
  if (Known == Entries.end() && !hasRoom(Size))
    return state::Full;
  entry &Entry = Entries[Id];
  Entry.RefusedUpTo = std::max(Entry.RefusedUpTo, Attempt);
  setEntrySize(Entry, Size);
  startRetention(Id, Entry, state::Refused, Now);
  return state::Refused;
}

bool call_ledger::isRefused(const call_id &Id, std::uint32_t Attempt,
                            steady_time Now) {
  expire(Now);
  auto Entry = Entries.find(Id);
  return Entry != Entries.end() && Attempt <= Entry->second.RefusedUpTo;
}

const recorded_response *call_ledger::response(const call_id &Id) const {
  auto Entry = Entries.find(Id);
  bool Completed =
      Entry != Entries.end() && Entry->second.State == state::Completed;
  return Completed ? &Entry->second.Response : nullptr;
}

} // namespace gentianlug::admission
