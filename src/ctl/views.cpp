#include "ctl/commands.h"
#include "ctl/exit_codes.h"
#include "ctl/text.h"
#include "vanillahatch/core/effective_settings.h"
#include "vanillahatch/core/fleet_config.h"
#include "vanillahatch/shell/system_clock.h"

#include <boost/json.hpp>
#include <chrono>
#include <google/protobuf/util/json_util.h>
#include <thread>

namespace vanillahatch::ctl {

namespace {

namespace json = boost::json;
using Rows = std::vector<std::vector<std::string>>;

constexpr std::chrono::milliseconds kWatchInterval(1000);

// Prints rows, the first of which is the header, as a table or, with --json, as
// an array of objects keyed by the header.
void Print(CommandContext& aContext, const Rows& aRows)
{
  if (!aContext.line_.json_) {
    aContext.out_ << FormatTable(aRows);
    return;
  }
  json::array items;
  for (size_t i = 1; i < aRows.size(); ++i) {
    json::object item;
    for (size_t column = 0; column < aRows[i].size(); ++column) {
      item[aRows[0][column]] = aRows[i][column];
    }
    items.push_back(std::move(item));
  }
  aContext.out_ << json::serialize(items) << "\n";
}

int ReportUnreachable(CommandContext& aContext)
{
  aContext.err_ << "vhctl: no control replica answers\n";
  return kUnreachable;
}

// One row for the named pool, or for every pool if the name is empty.
Rows PoolRows(const v1::FleetState& aState, std::string_view aPoolName)
{
  Rows rows = { { "pool",
                  "service",
                  "instances",
                  "draining",
                  "floor",
                  "ceiling",
                  "max_unavailable",
                  "rack_spread",
                  "priority",
                  "spare" } };
  for (const v1::PoolContract& pool : aState.pools()) {
    if (!aPoolName.empty() && pool.name() != aPoolName) {
      continue;
    }
    int instances = 0;
    int draining = 0;
    for (const v1::Membership& membership : aState.memberships()) {
      instances += membership.pool() == pool.name() ? 1 : 0;
      draining +=
        membership.pool() == pool.name() && membership.draining() ? 1 : 0;
    }
    rows.push_back({ pool.name(),
                     pool.service(),
                     std::to_string(instances),
                     std::to_string(draining),
                     std::to_string(pool.floor()),
                     std::to_string(pool.ceiling()),
                     std::to_string(pool.max_unavailable()),
                     std::to_string(pool.rack_spread()),
                     std::to_string(pool.priority()),
                     pool.spare() ? "yes" : "no" });
  }
  return rows;
}

int ListPools(CommandContext& aContext, const v1::FleetState& aState)
{
  Print(aContext, PoolRows(aState, ""));
  return kOk;
}

int ShowPool(CommandContext& aContext, const v1::FleetState& aState)
{
  const std::string& name = aContext.line_.words_[2];
  if (FindPool(aState, name) == nullptr) {
    aContext.err_ << "vhctl: unknown pool \"" << name << "\"\n";
    return kRefused;
  }
  if (!aContext.line_.json_) {
    Print(aContext, PoolRows(aState, name));
  }
  Rows rows = { { "instance", "data_centre", "epoch", "state", "reason" } };
  for (const v1::Membership& membership : aState.memberships()) {
    if (membership.pool() == name) {
      const char* state = membership.drained()    ? "drained"
                          : membership.draining() ? "draining"
                                                  : "in service";
      rows.push_back({ membership.instance(),
                       membership.data_centre(),
                       std::to_string(membership.epoch()),
                       state,
                       membership.drain_reason() });
    }
  }
  Print(aContext, rows);
  return kOk;
}

int ShowDefaults(CommandContext& aContext, const v1::FleetState& aState)
{
  const auto& words = aContext.line_.words_;
  Rows rows = { { "setting", "value", "unit", "source", "range", "meaning" } };
  for (const SettingRow& row : SettingTable()) {
    if (words.size() == 3 && row.name_ != words[2]) {
      continue;
    }
    const bool isSet = aState.defaults().contains(std::string(row.name_));
    rows.push_back({ std::string(row.name_),
                     isSet ? aState.defaults().at(std::string(row.name_))
                           : std::to_string(row.default_),
                     std::string(row.unit_),
                     std::string(ToText(isSet ? ValueSource::kFleetDefault
                                              : ValueSource::kBuiltIn)),
                     std::to_string(row.min_) + ".." + std::to_string(row.max_),
                     std::string(row.meaning_) });
  }
  Print(aContext, rows);
  return rows.size() > 1 ? kOk : kRefused;
}

int ListExceptions(CommandContext& aContext, const v1::FleetState& aState)
{
  const int64_t now = SystemClock().UnixNow().Count();
  Rows rows = {
    { "exception", "scope", "setting", "value", "ends", "state", "reason" }
  };
  for (const v1::Exception& exception : aState.exceptions()) {
    rows.push_back({ exception.name(),
                     exception.scope(),
                     exception.setting(),
                     exception.value(),
                     FormatTime(exception.ends_at_unix_ms()),
                     now < exception.ends_at_unix_ms() ? "in force" : "ended",
                     exception.reason() });
  }
  Print(aContext, rows);
  return kOk;
}

int Explain(CommandContext& aContext, const v1::FleetState& aState)
{
  const auto& words = aContext.line_.words_;
  const std::string scope = words.size() > 2 ? words[2] : "fleet";
  const auto value =
    FindEffectiveValue(aState, words[1], scope, SystemClock().UnixNow());
  if (!value) {
    aContext.err_ << "vhctl: " << CheckSetting(words[1], "") << "\n";
    return kRefused;
  }
  const v1::Exception* exception = value->exception_;
  Rows rows = {
    { "setting", "scope", "value", "source", "exception", "ends", "reason" }
  };
  rows.push_back(
    { words[1],
      scope,
      std::to_string(value->value_),
      std::string(ToText(value->source_)),
      exception != nullptr ? exception->name() : "",
      exception != nullptr ? FormatTime(exception->ends_at_unix_ms()) : "",
      exception != nullptr ? exception->reason() : "" });
  Print(aContext, rows);
  return kOk;
}

int ShowMaintenance(CommandContext& aContext, const v1::FleetState& aState)
{
  Rows rows = { { "maintenance", "scope", "starts", "ends", "reason" } };
  for (const v1::Maintenance& maintenance : aState.maintenances()) {
    rows.push_back({ maintenance.name(),
                     maintenance.scope(),
                     FormatTime(maintenance.starts_at_unix_ms()),
                     FormatTime(maintenance.ends_at_unix_ms()),
                     maintenance.reason() });
  }
  Print(aContext, rows);
  return kOk;
}

// One field of a JSON object as text; "-" if it is missing.
std::string FieldText(const json::value& aValue, std::string_view aKey)
{
  const json::value* field =
    aValue.is_object() ? aValue.get_object().if_contains(aKey) : nullptr;
  if (field == nullptr) {
    return "-";
  }
  return field->is_string() ? std::string(field->get_string())
                            : json::serialize(*field);
}

// Prints the state of each control replica and entry, and the configuration
// revision it applies.
int ShowStatus(CommandContext& aContext)
{
  Rows rows = { { "node", "kind", "data_centre", "state", "revision" } };
  bool isReachable = false;
  const auto parse = [](const std::optional<std::string>& aBody) {
    boost::system::error_code error;
    json::value value = json::parse(aBody.value_or("null"), error);
    return error ? json::value() : value;
  };
  for (const ControlSettings& control : aContext.settings_.controls_) {
    const auto replica = aContext.api_.Get(control.http_, "/v1/replica");
    const auto state = aContext.api_.Get(control.http_, "/v1/state");
    isReachable = isReachable || state;
    rows.push_back({ control.name_.Str(),
                     "control",
                     control.dataCentre_.Str(),
                     replica ? FieldText(parse(replica), "role") : "no answer",
                     FieldText(parse(state), "revision") });
  }
  for (const EntrySettings& entry : aContext.settings_.entries_) {
    const auto ready = aContext.api_.Get(entry.http_, "/readyz");
    const json::value value = parse(ready);
    const bool isStale = FieldText(value, "stale") == "true";
    rows.push_back({ entry.name_.Str(),
                     "entry",
                     entry.dataCentre_.Str(),
                     !ready    ? "not ready"
                     : isStale ? "stale"
                               : "ready",
                     FieldText(value, "revision") });
  }
  Print(aContext, rows);
  return isReachable ? kOk : kUnreachable;
}

// Prints a summary of the fleet state for each new revision until the time is
// up.
int Watch(CommandContext& aContext)
{
  const SystemClock clock;
  const Millis endsAt =
    clock.Now() + Seconds(aContext.line_.watchSeconds_ > 0
                            ? aContext.line_.watchSeconds_
                            : std::numeric_limits<int32_t>::max());
  std::optional<uint64_t> lastRevision;
  do {
    const auto state = aContext.api_.FetchState();
    if (!state) {
      aContext.err_ << "vhctl: no control replica answers\n";
    } else if (!lastRevision || *lastRevision < state->revision()) {
      lastRevision = state->revision();
      Print(aContext,
            { { "time", "revision", "pools", "exceptions", "instances" },
              { FormatTime(clock.UnixNow().Count()),
                std::to_string(state->revision()),
                std::to_string(state->pools_size()),
                std::to_string(state->exceptions_size()),
                std::to_string(state->memberships_size()) } });
      aContext.out_.flush();
    }
    std::this_thread::sleep_for(kWatchInterval);
  } while (clock.Now() < endsAt);
  return lastRevision ? kOk : kUnreachable;
}

struct ViewCommand
{
  const char* group_;
  const char* verb_; // empty: the second word is a name
  size_t minWords_;  // including group and verb
  size_t maxWords_;
  int (*run_)(CommandContext&, const v1::FleetState&);
};

constexpr ViewCommand kCommands[] = {
  { "pool", "list", 2, 2, ListPools },
  { "pool", "show", 3, 3, ShowPool },
  { "default", "show", 2, 3, ShowDefaults },
  { "exception", "list", 2, 2, ListExceptions },
  { "explain", "", 2, 3, Explain },
  { "maintenance", "status", 2, 2, ShowMaintenance },
};

} // namespace

std::optional<int> RunView(CommandContext& aContext)
{
  const auto& words = aContext.line_.words_;
  if (words.size() == 1 && words[0] == "status") {
    return ShowStatus(aContext);
  }
  if (words.size() == 1 && words[0] == "watch") {
    return Watch(aContext);
  }
  for (const ViewCommand& command : kCommands) {
    const std::string_view verb = command.verb_;
    if (words.size() < command.minWords_ || words.size() > command.maxWords_ ||
        words[0] != command.group_ || (!verb.empty() && words[1] != verb)) {
      continue;
    }
    const auto state = aContext.api_.FetchState();
    return state ? command.run_(aContext, *state) : ReportUnreachable(aContext);
  }
  return std::nullopt;
}

} // namespace vanillahatch::ctl
