#ifndef GENTIANLUG_NET_HTTP_SYNTAX_H
#define GENTIANLUG_NET_HTTP_SYNTAX_H

#include <string_view>

namespace gentianlug::net {

/// Returns whether \p Text may be part of the name of a header field: it holds
/// only characters of an HTTP token. An empty text is valid.
bool isFieldNamePart(std::string_view Text);

/// Returns whether \p Status belongs to a class of HTTP statuses.
bool isValidStatus(int Status);

/// Returns whether a response with \p Status is followed by a further one.
bool isInterimStatus(int Status);

} // namespace gentianlug::net

#endif // GENTIANLUG_NET_HTTP_SYNTAX_H
