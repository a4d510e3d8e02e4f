#include "gentianlug/http1/memory_guard.h"

#include <unordered_map>
#include <utility>

namespace gentianlug::http1 {

using memory::holder_id;
using memory::holder_kind;

struct memory_guard::impl {
  struct owner {
    holder_kind Kind;
    std::function<void()> OnEvicted;
  };

  memory::memory_budget Budget;
  std::unordered_map<holder_id, owner> Owners;
  observer Observer;

  explicit impl(std::size_t TotalBytes) : Budget(TotalBytes) {}

  void report(holder_kind Kind, bool Evicted) const {
    if (Observer)
      Observer(Kind, Evicted);
  }

  void evict(holder_id Id) {
    auto Found = Owners.find(Id);
    if (Found == Owners.end())
      return;
    report(Found->second.Kind, true);
    // Copied, because the owner may remove its entry.
    if (auto OnEvicted = Found->second.OnEvicted)
      OnEvicted();
  }

  bool resize(holder_id Id, std::size_t Bytes) {
    memory::budget_decision Decision =
        Budget.resize(Id, Bytes, std::chrono::steady_clock::now());
    for (holder_id Evicted : Decision.Evicted)
      evict(Evicted);
    if (!Decision.Granted)
      report(Owners.at(Id).Kind, false);
    return Decision.Granted;
  }
};

memory_guard::memory_guard(std::size_t TotalBytes)
    : Impl(std::make_unique<impl>(TotalBytes)) {}

memory_guard::~memory_guard() = default;

void memory_guard::setObserver(observer Observer) {
  Impl->Observer = std::move(Observer);
}

const memory::memory_budget &memory_guard::budget() const {
  return Impl->Budget;
}

memory_holding::memory_holding(memory_guard *Guard, holder_kind Kind,
                               std::function<void()> OnEvicted)
    : Guard(Guard) {
  if (!Guard)
    return;
  Id = Guard->Impl->Budget.add(Kind, std::chrono::steady_clock::now());
  Guard->Impl->Owners.emplace(
      Id, memory_guard::impl::owner{Kind, std::move(OnEvicted)});
}

memory_holding::~memory_holding() { release(); }

memory_holding::memory_holding(memory_holding &&Other) noexcept
    : Guard(std::exchange(Other.Guard, nullptr)), Id(Other.Id),
      Bytes(Other.Bytes) {}

memory_holding &memory_holding::operator=(memory_holding &&Other) noexcept {
  if (this != &Other) {
    release();
    Guard = std::exchange(Other.Guard, nullptr);
    Id = Other.Id;
    Bytes = Other.Bytes;
  }
  return *this;
}

void memory_holding::release() {
  if (!Guard)
    return;
  Guard->Impl->Budget.remove(Id);
  Guard->Impl->Owners.erase(Id);
  Guard = nullptr;
}

bool memory_holding::resize(std::size_t NewBytes) {
  if (!Guard || NewBytes == Bytes)
    return true;
  Bytes = NewBytes;
  return Guard->Impl->resize(Id, NewBytes);
}

} // namespace gentianlug::http1
