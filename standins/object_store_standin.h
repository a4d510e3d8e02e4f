#ifndef GENTIANLUG_STANDINS_OBJECT_STORE_STANDIN_H
#define GENTIANLUG_STANDINS_OBJECT_STORE_STANDIN_H

#include "gentianlug/http1/server.h"
#include "gentianlug/net/timer.h"

#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace gentianlug::standin {

/// Injected faults; a test may change them at any time.
struct store_faults {
  /// Status of every response in place of the actual one; 0 for no fault.
  int ErrorStatus = 0;
  /// Client hosts whose requests get status 503.
  std::set<std::string> RefusedHosts;
  /// Requests are read but get no response.
  bool IgnoreRequests = false;
  /// Writes take effect, but the connection is closed without a response.
  bool DropWriteResponses = false;
  /// Writes get no response, and take effect in `executeDelayedWrites`.
  bool DelayWrites = false;
  /// Watches do not report changes.
  bool SuppressEvents = false;
  /// Number of watches to come that get no response on an open connection.
  int SilentWatches = 0;
  /// Number of revisions by which stale reads lag behind.
  std::uint64_t StaleRevisions = 0;
};

/// In-memory object store that implements the HTTP protocol of the platform.
///
/// Supports object kinds, a global revision counter, conditional writes,
/// finalizers, paged lists, long-poll watches that fail with status 410 when
/// the history is gone, stale reads at a reduced rate cost, and a rate limit.
class object_store_standin {
public:
  using json = nlohmann::json;

  /// State of the store at a moment.
  struct store_copy {
    std::map<std::string, std::map<std::string, json>> Kinds;
    std::uint64_t Revision = 0;
  };

  explicit object_store_standin(net::event_loop &Loop);
  /// Starts to listen on \p Address.
  result<void> listen(const address &Address);

  // Direct access for tests, in the role of the operator.
  void put(const std::string &Kind, const std::string &Name, json Spec);
  void remove(const std::string &Kind, const std::string &Name);
  /// Returns the object, or null.
  json get(const std::string &Kind, const std::string &Name) const;
  std::size_t count(const std::string &Kind) const;

  /// Returns a copy of the store to which `restore` can go back.
  store_copy copy() const { return {Kinds, Revision}; }
  /// Makes the store come back from \p Copy, in the next era and without its
  /// history. Pending watches go on.
  void restore(const store_copy &Copy);
  /// Discards the change history, so that older watches fail with status 410.
  void dropHistory();
  /// Closes the connections of all pending watches without a response.
  void abortWatches();
  /// Leaves all pending watches without a response, on open connections. Later
  /// watches work.
  void silenceWatches();
  std::size_t delayedWrites() const { return DelayedWrites.size(); }
  void executeDelayedWrites();
  /// Sets the limit of calls per second, beyond which calls get status 429; 0
  /// means no limit.
  void setRateLimit(std::size_t CallsPerSecond) {
    MaxCallsPerSecond = CallsPerSecond;
  }

  /// Called to modify each spec that a client stores, for example to replace
  /// addresses by those of proxies.
  std::function<void(const std::string &Kind, const std::string &Name,
                     json &Spec)>
      RewriteSpec;
  store_faults Faults;
  /// Total cost of all calls, in tenths of the cost of an ordinary call.
  std::uint64_t CostTenths = 0;
  /// Maximum number of objects in a page of a list.
  std::size_t PageSize = 500;

private:
  struct change {
    std::uint64_t Revision;
    std::string Kind;
    json Object;
    bool Removed;
  };
  struct pending_watch {
    std::shared_ptr<http1::exchange> Exchange;
    std::string Kind;
    std::uint64_t AfterRevision;
    std::chrono::steady_clock::time_point Deadline;
    /// Gets no response, and its connection stays open.
    bool Silent = false;
  };

  void onRequest(std::shared_ptr<http1::exchange> Exchange);
  void handleRead(std::shared_ptr<http1::exchange> Exchange,
                  const std::string &Kind, const std::string &Name,
                  const std::map<std::string, std::string> &Query);
  http1::response handleWrite(const http1::request &Request,
                              const std::string &Kind, const std::string &Name,
                              bool Status);
  /// Sends a response that names the era of the store.
  void respond(http1::exchange &Exchange, http1::response Response) const;
  http1::response list(const std::string &Kind, const std::string &After,
                       bool Stale) const;
  json eventsSince(const std::string &Kind, std::uint64_t After) const;
  void appendChange(const std::string &Kind, json Object, bool Removed);
  void completeWatches();
  bool exceedsRate();

  using table = std::map<std::string, json>;
  http1::server Server;
  net::timer WatchTimer;
  std::map<std::string, table> Kinds;
  std::deque<change> ChangeLog;
  std::uint64_t Revision = 1;
  std::uint64_t Era = 1;
  std::uint64_t HistoryStartRevision = 0;
  std::vector<pending_watch> PendingWatches;
  std::vector<std::function<void()>> DelayedWrites;
  std::size_t MaxCallsPerSecond = 0;
  std::deque<std::chrono::steady_clock::time_point> RecentCalls;
};

} // namespace gentianlug::standin

#endif // GENTIANLUG_STANDINS_OBJECT_STORE_STANDIN_H
