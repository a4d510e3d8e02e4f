#ifndef GENTIANLUG_STANDINS_PLATFORM_API_H
#define GENTIANLUG_STANDINS_PLATFORM_API_H

#include "gentianlug/core/clock.h"
#include "gentianlug/core/random.h"
#include "gentianlug/net/http_server.h"
#include "gentianlug/net/timer.h"
#include "platform_store.h"

#include <list>
#include <set>

namespace gentianlug::standins {

/// Faults that a test switches on, by `POST /admin/faults`.
struct platform_faults {
  /// Every connection is closed without an answer.
  bool Down = false;
  /// Added to every answer.
  std::chrono::milliseconds Slow{0};
  /// Share of writes whose answer is lost after they took effect, 0 to 1.
  double LoseAnswers = 0;
  /// Watches report changes only when no write came for this time.
  std::chrono::milliseconds StaleWatch{0};
  /// Calls a second before others get status 429; 0 means no limit.
  std::uint32_t CallsPerSecond = 0;
};

/// What the platform counted, shown by `GET /admin/counters`.
struct platform_counters {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t RateLimited = 0;
  std::uint64_t PeakPerSecond = 0;
};

/// The object API of the platform over HTTP, with faults and counters.
class platform_api {
public:
  platform_api(net::event_loop &Loop, std::uint64_t Seed);

  result<void> listen(const address &Address);

private:
  struct waiting_watch {
    net::http_exchange Exchange;
    std::string Prefix;
    object_revision After;
    steady_time Deadline;
  };

  void onRequest(const net::http_exchange &Exchange);
  void onObjects(const net::http_exchange &Exchange);
  void onList(const net::http_exchange &Exchange);
  void onWatch(const net::http_exchange &Exchange);
  void onAdmin(const net::http_exchange &Exchange);
  void onPut(const net::http_exchange &Exchange);
  void onRemove(const net::http_exchange &Exchange);
  bool countCall();
  void answer(const net::http_exchange &Exchange, net::http_response Response);
  void answerWrite(const net::http_exchange &Exchange,
                   const result<object_revision> &Written);
  void serveWatches();
  void setFaults(const net::http_exchange &Exchange);

  net::event_loop &Loop;
  net::http_server Server;
  net::timer WatchTimer;
  system_clock Clock;
  generator Gen;
  platform_store Store;
  platform_faults Faults;
  platform_counters Counters;
  std::list<waiting_watch> Watches;
  steady_time LastWrite{};
  steady_time WindowStart{};
  std::uint64_t CallsInWindow = 0;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_PLATFORM_API_H
