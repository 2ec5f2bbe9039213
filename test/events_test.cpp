#define BOOST_TEST_MODULE events
#include "vanillahatch/shell/events.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace vanillahatch;

namespace {

// Returns "NUMBER NAME" for each row "| 200 | route-chosen | ... |".
std::set<std::string> ReadCatalogue()
{
  std::ifstream in(VH_SOURCE_DIR "/docs/EVENTS.md");
  std::set<std::string> rows;
  for (std::string line; std::getline(in, line);) {
    std::istringstream words(line);
    std::string bar;
    std::string number;
    std::string name;
    if (words >> bar >> number >> bar >> name && std::isdigit(number[0])) {
      rows.insert(number + " " + name);
    }
  }
  return rows;
}

} // namespace

BOOST_AUTO_TEST_CASE(DocumentedEventsMatchTheCode)
{
  std::set<std::string> coded;
  for (const EventEntry& entry : EventCatalogue()) {
    coded.insert(std::to_string(static_cast<int>(entry.event_)) + " " +
                 std::string(entry.name_));
  }
  const std::set<std::string> documented = ReadCatalogue();
  BOOST_TEST(coded == documented, boost::test_tools::per_element());
}
