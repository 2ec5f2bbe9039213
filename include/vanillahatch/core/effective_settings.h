// The settings that operators can change while the system runs: one table of
// names, units, ranges and built-in defaults, and the value in force for a
// scope with the place it comes from.
//
//   const auto fault = CheckSetting("member.max_in_flight", "many");
//   EffectiveValue value = Effective(state, "member.max_in_flight",
//                                    "member:m1", clock.UnixNow());
//
// An exception is in force while the reader's wall clock is before its end.
// The end time itself is part of the state, so replicas differ at most by the
// offset of their clocks, and a replica that is cut off ends it as well.
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
  int64_t least_ = 0;
  int64_t most_ = 0;
  int64_t default_ = 0;
  std::string_view scopeKind_; // exceptions apply to this kind, or the fleet
  std::string_view meaning_;
};

std::span<const SettingRow> SettingTable();
const SettingRow* FindSetting(std::string_view aName);

// Empty if `aValue` is acceptable for the setting `aName`; else what is.
std::string CheckSetting(std::string_view aName, std::string_view aValue);

// Empty if exceptions to the setting may have this scope; else which may.
// Scopes are "fleet" or "KIND:NAME".
std::string CheckScope(const SettingRow& aRow, std::string_view aScope);

// Names of pools, exceptions, members and the like: 1 to 100 letters, digits
// and "-_.".
bool IsPlainName(std::string_view aText);

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
  const v1::Exception* exception_ = nullptr; // of the state passed in
};

// The value in force. An exception for the very scope goes before one for the
// fleet, which goes before the fleet's default, which goes before the built-in
// one. Nothing if there is no such setting.
std::optional<EffectiveValue> Effective(const v1::FleetState& aState,
                                        std::string_view aSetting,
                                        std::string_view aScope,
                                        Millis aUnixNow);

std::string_view ToText(ValueSource aSource);

} // namespace vanillahatch
