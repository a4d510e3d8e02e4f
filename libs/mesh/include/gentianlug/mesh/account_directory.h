#ifndef GENTIANLUG_MESH_ACCOUNT_DIRECTORY_H
#define GENTIANLUG_MESH_ACCOUNT_DIRECTORY_H

#include "gentianlug/mesh/model.h"

#include <string_view>

namespace gentianlug::mesh {

/// Finds the client account that holds an API key.
///
/// Needs 24 bytes for each key beside the configuration, which holds the keys
/// themselves. Keys are secrets: no function returns one.
class account_directory {
public:
  account_directory() = default;
  explicit account_directory(account_list Accounts);

  /// Returns the account that holds \p Key, or null. If several accounts hold
  /// it, all nodes choose the one whose name sorts first.
  ///
  /// Keys are compared in a time that does not depend on where they differ.
  /// Complexity: logarithmic in the number of keys.
  const client_account *find(std::string_view Key) const;

  std::size_t keyCount() const { return Entries.size(); }
  /// Returns the number of keys that more than one account holds.
  std::size_t sharedKeyCount() const;

private:
  struct entry {
    std::uint64_t Hash;
    const std::string *Key;
    const client_account *Account;
  };

  account_list Accounts;
  /// Sorted by hash; entries of the same hash are in the order of `Accounts`.
  std::vector<entry> Entries;
};

/// Replaces each account of \p Next that is equal to the account of this name
/// in \p Previous by that one, so that both lists share its memory. Both lists
/// are sorted by name. Complexity: linear in the size of the lists.
void shareEqualAccounts(account_list &Next, const account_list &Previous);

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_ACCOUNT_DIRECTORY_H
