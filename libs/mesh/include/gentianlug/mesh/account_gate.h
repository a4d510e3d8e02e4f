#ifndef GENTIANLUG_MESH_ACCOUNT_GATE_H
#define GENTIANLUG_MESH_ACCOUNT_GATE_H

#include "gentianlug/core/clock.h"
#include "gentianlug/mesh/account_directory.h"

namespace gentianlug::mesh {

/// What an entry node knows about the origin of a call.
enum class call_origin : std::uint8_t {
  Client,
  /// The server beside the node makes the call for one that it runs.
  RunningCall,
  /// The call may belong to one that the server ran until a moment ago, or that
  /// it ran before this node started.
  EndedCall,
};

enum class access_result : std::uint8_t {
  Granted,
  /// No account of the current configuration holds the key.
  UnknownKey,
  /// It is not known whether the key is still valid, or not yet valid.
  Unconfirmed,
};

struct access_decision {
  access_result Access = access_result::Granted;
  /// Account that makes the call; null for calls without an account.
  const client_account *Account = nullptr;
};

/// Decides whether a call may enter the mesh, and for which client account.
///
/// If withdrawn keys have to be rejected within a bounded time, a node accepts
/// keys only as long as its configuration was known to be the newest within
/// that time. So a withdrawn key is also rejected by nodes that cannot learn of
/// the withdrawal, and by nodes that have just restarted.
class account_gate {
public:
  /// Sets the configuration. Confirmations that arrive later are about it or a
  /// newer one.
  void setConfiguration(const mesh_configuration &Next);
  /// Sets `mesh_bounds::KeyWithdrawalTime`.
  void setWithdrawalTime(std::optional<std::chrono::milliseconds> Time);
  /// Sets whether changes of the configuration are being received.
  void setCurrent(bool Next) { Current = Next; }
  /// The store held no configuration newer than the one of this node at
  /// \p AsOf, or later.
  void onConfirmed(steady_time AsOf);

  /// Whether calls need a key, and fields about accounts belong to the mesh.
  bool requiresKeys() const { return RequiresKeys; }
  /// Returns whether the keys of the configuration may be accepted at \p Now.
  bool keysConfirmed(steady_time Now) const;

  /// \param Key the key that the caller sent, if any.
  access_decision checkAccess(const route &Route,
                              const std::optional<std::string> &Key,
                              call_origin Origin, steady_time Now) const;

  const account_directory &accounts() const { return Directory; }

private:
  /// Share of the withdrawal time that is kept in reserve for clocks that run
  /// at different rates.
  static constexpr double ReserveShare = 0.05;

  bool RequiresKeys = false;
  bool Current = false;
  account_directory Directory;
  /// Time for which a confirmation holds; empty if none is needed.
  std::optional<std::chrono::milliseconds> ConfirmationLifetime;
  std::optional<steady_time> ConfirmedAt;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_ACCOUNT_GATE_H
