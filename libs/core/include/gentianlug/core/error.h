#ifndef GENTIANLUG_CORE_ERROR_H
#define GENTIANLUG_CORE_ERROR_H

#include <string>
#include <system_error>
#include <utility>

namespace gentianlug {

/// An error code with a description for operators.
///
/// A layer that maps an error of a lower layer to one of its own codes keeps
/// the message of the cause in `Detail`.
struct error {
  std::error_code Code;
  std::string Detail;

  /// Returns "MESSAGE: DETAIL", or only the message of the code if there is no
  /// detail.
  std::string message() const {
    return Detail.empty() ? Code.message() : Code.message() + ": " + Detail;
  }
};

/// Creates an error from an enumerator of an error code enumeration.
///
/// \param Code enumerator with an overload of `make_error_code`.
/// \param Detail context of the error, such as the file, key or peer.
template <class Enum> error makeError(Enum Code, std::string Detail = {}) {
  return {make_error_code(Code), std::move(Detail)};
}

} // namespace gentianlug

#endif // GENTIANLUG_CORE_ERROR_H
