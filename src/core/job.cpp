#include "vanillahatch/core/job.h"

#include <array>

namespace vanillahatch {

std::string_view ToText(RefusalCode aCode)
{
  // Indexed by `RefusalCode`.
  static constexpr std::array<std::string_view, 12> kTexts = {
    "no-such-service",      "no-capacity",  "queue-full",
    "deadline-unreachable", "member-limit", "ledger-unavailable",
    "claim-held",           "key-expired",  "upstream-failed",
    "deadline-exceeded",    "cancelled",    "stopping",
  };
  return kTexts.at(static_cast<size_t>(aCode));
}

} // namespace vanillahatch
