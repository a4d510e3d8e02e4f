#ifndef GENTIANLUG_ADMISSION_FAIR_SCHEDULER_H
#define GENTIANLUG_ADMISSION_FAIR_SCHEDULER_H

#include "gentianlug/config/model.h"

#include <map>
#include <vector>

namespace gentianlug::admission {

/// Maximum number of customers with their own account; further ones share one.
inline constexpr std::size_t MaxCustomerAccounts = 1024;

/// Start-time fair queueing between customers.
///
/// Each call advances the virtual time of its customer by 1 / weight; the
/// customer with the earliest virtual time is served next. An idle customer
/// accumulates no credit.
class fair_scheduler {
public:
  /// Sets the weights; customers that are not listed have weight 1.
  void setCustomers(const std::vector<config::customer> &Customers);

  /// Returns the virtual time at which the next call of \p Customer starts.
  double virtualStartTime(const customer_name &Customer) const;

  /// Charges one call to \p Customer.
  void charge(const customer_name &Customer);

  double weight(const customer_name &Customer) const;

private:
  void evictIdleAccounts();

  std::map<customer_name, double> Weights;
  /// Virtual time at which the last call of each customer finishes.
  std::map<customer_name, double> VirtualFinishTimes;
  double VirtualTime = 0;
};

} // namespace gentianlug::admission

#endif // GENTIANLUG_ADMISSION_FAIR_SCHEDULER_H
