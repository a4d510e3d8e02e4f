#include "gentianlug/wire/server_announcement.h"

#include "detail/decoder.h"
#include "gentianlug/core/error_table.h"

namespace gentianlug::wire {

using settings::object_reader;

static constexpr error_text WireErrorMessages[] = {
    {int(wire_errc::MalformedMessage), "malformed message"},
};

std::error_code make_error_code(wire_errc Code) {
  static const error_table Category("wire", WireErrorMessages);
  return {int(Code), Category};
}

static server_announcement readAnnouncement(object_reader &Reader) {
  server_announcement Announcement;
  Announcement.Service = service_name(Reader.readString("service"));
  Announcement.Version = version_name(Reader.readString("version"));
  Announcement.Address = Reader.readAddress("address");
  Announcement.Slots = std::uint32_t(Reader.readInteger("slots", 1, 10000));
  Announcement.Connections =
      std::uint32_t(Reader.readInteger("connections", 1, 100000));
  Announcement.Incarnation = detail::readUnsigned(Reader, "incarnation");
  Announcement.Draining = Reader.readBool("draining", false);
  return Announcement;
}

result<server_announcement> decodeServerAnnouncement(std::string_view Text) {
  return detail::decodeObject(Text, "announcement", readAnnouncement);
}

std::string encode(const server_announcement &Announcement) {
  return nlohmann::json{{"service", Announcement.Service.str()},
                        {"version", Announcement.Version.str()},
                        {"address", Announcement.Address.str()},
                        {"slots", Announcement.Slots},
                        {"connections", Announcement.Connections},
                        {"incarnation", Announcement.Incarnation},
                        {"draining", Announcement.Draining}}
      .dump();
}

} // namespace gentianlug::wire
