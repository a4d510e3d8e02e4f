#include "gentianlug/memory/memory_budget.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

namespace gentianlug::memory {

namespace {

struct holder {
  holder_kind Kind = holder_kind::Request;
  std::size_t Bytes = 0;
  /// Time of the last progress, and the size at that time.
  steady_time ProgressAt{};
  std::size_t ProgressMark = 0;
};

} // namespace

static bool isRequest(holder_kind Kind) {
  return Kind == holder_kind::Request || Kind == holder_kind::Call;
}

static bool isLarge(holder_kind Kind, std::size_t Bytes) {
  return isRequest(Kind) && Bytes > memory_budget::MaxOrdinaryBytes;
}

static std::size_t fractionOf(std::size_t Bytes, double Fraction) {
  return std::size_t(double(Bytes) * Fraction);
}

struct memory_budget::impl {
  /// Holders of one kind by the time of their last progress, earliest first.
  using progress_order = std::set<std::pair<steady_time, holder_id>>;

  std::size_t TotalBytes;
  std::size_t MaxRequestBytes;
  std::size_t MaxLargeRequestBytes;
  std::unordered_map<holder_id, holder> Holders;
  holder_id LastId = 0;
  std::array<std::size_t, HolderKindCount> BytesByKind{};
  std::size_t LargeRequestBytes = 0;
  /// Holders with bytes that can be evicted.
  progress_order Requests;
  progress_order Deliveries;

  explicit impl(std::size_t TotalBytes)
      : TotalBytes(TotalBytes),
        MaxRequestBytes(fractionOf(TotalBytes, RequestShare)),
        MaxLargeRequestBytes(fractionOf(TotalBytes, LargeRequestShare)) {}

  std::size_t heldBytes() const {
    std::size_t Sum = 0;
    for (std::size_t Bytes : BytesByKind)
      Sum += Bytes;
    return Sum;
  }

  std::size_t bytesOf(holder_kind Kind) const {
    return BytesByKind[std::size_t(Kind)];
  }

  progress_order *orderOf(holder_kind Kind) {
    if (Kind == holder_kind::Request)
      return &Requests;
    return Kind == holder_kind::Delivery ? &Deliveries : nullptr;
  }

  void setBytes(holder_id Id, holder &Holder, std::size_t Bytes) {
    BytesByKind[std::size_t(Holder.Kind)] += Bytes - Holder.Bytes;
    if (isLarge(Holder.Kind, Holder.Bytes))
      LargeRequestBytes -= Holder.Bytes;
    if (isLarge(Holder.Kind, Bytes))
      LargeRequestBytes += Bytes;
    if (progress_order *Order = orderOf(Holder.Kind)) {
      if (Holder.Bytes == 0 && Bytes > 0)
        Order->emplace(Holder.ProgressAt, Id);
      else if (Holder.Bytes > 0 && Bytes == 0)
        Order->erase({Holder.ProgressAt, Id});
    }
    Holder.Bytes = Bytes;
  }

  /// Notes the progress of a holder that is to have \p Bytes. A request grows,
  /// and shrinks when a message is complete; a delivery shrinks.
  void noteProgress(holder_id Id, holder &Holder, std::size_t Bytes,
                    steady_time Now) {
    std::size_t Mark = Holder.ProgressMark;
    bool Starts = Holder.Bytes == 0;
    bool Advances = Holder.Kind == holder_kind::Delivery
                        ? Bytes + ProgressBytes <= Mark
                        : Bytes >= Mark + ProgressBytes || Bytes < Mark;
    if (Holder.Kind == holder_kind::Delivery)
      Holder.ProgressMark = std::max(Mark, Bytes);
    if (!Starts && !Advances)
      return;
    progress_order *Order = orderOf(Holder.Kind);
    if (Order && Order->erase({Holder.ProgressAt, Id}) > 0)
      Order->emplace(Now, Id);
    Holder.ProgressAt = Now;
    Holder.ProgressMark = Bytes;
  }

  bool exceedsTotal() const { return heldBytes() > TotalBytes; }
  bool exceedsRequestShare() const {
    return bytesOf(holder_kind::Request) + bytesOf(holder_kind::Call) >
           MaxRequestBytes;
  }
  bool exceedsLargeRequestShare() const {
    return LargeRequestBytes > MaxLargeRequestBytes;
  }

  /// Returns whether there is no room for the holder at its present size.
  bool isOverLimit(const holder &Holder) const {
    return exceedsTotal() ||
           (isRequest(Holder.Kind) && exceedsRequestShare()) ||
           (isLarge(Holder.Kind, Holder.Bytes) && exceedsLargeRequestShare());
  }

  /// Returns the request to evict next for the holder \p For, or 0.
  ///
  /// \param MinStallTime time without progress from which on it may be evicted.
  holder_id nextRequestToEvict(holder_id For, const holder &Holder,
                               std::chrono::milliseconds MinStallTime,
                               steady_time Now) const {
    bool OnlyLarge = isLarge(Holder.Kind, Holder.Bytes) &&
                     exceedsLargeRequestShare() && !exceedsTotal() &&
                     !exceedsRequestShare();
    for (const auto &[ProgressAt, Id] : Requests) {
      if (Now - ProgressAt < MinStallTime)
        return 0;
      const holder &Candidate = Holders.at(Id);
      if (Id != For && (!OnlyLarge || isLarge(Candidate.Kind, Candidate.Bytes)))
        return Id;
    }
    return 0;
  }

  /// Returns the delivery to evict next for the holder \p For, or 0.
  holder_id nextDeliveryToEvict(holder_id For, steady_time Now) const {
    if (!exceedsTotal())
      return 0;
    for (const auto &[ProgressAt, Id] : Deliveries) {
      if (Now - ProgressAt < DeliveryStallTime)
        return 0;
      if (Id != For)
        return Id;
    }
    return 0;
  }

  /// Returns the holder to evict next for the holder \p For, or 0.
  holder_id nextToEvict(holder_id For, const holder &Holder,
                        steady_time Now) const {
    if (holder_id Id = nextRequestToEvict(For, Holder, RequestStallTime, Now))
      return Id;
    if (holder_id Id = nextDeliveryToEvict(For, Now))
      return Id;
    // The response to a call that a server has run goes before requests that
    // may be sent again.
    return isRequest(Holder.Kind)
               ? 0
               : nextRequestToEvict(For, Holder, std::chrono::milliseconds(0),
                                    Now);
  }

  /// Evicts holders until there is room for \p Holder or none is left to evict.
  void makeRoom(holder_id Id, const holder &Holder, steady_time Now,
                std::vector<holder_id> &Evicted) {
    while (isOverLimit(Holder)) {
      holder_id Victim = nextToEvict(Id, Holder, Now);
      if (Victim == 0)
        return;
      setBytes(Victim, Holders.at(Victim), 0);
      Evicted.push_back(Victim);
    }
  }
};

memory_budget::memory_budget(std::size_t TotalBytes)
    : Impl(std::make_unique<impl>(TotalBytes)) {}

memory_budget::~memory_budget() = default;

holder_id memory_budget::add(holder_kind Kind, steady_time Now) {
  Impl->Holders.emplace(++Impl->LastId, holder{Kind, 0, Now, 0});
  return Impl->LastId;
}

budget_decision memory_budget::resize(holder_id Id, std::size_t Bytes,
                                      steady_time Now) {
  holder &Holder = Impl->Holders.at(Id);
  std::size_t Before = Holder.Bytes;
  Impl->noteProgress(Id, Holder, Bytes, Now);
  Impl->setBytes(Id, Holder, Bytes);
  budget_decision Decision;
  if (Bytes <= Before)
    return Decision;
  Impl->makeRoom(Id, Holder, Now, Decision.Evicted);
  Decision.Granted =
      Holder.Kind == holder_kind::Delivery || !Impl->isOverLimit(Holder);
  if (!Decision.Granted)
    Impl->setBytes(Id, Holder, Before);
  return Decision;
}

void memory_budget::remove(holder_id Id) {
  auto Found = Impl->Holders.find(Id);
  if (Found == Impl->Holders.end())
    return;
  Impl->setBytes(Id, Found->second, 0);
  Impl->Holders.erase(Found);
}

std::size_t memory_budget::totalBytes() const { return Impl->TotalBytes; }

std::size_t memory_budget::heldBytes() const { return Impl->heldBytes(); }

std::size_t memory_budget::heldBytes(holder_kind Kind) const {
  return Impl->bytesOf(Kind);
}

const char *describe(holder_kind Kind) {
  switch (Kind) {
  case holder_kind::Request:
    return "request";
  case holder_kind::Call:
    return "call";
  case holder_kind::Response:
    return "response";
  case holder_kind::Delivery:
    return "delivery";
  }
  return "";
}

} // namespace gentianlug::memory
