#include "gentianlug/distribution/distribution_errc.h"

#include "gentianlug/core/error_table.h"

namespace gentianlug::distribution {

static constexpr error_text DistributionTexts[] = {
    {int(distribution_errc::UnknownBase), "update builds on unknown version"},
    {int(distribution_errc::BadPatch), "patch does not fit its part"},
    {int(distribution_errc::NameInUse), "name belongs to another live node"},
};

std::error_code make_error_code(distribution_errc Code) {
  static const error_table Category("distribution", DistributionTexts);
  return {int(Code), Category};
}

} // namespace gentianlug::distribution
