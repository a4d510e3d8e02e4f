#ifndef GENTIANLUG_GATEWAY_CALL_DIALECT_H
#define GENTIANLUG_GATEWAY_CALL_DIALECT_H

#include "gentianlug/core/ids.h"
#include "gentianlug/http1/message.h"

#include <chrono>
#include <optional>
#include <string>

namespace gentianlug::gateway {

/// What a caller says about its call.
struct call_parameters {
  /// "" when the caller names none.
  std::string CallId;
  /// How long the caller waits; nothing when it does not say.
  std::optional<std::chrono::milliseconds> Timeout;
};

/// What is told to a server with a call.
struct server_call {
  std::chrono::milliseconds RemainingTime{0};
  /// The start of the server that may run the call.
  std::string Instance;
  /// Service beside the node at which the call began.
  service_name CallerService;
};

/// What the answer of a server says about its call.
enum class response_class {
  /// The server ran the call, or refuses it for good; the caller gets this.
  Final,
  /// The server has not run the call.
  NotRun,
  /// Another server has this address; it has not run the call.
  WrongServer,
  /// A success without proof that it is the server's.
  Unverified,
};

/// What a server says when it is asked whether it is well.
struct health_report {
  bool Healthy = false;
  std::string Instance;
  std::chrono::milliseconds ColdFor{0};
};

/// How callers and servers express calls: the names of header fields.
class call_dialect {
public:
  virtual ~call_dialect() = default;

  virtual call_parameters
  readCallParameters(const http1::request &Request) const = 0;
  virtual void writeServerCall(http1::request &Request,
                               const server_call &Call) const = 0;
  virtual response_class
  classifyResponse(const http1::response &Answer) const = 0;
  /// Adds to an answer of our own what the caller needs.
  virtual void addLocalResponseHeaders(
      http1::response &Answer, const std::string &CallId,
      std::optional<std::chrono::milliseconds> RetryAfter) const = 0;
  /// Field that servers repeat in their answers.
  virtual const std::string &echoedHeader() const = 0;
  virtual health_report readHealth(const http1::response &Answer) const = 0;
};

} // namespace gentianlug::gateway

#endif // GENTIANLUG_GATEWAY_CALL_DIALECT_H
