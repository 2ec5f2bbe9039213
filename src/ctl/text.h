// Parsing and formatting of times and tables for the command line.
#pragma once

#include "vanillahatch/core/clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahatch::ctl {

// Parses a UTC time such as "2026-12-24T18:00:00Z" or a time relative to
// `aUnixNow` such as "+90s", "+30m", "+8h" or "+14d". Returns Unix time, or
// nothing if the text is neither.
std::optional<Millis> ParseTime(std::string_view aText, Millis aUnixNow);

// The UTC time in seconds, in the format that ParseTime reads.
std::string FormatTime(int64_t aUnixMs);

// A table with left-aligned columns, each as wide as its widest cell; the first
// row is the header.
std::string FormatTable(const std::vector<std::vector<std::string>>& aRows);

} // namespace vanillahatch::ctl
