#include "object_store_standin.h"

namespace gentianlug::standin {

using json = nlohmann::json;

static constexpr int Ok = 200;
static constexpr int Created = 201;
static constexpr int NotFound = 404;
static constexpr int Conflict = 409;
static constexpr int HistoryGone = 410;
static constexpr int TooMany = 429;
static constexpr int Unavailable = 503;
static constexpr std::chrono::milliseconds WaitCheckPeriod{10};
static constexpr const char *Prefix = "/objects/";

static http1::response answer(int Status, const json &Body) {
  http1::response Answer = http1::statusAnswer(Status);
  Answer.Headers.add("Content-Type", "application/json");
  Answer.Body = Body.dump();
  return Answer;
}

object_store_standin::object_store_standin(net::event_loop &Loop)
    : Server(Loop, {},
             [this](std::shared_ptr<http1::exchange> Exchange) {
               onRequest(std::move(Exchange));
             }),
      WaitTimer(Loop, [this] { answerWaits(); }) {}

result<void> object_store_standin::listen(const address &At) {
  WaitTimer.startEvery(WaitCheckPeriod);
  return Server.listen(At, {});
}

void object_store_standin::record(const std::string &Kind, json Object,
                                  bool Removed) {
  History.push_back({Revision, Kind, std::move(Object), Removed});
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
  record(Kind, Object, false);
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
    return record(Kind, Object, false);
  }
  Table.erase(Found);
  record(Kind, std::move(Object), true);
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

void object_store_standin::dropHistory() {
  History.clear();
  HistoryFrom = Revision;
}

void object_store_standin::abortWaits() {
  for (wait &Each : std::exchange(Waits, {}))
    Each.Exchange->abandon();
}

bool object_store_standin::overRate() {
  if (Rate == 0)
    return false;
  auto Now = std::chrono::steady_clock::now();
  while (!RecentCalls.empty() &&
         Now - RecentCalls.front() > std::chrono::seconds(1))
    RecentCalls.pop_front();
  if (RecentCalls.size() >= Rate)
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
  const http1::request &Request = Exchange->received();
  std::size_t Mark = Request.Target.find('?');
  std::string Path = Request.Target.substr(0, Mark);
  auto Query = Mark == std::string::npos
                   ? std::map<std::string, std::string>()
                   : parseQuery(Request.Target.substr(Mark + 1));
  bool Stale = Query.contains("staleOk");
  constexpr int FullPrice = 10;
  PricedTenths += Stale ? 1 : FullPrice;
  if (Faults.NeverAnswer)
    return;
  if (Faults.ErrorStatus != 0 ||
      Faults.RefusedHosts.contains(Exchange->client().Host))
    return Exchange->respond(
        answer(Faults.ErrorStatus != 0 ? Faults.ErrorStatus : Unavailable, {}));
  if (!Stale && overRate())
    return Exchange->respond(answer(TooMany, {}));
  if (!Path.starts_with(Prefix))
    return Exchange->respond(answer(NotFound, {}));
  std::string Rest = Path.substr(std::string(Prefix).size());
  std::size_t Slash = Rest.find('/');
  std::string Kind = Rest.substr(0, Slash);
  std::string Name = Slash == std::string::npos ? "" : Rest.substr(Slash + 1);
  constexpr std::string_view StatusSuffix = "/status";
  bool Status = Name.ends_with(StatusSuffix);
  if (Status)
    Name.resize(Name.size() - StatusSuffix.size());
  if (Request.Method == "GET")
    return answerRead(std::move(Exchange), Kind, Name, Query);
  http1::response Answer = write(Request, Kind, Name, Status);
  if (Faults.LoseWriteAnswers)
    return Exchange->abandon();
  Exchange->respond(std::move(Answer));
}

void object_store_standin::answerRead(
    std::shared_ptr<http1::exchange> Exchange, const std::string &Kind,
    const std::string &Name, const std::map<std::string, std::string> &Query) {
  if (!Name.empty()) {
    json Object = get(Kind, Name);
    return Exchange->respond(Object.is_null() ? answer(NotFound, {})
                                              : answer(Ok, Object));
  }
  auto Watch = Query.find("watch");
  if (Watch == Query.end()) {
    auto After = Query.find("after");
    return Exchange->respond(list(Kind,
                                  After == Query.end() ? "" : After->second,
                                  Query.contains("staleOk")));
  }
  std::uint64_t From = std::stoull(Watch->second);
  if (From < HistoryFrom)
    return Exchange->respond(answer(HistoryGone, {{"asOf", Revision}}));
  auto Millis = Query.find("waitMs");
  Waits.push_back(
      {std::move(Exchange), Kind, From,
       std::chrono::steady_clock::now() +
           std::chrono::milliseconds(
               Millis == Query.end() ? 0 : std::stol(Millis->second))});
}

http1::response object_store_standin::list(const std::string &Kind,
                                           const std::string &After,
                                           bool Stale) const {
  std::uint64_t At = Stale && Faults.StaleRevisions < Revision
                         ? Revision - Faults.StaleRevisions
                         : Revision;
  table Table;
  if (auto Found = Kinds.find(Kind); Found != Kinds.end())
    Table = Found->second;
  // Old data: each object as its last change up to then left it.
  if (At < Revision) {
    table Old;
    for (const change &Each : History) {
      if (Each.Kind != Kind || Each.Revision > At)
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
  return answer(Ok, {{"items", Items}, {"hasMore", More}, {"asOf", At}});
}

json object_store_standin::eventsSince(const std::string &Kind,
                                       std::uint64_t After) const {
  json Events = json::array();
  for (const change &Each : History)
    if (Each.Kind == Kind && Each.Revision > After)
      Events.push_back({{"object", Each.Object}, {"removed", Each.Removed}});
  return Events;
}

void object_store_standin::answerWaits() {
  if (Faults.SuppressEvents || Faults.NeverAnswer)
    return;
  auto Now = std::chrono::steady_clock::now();
  std::erase_if(Waits, [&](wait &Each) {
    json Events = eventsSince(Each.Kind, Each.After);
    if (Events.empty() && Now < Each.Until)
      return false;
    Each.Exchange->respond(
        answer(Ok, {{"events", std::move(Events)}, {"asOf", Revision}}));
    return true;
  });
}

http1::response object_store_standin::write(const http1::request &Request,
                                            const std::string &Kind,
                                            const std::string &Name,
                                            bool Status) {
  json Body = json::parse(Request.Body, nullptr, false);
  json Meta = Body.is_object() && Body.contains("metadata") ? Body["metadata"]
                                                            : json::object();
  std::string Target =
      Request.Method == "POST" ? Meta.value("name", std::string()) : Name;
  if (RewriteSpec && !Status && Body.is_object() && Body.contains("spec"))
    RewriteSpec(Kind, Target, Body["spec"]);
  json Object = get(Kind, Target);
  if (Request.Method == "POST") {
    if (!Object.is_null())
      return answer(Conflict, Object);
    put(Kind, Target, Body.value("spec", json()));
    return answer(Created, get(Kind, Target));
  }
  if (Object.is_null())
    return answer(NotFound, {});
  if (Meta.contains("revision") &&
      Meta["revision"] != Object["metadata"]["revision"])
    return answer(Conflict, Object);
  if (Request.Method == "DELETE") {
    remove(Kind, Target);
    return answer(Ok, Object);
  }
  json Next = Object;
  if (Status)
    Next["status"] = Body.value("status", json());
  else
    Next["spec"] = Body.value("spec", json());
  if (Next == Object)
    return answer(Ok, Object);
  Next["metadata"]["revision"] = ++Revision;
  Kinds[Kind][Target] = Next;
  record(Kind, Next, false);
  return answer(Ok, Next);
}

} // namespace gentianlug::standin
