#include "gentianlug/mesh/account_gate.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::mesh;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<const client_account> account(const char *Name,
                                              std::vector<std::string> Keys) {
  return std::make_shared<const client_account>(
      client_account{account_name(Name), std::move(Keys), std::nullopt});
}

} // namespace

TEST_GROUP(AccountDirectory){
    static const client_account *
    find(const account_directory &Directory,
         std::string_view Key){return Directory.find(Key);
}
}
;

TEST(AccountDirectory, FindsTheHolderOfAKey) {
  account_directory Directory(
      {account("a", {"k1", "k2"}), account("b", {"k3"})});
  CHECK(Directory.find("k2")->Name == account_name("a"));
  CHECK(Directory.find("k3")->Name == account_name("b"));
  CHECK_EQUAL(3, Directory.keyCount());
}

// Guards against a key that matches by its beginning, or by bytes that end a C
// string.
TEST(AccountDirectory, ComparesKeysOfAnyBytesAndSizes) {
  std::string WithZero("k\0y", 3);
  std::string Long(100000, 'x');
  account_directory Directory(
      {account("a", {WithZero, "\xff\xfe"}), account("b", {Long})});
  CHECK(Directory.find(WithZero) != nullptr);
  CHECK(Directory.find("\xff\xfe") != nullptr);
  CHECK(Directory.find(Long)->Name == account_name("b"));
  for (std::string_view Unknown : {"", "k", "\xff", "k3", "\xff\xfe\xfd"})
    POINTERS_EQUAL(nullptr, find(Directory, Unknown));
  POINTERS_EQUAL(nullptr, find(Directory, Long.substr(1)));
  POINTERS_EQUAL(nullptr, find(account_directory(), "k"));
}

// Guards against nodes that take the same key for two different accounts.
TEST(AccountDirectory, SharedKeysBelongToTheFirstName) {
  account_directory Directory(
      {account("a", {"k1", "k"}), account("b", {"k", "k2"})});
  CHECK(Directory.find("k")->Name == account_name("a"));
  CHECK_EQUAL(1, Directory.sharedKeyCount());
}

// Guards against a copy of all keys for each configuration that a node keeps.
TEST(AccountDirectory, EqualAccountsShareTheirMemory) {
  account_list Previous{account("a", {"1"}), account("c", {"3"})};
  account_list Next{account("a", {"1"}), account("b", {"2"}),
                    account("c", {"4"})};
  shareEqualAccounts(Next, Previous);
  POINTERS_EQUAL(Previous[0].get(), Next[0].get());
  CHECK(Next[1]->Name == account_name("b"));
  CHECK(Next[2]->ApiKeys.front() == "4");
}

TEST_GROUP(AccountGate) {
  account_gate Gate;
  route Route;
  steady_time Now{std::chrono::hours(1)};

  void setup() override {
    mesh_configuration Configuration;
    Configuration.RequiresApiKeys = true;
    Configuration.Accounts = {account("a", {"key"})};
    Gate.setConfiguration(Configuration);
    Gate.setWithdrawalTime(5s);
    Gate.setCurrent(true);
    Gate.onConfirmed(Now);
  }
  access_result check(const std::optional<std::string> &Key,
                      call_origin Origin = call_origin::Client) const {
    return Gate.checkAccess(Route, Key, Origin, Now).Access;
  }
  const client_account *accountOf(const std::optional<std::string> &Key) const {
    return Gate.checkAccess(Route, Key, call_origin::Client, Now).Account;
  }
};

TEST(AccountGate, KnownKeysRunForTheirAccount) {
  CHECK(check("key") == access_result::Granted);
  CHECK(accountOf("key")->Name == account_name("a"));
  CHECK(check("other") == access_result::UnknownKey);
  CHECK(check(std::nullopt) == access_result::UnknownKey);
}

TEST(AccountGate, PublicRoutesNeedNoKey) {
  Route.IsPublic = true;
  CHECK(check(std::nullopt) == access_result::Granted);
  CHECK(check("other") == access_result::Granted);
  POINTERS_EQUAL(nullptr, accountOf("other"));
  CHECK(accountOf("key")->Name == account_name("a"));
}

// Guards against keys and accounts that take effect where none are configured.
TEST(AccountGate, WithoutAccountsEveryCallEnters) {
  account_gate Open;
  Open.setWithdrawalTime(5s);
  access_decision Decision =
      Open.checkAccess(Route, "key", call_origin::Client, Now);
  CHECK(Decision.Access == access_result::Granted);
  POINTERS_EQUAL(nullptr, Decision.Account);
}

// Guards against a withdrawn key that a node without a way to the store goes on
// accepting: just before the end of the withdrawal time it may, after it not.
TEST(AccountGate, KeysNeedAConfirmationWithinTheWithdrawalTime) {
  Now += 4700ms;
  CHECK(check("key") == access_result::Granted);
  Now += 100ms;
  CHECK(check("key") == access_result::Unconfirmed);
  // The key may have been added since the last confirmation.
  CHECK(check("other") == access_result::Unconfirmed);
  Gate.onConfirmed(Now - 1s);
  CHECK(check("key") == access_result::Granted);
}

// Guards against a late message that makes a confirmation older again.
TEST(AccountGate, ConfirmationsOnlyGrow) {
  Gate.onConfirmed(Now - 10s);
  CHECK(check("key") == access_result::Granted);
}

// Guards against a key that works again after a restart, before the process
// knows whether it has been withdrawn.
TEST(AccountGate, RestartedNodeAcceptsNoKeys) {
  account_gate Restarted;
  mesh_configuration Configuration;
  Configuration.RequiresApiKeys = true;
  Configuration.Accounts = {account("a", {"key"})};
  Restarted.setConfiguration(Configuration);
  Restarted.setWithdrawalTime(5s);
  Restarted.setCurrent(true);
  CHECK(Restarted.checkAccess(Route, "key", call_origin::Client, Now).Access ==
        access_result::Unconfirmed);
}

TEST(AccountGate, WithoutAWithdrawalTimeKeysNeedNoConfirmation) {
  Gate.setWithdrawalTime(std::nullopt);
  Now += std::chrono::hours(1);
  CHECK(check("key") == access_result::Granted);
  CHECK(check("other") == access_result::UnknownKey);
}

// Guards against 401 for a key that a newer configuration contains.
TEST(AccountGate, UnknownKeysAreNotDeniedForGoodWhileChangesMayBeMissed) {
  Gate.setCurrent(false);
  CHECK(check("other") == access_result::Unconfirmed);
  CHECK(check("key") == access_result::Granted);
}

// Guards against nested calls that are denied because they carry no key, and
// against keys that are not checked because the call looks nested.
TEST(AccountGate, NestedCallsNeedNoKey) {
  CHECK(check(std::nullopt, call_origin::RunningCall) ==
        access_result::Granted);
  CHECK(check("other", call_origin::RunningCall) == access_result::UnknownKey);
  CHECK(check(std::nullopt, call_origin::EndedCall) ==
        access_result::Unconfirmed);
}

TEST(AccountGate, WithdrawnKeyIsUnknown) {
  mesh_configuration Next;
  Next.RequiresApiKeys = true;
  Gate.setConfiguration(Next);
  CHECK(check("key") == access_result::UnknownKey);
}
