#include "vanillahatch/core/effective_settings.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace vanillahatch {

namespace {

constexpr size_t kMaxNameBytes = 100;
constexpr std::string_view kFleetScope = "fleet";

constexpr std::array kSettings = {
  SettingRow{ .name_ = "member.max_in_flight",
              .unit_ = "jobs",
              .min_ = 1,
              .max_ = 100'000,
              .default_ = 64,
              .scopeKind_ = "member",
              .meaning_ =
                "jobs of one member that may run at once, per entry" },
  SettingRow{ .name_ = "member.max_queued",
              .unit_ = "jobs",
              .min_ = 0,
              .max_ = 100'000,
              .default_ = 500,
              .scopeKind_ = "member",
              .meaning_ = "jobs of one member that may wait, per entry" },
  SettingRow{ .name_ = "member.weight",
              .unit_ = "",
              .min_ = 1,
              .max_ = 1'000,
              .default_ = 10,
              .scopeKind_ = "member",
              .meaning_ = "share of a member relative to the others" },
  SettingRow{ .name_ = "service.max_queued",
              .unit_ = "jobs",
              .min_ = 1,
              .max_ = 1'000'000,
              .default_ = 1'000,
              .scopeKind_ = "service",
              .meaning_ = "jobs that may wait for a service, per entry" },
  SettingRow{ .name_ = "service.max_attempts",
              .unit_ = "attempts",
              .min_ = 1,
              .max_ = 10,
              .default_ = 3,
              .scopeKind_ = "service",
              .meaning_ = "attempts of a repeatable job" },
  SettingRow{ .name_ = "service.default_deadline",
              .unit_ = "ms",
              .min_ = 10,
              .max_ = 600'000,
              .default_ = 30'000,
              .scopeKind_ = "service",
              .meaning_ = "deadline of jobs that name none" },
  SettingRow{ .name_ = "pool.availability_budget",
              .unit_ = "percent",
              .min_ = 0,
              .max_ = 100,
              .default_ = 25,
              .scopeKind_ = "pool",
              .meaning_ = "instances of a pool that may be unavailable" },
  SettingRow{ .name_ = "pool.buffer",
              .unit_ = "percent",
              .min_ = 0,
              .max_ = 500,
              .default_ = 20,
              .scopeKind_ = "pool",
              .meaning_ = "idle capacity kept above the demand" },
  SettingRow{ .name_ = "pool.move_hysteresis",
              .unit_ = "ms",
              .min_ = 0,
              .max_ = 3'600'000,
              .default_ = 10'000,
              .scopeKind_ = "pool",
              .meaning_ = "minimum time between two moves of an instance" },
  SettingRow{ .name_ = "pool.maintenance_period",
              .unit_ = "days",
              .min_ = 1,
              .max_ = 365,
              .default_ = 49,
              .scopeKind_ = "pool",
              .meaning_ = "every instance is maintained once per period" },
};

std::string RangeText(const SettingRow& aRow)
{
  std::string text = "accepted is a whole number from " +
                     std::to_string(aRow.min_) + " to " +
                     std::to_string(aRow.max_);
  if (!aRow.unit_.empty()) {
    text += " (" + std::string(aRow.unit_) + ")";
  }
  return text;
}

std::optional<int64_t> ParseNumber(std::string_view aText)
{
  int64_t value = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, value);
  if (error != std::errc() || end != last || aText.empty()) {
    return std::nullopt;
  }
  return value;
}

const v1::Exception* FindException(const v1::FleetState& aState,
                                   std::string_view aSetting,
                                   std::string_view aScope,
                                   Millis aUnixNow)
{
  for (const v1::Exception& exception : aState.exceptions()) {
    if (exception.setting() == aSetting && exception.scope() == aScope &&
        aUnixNow.Count() < exception.ends_at_unix_ms()) {
      return &exception;
    }
  }
  return nullptr;
}

} // namespace

std::span<const SettingRow> SettingTable()
{
  return kSettings;
}

const SettingRow* FindSetting(std::string_view aName)
{
  const auto* const it =
    std::find_if(kSettings.begin(), kSettings.end(), [&](const auto& aRow) {
      return aRow.name_ == aName;
    });
  return it != kSettings.end() ? it : nullptr;
}

std::string CheckSetting(std::string_view aName, std::string_view aValue)
{
  const SettingRow* row = FindSetting(aName);
  if (row == nullptr) {
    std::string text =
      "setting: there is no \"" + std::string(aName) + "\"; accepted are";
    for (const SettingRow& known : kSettings) {
      text += " " + std::string(known.name_);
    }
    return text;
  }
  const std::optional<int64_t> value = ParseNumber(aValue);
  if (!value || *value < row->min_ || *value > row->max_) {
    return "value: \"" + std::string(aValue) + "\" for " + std::string(aName) +
           "; " + RangeText(*row);
  }
  return {};
}

std::string CheckScope(const SettingRow& aRow, std::string_view aScope)
{
  if (aScope == kFleetScope) {
    return {};
  }
  const size_t colon = aScope.find(':');
  if (colon != std::string_view::npos &&
      aScope.substr(0, colon) == aRow.scopeKind_ &&
      IsValidConfigName(aScope.substr(colon + 1))) {
    return {};
  }
  return "scope: \"" + std::string(aScope) + "\"; accepted is \"fleet\" or \"" +
         std::string(aRow.scopeKind_) + ":NAME\"";
}

bool IsValidConfigName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
           return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '_' ||
                  aChar == '.';
         });
}

std::optional<EffectiveValue> FindEffectiveValue(const v1::FleetState& aState,
                                                 std::string_view aSetting,
                                                 std::string_view aScope,
                                                 Millis aUnixNow)
{
  const SettingRow* row = FindSetting(aSetting);
  if (row == nullptr) {
    return std::nullopt;
  }
  const v1::Exception* exception =
    FindException(aState, aSetting, aScope, aUnixNow);
  if (exception == nullptr) {
    exception = FindException(aState, aSetting, kFleetScope, aUnixNow);
  }
  if (exception != nullptr) {
    return EffectiveValue{
      .value_ = ParseNumber(exception->value()).value_or(row->default_),
      .source_ = ValueSource::kException,
      .exception_ = exception
    };
  }
  const auto fleetDefault = aState.defaults().find(std::string(aSetting));
  if (fleetDefault != aState.defaults().end()) {
    return EffectiveValue{
      .value_ = ParseNumber(fleetDefault->second).value_or(row->default_),
      .source_ = ValueSource::kFleetDefault
    };
  }
  return EffectiveValue{ .value_ = row->default_ };
}

std::string_view ToText(ValueSource aSource)
{
  switch (aSource) {
    case ValueSource::kBuiltIn:
      return "built-in default";
    case ValueSource::kFleetDefault:
      return "fleet default";
    default:
      return "exception";
  }
}

} // namespace vanillahatch
