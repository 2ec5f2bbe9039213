#define BOOST_TEST_MODULE token
#include "vanillahatch/shell/scope_guard.h"
#include "vanillahatch/shell/token.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <unistd.h>
#include <vector>

using namespace vanillahatch;
namespace fs = std::filesystem;

namespace {

class TokenFile
{
public:
  TokenFile(const std::string& aText, fs::perms aMode)
    : path_(fs::temp_directory_path() /
            ("vh-token-" + std::to_string(::getpid())))
  {
    std::ofstream(path_) << aText << "\n";
    fs::permissions(path_, aMode);
  }
  ~TokenFile() { fs::remove(path_); }

  const fs::path& Path() const { return path_; }

private:
  fs::path path_;
};

constexpr auto kOwnerOnly = fs::perms::owner_read | fs::perms::owner_write;
const std::string kText = "0123456789abcdef";

} // namespace

BOOST_AUTO_TEST_CASE(OwnerOnlyTokenFileIsLoaded)
{
  const TokenFile file(kText, kOwnerOnly);
  const auto token = Token::Load(file.Path());
  BOOST_REQUIRE(token.has_value());
  BOOST_TEST(token.value().Accepts("Bearer " + kText));
}

BOOST_AUTO_TEST_CASE(TokenFileReadableByOthersIsRefused)
{
  const TokenFile file(kText, kOwnerOnly | fs::perms::others_read);
  const auto token = Token::Load(file.Path());
  BOOST_REQUIRE(token.has_error());
  BOOST_TEST(token.error().find("0600") != std::string::npos, token.error());
}

BOOST_AUTO_TEST_CASE(ShortOrMissingTokenIsRefused)
{
  const TokenFile file("short", kOwnerOnly);
  BOOST_TEST(Token::Load(file.Path()).has_error());
  BOOST_TEST(Token::Load("no/such/file").has_error());
}

BOOST_AUTO_TEST_CASE(WrongTokensAreNotAccepted)
{
  const Token token = Token::FromText(kText);
  const std::vector<std::string> wrongOnes = {
    "",
    "Bearer ",
    "Bearer " + kText + "x",
    "Bearer " + kText.substr(1),
    "bearer " + kText,
    kText,
    "Bearer 1123456789abcdef",
    "Bearer " + kText + kText,
  };
  for (const std::string& wrong : wrongOnes) {
    BOOST_TEST(!token.Accepts(wrong), "accepted: " << wrong);
  }
  BOOST_TEST(!Token().Accepts("Bearer "), "an empty token accepts nothing");
}
