#include "gentianlug/wire/lease_values.h"

#include "detail/decoder.h"

namespace gentianlug::wire {

static store::lease_value readLease(settings::object_reader &Reader) {
  store::lease_value Lease;
  Lease.Holder = node_id(Reader.readString("holder", ""));
  Lease.ControlAddress = Reader.readAddress("control");
  Lease.Epoch = detail::readUnsigned(Reader, "epoch");
  Lease.WriteId = Reader.readString("write_id");
  return Lease;
}

result<store::lease_value> decodeLeaseValue(std::string_view Text) {
  return detail::decodeObject(Text, "lease", readLease);
}

std::string encode(const store::lease_value &Lease) {
  return nlohmann::json{{"holder", Lease.Holder.str()},
                        {"control", Lease.ControlAddress.str()},
                        {"epoch", Lease.Epoch},
                        {"write_id", Lease.WriteId}}
      .dump();
}

} // namespace gentianlug::wire
