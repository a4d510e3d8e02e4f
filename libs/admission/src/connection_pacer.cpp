#include "gentianlug/admission/connection_pacer.h"

namespace gentianlug::admission {

bool connection_pacer::tryOpen(std::uint32_t Open, steady_time Now) {
  if (Open >= MaxConnections || Now < NextOpen)
    return false;
  NextOpen = Now + Cost;
  return true;
}

} // namespace gentianlug::admission
