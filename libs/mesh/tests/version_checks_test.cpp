#include "gentianlug/mesh/version_checks.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::mesh;

TEST_GROUP(VersionChecks) {
  const service_name Service{"s"};
  std::vector<server_record> Servers;
  version_policy Versions;

  void addServer(const char *Node, const char *Version,
                 server_state State = server_state::Ready) {
    server_record Record;
    Record.Node = node_id(Node);
    Record.Service = Service;
    Record.Version = version_name(Version);
    Record.State = State;
    Servers.push_back(Record);
  }
};

// Guards against several nodes, or nodes with another version, that all correct
// the stored base version.
TEST(VersionChecks, OneNodeOfTheVersionIsTheWriter) {
  addServer("n1", "v1");
  addServer("n2", "v2", server_state::Draining);
  addServer("n4", "v2");
  addServer("n3", "v2");
  CHECK(selectBaseVersionWriter(Servers, Service, version_name("v2")) ==
        node_id("n3"));
  CHECK(selectBaseVersionWriter(Servers, Service, version_name("v3")).empty());
  CHECK(selectBaseVersionWriter(Servers, service_name("t"), version_name("v2"))
            .empty());
}

// Guards against a service whose ready servers all reject its calls, and that
// only shows in the rejections, one by one.
TEST(VersionChecks, FindsServicesWithoutAServerThatMayServe) {
  addServer("n1", "v1");
  CHECK(findUnreachableServices(Servers, Versions).empty());
  Versions.setBaseVersions(
      {{Service, {version_name("v2"), {store_era(1), 1}}}});
  CHECK(findUnreachableServices(Servers, Versions) == std::set{Service});
  addServer("n2", "v2", server_state::Draining);
  CHECK(findUnreachableServices(Servers, Versions) == std::set{Service});
  addServer("n3", "v2");
  CHECK(findUnreachableServices(Servers, Versions).empty());
}
