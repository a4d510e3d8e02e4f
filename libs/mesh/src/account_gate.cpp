#include "gentianlug/mesh/account_gate.h"

#include <algorithm>

namespace gentianlug::mesh {

void account_gate::setConfiguration(const mesh_configuration &Next) {
  RequiresKeys = Next.RequiresApiKeys;
  Directory = account_directory(Next.Accounts);
}

void account_gate::setWithdrawalTime(
    std::optional<std::chrono::milliseconds> Time) {
  ConfirmationLifetime.reset();
  if (Time)
    ConfirmationLifetime = std::chrono::milliseconds(
        std::int64_t(double(Time->count()) * (1 - ReserveShare)));
}

void account_gate::onConfirmed(steady_time AsOf) {
  ConfirmedAt = ConfirmedAt ? std::max(*ConfirmedAt, AsOf) : AsOf;
}

bool account_gate::keysConfirmed(steady_time Now) const {
  if (!ConfirmationLifetime)
    return true;
  return ConfirmedAt && Now - *ConfirmedAt <= *ConfirmationLifetime;
}

access_decision account_gate::checkAccess(const route &Route,
                                          const std::optional<std::string> &Key,
                                          call_origin Origin,
                                          steady_time Now) const {
  if (!RequiresKeys)
    return {};
  bool Confirmed = keysConfirmed(Now);
  const client_account *Account = Key ? Directory.find(*Key) : nullptr;
  if (Account && Confirmed)
    return {access_result::Granted, Account};
  if (Route.IsPublic || (!Key && Origin == call_origin::RunningCall))
    return {};
  // A rejection for good has to be true: the key may have been added since, and
  // a call without a key may be one that a server is entitled to make.
  bool Certain =
      Confirmed && Current && (Key || Origin != call_origin::EndedCall);
  return {Certain ? access_result::UnknownKey : access_result::Unconfirmed,
          nullptr};
}

} // namespace gentianlug::mesh
