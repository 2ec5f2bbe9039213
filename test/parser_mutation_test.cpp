// Feeds each parser with mutations of valid inputs from a fixed seed. Each
// input must result in a value or an error, never in a crash or an exception.
#define BOOST_TEST_MODULE parser_mutation
#include "config.pb.h"
#include "entry/announce_api.h"
#include "entry/job_api.h"
#include "vanillahatch/core/fleet_config.h"
#include "vanillahatch/shell/settings.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <google/protobuf/util/json_util.h>
#include <random>
#include <sstream>

using namespace vanillahatch;

namespace {

constexpr int kRounds = 4000;
constexpr uint32_t kSeed = 20261204;

std::string Mutate(std::string aText, std::mt19937& aRandom)
{
  const uint32_t changes = 1 + aRandom() % 4;
  for (uint32_t i = 0; i < changes && !aText.empty(); ++i) {
    const size_t at = aRandom() % aText.size();
    switch (aRandom() % 4) {
      case 0:
        aText[at] = static_cast<char>(aRandom());
        break;
      case 1:
        aText.erase(at, 1 + aRandom() % 8);
        break;
      case 2:
        aText.insert(at, aText.substr(aRandom() % aText.size(), 16));
        break;
      default:
        aText.insert(at, 1 + aRandom() % 3, "[]{}\",:=-9"[aRandom() % 10]);
        break;
    }
  }
  return aText;
}

// Calls `aParse` with mutations of `aValid`; it returns whether it accepted the
// input. At least a tenth must be refused, or the mutations test too little.
template<class Parse>
void FeedMutations(const std::string& aValid, Parse aParse)
{
  std::mt19937 random(kSeed);
  int refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::string text = Mutate(aValid, random);
    bool accepted = false;
    BOOST_REQUIRE_NO_THROW(accepted = aParse(text));
    refused += accepted ? 0 : 1;
  }
  BOOST_TEST(refused > kRounds / 10,
             "too few mutations were refused: " << refused);
}

std::string ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

} // namespace

BOOST_AUTO_TEST_CASE(SettingsSurviveMutation)
{
  const std::string valid = ReadFile(VH_SOURCE_DIR "/etc/ajoke.toml");
  BOOST_REQUIRE(ParseSettings(valid, "x").has_value());
  FeedMutations(valid, [](const std::string& aText) {
    const auto settings = ParseSettings(aText, "x");
    BOOST_REQUIRE(settings.has_value() || !settings.error().empty());
    return settings.has_value();
  });
}

BOOST_AUTO_TEST_CASE(AnnouncementsSurviveMutation)
{
  const std::string valid =
    R"({"instance":"a","service":"s","address":"10.0.0.1","port":80,)"
    R"("slots":8,"connections":64,"data_centre":"d","rack":"r",)"
    R"("worker":"w","generation":1,"sequence":1,"lease_ms":2000})";
  BOOST_REQUIRE(ParseAnnouncement(valid).has_value());
  FeedMutations(valid, [](const std::string& aText) {
    const auto announcement = ParseAnnouncement(aText);
    BOOST_REQUIRE(announcement.has_value() ||
                  !announcement.error().field_.empty());
    return announcement.has_value();
  });
}

BOOST_AUTO_TEST_CASE(JobPathsSurviveMutation)
{
  FeedMutations("/v1/services/loops/jobs", [](const std::string& aText) {
    HttpRequest request(boost::beast::http::verb::post, aText, 11);
    request.set("Vh-Member", "m");
    return ParseJob(request, Limits{}, Millis(0)).has_value();
  });
}

BOOST_AUTO_TEST_CASE(ChangesSurviveMutation)
{
  const std::string valid =
    R"({"change_id":"c","author":"a","proposed_at_unix_ms":"1000",)"
    R"("add_exception":{"name":"n","reason":"r","ends_at_unix_ms":"5000",)"
    R"("scope":"pool:billing","setting":"x","value":"1"}})";
  FeedMutations(valid, [](const std::string& aText) {
    v1::Change change;
    FleetConfig config;
    const auto parsed =
      google::protobuf::util::JsonStringToMessage(aText, &change);
    return parsed.ok() && config.Apply(change).status() == v1::CHANGE_ACCEPTED;
  });
}
