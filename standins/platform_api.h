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

/// Injected faults, set by `POST /admin/faults`.
struct platform_faults {
  /// Every connection is closed without a response.
  bool Down = false;
  /// Delay added to every response.
  std::chrono::milliseconds ResponseDelay{0};
  /// Fraction of successful writes whose response is not sent, 0 to 1.
  double ResponseLossRate = 0;
  /// Watches report changes only after this time without a write.
  std::chrono::milliseconds WatchQuietTime{0};
  /// Calls per second; further calls get status 429. 0 means no limit.
  std::uint32_t MaxCallsPerSecond = 0;
};

/// Call counters, returned by `GET /admin/counters`.
struct platform_counters {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t RateLimited = 0;
  std::uint64_t PeakCallsPerSecond = 0;
};

/// HTTP object API of the platform with fault injection and call counters.
class platform_api {
public:
  platform_api(net::event_loop &Loop, std::uint64_t Seed);

  result<void> listen(const address &Address);

private:
  struct pending_watch {
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
  bool admitCall();
  void respond(const net::http_exchange &Exchange, net::http_response Response);
  void respondToWrite(const net::http_exchange &Exchange,
                      const result<object_revision> &Written);
  void completeWatches();
  void setFaults(const net::http_exchange &Exchange);

  net::event_loop &Loop;
  net::http_server Server;
  net::timer WatchTimer;
  system_clock Clock;
  generator Gen;
  platform_store Store;
  platform_faults Faults;
  platform_counters Counters;
  std::list<pending_watch> PendingWatches;
  steady_time LastWrite{};
  steady_time WindowStart{};
  std::uint64_t CallsInWindow = 0;
};

} // namespace gentianlug::standins

#endif // GENTIANLUG_STANDINS_PLATFORM_API_H
