#include "gentianlug/mesh/shutdown_schedule.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug::mesh;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

TEST_GROUP(ShutdownSchedule){};

// Guards against a reserve that suits one grace period only: a response that
// its server gave before the last sixth is then cut, or nothing can be sent
// between the answer to an open call and the end of the process.
TEST(ShutdownSchedule, StepsKeepTheirOrderInEachGracePeriod) {
  for (milliseconds Grace : {2000ms, 3000ms, 6000ms, 30000ms})
    for (milliseconds MaxCallTime : {400ms, 2500ms, 12000ms, 60000ms}) {
      auto Schedule = makeShutdownSchedule(Grace, MaxCallTime);
      milliseconds LastSixth = Grace * 5 / 6;
      CHECK(Schedule.RejectPeerCallsAt <= Schedule.MayEndAt);
      CHECK(Schedule.MayEndAt <= Schedule.AnswerOpenCallsAt);
      CHECK(Schedule.AnswerOpenCallsAt - LastSixth >= Grace / 13);
      CHECK(Schedule.EndAt - Schedule.AnswerOpenCallsAt >= Grace / 25);
      CHECK(Grace - Schedule.EndAt >= Grace / 25);
      CHECK(Schedule.RejectNewCallsAt >= 0ms);
      CHECK(Schedule.RejectNewCallsAt == 0ms ||
            Schedule.RejectNewCallsAt + MaxCallTime <=
                Schedule.AnswerOpenCallsAt);
    }
}
