#include "object_store_standin.h"

namespace gentianlug::standin {

using json = nlohmann::json;

static constexpr int Ok = 200;
static constexpr int Created = 201;
static constexpr int NotFound = 404;
static constexpr int Conflict = 409;
static constexpr int Gone = 410;
static constexpr int TooManyRequests = 429;
static constexpr int Unavailable = 503;
static constexpr std::chrono::milliseconds WatchCheckPeriod{10};
static constexpr const char *Prefix = "/objects/";

static http1::response jsonResponse(int Status, const json &Body) {
  http1::response Response = http1::makeStatusResponse(Status);
  Response.Headers.add("Content-Type", "application/json");
  Response.Body = Body.dump();
  return Response;
}

object_store_standin::object_store_standin(net::event_loop &Loop)
    : Server(Loop, {},
             [this](std::shared_ptr<http1::exchange> Exchange) {
               onRequest(std::move(Exchange));
             }),
      WatchTimer(Loop, [this] { completeWatches(); }) {}

result<void> object_store_standin::listen(const address &Address) {
  WatchTimer.startEvery(WatchCheckPeriod);
  return Server.listen(Address, {});
}

void object_store_standin::appendChange(const std::string &Kind, json Object,
                                        bool Removed) {
  ChangeLog.push_back({Revision, Kind, std::move(Object), Removed});
}

void object_store_standin::put(const std::string &Kind, const std::string &Name,
                               json Spec) {
  json &Object = Kinds[Kind][Name];
  ++Revision;
  if (Object.is_null())
    Object = {{"metadata",
               {{"name", Name},
                {"created", Revision},
                {"finalizers", json::array()},
                {"deleting", false}}},
              {"status", nullptr}};
  Object["spec"] = std::move(Spec);
  Object["metadata"]["revision"] = Revision;
  appendChange(Kind, Object, false);
}

void object_store_standin::remove(const std::string &Kind,
                                  const std::string &Name) {
  auto &Table = Kinds[Kind];
  auto Found = Table.find(Name);
  if (Found == Table.end())
    return;
  ++Revision;
  json Object = Found->second;
  Object["metadata"]["revision"] = Revision;
  if (!Object["metadata"]["finalizers"].empty()) {
    Object["metadata"]["deleting"] = true;
    Found->second = Object;
    return appendChange(Kind, Object, false);
  }
  Table.erase(Found);
  appendChange(Kind, std::move(Object), true);
}

json object_store_standin::get(const std::string &Kind,
                               const std::string &Name) const {
  auto Table = Kinds.find(Kind);
  if (Table == Kinds.end())
    return nullptr;
  auto Found = Table->second.find(Name);
  return Found == Table->second.end() ? json(nullptr) : Found->second;
}

std::size_t object_store_standin::count(const std::string &Kind) const {
  auto Table = Kinds.find(Kind);
  return Table == Kinds.end() ? 0 : Table->second.size();
}

void object_store_standin::restore(const store_copy &Copy) {
  Kinds = Copy.Kinds;
  Revision = Copy.Revision;
  ++Era;
  dropHistory();
}

void object_store_standin::respond(http1::exchange &Exchange,
                                   http1::response Response) const {
  Response.Headers.add("Store-Era", std::to_string(Era));
  Exchange.respond(std::move(Response));
}

void object_store_standin::dropHistory() {
  ChangeLog.clear();
  HistoryStartRevision = Revision;
}

void object_store_standin::abortWatches() {
  for (pending_watch &Each : std::exchange(PendingWatches, {}))
    Each.Exchange->abandon();
}

void object_store_standin::silenceWatches() {
  for (pending_watch &Each : PendingWatches)
    Each.Silent = true;
}

void object_store_standin::executeDelayedWrites() {
  for (const auto &Write : std::exchange(DelayedWrites, {}))
    Write();
}

bool object_store_standin::exceedsRate() {
  if (MaxCallsPerSecond == 0)
    return false;
  auto Now = std::chrono::steady_clock::now();
  while (!RecentCalls.empty() &&
         Now - RecentCalls.front() > std::chrono::seconds(1))
    RecentCalls.pop_front();
  if (RecentCalls.size() >= MaxCallsPerSecond)
    return true;
  RecentCalls.push_back(Now);
  return false;
}

static std::map<std::string, std::string> parseQuery(const std::string &Text) {
  std::map<std::string, std::string> Out;
  std::size_t At = 0;
  while (At < Text.size()) {
    std::size_t End = std::min(Text.find('&', At), Text.size());
    std::size_t Equals = Text.find('=', At);
    if (Equals < End)
      Out[Text.substr(At, Equals - At)] =
          Text.substr(Equals + 1, End - Equals - 1);
    At = End + 1;
  }
  return Out;
}

void object_store_standin::onRequest(
    std::shared_ptr<http1::exchange> Exchange) {
  const http1::request &Request = Exchange->receivedRequest();
  std::size_t QueryStart = Request.Target.find('?');
  std::string Path = Request.Target.substr(0, QueryStart);
  auto Query = QueryStart == std::string::npos
                   ? std::map<std::string, std::string>()
                   : parseQuery(Request.Target.substr(QueryStart + 1));
  bool Stale = Query.contains("staleOk");
  constexpr int FullCostTenths = 10;
  CostTenths += Stale ? 1 : FullCostTenths;
  if (Faults.IgnoreRequests)
    return;
  if (Faults.ErrorStatus != 0 ||
      Faults.RefusedHosts.contains(Exchange->clientAddress().Host))
    return respond(
        *Exchange,
        jsonResponse(Faults.ErrorStatus != 0 ? Faults.ErrorStatus : Unavailable,
                     {}));
  if (!Stale && exceedsRate())
    return respond(*Exchange, jsonResponse(TooManyRequests, {}));
  if (!Path.starts_with(Prefix))
    return respond(*Exchange, jsonResponse(NotFound, {}));
  std::string Rest = Path.substr(std::string(Prefix).size());
  std::size_t Slash = Rest.find('/');
  std::string Kind = Rest.substr(0, Slash);
  std::string Name = Slash == std::string::npos ? "" : Rest.substr(Slash + 1);
  constexpr std::string_view StatusSuffix = "/status";
  bool Status = Name.ends_with(StatusSuffix);
  if (Status)
    Name.resize(Name.size() - StatusSuffix.size());
  if (Request.Method == "GET")
    return handleRead(std::move(Exchange), Kind, Name, Query);
  if (Faults.DelayWrites) {
    DelayedWrites.push_back([this, Request, Kind, Name, Status] {
      (void)handleWrite(Request, Kind, Name, Status);
    });
    return Exchange->abandon();
  }
  http1::response Response = handleWrite(Request, Kind, Name, Status);
  if (Faults.DropWriteResponses)
    return Exchange->abandon();
  respond(*Exchange, std::move(Response));
}

void object_store_standin::handleRead(
    std::shared_ptr<http1::exchange> Exchange, const std::string &Kind,
    const std::string &Name, const std::map<std::string, std::string> &Query) {
  if (!Name.empty()) {
    json Object = get(Kind, Name);
    return respond(*Exchange, Object.is_null() ? jsonResponse(NotFound, {})
                                               : jsonResponse(Ok, Object));
  }
  auto Watch = Query.find("watch");
  if (Watch == Query.end()) {
    auto After = Query.find("after");
    return respond(*Exchange,
                   list(Kind, After == Query.end() ? "" : After->second,
                        Query.contains("staleOk")));
  }
  std::uint64_t From = std::stoull(Watch->second);
  if (From < HistoryStartRevision || From > Revision)
    return respond(*Exchange, jsonResponse(Gone, {{"asOf", Revision}}));
  auto WaitMillis = Query.find("waitMs");
  PendingWatches.push_back(
      {std::move(Exchange), Kind, From,
       std::chrono::steady_clock::now() +
           std::chrono::milliseconds(
               WaitMillis == Query.end() ? 0 : std::stol(WaitMillis->second)),
       Faults.SilentWatches > 0});
  Faults.SilentWatches = std::max(0, Faults.SilentWatches - 1);
}

http1::response object_store_standin::list(const std::string &Kind,
                                           const std::string &After,
                                           bool Stale) const {
  std::uint64_t AsOf = Stale && Faults.StaleRevisions < Revision
                           ? Revision - Faults.StaleRevisions
                           : Revision;
  table Table;
  if (auto Found = Kinds.find(Kind); Found != Kinds.end())
    Table = Found->second;
  // Stale read: reconstructs the objects as of revision `AsOf` from the
  // history.
  if (AsOf < Revision) {
    table Old;
    for (const change &Each : ChangeLog) {
      if (Each.Kind != Kind || Each.Revision > AsOf)
        continue;
      const std::string Name = Each.Object["metadata"]["name"];
      if (Each.Removed)
        Old.erase(Name);
      else
        Old[Name] = Each.Object;
    }
    Table = std::move(Old);
  }
  json Items = json::array();
  bool More = false;
  for (auto It = Table.upper_bound(After); It != Table.end(); ++It) {
    if (Items.size() >= PageSize) {
      More = true;
      break;
    }
    Items.push_back(It->second);
  }
  return jsonResponse(Ok,
                      {{"items", Items}, {"hasMore", More}, {"asOf", AsOf}});
}

json object_store_standin::eventsSince(const std::string &Kind,
                                       std::uint64_t After) const {
  json Events = json::array();
  for (const change &Each : ChangeLog)
    if (Each.Kind == Kind && Each.Revision > After)
      Events.push_back({{"object", Each.Object}, {"removed", Each.Removed}});
  return Events;
}

void object_store_standin::completeWatches() {
  if (Faults.SuppressEvents || Faults.IgnoreRequests)
    return;
  auto Now = std::chrono::steady_clock::now();
  std::erase_if(PendingWatches, [&](pending_watch &Each) {
    if (Each.Silent)
      return false;
    json Events = eventsSince(Each.Kind, Each.AfterRevision);
    if (Events.empty() && Now < Each.Deadline)
      return false;
    respond(*Each.Exchange, jsonResponse(Ok, {{"events", std::move(Events)},
                                              {"asOf", Revision}}));
    return true;
  });
}

http1::response object_store_standin::handleWrite(const http1::request &Request,
                                                  const std::string &Kind,
                                                  const std::string &Name,
                                                  bool Status) {
  json Body = json::parse(Request.Body.str(), nullptr, false);
  json Meta = Body.is_object() && Body.contains("metadata") ? Body["metadata"]
                                                            : json::object();
  std::string Target =
      Request.Method == "POST" ? Meta.value("name", std::string()) : Name;
  if (RewriteSpec && !Status && Body.is_object() && Body.contains("spec"))
    RewriteSpec(Kind, Target, Body["spec"]);
  json Object = get(Kind, Target);
  if (Request.Method == "POST") {
    if (!Object.is_null())
      return jsonResponse(Conflict, Object);
    put(Kind, Target, Body.value("spec", json()));
    return jsonResponse(Created, get(Kind, Target));
  }
  if (Object.is_null())
    return jsonResponse(NotFound, {});
  if (Meta.contains("revision") &&
      Meta["revision"] != Object["metadata"]["revision"])
    return jsonResponse(Conflict, Object);
  if (Request.Method == "DELETE") {
    remove(Kind, Target);
    return jsonResponse(Ok, Object);
  }
  json Next = Object;
  if (Status)
    Next["status"] = Body.value("status", json());
  else
    Next["spec"] = Body.value("spec", json());
  if (Next == Object)
    return jsonResponse(Ok, Object);
  Next["metadata"]["revision"] = ++Revision;
  Kinds[Kind][Target] = Next;
  appendChange(Kind, Next, false);
  return jsonResponse(Ok, Next);
}

} // namespace gentianlug::standin
