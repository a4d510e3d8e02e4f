#ifndef GENTIANLUG_CONFIG_DETAIL_MERGE_H
#define GENTIANLUG_CONFIG_DETAIL_MERGE_H

#include "detail/source_document.h"

namespace gentianlug::config::detail {

/// Merges an overlay into a base according to docs/configuration.md.
///
/// \param Faults receives a fault for each overlay entry that cannot be merged.
/// \returns the merged document.
///
/// Complexity: linear in the size of both documents.
nlohmann::json mergeDocuments(const source_document &Base,
                              const source_document &Overlay,
                              std::vector<compile_fault> &Faults);

} // namespace gentianlug::config::detail

#endif // GENTIANLUG_CONFIG_DETAIL_MERGE_H
