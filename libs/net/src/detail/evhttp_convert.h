#ifndef GENTIANLUG_NET_DETAIL_EVHTTP_CONVERT_H
#define GENTIANLUG_NET_DETAIL_EVHTTP_CONVERT_H

#include "gentianlug/net/http_message.h"

#include <cstdint>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <optional>
#include <string>

namespace gentianlug::net::detail {

inline std::string takeBody(evbuffer *Buffer) {
  std::string Body(evbuffer_get_length(Buffer), '\0');
  evbuffer_remove(Buffer, Body.data(), Body.size());
  return Body;
}

inline http_headers readHeaders(const evkeyvalq *List) {
  http_headers Headers;
  for (const evkeyval *Field = List->tqh_first; Field;
       Field = Field->next.tqe_next)
    Headers.add(Field->key, Field->value);
  return Headers;
}

inline void writeHeaders(evkeyvalq *List, const http_headers &Headers) {
  for (const auto &[Name, Value] : Headers.fields())
    evhttp_add_header(List, Name.c_str(), Value.c_str());
}

/// Adds the number of bytes that \p Stream receives and sends to \p Bytes,
/// which must outlive the stream.
void countBytes(bufferevent *Stream, std::uint64_t &Bytes);

/// Writes the output buffer of \p Stream to the socket immediately. The
/// bufferevent would write it one loop iteration later, after epoll has
/// reported that the socket is writable.
void flushOutput(bufferevent *Stream);

const char *methodName(evhttp_cmd_type Method);
std::optional<evhttp_cmd_type> methodByName(const std::string &Name);

} // namespace gentianlug::net::detail

#endif // GENTIANLUG_NET_DETAIL_EVHTTP_CONVERT_H
