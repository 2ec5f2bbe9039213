// A token bucket that bounds the load of retries. Every first attempt adds
// `kPartsPerFirstAttempt` / `kPartsPerToken` of a token; every retry that may
// reach an upstream spends a whole one.
//
// Bound: from the start, attempts <= (1 + kPartsPerFirstAttempt /
// kPartsPerToken) * first attempts; over a later window, that plus
// `kMaxTokens`. A retry after an attempt that sent nothing needs no token,
// because that attempt put no load on an upstream.
#pragma once

#include <algorithm>
#include <cstdint>

namespace vanillahatch {

class RetryBudget
{
public:
  void RecordFirstAttempt()
  {
    parts_ =
      std::min(parts_ + kPartsPerFirstAttempt, kMaxTokens * kPartsPerToken);
  }

  // Spends a token for one retry. Returns false if there is none.
  bool TrySpend()
  {
    if (parts_ < kPartsPerToken) {
      return false;
    }
    parts_ -= kPartsPerToken;
    return true;
  }

  static constexpr uint32_t kPartsPerToken = 10;
  static constexpr uint32_t kPartsPerFirstAttempt = 1; // a tenth of a token
  static constexpr uint32_t kMaxTokens = 50;

private:
  uint32_t parts_ = 0; // of tokens
};

} // namespace vanillahatch
