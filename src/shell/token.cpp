#include "vanillahatch/shell/token.h"

#include <fstream>
#include <sys/stat.h>

namespace vanillahatch {

namespace {

constexpr std::string_view kScheme = "Bearer ";
constexpr size_t kMinTokenBytes = 16;

// The run time does not depend on the position of the first difference.
bool EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  unsigned difference = aLeft.size() == aRight.size() ? 0 : 1;
  for (size_t i = 0; i < aRight.size(); ++i) {
    const char left = aLeft.empty() ? '\0' : aLeft[i % aLeft.size()];
    difference |= static_cast<unsigned char>(left ^ aRight[i]);
  }
  return difference == 0;
}

} // namespace

Result<Token, std::string> Token::Load(const std::filesystem::path& aFile)
{
  struct stat status = {};
  if (::stat(aFile.c_str(), &status) != 0) {
    return failure(aFile.string() + ": the token file cannot be read");
  }
  if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    return failure(aFile.string() +
                   ": the token file must be accessible by its owner only "
                   "(mode 0600)");
  }
  std::ifstream in(aFile);
  std::string text;
  in >> text;
  if (text.size() < kMinTokenBytes) {
    return failure(aFile.string() +
                   ": the token must have at least 16 characters");
  }
  return FromText(std::move(text));
}

Token Token::FromText(std::string aText)
{
  Token token;
  token.text_ = std::move(aText);
  return token;
}

bool Token::Accepts(std::string_view aAuthorization) const
{
  if (text_.empty() || !aAuthorization.starts_with(kScheme)) {
    return false;
  }
  return EqualInConstantTime(aAuthorization.substr(kScheme.size()), text_);
}

std::string Token::AuthorizationHeader() const
{
  return std::string(kScheme) + text_;
}

} // namespace vanillahatch
