// Bearer tokens of operators and upstreams, each read from a file that only
// its owner can access. Tokens are compared in constant time and never logged.
#pragma once

#include "vanillahatch/core/result.h"

#include <filesystem>
#include <string>
#include <string_view>

namespace vanillahatch {

class Token
{
public:
  Token() = default;
  // The error describes what is wrong with the file.
  static Result<Token, std::string> Load(const std::filesystem::path& aFile);
  static Token FromText(std::string aText);

  // Whether an Authorization header carries this token.
  bool Accepts(std::string_view aAuthorization) const;
  std::string AuthorizationHeader() const;

private:
  std::string text_;
};

} // namespace vanillahatch
