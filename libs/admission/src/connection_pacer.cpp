#include "gentianlug/admission/connection_pacer.h"

namespace gentianlug::admission {

bool connection_pacer::tryOpen(std::uint32_t Open, steady_time Now) {
  if (Open >= Bound || Now < Next)
    return false;
  Next = Now + Cost;
  return true;
}

} // namespace gentianlug::admission
