#include "gentianlug/net/platform_client.h"

#include "gentianlug/net/http_client.h"
#include "gentianlug/store/store_errc.h"
#include "gentianlug/wire/platform_messages.h"

#include <event2/http.h>

namespace gentianlug::net {

using store::change_batch;
using store::object;
using store::object_list;
using store::store_errc;

/// The platform normally responds within milliseconds, so it is down or
/// overloaded if there is no response within this time.
static constexpr std::chrono::milliseconds ResponseTimeout{2000};

static std::string percentEncode(const std::string &Text) {
  char *Encoded = evhttp_encode_uri(Text.c_str());
  std::string Copy = Encoded;
  std::free(Encoded);
  return Copy;
}

static store_errc errorForStatus(int Status) {
  switch (Status) {
  case 404:
    return store_errc::NotFound;
  case 409:
    return store_errc::Conflict;
  case 410:
    return store_errc::TooOld;
  case 413:
    return store_errc::TooLarge;
  case 429:
    return store_errc::RateLimited;
  case 500:
  case 502:
  case 503:
  case 504:
    return store_errc::NoResponse;
  default:
    return store_errc::Refused;
  }
}

struct platform_client::impl {
  http_client Client;
  address Platform;

  /// Sends a request and decodes the body of the response with \p Decode.
  template <class T>
  void sendAndDecode(const std::string &Method, std::string Target,
                     std::string Body, std::chrono::milliseconds Timeout,
                     result<T> (*Decode)(std::string_view), callback<T> Done) {
    http_request Request;
    Request.Method = Method;
    Request.Target = std::move(Target);
    Request.Body = std::move(Body);
    auto Finish = [Decode, Operation = Method + " " + Request.Target,
                   Done = std::move(Done)](result<http_response> Response) {
      if (!Response)
        return Done(makeError(store_errc::NoResponse,
                              Operation + ": " + Response.failure().message()));
      if (Response->Status != 200)
        return Done(makeError(errorForStatus(Response->Status), Operation));
      result<T> Decoded = Decode(Response->Body);
      if (!Decoded)
        return Done(makeError(store_errc::MalformedResponse,
                              Operation + ": " + Decoded.failure().message()));
      Done(std::move(Decoded));
    };
    Client.send(Platform, Request, Timeout, std::move(Finish));
  }
};

platform_client::platform_client(event_loop &Loop, address Platform)
    : Impl(new impl{http_client(Loop), std::move(Platform)}) {}
platform_client::~platform_client() = default;

void platform_client::get(const std::string &Key, callback<object> Done) {
  Impl->sendAndDecode<object>("GET", "/objects?key=" + percentEncode(Key), "",
                              ResponseTimeout, wire::decodeObject,
                              std::move(Done));
}

void platform_client::put(const std::string &Key, const std::string &Value,
                          std::optional<object_revision> Expected,
                          callback<object_revision> Done) {
  Impl->sendAndDecode<object_revision>(
      "PUT", "/objects?key=" + percentEncode(Key),
      wire::encode(wire::put_request{Value, Expected}), ResponseTimeout,
      wire::decodeRevision, std::move(Done));
}

void platform_client::remove(const std::string &Key, object_revision Expected,
                             callback<object_revision> Done) {
  Impl->sendAndDecode<object_revision>(
      "DELETE",
      "/objects?key=" + percentEncode(Key) +
          "&expected=" + std::to_string(Expected),
      "", ResponseTimeout, wire::decodeRevision, std::move(Done));
}

void platform_client::list(const std::string &Prefix,
                           callback<object_list> Done) {
  Impl->sendAndDecode<object_list>(
      "GET", "/list?prefix=" + percentEncode(Prefix), "", ResponseTimeout,
      wire::decodeObjectList, std::move(Done));
}

void platform_client::watch(const std::string &Prefix, object_revision After,
                            std::chrono::milliseconds Wait,
                            callback<change_batch> Done) {
  Impl->sendAndDecode<change_batch>(
      "GET",
      "/watch?prefix=" + percentEncode(Prefix) + "&after=" +
          std::to_string(After) + "&wait_ms=" + std::to_string(Wait.count()),
      "", Wait + ResponseTimeout, wire::decodeChangeBatch, std::move(Done));
}

} // namespace gentianlug::net
