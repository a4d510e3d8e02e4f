#ifndef GENTIANLUG_CORE_ERROR_TABLE_H
#define GENTIANLUG_CORE_ERROR_TABLE_H

#include <string>
#include <string_view>
#include <system_error>

namespace gentianlug {

/// Number and message of an error.
struct error_text {
  int Number;
  std::string_view Text;
};

/// An error category defined by a name and a table of messages.
///
/// Example: `static const error_table Category("core", Texts);`
class error_table final : public std::error_category {
public:
  template <std::size_t Count>
  error_table(const char *Name, const error_text (&Texts)[Count])
      : Name(Name), Begin(Texts), End(Texts + Count) {}

  const char *name() const noexcept override { return Name; }

  std::string message(int Number) const override {
    for (const error_text *Row = Begin; Row != End; ++Row)
      if (Row->Number == Number)
        return "E" + std::to_string(Number) + " " + std::string(Row->Text);
    return "E" + std::to_string(Number) + " unknown error";
  }

private:
  const char *Name;
  const error_text *Begin;
  const error_text *End;
};

} // namespace gentianlug

#endif // GENTIANLUG_CORE_ERROR_TABLE_H
