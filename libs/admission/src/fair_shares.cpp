#include "gentianlug/admission/fair_shares.h"

#include <algorithm>

namespace gentianlug::admission {

void fair_shares::setCustomers(const std::vector<config::customer> &Customers) {
  Weights.clear();
  for (const config::customer &Customer : Customers)
    Weights[Customer.Name] = std::max(1U, Customer.Share);
}

double fair_shares::weight(const customer_name &Customer) const {
  auto Entry = Weights.find(Customer);
  return Entry == Weights.end() ? 1 : Entry->second;
}

double fair_shares::nextStart(const customer_name &Customer) const {
  auto Entry = Ends.find(Customer);
  return Entry == Ends.end() ? VirtualNow : std::max(VirtualNow, Entry->second);
}

void fair_shares::charge(const customer_name &Customer) {
  if (Ends.size() >= MaxCustomerAccounts)
    dropIdle();
  bool Own = Ends.count(Customer) || Ends.size() < MaxCustomerAccounts;
  const customer_name Account = Own ? Customer : customer_name();
  double Start = nextStart(Account);
  VirtualNow = Start;
  Ends[Account] = Start + 1 / weight(Account);
}

void fair_shares::dropIdle() {
  std::erase_if(Ends,
                [&](const auto &Entry) { return Entry.second <= VirtualNow; });
}

} // namespace gentianlug::admission
