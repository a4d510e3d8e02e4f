#ifndef GENTIANLUG_OPERATOR_SYNC_STORE_H
#define GENTIANLUG_OPERATOR_SYNC_STORE_H

#include "gentianlug/core/random.h"
#include "gentianlug/operator/operation_driver.h"
#include "gentianlug/store/object_store.h"
#include "gentianlug/store/store_errc.h"

namespace gentianlug::operator_cli {

/// Blocking interface to the object store, for commands that run one operation
/// at a time.
///
/// Operations are retried as `store::retry_schedule` prescribes: all of them
/// when the platform rejects a request because of its rate limit, and all
/// except `putIf` when it does not respond. After the last retry they return
/// `operator_errc::PlatformDown`.
class sync_store {
public:
  sync_store(store::object_store &Store, operation_driver &Driver,
             generator &Gen)
      : Store(Store), Driver(Driver), Gen(Gen) {}

  result<store::object> get(const std::string &Key);
  result<store::object_list> list(const std::string &Prefix);
  result<store::change_batch> watch(const std::string &Prefix,
                                    object_revision After,
                                    std::chrono::milliseconds Wait);

  /// Writes an object if its current revision is \p Expected.
  ///
  /// \returns the new revision. `store_errc::NoResponse` means that the write
  /// may or may not have taken effect; read the object again to find out.
  result<object_revision> putIf(const std::string &Key,
                                const std::string &Value,
                                object_revision Expected);

  /// Writes a content-addressed object whether or not it exists. The new
  /// revision prevents a concurrent garbage collection from removing it.
  result<object_revision> putContent(const std::string &Key,
                                     const std::string &Value);

  /// Removes an object if its current revision is \p Expected.
  result<object_revision> remove(const std::string &Key,
                                 object_revision Expected);

private:
  /// Runs one operation and blocks until it completes.
  template <class T, class Operation> result<T> runOnce(const Operation &Start);
  /// Runs an operation and retries it after a rejection by the rate limit and,
  /// with \p RetryNoAnswer, after a missing response.
  template <class T, class Operation>
  result<T> repeat(const Operation &Start, bool RetryNoAnswer);

  store::object_store &Store;
  operation_driver &Driver;
  generator &Gen;
};

/// Returns whether \p Failure carries the object store's error \p Code.
inline bool hasCode(const error &Failure, store::store_errc Code) {
  return Failure.Code == store::make_error_code(Code);
}

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_SYNC_STORE_H
