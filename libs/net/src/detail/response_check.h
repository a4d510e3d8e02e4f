#ifndef GENTIANLUG_NET_DETAIL_RESPONSE_CHECK_H
#define GENTIANLUG_NET_DETAIL_RESPONSE_CHECK_H

#include "gentianlug/net/http_message.h"
#include "gentianlug/net/net_errc.h"

#include <optional>

namespace gentianlug::net::detail {

/// Returns why \p Head, as evhttp has parsed it, must not be taken for a final
/// response, or nothing. evhttp accepts statuses and field names that HTTP does
/// not allow, and reads a body to the end of the connection if its framing is
/// unknown.
///
/// \param HasBody whether a response to the request may have a body.
std::optional<net_errc> findResponseFault(const http_response &Head,
                                          bool HasBody);

} // namespace gentianlug::net::detail

#endif // GENTIANLUG_NET_DETAIL_RESPONSE_CHECK_H
