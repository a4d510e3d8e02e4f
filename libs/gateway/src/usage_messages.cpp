#include "gentianlug/gateway/usage_messages.h"

#include "json_message.h"

namespace gentianlug::gateway {

using nlohmann::json;

static json encode(const mesh::node_usage &Usage) {
  json Calls = json::object();
  for (const auto &[Account, Count] : Usage.Calls)
    Calls[Account.str()] = Count;
  return {Usage.Node.str(), Usage.Process,      Usage.Window,    Usage.Revision,
          Usage.IsFinal,    Usage.MayLackCalls, std::move(Calls)};
}

static mesh::node_usage decodeEntry(const json &Value) {
  mesh::node_usage Usage;
  Usage.Node = node_id(Value.at(0).get<std::string>());
  Usage.Process = Value.at(1);
  Usage.Window = Value.at(2);
  Usage.Revision = Value.at(3);
  Usage.IsFinal = Value.at(4);
  Usage.MayLackCalls = Value.at(5);
  for (const auto &[Account, Count] :
       Value.at(6).get_ref<const json::object_t &>())
    Usage.Calls[account_name(Account)] = Count.get<std::uint64_t>();
  return Usage;
}

std::string encodeUsage(const std::vector<mesh::node_usage> &Entries) {
  json Value = json::array();
  for (const mesh::node_usage &Usage : Entries)
    Value.push_back(encode(Usage));
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<std::vector<mesh::node_usage>> decodeUsage(std::string_view Text) {
  return decodeMessage<std::vector<mesh::node_usage>>(
      Text, [](const json &Value) {
        std::vector<mesh::node_usage> Entries;
        for (const json &Each : Value)
          Entries.push_back(decodeEntry(Each));
        return Entries;
      });
}

} // namespace gentianlug::gateway
