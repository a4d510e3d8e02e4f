#include "gentianlug/mesh/account_directory.h"

#include "gentianlug/core/hash.h"

#include <algorithm>

namespace gentianlug::mesh {

/// Compares two keys in a time that depends only on their length.
static bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned Difference = 0;
  for (std::size_t Index = 0; Index < Left.size(); ++Index)
    Difference |= static_cast<unsigned char>(Left[Index]) ^
                  static_cast<unsigned char>(Right[Index]);
  return Difference == 0;
}

account_directory::account_directory(account_list List)
    : Accounts(std::move(List)) {
  for (const auto &Account : Accounts)
    for (const std::string &Key : Account->ApiKeys)
      Entries.push_back({hash64(Key), &Key, Account.get()});
  std::stable_sort(Entries.begin(), Entries.end(),
                   [](const entry &Left, const entry &Right) {
                     return Left.Hash < Right.Hash;
                   });
}

const client_account *account_directory::find(std::string_view Key) const {
  std::uint64_t Hash = hash64(Key);
  auto Found = std::lower_bound(
      Entries.begin(), Entries.end(), Hash,
      [](const entry &Left, std::uint64_t Right) { return Left.Hash < Right; });
  for (; Found != Entries.end() && Found->Hash == Hash; ++Found)
    if (equalInConstantTime(*Found->Key, Key))
      return Found->Account;
  return nullptr;
}

std::size_t account_directory::sharedKeyCount() const {
  std::size_t Count = 0;
  for (std::size_t Index = 1; Index < Entries.size(); ++Index) {
    const entry &Left = Entries[Index - 1];
    const entry &Right = Entries[Index];
    if (Left.Hash == Right.Hash && Left.Account != Right.Account &&
        equalInConstantTime(*Left.Key, *Right.Key))
      ++Count;
  }
  return Count;
}

void shareEqualAccounts(account_list &Next, const account_list &Previous) {
  auto Old = Previous.begin();
  for (auto &Account : Next) {
    while (Old != Previous.end() && (*Old)->Name < Account->Name)
      ++Old;
    if (Old != Previous.end() && **Old == *Account)
      Account = *Old;
  }
}

} // namespace gentianlug::mesh
