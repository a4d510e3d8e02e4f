#ifndef GENTIANLUG_OPERATOR_SYNC_STORE_H
#define GENTIANLUG_OPERATOR_SYNC_STORE_H

#include "gentianlug/core/random.h"
#include "gentianlug/operator/operation_driver.h"
#include "gentianlug/store/object_store.h"
#include "gentianlug/store/store_errc.h"

namespace gentianlug::operator_cli {

/// The object store for commands, which do one operation after the other.
///
/// Operations that may be repeated are retried by `store::retry_schedule`
/// when the platform does not answer or refuses for its rate limit. After the
/// last retry they return `operator_errc::PlatformDown`.
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

  /// Writes an object on the condition that it has the revision \p Expected.
  ///
  /// \returns the new revision. After `store_errc::NoAnswer` the outcome is
  /// open: read the object again.
  result<object_revision> putIf(const std::string &Key,
                                const std::string &Value,
                                object_revision Expected);

  /// Writes a content-addressed object, existing or not. The new revision
  /// keeps a garbage collection under way from removing it.
  result<object_revision> putContent(const std::string &Key,
                                     const std::string &Value);

  result<object_revision> remove(const std::string &Key,
                                 object_revision Expected);

private:
  template <class T, class Operation> result<T> once(const Operation &Start);
  template <class T, class Operation>
  result<T> repeat(const Operation &Start, bool RetryNoAnswer);

  store::object_store &Store;
  operation_driver &Driver;
  generator &Gen;
};

/// Returns whether \p Failure has the code \p Code of the object store.
inline bool hasCode(const error &Failure, store::store_errc Code) {
  return Failure.Code == store::make_error_code(Code);
}

} // namespace gentianlug::operator_cli

#endif // GENTIANLUG_OPERATOR_SYNC_STORE_H
