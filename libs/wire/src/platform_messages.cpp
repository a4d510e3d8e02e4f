#include "gentianlug/wire/platform_messages.h"

#include "detail/decoder.h"

namespace gentianlug::wire {

using nlohmann::json;
using settings::object_reader;

/// Reads a string that may be empty or missing.
static std::string readOptionalText(object_reader &Reader,
                                    const std::string &Key) {
  return Reader.readString(Key, "");
}

static put_request readPutRequest(object_reader &Reader) {
  put_request Request;
  Request.Value = readOptionalText(Reader, "value");
  std::int64_t Expected = Reader.readInteger("expected", -1, INT64_MAX, -1);
  if (Expected >= 0)
    Request.Expected = object_revision(Expected);
  return Request;
}

result<put_request> decodePutRequest(std::string_view Text) {
  return detail::decodeObject(Text, "write", readPutRequest);
}

std::string encode(const put_request &Request) {
  json Json{{"value", Request.Value}};
  if (Request.Expected)
    Json["expected"] = *Request.Expected;
  return Json.dump();
}

static store::object readObject(object_reader &Reader) {
  store::object Object;
  Object.Key = Reader.readString("key");
  Object.Value = readOptionalText(Reader, "value");
  Object.Revision = detail::readUnsigned(Reader, "revision");
  return Object;
}

result<store::object> decodeObject(std::string_view Text) {
  return detail::decodeObject(Text, "object", readObject);
}

static json toJson(const store::object &Object) {
  return {{"key", Object.Key},
          {"value", Object.Value},
          {"revision", Object.Revision}};
}

std::string encode(const store::object &Object) {
  return toJson(Object).dump();
}

static object_revision readRevision(object_reader &Reader) {
  return detail::readUnsigned(Reader, "revision");
}

result<object_revision> decodeRevision(std::string_view Text) {
  return detail::decodeObject(Text, "revision", readRevision);
}

std::string encodeRevision(object_revision Revision) {
  return json{{"revision", Revision}}.dump();
}

static store::object_list readObjectList(object_reader &Reader) {
  store::object_list List;
  List.Objects = detail::readList(Reader, "objects", readObject);
  List.Revision = detail::readUnsigned(Reader, "revision");
  return List;
}

result<store::object_list> decodeObjectList(std::string_view Text) {
  return detail::decodeObject(Text, "list", readObjectList);
}

std::string encode(const store::object_list &List) {
  json Objects = json::array();
  for (const store::object &Object : List.Objects)
    Objects.push_back(toJson(Object));
  return json{{"objects", Objects}, {"revision", List.Revision}}.dump();
}

static store::object_change readObjectChange(object_reader &Reader) {
  store::object_change Change;
  Change.Key = Reader.readString("key");
  Change.Revision = detail::readUnsigned(Reader, "revision");
  if (!Reader.readBool("deleted", false))
    Change.Value = readOptionalText(Reader, "value");
  return Change;
}

static store::change_batch readChangeBatch(object_reader &Reader) {
  store::change_batch Batch;
  Batch.Changes = detail::readList(Reader, "changes", readObjectChange);
  Batch.Revision = detail::readUnsigned(Reader, "revision");
  return Batch;
}

result<store::change_batch> decodeChangeBatch(std::string_view Text) {
  return detail::decodeObject(Text, "watch", readChangeBatch);
}

std::string encode(const store::change_batch &Batch) {
  json Changes = json::array();
  for (const store::object_change &Change : Batch.Changes) {
    json Json{{"key", Change.Key}, {"revision", Change.Revision}};
    if (Change.Value)
      Json["value"] = *Change.Value;
    else
      Json["deleted"] = true;
    Changes.push_back(std::move(Json));
  }
  return json{{"changes", Changes}, {"revision", Batch.Revision}}.dump();
}

} // namespace gentianlug::wire
