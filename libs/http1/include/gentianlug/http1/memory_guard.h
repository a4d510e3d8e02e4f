#ifndef GENTIANLUG_HTTP1_MEMORY_GUARD_H
#define GENTIANLUG_HTTP1_MEMORY_GUARD_H

#include "gentianlug/memory/memory_budget.h"

#include <functional>
#include <memory>

namespace gentianlug::http1 {

/// Applies one memory budget to the servers and client pools of a process.
///
/// All of them run on one event loop. The guard must outlive them.
class memory_guard {
public:
  /// Called for each holder that is refused more bytes or evicted.
  using observer = std::function<void(memory::holder_kind Kind, bool Evicted)>;

  explicit memory_guard(std::size_t TotalBytes);
  ~memory_guard();

  void setObserver(observer Observer);
  const memory::memory_budget &budget() const;

private:
  friend class memory_holding;
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// Bytes that a connection or call holds. Gives them back when destroyed.
class memory_holding {
public:
  /// A holding that counts nothing and is always granted.
  memory_holding() = default;
  /// \param Guard may be null: the holding then counts nothing.
  /// \param OnEvicted called if the bytes have to be given up, while another
  /// holding grows. It must not destroy that one.
  memory_holding(memory_guard *Guard, memory::holder_kind Kind,
                 std::function<void()> OnEvicted = nullptr);
  ~memory_holding();
  memory_holding(memory_holding &&Other) noexcept;
  memory_holding &operator=(memory_holding &&Other) noexcept;

  /// Sets the number of bytes that are held.
  ///
  /// \returns false if there is no room for them. The owner then has to give
  /// them up, and to say so by another call.
  bool resize(std::size_t Bytes);

private:
  void release();

  memory_guard *Guard = nullptr;
  memory::holder_id Id = 0;
  std::size_t Bytes = 0;
};

} // namespace gentianlug::http1

#endif // GENTIANLUG_HTTP1_MEMORY_GUARD_H
