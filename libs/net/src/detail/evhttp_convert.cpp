#include "detail/evhttp_convert.h"

namespace gentianlug::net::detail {

namespace {

struct method_row {
  evhttp_cmd_type Method;
  const char *Name;
};

} // namespace

static constexpr method_row Methods[] = {
    {EVHTTP_REQ_GET, "GET"},       {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_HEAD, "HEAD"},     {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_DELETE, "DELETE"}, {EVHTTP_REQ_OPTIONS, "OPTIONS"},
    {EVHTTP_REQ_PATCH, "PATCH"},
};

static void countReceived(evbuffer *, const evbuffer_cb_info *Info,
                          void *Argument) {
  *static_cast<std::uint64_t *>(Argument) += Info->n_added;
}

static void countSent(evbuffer *, const evbuffer_cb_info *Info,
                      void *Argument) {
  *static_cast<std::uint64_t *>(Argument) += Info->n_deleted;
}

void countBytes(bufferevent *Stream, std::uint64_t &Bytes) {
  evbuffer_add_cb(bufferevent_get_input(Stream), countReceived, &Bytes);
  evbuffer_add_cb(bufferevent_get_output(Stream), countSent, &Bytes);
}

void flushOutput(bufferevent *Stream) {
  evbuffer *Output = bufferevent_get_output(Stream);
  if (evbuffer_get_length(Output) == 0)
    return;
  // A bufferevent freezes its output buffer against removal by other code. It
  // still handles errors and the bytes that the socket does not accept.
  evbuffer_unfreeze(Output, 1);
  evbuffer_write(Output, bufferevent_getfd(Stream));
  evbuffer_freeze(Output, 1);
}

const char *methodName(evhttp_cmd_type Method) {
  for (const method_row &Row : Methods)
    if (Row.Method == Method)
      return Row.Name;
  return "UNKNOWN";
}

std::optional<evhttp_cmd_type> methodByName(const std::string &Name) {
  for (const method_row &Row : Methods)
    if (Name == Row.Name)
      return Row.Method;
  return std::nullopt;
}

} // namespace gentianlug::net::detail
