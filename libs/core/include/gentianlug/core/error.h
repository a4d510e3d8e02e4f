#ifndef GENTIANLUG_CORE_ERROR_H
#define GENTIANLUG_CORE_ERROR_H

#include <string>
#include <system_error>
#include <utility>

namespace gentianlug {

/// An error code of one layer with the text that an operator needs.
///
/// A layer that turns an error from below into its own keeps the text of the
/// cause in `Detail`.
struct error {
  std::error_code Code;
  std::string Detail;

  /// Joins the message of the code and the detail: "MESSAGE: DETAIL".
  std::string message() const {
    return Detail.empty() ? Code.message() : Code.message() + ": " + Detail;
  }
};

/// Builds an error from an enumerator registered with `std::error_code`.
///
/// \param Code enumerator of an error enumeration.
/// \param Detail what happened, to which file, key or peer.
template <class Enum> error makeError(Enum Code, std::string Detail = {}) {
  return {make_error_code(Code), std::move(Detail)};
}

} // namespace gentianlug

#endif // GENTIANLUG_CORE_ERROR_H
