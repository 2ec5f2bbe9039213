// The settings that operators can change at run time: a table of names, units,
// ranges and built-in defaults, and a lookup of the effective value for a scope
// together with its source.
//
//   const auto error = CheckSetting("member.max_in_flight", "many");
//   const auto value = FindEffectiveValue(state, "member.max_in_flight",
//                                         "member:m1", clock.UnixNow());
//
// An exception applies until the reader's wall clock reaches its end time. The
// end time is part of the replicated state, so replicas differ at most by their
// clock offset, and a replica without contact to the others ends it as well.
#pragma once

#include "vanillahatch/core/clock.h"

#include "config.pb.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace vanillahatch {

struct SettingRow
{
  std::string_view name_;
  std::string_view unit_;
  int64_t min_ = 0;
  int64_t max_ = 0;
  int64_t default_ = 0;
  std::string_view scopeKind_; // of exceptions, besides "fleet"
  std::string_view meaning_;
};

std::span<const SettingRow> SettingTable();
const SettingRow* FindSetting(std::string_view aName);

// Returns an empty string if `aValue` is valid for the setting `aName`,
// otherwise an error text that names the accepted values.
std::string CheckSetting(std::string_view aName, std::string_view aValue);

// Returns an empty string if exceptions to the setting may have this scope,
// otherwise an error text that names the accepted scopes. A scope is "fleet" or
// "KIND:NAME".
std::string CheckScope(const SettingRow& aRow, std::string_view aScope);

// Whether `aText` is a valid name of a pool, exception, member and the like: 1
// to 100 letters, digits and "-_.".
bool IsValidConfigName(std::string_view aText);

enum class ValueSource
{
  kBuiltIn,
  kFleetDefault,
  kException,
};

struct EffectiveValue
{
  int64_t value_ = 0;
  ValueSource source_ = ValueSource::kBuiltIn;
  const v1::Exception* exception_ = nullptr; // points into the state passed in
};

// Returns the effective value, or nothing if there is no such setting. Highest
// precedence first: an exception for exactly this scope, an exception for the
// fleet, the fleet's default, the built-in default.
std::optional<EffectiveValue> FindEffectiveValue(const v1::FleetState& aState,
                                                 std::string_view aSetting,
                                                 std::string_view aScope,
                                                 Millis aUnixNow);

std::string_view ToText(ValueSource aSource);

} // namespace vanillahatch
