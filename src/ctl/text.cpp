#include "ctl/text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace vanillahatch::ctl {

namespace {

struct TimeUnit
{
  char suffix_;
  Millis duration_;
};

constexpr std::array kUnits = { TimeUnit{ 's', Seconds(1) },
                                TimeUnit{ 'm', Seconds(60) },
                                TimeUnit{ 'h', Seconds(3600) },
                                TimeUnit{ 'd', Seconds(86'400) } };
constexpr int64_t kMaxUnitCount = 100'000;

std::optional<Millis> ParseDuration(std::string_view aText)
{
  if (aText.size() < 2) {
    return std::nullopt;
  }
  const auto* const unit =
    std::find_if(kUnits.begin(), kUnits.end(), [&](const TimeUnit& aUnit) {
      return aUnit.suffix_ == aText.back();
    });
  int64_t count = 0;
  const char* const suffix = aText.data() + aText.size() - 1;
  const auto [end, error] = std::from_chars(aText.data(), suffix, count);
  if (unit == kUnits.end() || error != std::errc() || end != suffix ||
      count <= 0 || count > kMaxUnitCount) {
    return std::nullopt;
  }
  return unit->duration_ * count;
}

} // namespace

std::optional<Millis> ParseTime(std::string_view aText, Millis aUnixNow)
{
  if (!aText.empty() && aText.front() == '+') {
    const auto duration = ParseDuration(aText.substr(1));
    return duration ? std::optional(aUnixNow + *duration) : std::nullopt;
  }
  std::tm utc{};
  std::istringstream in{ std::string(aText) };
  in >> std::get_time(&utc, "%Y-%m-%dT%H:%M:%SZ");
  if (in.fail() || in.peek() != std::istringstream::traits_type::eof()) {
    return std::nullopt;
  }
  return Seconds(timegm(&utc));
}

std::string FormatTime(int64_t aUnixMs)
{
  const std::time_t seconds = aUnixMs / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::ostringstream out;
  out << std::put_time(&utc, "%Y-%m-%dT%H:%M:%SZ");
  return out.str();
}

std::string FormatTable(const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : aRows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

} // namespace vanillahatch::ctl
