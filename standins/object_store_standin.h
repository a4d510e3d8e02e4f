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

/// What the store does wrong, set by a test at any moment.
struct store_faults {
  /// Status of every answer in place of the true one; 0 for none.
  int ErrorStatus = 0;
  /// Hosts that are refused with 503 while others are served.
  std::set<std::string> RefusedHosts;
  /// Calls are read and never answered.
  bool NeverAnswer = false;
  /// Writes are done and their connection ends without an answer.
  bool LoseWriteAnswers = false;
  /// Waits hear of no change.
  bool SuppressEvents = false;
  /// How many revisions old data is behind.
  std::uint64_t StaleRevisions = 0;
};

/// A store of objects that speaks the published protocol of the platform.
///
/// Kinds and names, one revision counter, conditional writes, finalizers, lists
/// in pages, waits with 410 and cuts, old data at a reduced price, and rates.
class object_store_standin {
public:
  using json = nlohmann::json;

  explicit object_store_standin(net::event_loop &Loop);
  /// Listens on a free port of the loopback address.
  result<void> listen(const address &At);

  // The side of the operator.
  void put(const std::string &Kind, const std::string &Name, json Spec);
  void remove(const std::string &Kind, const std::string &Name);
  /// Returns the object, or null.
  json get(const std::string &Kind, const std::string &Name) const;
  std::size_t count(const std::string &Kind) const;

  /// Forgets all changes so far.
  void dropHistory();
  /// Ends all waits without an answer.
  void abortWaits();
  /// Calls a second; further ones get 429. 0 for no bound.
  void setRate(std::size_t CallsPerSecond) { Rate = CallsPerSecond; }

  /// Changes what clients store, for example to put relays between them.
  std::function<void(const std::string &Kind, const std::string &Name,
                     json &Spec)>
      RewriteSpec;
  store_faults Faults;
  /// Calls so far, in tenths of the price of one.
  std::uint64_t PricedTenths = 0;
  /// Objects of one page of a list.
  std::size_t PageSize = 500;

private:
  struct change {
    std::uint64_t Revision;
    std::string Kind;
    json Object;
    bool Removed;
  };
  struct wait {
    std::shared_ptr<http1::exchange> Exchange;
    std::string Kind;
    std::uint64_t After;
    std::chrono::steady_clock::time_point Until;
  };

  void onRequest(std::shared_ptr<http1::exchange> Exchange);
  void answerRead(std::shared_ptr<http1::exchange> Exchange,
                  const std::string &Kind, const std::string &Name,
                  const std::map<std::string, std::string> &Query);
  http1::response write(const http1::request &Request, const std::string &Kind,
                        const std::string &Name, bool Status);
  http1::response list(const std::string &Kind, const std::string &After,
                       bool Stale) const;
  json eventsSince(const std::string &Kind, std::uint64_t After) const;
  void record(const std::string &Kind, json Object, bool Removed);
  void answerWaits();
  bool overRate();

  using table = std::map<std::string, json>;
  http1::server Server;
  net::timer WaitTimer;
  std::map<std::string, table> Kinds;
  std::deque<change> History;
  std::uint64_t Revision = 1;
  std::uint64_t HistoryFrom = 0;
  std::vector<wait> Waits;
  std::size_t Rate = 0;
  std::deque<std::chrono::steady_clock::time_point> RecentCalls;
};

} // namespace gentianlug::standin

#endif // GENTIANLUG_STANDINS_OBJECT_STORE_STANDIN_H
