#define BOOST_TEST_MODULE settings
#include "vanillahatch/shell/settings.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace vanillahatch;
namespace data = boost::unit_test::data;

namespace {

const std::string kValid = R"(deployment = "test"
objective = "idle-capacity"
operator_token_file = "operator.token"
upstream_token_file = "upstream.token"
[limits]
stop_grace_ms = 1000
[[entry]]
name = "e1"
data_centre = "north"
http = "127.0.0.1:8001"
rpc = "127.0.0.1:8002"
[[control]]
name = "c1"
data_centre = "north"
http = "127.0.0.1:8003"
rpc = "127.0.0.1:8004"
data_folder = "data/c1"
[[ledger]]
name = "l1"
data_centre = "north"
http = "127.0.0.1:8005"
rpc = "127.0.0.1:8006"
data_folder = "data/l1"
)";

std::string Replaced(std::string aText,
                     const std::string& aFrom,
                     const std::string& aTo)
{
  const size_t at = aText.find(aFrom);
  BOOST_REQUIRE_MESSAGE(at != std::string::npos, "no such text: " << aFrom);
  return aText.replace(at, aFrom.size(), aTo);
}

struct BadCase
{
  std::string from_;
  std::string to_;
  std::string key_; // that the error must name
  uint32_t line_;   // that the error must name; 0: any

  friend std::ostream& operator<<(std::ostream& aOut, const BadCase& aCase)
  {
    return aOut << aCase.to_;
  }
};

const BadCase kBadCases[] = {
  { "objective = \"idle-capacity\"", "objective = \"fun\"", "objective", 2 },
  { "objective = \"idle-capacity\"\n", "", "objective", 0 },
  { "deployment = \"test\"", "deployment = 7", "deployment", 1 },
  { "deployment = \"test\"", "deployment = \"\"", "deployment", 1 },
  { "stop_grace_ms = 1000", "stop_grace_ms = -5", "limits.stop_grace_ms", 6 },
  { "stop_grace_ms = 1000", "stop_grace_ms = 1.5", "limits.stop_grace_ms", 6 },
  { "stop_grace_ms = 1000", "stop_grace = 1000", "limits.stop_grace", 6 },
  { "stop_grace_ms = 1000",
    "default_deadline_ms = 600000\nmax_deadline_ms = 1000",
    "limits.default_deadline_ms",
    6 },
  { "\"127.0.0.1:8001\"", "\"localhost:8001\"", "entry[0].http", 10 },
  { "\"127.0.0.1:8001\"", "\"127.0.0.1\"", "entry[0].http", 10 },
  { "\"127.0.0.1:8001\"", "\"127.0.0.1:0\"", "entry[0].http", 10 },
  { "\"127.0.0.1:8001\"", "\"127.0.0.1:70000\"", "entry[0].http", 10 },
  { "\"127.0.0.1:8001\"", "\"127.0.0.1:8004\"", "control[0].rpc", 16 },
  { "name = \"l1\"", "name = \"e1\"", "ledger[0].name", 19 },
  { "data_folder = \"data/c1\"\n", "", "control[0].data_folder", 0 },
  { "\"data/l1\"", "\"data/c1\"", "ledger[0].data_folder", 23 },
  { "deployment = \"test\"", "colour = \"red\"", "colour", 1 },
  { "[[entry]]", "[entry]", "entry", 0 },
  { "deployment = \"test\"", "deployment = ", "(syntax)", 1 },
  { "[limits]\nstop_grace_ms = 1000", "limits = 3", "limits", 5 },
};

} // namespace

BOOST_AUTO_TEST_CASE(ValidSettingsAreRead)
{
  const auto settings = ParseSettings(kValid, "test.toml");
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings.value().limits_.stopGrace_.Count() == 1000);
  BOOST_TEST(ToText(settings.value().entries_.at(0).http_) == "127.0.0.1:8001");
  BOOST_TEST(settings.value().ledgers_.at(0).dataFolder_ == "data/l1");
}

BOOST_DATA_TEST_CASE(BadValueIsReportedWithKeyAndLine,
                     data::make(kBadCases),
                     bad)
{
  const auto settings =
    ParseSettings(Replaced(kValid, bad.from_, bad.to_), "test.toml");
  BOOST_REQUIRE(settings.has_error());
  std::string all;
  const bool found =
    std::any_of(settings.error().begin(),
                settings.error().end(),
                [&](const SettingsError& aError) {
                  all += aError.ToText() + "\n";
                  return aError.key_ == bad.key_ &&
                         (bad.line_ == 0 || aError.line_ == bad.line_);
                });
  BOOST_TEST(found,
             "expected an error at " << bad.key_ << " line " << bad.line_
                                     << ", actual:\n"
                                     << all);
}

BOOST_AUTO_TEST_CASE(AllErrorsAreReportedTogether)
{
  std::string text = Replaced(kValid, "\"idle-capacity\"", "\"fun\"");
  text = Replaced(text, "\"127.0.0.1:8001\"", "\"nowhere\"");
  text = Replaced(text, "stop_grace_ms = 1000", "stop_grace_ms = 0");
  const auto settings = ParseSettings(text, "test.toml");
  BOOST_REQUIRE(settings.has_error());
  BOOST_TEST(settings.error().size() == 3U);
}

BOOST_DATA_TEST_CASE(ShippedSettingsAreValid,
                     data::make({ "ajoke", "ryggstein" }),
                     name)
{
  const auto settings =
    LoadSettings(std::string(VH_SOURCE_DIR "/etc/") + name + ".toml");
  std::string all;
  if (settings.has_error()) {
    for (const SettingsError& error : settings.error()) {
      all += error.ToText() + "\n";
    }
  }
  BOOST_TEST(settings.has_value(), all);
}
