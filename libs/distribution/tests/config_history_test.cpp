#include "config_samples.h"

#include <CppUTest/TestHarness.h>

using namespace gentianlug;
using namespace gentianlug::distribution;

TEST_GROUP(config_history){};

// Guards against a delta that does not reproduce the newest version exactly,
// and against a delta from a version that is no longer retained.
TEST(config_history, DeltaOrFullUpdateRebuildsTheNewestVersion) {
  config_history Sender;
  std::vector<config_history> Receivers;
  for (config_version Version = 1; Version <= 20; ++Version) {
    Sender.add(sampleImage(Version));
    config_history Receiver;
    Receiver.add(sampleImage(Version));
    Receivers.push_back(std::move(Receiver));
  }
  for (config_version Held = 1; Held < 20; ++Held) {
    auto Update = Sender.updateFor(Held);
    bool Delta = Held > 20 - MaxRetainedVersions;
    CHECK_EQUAL(Delta ? Held : 0, Update->BaseVersion);
    auto Image = Receivers[Held - 1].build(*Update);
    CHECK(bool(Image));
    CHECK_EQUAL(20U, Image->Version);
    CHECK(equalsSample(*Image));
  }
  CHECK_FALSE(Sender.updateFor(20).has_value());
  CHECK_FALSE(Sender.updateFor(21).has_value());
}

// Guards against an update that resends services that did not change.
TEST(config_history, DeltaCarriesOnlyChangedText) {
  config_history Sender;
  Sender.add(sampleImage(8));
  config_image Next = sampleImage(8);
  Next.Version = 9;
  config::part &Part = std::next(Next.Parts.begin())->second;
  std::string OldText = Part.Text;
  Part.Text.replace(Part.Text.find("v1"), 2, "v2");
  Part.Hash = "changed";
  Sender.add(Next);
  auto Update = Sender.updateFor(8);
  CHECK_EQUAL(1U, Update->ChangedParts.size());
  STRCMP_EQUAL("2", Update->ChangedParts[0].Replacement.c_str());
}

// Guards against replacing a version with an older one, and against patches
// that exceed the text.
TEST(config_history, RefusesOlderVersionsAndMismatchedPatches) {
  config_history History;
  History.add(sampleImage(5));
  History.add(sampleImage(4));
  CHECK_EQUAL(5U, History.newestVersion());
  config_update Update{6, "", 5, {{"site", 100000, 0, ""}}, {}};
  CHECK_FALSE(bool(History.build(Update)));
  Update.ChangedParts = {{"site", 1, std::size_t(-1), ""}};
  CHECK_FALSE(bool(History.build(Update)));
  Update.BaseVersion = 3;
  CHECK_FALSE(bool(History.build(Update)));
}
