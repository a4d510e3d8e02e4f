#include "gentianlug/memory/memory_budget.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::memory;
using namespace std::chrono_literals;

static constexpr std::size_t Kilobyte = 1UL << 10;
static constexpr std::size_t Megabyte = 1UL << 20;

TEST_GROUP(MemoryBudget) {
  static constexpr std::size_t TotalBytes = 100 * Megabyte;
  static constexpr std::size_t OrdinaryBytes = 8 * Kilobyte;
  memory_budget Budget{TotalBytes};
  steady_time Now{};

  holder_id hold(holder_kind Kind, std::size_t Bytes) {
    holder_id Id = Budget.add(Kind, Now);
    CHECK(Budget.resize(Id, Bytes, Now).Granted);
    return Id;
  }
  /// Adds holders of \p Bytes until one is refused. Returns those that remain.
  std::vector<holder_id> fill(holder_kind Kind, std::size_t Bytes) {
    std::vector<holder_id> Ids;
    constexpr std::size_t MaxHolders = 1000000;
    while (Ids.size() < MaxHolders) {
      holder_id Id = Budget.add(Kind, Now);
      if (!Budget.resize(Id, Bytes, Now).Granted) {
        Budget.remove(Id);
        return Ids;
      }
      Ids.push_back(Id);
    }
    return Ids;
  }
  budget_decision grow(holder_kind Kind, std::size_t Bytes) {
    return Budget.resize(Budget.add(Kind, Now), Bytes, Now);
  }
};

// Guards against a sum of legal requests that exceeds the memory.
TEST(MemoryBudget, HoldersNeverExceedTheTotal) {
  fill(holder_kind::Request, 4 * Megabyte);
  fill(holder_kind::Request, OrdinaryBytes);
  fill(holder_kind::Call, 4 * Megabyte);
  fill(holder_kind::Call, OrdinaryBytes);
  fill(holder_kind::Response, 4 * Megabyte);
  CHECK(Budget.heldBytes() <= TotalBytes);
}

// Guards against a crowd of large bodies that leaves no room for ordinary
// requests: none of the crowd has stalled yet.
TEST(MemoryBudget, LargeRequestsLeaveRoomForOrdinaryOnes) {
  fill(holder_kind::Request, 4 * Megabyte);
  constexpr int OrdinaryCalls = 1000;
  for (int Count = 0; Count < OrdinaryCalls; ++Count) {
    auto Decision = grow(holder_kind::Call, OrdinaryBytes);
    CHECK(Decision.Granted);
    CHECK(Decision.Evicted.empty());
  }
}

// Guards against a limit that refuses the largest request of a calm day: the
// smallest machines have 160 MB, 70% of them are divided.
TEST(MemoryBudget, LargestLegalRequestIsGranted) {
  memory_budget Smallest(160 * Megabyte * 7 / 10);
  holder_id Id = Smallest.add(holder_kind::Request, Now);
  constexpr std::size_t MaxBodyBytes = 64 * Megabyte;
  for (std::size_t Bytes = 0; Bytes <= MaxBodyBytes + OrdinaryBytes;
       Bytes += Megabyte / 16)
    CHECK(Smallest.resize(Id, Bytes, Now).Granted);
}

// Guards against stopped bodies that keep out others until they time out.
TEST(MemoryBudget, StalledRequestsGiveWayEarliestFirst) {
  holder_id First = hold(holder_kind::Request, 20 * Megabyte);
  Now += 100ms;
  holder_id Second = hold(holder_kind::Request, 20 * Megabyte);
  Now += 100ms;
  hold(holder_kind::Request, 20 * Megabyte);
  CHECK_FALSE(grow(holder_kind::Request, 20 * Megabyte).Granted);
  Now += memory_budget::RequestStallTime - 150ms;
  auto One = grow(holder_kind::Request, 20 * Megabyte);
  CHECK(One.Granted);
  CHECK(One.Evicted == std::vector<holder_id>{First});
  Now += 100ms;
  auto Other = grow(holder_kind::Request, 20 * Megabyte);
  CHECK(Other.Evicted == std::vector<holder_id>{Second});
}

// Guards against a holder that stays because it sends single bytes.
TEST(MemoryBudget, SingleBytesAreNoProgress) {
  constexpr std::size_t Size = 60 * Megabyte;
  holder_id Slow = hold(holder_kind::Request, Size);
  for (std::size_t Byte = 1; Byte <= 20; ++Byte) {
    Now += 100ms;
    CHECK(Budget.resize(Slow, Size + Byte, Now).Granted);
  }
  CHECK(grow(holder_kind::Request, 10 * Megabyte).Evicted ==
        std::vector<holder_id>{Slow});
}

// Guards against the eviction of an upload that is still received.
TEST(MemoryBudget, RequestsThatMakeProgressAreNotEvicted) {
  std::size_t Size = 60 * Megabyte;
  holder_id Upload = hold(holder_kind::Request, Size);
  for (int Step = 0; Step < 20; ++Step) {
    Now += 500ms;
    Size += memory_budget::ProgressBytes;
    CHECK(Budget.resize(Upload, Size, Now).Granted);
  }
  auto Decision = grow(holder_kind::Request, 10 * Megabyte);
  CHECK_FALSE(Decision.Granted);
  CHECK(Decision.Evicted.empty());
}

// Guards against the eviction of ordinary requests where only large ones have
// used up their share.
TEST(MemoryBudget, LargeRequestsReplaceLargeOnesOnly) {
  hold(holder_kind::Request, OrdinaryBytes);
  Now += 1ms;
  holder_id Large = hold(holder_kind::Request, 60 * Megabyte);
  Now += memory_budget::RequestStallTime;
  CHECK(grow(holder_kind::Request, 10 * Megabyte).Evicted ==
        std::vector<holder_id>{Large});
}

// Guards against calls that lose their response because requests, which can be
// sent again, hold the memory.
TEST(MemoryBudget, ResponsesReplaceUnfinishedRequests) {
  holder_id Upload = hold(holder_kind::Request, 60 * Megabyte);
  holder_id Call = hold(holder_kind::Call, OrdinaryBytes);
  auto Decision = grow(holder_kind::Response, 50 * Megabyte);
  CHECK(Decision.Granted);
  CHECK(Decision.Evicted == std::vector<holder_id>{Upload});
  CHECK_FALSE(grow(holder_kind::Response, 60 * Megabyte).Granted);
  CHECK(Budget.resize(Call, 2 * OrdinaryBytes, Now).Evicted.empty());
}

// Guards against the refusal of requests that are received where a response
// that nobody reads can make room.
TEST(MemoryBudget, UnreadDeliveriesGiveWayBeforeReceivedRequests) {
  holder_id Unread = hold(holder_kind::Delivery, 60 * Megabyte);
  Now += memory_budget::DeliveryStallTime;
  hold(holder_kind::Request, 30 * Megabyte);
  CHECK(grow(holder_kind::Response, 20 * Megabyte).Evicted ==
        std::vector<holder_id>{Unread});
}

// Guards against responses that nobody reads and that keep out the responses of
// ordinary callers.
TEST(MemoryBudget, UnreadDeliveriesGiveWay) {
  holder_id Unread = hold(holder_kind::Delivery, 40 * Megabyte);
  holder_id Read = hold(holder_kind::Delivery, 50 * Megabyte);
  Now += memory_budget::DeliveryStallTime;
  CHECK(Budget.resize(Read, 49 * Megabyte, Now).Granted);
  auto Decision = grow(holder_kind::Response, 20 * Megabyte);
  CHECK(Decision.Granted);
  CHECK(Decision.Evicted == std::vector<holder_id>{Unread});
  CHECK_FALSE(grow(holder_kind::Response, 40 * Megabyte).Granted);
}

// Guards against an account that drifts from what is held.
TEST(MemoryBudget, RemovedAndEvictedHoldersCountNothing) {
  std::vector<holder_id> Ids = fill(holder_kind::Request, 4 * Megabyte);
  Now += memory_budget::RequestStallTime;
  std::size_t Before = Budget.heldBytes();
  auto Decision = grow(holder_kind::Request, 4 * Megabyte);
  UNSIGNED_LONGS_EQUAL(1, Decision.Evicted.size());
  UNSIGNED_LONGS_EQUAL(Before, Budget.heldBytes());
  CHECK(Budget.resize(Decision.Evicted.front(), 0, Now).Granted);
  for (holder_id Id : Ids)
    Budget.remove(Id);
  UNSIGNED_LONGS_EQUAL(4 * Megabyte, Budget.heldBytes(holder_kind::Request));
}

// Guards against a connection whose next request counts as stalled because its
// last one was larger.
TEST(MemoryBudget, NextRequestOfAConnectionMakesProgress) {
  holder_id Connection = hold(holder_kind::Request, 30 * Megabyte);
  Now += memory_budget::RequestStallTime;
  CHECK(Budget.resize(Connection, OrdinaryBytes, Now).Granted);
  hold(holder_kind::Request, 60 * Megabyte);
  auto Decision = grow(holder_kind::Request, 20 * Megabyte);
  CHECK_FALSE(Decision.Granted);
  CHECK(Decision.Evicted.empty());
}
