#define BOOST_TEST_MODULE log
#include "vanillahatch/shell/log.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace vanillahatch;
namespace fs = std::filesystem;

BOOST_AUTO_TEST_CASE(LongValueFromAPeerIsTruncated)
{
  std::string name = (fs::temp_directory_path() / "vh-log-XXXXXX").string();
  const fs::path folder = mkdtemp(name.data());
  {
    const LogSystem log("n", folder);
    LogInfo(Event::kHandlerFailed,
            { { "target", "/" + std::string(16000, 'x') }, { "port", 8080 } });
    LogInfo(Event::kHandlerFailed, { { "target", std::string(16000, '"') } });
  }
  std::ifstream file(folder / "n.log");
  std::string line;
  BOOST_REQUIRE(std::getline(file, line));
  BOOST_TEST(line.size() < 700U);
  BOOST_TEST(line.find(" target=/xxx") != std::string::npos);
  BOOST_TEST(line.ends_with("x... port=8080"));
  BOOST_REQUIRE(std::getline(file, line));
  BOOST_TEST(line.size() < 1200U);
  fs::remove_all(folder);
}
