#include "ctl/text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace vanillahatch::ctl {

namespace {

struct Unit
{
  char letter_;
  Millis span_;
};

constexpr std::array kUnits = { Unit{ 's', Seconds(1) },
                                Unit{ 'm', Seconds(60) },
                                Unit{ 'h', Seconds(3600) },
                                Unit{ 'd', Seconds(86'400) } };
constexpr int64_t kMostUnits = 100'000;

std::optional<Millis> ParseSpan(std::string_view aText)
{
  if (aText.size() < 2) {
    return std::nullopt;
  }
  const auto* const unit =
    std::find_if(kUnits.begin(), kUnits.end(), [&](const Unit& aUnit) {
      return aUnit.letter_ == aText.back();
    });
  int64_t count = 0;
  const char* const last = aText.data() + aText.size() - 1;
  const auto [end, error] = std::from_chars(aText.data(), last, count);
  if (unit == kUnits.end() || error != std::errc() || end != last ||
      count <= 0 || count > kMostUnits) {
    return std::nullopt;
  }
  return unit->span_ * count;
}

} // namespace

std::optional<Millis> ParseTime(std::string_view aText, Millis aUnixNow)
{
  if (!aText.empty() && aText.front() == '+') {
    const auto span = ParseSpan(aText.substr(1));
    return span ? std::optional(aUnixNow + *span) : std::nullopt;
  }
  std::tm parts{};
  std::istringstream in{ std::string(aText) };
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  if (in.fail() || in.peek() != std::istringstream::traits_type::eof()) {
    return std::nullopt;
  }
  return Seconds(timegm(&parts));
}

std::string FormatTime(int64_t aUnixMs)
{
  const std::time_t seconds = aUnixMs / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream out;
  out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
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
