#include "gentianlug/admission/fair_scheduler.h"

#include <algorithm>

namespace gentianlug::admission {

void fair_scheduler::setCustomers(
    const std::vector<config::customer> &Customers) {
  Weights.clear();
  for (const config::customer &Customer : Customers)
    Weights[Customer.Name] = std::max(1U, Customer.Share);
}

double fair_scheduler::weight(const customer_name &Customer) const {
  auto Entry = Weights.find(Customer);
  return Entry == Weights.end() ? 1 : Entry->second;
}

double fair_scheduler::virtualStartTime(const customer_name &Customer) const {
  auto Entry = VirtualFinishTimes.find(Customer);
  return Entry == VirtualFinishTimes.end()
             ? VirtualTime
             : std::max(VirtualTime, Entry->second);
}

void fair_scheduler::charge(const customer_name &Customer) {
  if (VirtualFinishTimes.size() >= MaxCustomerAccounts)
    evictIdleAccounts();
  bool HasOwnAccount = VirtualFinishTimes.count(Customer) ||
                       VirtualFinishTimes.size() < MaxCustomerAccounts;
  const customer_name Account = HasOwnAccount ? Customer : customer_name();
  double Start = virtualStartTime(Account);
  VirtualTime = Start;
  VirtualFinishTimes[Account] = Start + 1 / weight(Account);
}

void fair_scheduler::evictIdleAccounts() {
  std::erase_if(VirtualFinishTimes,
                [&](const auto &Entry) { return Entry.second <= VirtualTime; });
}

} // namespace gentianlug::admission
