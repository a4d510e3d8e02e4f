#ifndef GENTIANLUG_MESH_ROUTE_TABLE_H
#define GENTIANLUG_MESH_ROUTE_TABLE_H

#include "gentianlug/core/random.h"
#include "gentianlug/mesh/model.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace gentianlug::mesh {

/// Matches calls to routes and selects a service by the weights of the route.
class route_table {
public:
  explicit route_table(std::shared_ptr<const mesh_configuration> Configuration);

  /// Returns the route of \p Host with the longest prefix that matches the path
  /// of \p Target, or null. Complexity: linear in the length of the path.
  const route *find(std::string_view Host, std::string_view Target) const;

  /// Selects a service of \p Route at random, in proportion to the weights;
  /// null when no service has a positive weight.
  static const service_name *selectService(const route &Route, generator &Gen);

  const mesh_configuration &configuration() const { return *Configuration; }

private:
  struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>{}(Text);
    }
  };
  template <class T>
  using string_map =
      std::unordered_map<std::string, T, string_hash, std::equal_to<>>;

  std::shared_ptr<const mesh_configuration> Configuration;
  string_map<string_map<const route *>> RoutesByHost;
};

} // namespace gentianlug::mesh

#endif // GENTIANLUG_MESH_ROUTE_TABLE_H
