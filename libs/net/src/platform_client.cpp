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

/// The platform answers in milliseconds; two seconds without an answer mean
/// that it is down or slow.
static constexpr std::chrono::milliseconds AnswerTimeout{2000};

static std::string encodeComponent(const std::string &Text) {
  char *Encoded = evhttp_encode_uri(Text.c_str());
  std::string Copy = Encoded;
  std::free(Encoded);
  return Copy;
}

static store_errc errorOfStatus(int Status) {
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
    return store_errc::NoAnswer;
  default:
    return store_errc::Refused;
  }
}

struct platform_client::impl {
  http_client Client;
  address Platform;

  /// Sends one request and decodes its answer with \p Decode.
  template <class T>
  void call(const std::string &Method, std::string Target, std::string Body,
            std::chrono::milliseconds Timeout,
            result<T> (*Decode)(std::string_view), callback<T> Done) {
    http_request Request;
    Request.Method = Method;
    Request.Target = std::move(Target);
    Request.Body = std::move(Body);
    auto Finish = [Decode, Where = Method + " " + Request.Target,
                   Done = std::move(Done)](result<http_response> Answer) {
      if (!Answer)
        return Done(makeError(store_errc::NoAnswer,
                              Where + ": " + Answer.failure().message()));
      if (Answer->Status != 200)
        return Done(makeError(errorOfStatus(Answer->Status), Where));
      result<T> Decoded = Decode(Answer->Body);
      if (!Decoded)
        return Done(makeError(store_errc::MalformedAnswer,
                              Where + ": " + Decoded.failure().message()));
      Done(std::move(Decoded));
    };
    Client.send(Platform, Request, Timeout, std::move(Finish));
  }
};

platform_client::platform_client(event_loop &Loop, address Platform)
    : Impl(new impl{http_client(Loop), std::move(Platform)}) {}
platform_client::~platform_client() = default;

void platform_client::get(const std::string &Key, callback<object> Done) {
  Impl->call<object>("GET", "/objects?key=" + encodeComponent(Key), "",
                     AnswerTimeout, wire::decodeObject, std::move(Done));
}

void platform_client::put(const std::string &Key, const std::string &Value,
                          std::optional<object_revision> Expected,
                          callback<object_revision> Done) {
  Impl->call<object_revision>("PUT", "/objects?key=" + encodeComponent(Key),
                              wire::encode(wire::put_request{Value, Expected}),
                              AnswerTimeout, wire::decodeRevision,
                              std::move(Done));
}

void platform_client::remove(const std::string &Key, object_revision Expected,
                             callback<object_revision> Done) {
  Impl->call<object_revision>("DELETE",
                              "/objects?key=" + encodeComponent(Key) +
                                  "&expected=" + std::to_string(Expected),
                              "", AnswerTimeout, wire::decodeRevision,
                              std::move(Done));
}

void platform_client::list(const std::string &Prefix,
                           callback<object_list> Done) {
  Impl->call<object_list>("GET", "/list?prefix=" + encodeComponent(Prefix), "",
                          AnswerTimeout, wire::decodeObjectList,
                          std::move(Done));
}

void platform_client::watch(const std::string &Prefix, object_revision After,
                            std::chrono::milliseconds Wait,
                            callback<change_batch> Done) {
  Impl->call<change_batch>("GET",
                           "/watch?prefix=" + encodeComponent(Prefix) +
                               "&after=" + std::to_string(After) +
                               "&wait_ms=" + std::to_string(Wait.count()),
                           "", Wait + AnswerTimeout, wire::decodeChangeBatch,
                           std::move(Done));
}

} // namespace gentianlug::net
