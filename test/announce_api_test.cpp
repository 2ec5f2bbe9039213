#define BOOST_TEST_MODULE announce_api
#include "entry/announce_api.h"

#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace vanillahatch;
namespace data = boost::unit_test::data;
namespace json = boost::json;

namespace {

json::object MakeValidAnnouncement()
{
  return { { "instance", "loops-1" },
           { "service", "loops" },
           { "address", "10.0.0.5" },
           { "port", 8080 },
           { "slots", 8 },
           { "connections", 64 },
           { "data_centre", "dc1" },
           { "rack", "r1" },
           { "worker", "w1" },
           { "generation", 1700000000000 },
           { "sequence", 1 },
           { "lease_ms", 2000 } };
}

struct InvalidField
{
  const char* field_;
  const char* json_;

  friend std::ostream& operator<<(std::ostream& aOut,
                                  const InvalidField& aField)
  {
    return aOut << aField.field_ << "=" << aField.json_;
  }
};

const InvalidField kInvalidFields[] = {
  { "address", "\"example.org\"" },
  { "address", "\"10.0.0\"" },
  { "address", "5" },
  { "port", "0" },
  { "port", "65536" },
  { "port", "\"80\"" },
  { "slots", "0" },
  { "slots", "-8" },
  { "slots", "1.5" },
  { "slots", "1e30" },
  { "generation", "9223372036854775808" },
  { "generation", "1e300" },
  { "generation", "-1" },
  { "sequence", "100000000000000000000000000000" },
  { "connections", "0" },
  { "lease_ms", "0" },
  { "lease_ms", "3600000" },
  { "generation", "0" },
  { "sequence", "null" },
  { "service", "\"\"" },
  { "instance", "[]" },
  { "departed", "1" },
};

} // namespace

BOOST_AUTO_TEST_CASE(ValidAnnouncementIsParsedIntoFact)
{
  const auto fact = ParseAnnouncement(json::serialize(MakeValidAnnouncement()));
  BOOST_REQUIRE(fact.has_value());
  BOOST_TEST(fact.value().slots_ == 8U);
  BOOST_TEST(fact.value().lease_.Count() == 2000);
  BOOST_TEST(!fact.value().departed_);
}

BOOST_DATA_TEST_CASE(InvalidFieldIsReportedByName,
                     data::make(kInvalidFields),
                     invalid)
{
  json::object announcement = MakeValidAnnouncement();
  announcement[invalid.field_] = json::parse(invalid.json_);
  const auto fact = ParseAnnouncement(json::serialize(announcement));
  BOOST_REQUIRE(fact.has_error());
  BOOST_TEST(fact.error().field_ == invalid.field_);
}

BOOST_DATA_TEST_CASE(TextThatIsNotAnObjectIsRejected,
                     data::make({ "", "{", "[]", "7", "{\"a\":}", "\xff" }),
                     text)
{
  const auto fact = ParseAnnouncement(text);
  BOOST_REQUIRE(fact.has_error());
  BOOST_TEST(fact.error().field_ == "(body)");
}

BOOST_DATA_TEST_CASE(NameThatIsNotUtf8IsRejected,
                     data::make({ "\xff", "\xc0\xaf", "\\ud800" }),
                     name)
{
  std::string text = json::serialize(MakeValidAnnouncement());
  const size_t position = text.find("r1");
  BOOST_REQUIRE(position != std::string::npos);
  text.replace(position, 2, name);
  BOOST_TEST(ParseAnnouncement(text).has_error());
}

BOOST_AUTO_TEST_CASE(DeeplyNestedTextIsRejected)
{
  const std::string text = "{\"instance\":" + std::string(1'000'000, '[');
  BOOST_TEST(ParseAnnouncement(text).has_error());
}
