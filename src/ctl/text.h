// Times and tables as people read and write them.
#pragma once

#include "vanillahatch/core/clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahatch::ctl {

// "2026-12-24T18:00:00Z", or from now on: "+90s", "+30m", "+8h", "+14d".
// Unix time; nothing if the text is neither.
std::optional<Millis> ParseTime(std::string_view aText, Millis aUnixNow);

std::string FormatTime(int64_t aUnixMs);

// Columns as wide as their widest cell; the first row is the heading.
std::string FormatTable(const std::vector<std::vector<std::string>>& aRows);

} // namespace vanillahatch::ctl
