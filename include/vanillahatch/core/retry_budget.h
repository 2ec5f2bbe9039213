// Bounds the load that retries add. Every first attempt earns a fraction of a
// token, every retry that may reach an upstream spends a whole one.
//
// Bound: over any span from the start, attempts <= (1 + kEarned) * first
// attempts; over any later window, that plus `kMaxTokens`. Attempts that
// provably sent nothing put no load on an upstream and need no token.
#pragma once

#include <algorithm>
#include <cstdint>

namespace vanillahatch {

class RetryBudget
{
public:
  void NoteFirstAttempt()
  {
    parts_ = std::min(parts_ + kEarnedParts, kMaxTokens * kPartsPerToken);
  }

  // True if a retry may be sent; it is then paid for.
  bool TrySpend()
  {
    if (parts_ < kPartsPerToken) {
      return false;
    }
    parts_ -= kPartsPerToken;
    return true;
  }

  static constexpr uint32_t kPartsPerToken = 10;
  static constexpr uint32_t kEarnedParts = 1; // a tenth of a token
  static constexpr uint32_t kMaxTokens = 50;

private:
  uint32_t parts_ = 0;
};

} // namespace vanillahatch
