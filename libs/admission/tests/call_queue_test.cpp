#include "gentianlug/admission/call_queue.h"

#include <map>

// After the standard headers, since it redefines new.
#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::admission;
using config::call_priority;
using std::chrono::milliseconds;

TEST_GROUP(call_queue) {
  manual_clock Clock;
  fair_scheduler Scheduler;
  call_queue Queue{6};
  call_ticket Next = 1;

  std::optional<call_ticket> push(
      const char *Customer, milliseconds Deadline = milliseconds(100),
      call_priority Priority = call_priority::Normal) {
    steady_time End = Clock.steadyNow() + Deadline;
    return Queue.push({Next++, customer_name(Customer), route_name("r"),
                       Priority, End, End - milliseconds(10)},
                      Scheduler);
  }
};

// Guards against starting a call before one with an earlier deadline.
TEST(call_queue, TakesTheEarliestDeadlineOfACustomer) {
  push("a", milliseconds(300));
  push("a", milliseconds(100));
  push("a", milliseconds(200));
  CHECK_EQUAL(2U, Queue.popNext(Scheduler)->Ticket);
  CHECK_EQUAL(3U, Queue.popNext(Scheduler)->Ticket);
  CHECK_EQUAL(1U, Queue.popNext(Scheduler)->Ticket);
  CHECK_FALSE(Queue.popNext(Scheduler).has_value());
}

// Guards against running calls whose caller will have given up.
TEST(call_queue, CallsExpireWhenTheirDeadlineCannotBeMet) {
  push("a", milliseconds(100));
  push("a", milliseconds(50));
  CHECK(*Queue.nextExpiry() == Clock.steadyNow() + milliseconds(40));
  Clock.advance(milliseconds(39));
  CHECK(Queue.popExpired(Clock.steadyNow()).empty());
  Clock.advance(milliseconds(1));
  CHECK_EQUAL(2U, Queue.popExpired(Clock.steadyNow()).at(0));
  CHECK_EQUAL(1U, Queue.size());
}

// Guards against an unbounded queue, and against shedding calls of high
// priority while calls of low priority are queued.
TEST(call_queue, FullQueueShedsLowPriorityFirst) {
  for (int Call = 0; Call < 5; ++Call)
    CHECK_FALSE(push("a").has_value());
  CHECK_FALSE(push("a", milliseconds(100), call_priority::Low).has_value());
  CHECK_EQUAL(6U, *push("a", milliseconds(100), call_priority::High));
  CHECK_EQUAL(8U, *push("a", milliseconds(100), call_priority::Low));
  CHECK_EQUAL(6U, Queue.size());
}

// Guards against one customer that fills the queue for all others.
TEST(call_queue, FullQueueShedsTheCustomerAboveItsShare) {
  for (int Call = 0; Call < 6; ++Call)
    push("busy");
  auto Shed = push("quiet", milliseconds(200));
  CHECK(Shed.has_value() && *Shed <= 6);
  CHECK_EQUAL(8U, *push("busy"));
}

// Guards against ignoring the configured weights of customers.
TEST(call_queue, CustomersGetCapacityByWeight) {
  Scheduler.setCustomers(
      {{customer_name("guild"), 3}, {customer_name("walk"), 1}});
  std::map<customer_name, int> Served;
  for (int Round = 0; Round < 400; ++Round) {
    push("guild");
    push("walk");
    ++Served[Queue.popNext(Scheduler)->Customer];
  }
  CHECK(Served[customer_name("guild")] >= 290);
  CHECK(Served[customer_name("walk")] >= 90);
}

// Guards against an idle customer that accumulates credit and then displaces
// others.
TEST(call_queue, IdleCustomerEarnsNoCredit) {
  for (int Round = 0; Round < 100; ++Round) {
    push("steady");
    Queue.popNext(Scheduler);
  }
  for (int Call = 0; Call < 3; ++Call) {
    push("late");
    push("steady");
  }
  int Late = 0;
  for (int Round = 0; Round < 4; ++Round)
    Late += Queue.popNext(Scheduler)->Customer == customer_name("late");
  CHECK_EQUAL(2, Late);
}
