#ifndef GENTIANLUG_GATEWAY_USAGE_INTERFACES_H
#define GENTIANLUG_GATEWAY_USAGE_INTERFACES_H

#include "gentianlug/mesh/usage_duty.h"
#include "gentianlug/store/lease.h"

#include <functional>

namespace gentianlug::gateway {

/// The lease of the usage duty and the progress of its reports, which are one
/// object of the store.
struct usage_duty {
  store::lease_value Lease;
  mesh::usage_progress Progress;
};

/// Result of an operation on the object of the duty.
enum class duty_outcome : std::uint8_t {
  Done,
  /// The object does not exist, or has another revision than expected.
  Conflict,
  /// The store did not respond; a write may have taken effect, or may still do.
  NoResponse,
};

/// Stores the usage duty.
class usage_duty_store {
public:
  using read_callback =
      std::function<void(duty_outcome, const usage_duty &, object_revision)>;
  using write_callback = std::function<void(duty_outcome, object_revision)>;

  virtual ~usage_duty_store() = default;

  /// Reads the current object; `Conflict` means that there is none.
  virtual void read(read_callback Done) = 0;
  /// Writes the object if it has the revision \p Expected; 0 creates it.
  virtual void write(const usage_duty &Next, object_revision Expected,
                     write_callback Done) = 0;
};

/// Calls of each account in one window, as sent to the accounting service.
struct usage_report {
  node_id Holder;
  /// Increases whenever another process takes over the duty.
  std::uint64_t FencingToken = 0;
  mesh::usage_window Window = 0;
  mesh::account_counts Calls;
};

/// Client of the service that charges the accounts.
class accounting_service {
public:
  virtual ~accounting_service() = default;

  /// Sends \p Report and runs \p Done once. A report that was not accepted
  /// within \p Timeout may still be.
  virtual void report(const usage_report &Report,
                      std::chrono::milliseconds Timeout,
                      std::function<void(bool Accepted)> Done) = 0;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_USAGE_INTERFACES_H
