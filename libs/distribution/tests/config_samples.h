#ifndef GENTIANLUG_DISTRIBUTION_TESTS_CONFIG_SAMPLES_H
#define GENTIANLUG_DISTRIBUTION_TESTS_CONFIG_SAMPLES_H

#include "gentianlug/distribution/config_history.h"

namespace gentianlug::distribution {

/// Returns a configuration whose content depends on its version: services are
/// added, removed and changed from one version to the next.
inline config_image sampleImage(config_version Version) {
  config::site_configuration Configuration;
  Configuration.Site = site_name("qc-east");
  unsigned Services = 60 + unsigned(Version % 7);
  for (unsigned Index = 0; Index < Services; ++Index) {
    config::service Service;
    Service.Name = service_name("s" + std::to_string(100 + Index));
    Service.Version = version_name("v1");
    if (Index == Version % 50)
      Service.Limits.QueueLength = unsigned(100 + Version);
    Configuration.Services.push_back(Service);
  }
  config_image Image{Version, "", config::splitIntoParts(Configuration)};
  Image.RootHash = config::rootHash(config::hashesOf(Image.Parts));
  return Image;
}

/// Returns whether \p Image equals the sample of its version.
inline bool equalsSample(const config_image &Image) {
  config_image Sample = sampleImage(Image.Version);
  return Image.RootHash == Sample.RootHash &&
         config::hashesOf(Image.Parts) == config::hashesOf(Sample.Parts) &&
         bool(config::assemble(Image.Parts, Image.RootHash));
}

} // namespace gentianlug::distribution

#endif // GENTIANLUG_DISTRIBUTION_TESTS_CONFIG_SAMPLES_H
