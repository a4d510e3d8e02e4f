#include "gentianlug/admission/call_queue.h"

#include <map>

// After the standard headers, since it redefines new.
#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::admission;
using config::call_priority;
using std::chrono::milliseconds;

TEST_GROUP(waiting_queue) {
  manual_clock Clock;
  fair_scheduler Shares;
  call_queue Queue{6};
  call_ticket Next = 1;

  std::optional<call_ticket> push(
      const char *Customer, milliseconds Deadline = milliseconds(100),
      call_priority Priority = call_priority::Normal) {
    steady_time End = Clock.steadyNow() + Deadline;
    return Queue.push({Next++, customer_name(Customer), route_name("r"),
                       Priority, End, End - milliseconds(10)},
                      Shares);
  }
};

// Guards against a late call that starts before an urgent one.
TEST(waiting_queue, TakesTheEarliestDeadlineOfACustomer) {
  push("a", milliseconds(300));
  push("a", milliseconds(100));
  push("a", milliseconds(200));
  CHECK_EQUAL(2U, Queue.popNext(Shares)->Ticket);
  CHECK_EQUAL(3U, Queue.popNext(Shares)->Ticket);
  CHECK_EQUAL(1U, Queue.popNext(Shares)->Ticket);
  CHECK_FALSE(Queue.popNext(Shares).has_value());
}

// Guards against work on calls whose caller has given up by then.
TEST(waiting_queue, CallsLeaveWhenTheirDeadlineCannotBeMet) {
  push("a", milliseconds(100));
  push("a", milliseconds(50));
  CHECK(*Queue.nextExpiry() == Clock.steadyNow() + milliseconds(40));
  Clock.advance(milliseconds(39));
  CHECK(Queue.popExpired(Clock.steadyNow()).empty());
  Clock.advance(milliseconds(1));
  CHECK_EQUAL(2U, Queue.popExpired(Clock.steadyNow()).at(0));
  CHECK_EQUAL(1U, Queue.size());
}

// Guards against a queue without a bound, and against shedding calls that
// matter while others wait.
TEST(waiting_queue, FullQueueShedsLowPriorityFirst) {
  for (int Call = 0; Call < 5; ++Call)
    CHECK_FALSE(push("a").has_value());
  CHECK_FALSE(push("a", milliseconds(100), call_priority::Low).has_value());
  CHECK_EQUAL(6U, *push("a", milliseconds(100), call_priority::High));
  CHECK_EQUAL(8U, *push("a", milliseconds(100), call_priority::Low));
  CHECK_EQUAL(6U, Queue.size());
}

// Guards against one customer who fills the queue for all.
TEST(waiting_queue, FullQueueShedsTheCustomerAboveItsShare) {
  for (int Call = 0; Call < 6; ++Call)
    push("busy");
  auto Shed = push("quiet", milliseconds(200));
  CHECK(Shed.has_value() && *Shed <= 6);
  CHECK_EQUAL(8U, *push("busy"));
}

// Guards against capacity that ignores the agreed shares.
TEST(waiting_queue, CustomersGetCapacityByWeight) {
  Shares.setCustomers(
      {{customer_name("guild"), 3}, {customer_name("walk"), 1}});
  std::map<customer_name, int> Served;
  for (int Round = 0; Round < 400; ++Round) {
    push("guild");
    push("walk");
    ++Served[Queue.popNext(Shares)->Customer];
  }
  CHECK(Served[customer_name("guild")] >= 290);
  CHECK(Served[customer_name("walk")] >= 90);
}

// Guards against credit that an absent customer saves up and spends at once.
TEST(waiting_queue, IdleCustomerEarnsNoCredit) {
  for (int Round = 0; Round < 100; ++Round) {
    push("steady");
    Queue.popNext(Shares);
  }
  for (int Call = 0; Call < 3; ++Call) {
    push("late");
    push("steady");
  }
  int Late = 0;
  for (int Round = 0; Round < 4; ++Round)
    Late += Queue.popNext(Shares)->Customer == customer_name("late");
  CHECK_EQUAL(2, Late);
}
