#include "fleet_config_checks.h"

#include "vanillahatch/core/effective_settings.h"
#include "vanillahatch/core/fleet_config.h"

#include <algorithm>
#include <array>

namespace vanillahatch::fleet_config {

namespace {

constexpr size_t kMaxReasonBytes = 500;
constexpr size_t kMaxQuotedBytes = 100;
constexpr uint32_t kMaxPriority = 1000;
constexpr std::string_view kNameRequirement =
  "accepted are 1 to 100 letters, digits and -_.";
constexpr std::array<std::string_view, 5> kMaintenanceScopes = { "rack",
                                                                 "worker",
                                                                 "pool",
                                                                 "data_centre",
                                                                 "instance" };

template<class Items>
auto FindByName(Items& aItems, std::string_view aName)
{
  return std::find_if(aItems.begin(), aItems.end(), [&](const auto& aItem) {
    return aItem.name() == aName;
  });
}

template<class Items, class Item>
void PutByName(Items& aItems, const Item& aItem)
{
  const auto it = FindByName(aItems, aItem.name());
  if (it == aItems.end()) {
    *aItems.Add() = aItem;
  } else {
    *it = aItem;
  }
}

template<class Items>
void EraseByName(Items& aItems, std::string_view aName)
{
  const auto it = FindByName(aItems, aName);
  if (it != aItems.end()) {
    aItems.erase(it);
  }
}

// The first `aMaxBytes` bytes of UTF-8 text without a partial character.
std::string_view CutUtf8(std::string_view aText, size_t aMaxBytes)
{
  const auto isContinuation = [](char aByte) {
    return (static_cast<unsigned char>(aByte) & 0xC0U) == 0x80U;
  };
  size_t length = std::min(aText.size(), aMaxBytes);
  while (length > 0 && length < aText.size() && isContinuation(aText[length])) {
    --length;
  }
  return aText.substr(0, length);
}

std::string CheckName(std::string_view aField, std::string_view aName)
{
  if (IsValidConfigName(aName)) {
    return {};
  }
  return std::string(aField) + ": \"" +
         std::string(CutUtf8(aName, kMaxQuotedBytes)) + "\"; " +
         std::string(kNameRequirement);
}

std::string CheckReason(std::string_view aReason)
{
  const bool isBlank =
    aReason.find_first_not_of(" \t\r\n") == std::string_view::npos;
  if (isBlank || aReason.size() > kMaxReasonBytes) {
    return "reason: a written reason of 1 to 500 bytes is required";
  }
  return {};
}

// An end time must be after the proposal of the change, within the maximum
// span.
std::string CheckEndTime(int64_t aEndsAt, int64_t aProposedAt)
{
  if (aProposedAt <= 0) {
    return "proposed_at_unix_ms: must be given";
  }
  if (aEndsAt > aProposedAt &&
      aEndsAt - aProposedAt <= FleetConfig::kMaxExceptionSpan.Count()) {
    return {};
  }
  return "ends_at_unix_ms: accepted is a time after proposed_at_unix_ms and at "
         "most 90 days later";
}

std::string FirstError(std::initializer_list<std::string> aErrors)
{
  for (const std::string& error : aErrors) {
    if (!error.empty()) {
      return error;
    }
  }
  return {};
}

std::string CheckBody(const v1::FleetState& /*aState*/,
                      const v1::Change& /*aChange*/,
                      const v1::SetDefault& aSet)
{
  // An empty value resets the setting to its built-in default.
  if (aSet.value().empty() && FindSetting(aSet.setting()) != nullptr) {
    return {};
  }
  return CheckSetting(aSet.setting(), aSet.value());
}

std::string CheckBody(const v1::FleetState& aState,
                      const v1::Change& aChange,
                      const v1::Exception& aException)
{
  std::string error = FirstError(
    { CheckName("name", aException.name()),
      CheckReason(aException.reason()),
      CheckEndTime(aException.ends_at_unix_ms(), aChange.proposed_at_unix_ms()),
      CheckSetting(aException.setting(), aException.value()) });
  if (!error.empty()) {
    return error;
  }
  error = CheckScope(*FindSetting(aException.setting()), aException.scope());
  if (!error.empty()) {
    return error;
  }
  for (const v1::Exception& other : aState.exceptions()) {
    if (other.ends_at_unix_ms() <= aChange.proposed_at_unix_ms()) {
      continue;
    }
    if (other.name() == aException.name()) {
      return "name: \"" + other.name() + "\" is in use; remove it first";
    }
    if (other.setting() == aException.setting() &&
        other.scope() == aException.scope()) {
      return "scope: the exception \"" + other.name() +
             "\" already holds for this setting and scope";
    }
  }
  if (aState.exceptions_size() >= FleetConfig::kMaxExceptions) {
    return "name: there are 2000 exceptions, the most there may be";
  }
  return {};
}

std::string CheckBody(const v1::FleetState& aState,
                      const v1::Change& /*aChange*/,
                      const v1::RemoveException& aRemove)
{
  return FindByName(aState.exceptions(), aRemove.name()) ==
             aState.exceptions().end()
           ? "name: there is no exception \"" + aRemove.name() + "\""
           : std::string();
}

std::string CheckBody(const v1::FleetState& aState,
                      const v1::Change& /*aChange*/,
                      const v1::PoolContract& aPool)
{
  std::string error = FirstError(
    { CheckName("name", aPool.name()), CheckName("service", aPool.service()) });
  if (!error.empty()) {
    return error;
  }
  if (aPool.ceiling() < 1 || aPool.ceiling() > FleetConfig::kMaxPoolInstances) {
    return "ceiling: accepted is 1 to 100000 instances";
  }
  if (aPool.floor() > aPool.ceiling()) {
    return "floor: accepted is 0 to the ceiling";
  }
  if (aPool.max_unavailable() > aPool.ceiling()) {
    return "max_unavailable: accepted is 0 to the ceiling";
  }
  if (aPool.rack_spread() > std::max(aPool.floor(), 1U)) {
    return "rack_spread: accepted is 0 to the floor, since fewer instances "
           "cannot stand in more racks";
  }
  if (aPool.priority() > kMaxPriority) {
    return "priority: accepted is 0 to 1000";
  }
  if (aState.pools_size() >= FleetConfig::kMaxPools &&
      FindPool(aState, aPool.name()) == nullptr) {
    return "name: there are 1000 pools, the most there may be";
  }
  return {};
}

std::string CheckBody(const v1::FleetState& aState,
                      const v1::Change& /*aChange*/,
                      const v1::AssignInstance& aAssign)
{
  if (aAssign.instance().empty()) {
    return "instance: must not be empty";
  }
  if (aAssign.data_centre().empty()) {
    return "data_centre: must not be empty";
  }
  if (FindPool(aState, aAssign.pool()) == nullptr) {
    return "pool: there is no pool \"" + aAssign.pool() + "\"";
  }
  const v1::Membership* membership = FindMembership(aState, aAssign.instance());
  const uint64_t nextEpoch =
    membership != nullptr ? membership->epoch() + 1 : 1;
  if (aAssign.epoch() != nextEpoch) {
    return "epoch: accepted is " + std::to_string(nextEpoch) +
           ", one more than the instance's last";
  }
  if (membership == nullptr) {
    return {};
  }
  if (membership->data_centre() != aAssign.data_centre()) {
    return "data_centre: the instance belongs to " + membership->data_centre() +
           ", whose grantor answers for it";
  }
  if (!membership->drained()) {
    return "instance: not drained; an instance is moved only after its "
           "grantor has confirmed the drain of epoch " +
           std::to_string(membership->epoch());
  }
  return {};
}

std::string CheckBody(const v1::FleetState& aState,
                      const v1::Change& /*aChange*/,
                      const v1::DrainInstance& aDrain)
{
  if (FindMembership(aState, aDrain.instance()) == nullptr) {
    return "instance: \"" + aDrain.instance() + "\" belongs to no pool";
  }
  return aDrain.draining() ? CheckReason(aDrain.reason()) : std::string();
}

std::string CheckBody(const v1::FleetState& aState,
                      const v1::Change& /*aChange*/,
                      const v1::ConfirmDrain& aConfirm)
{
  const v1::Membership* membership =
    FindMembership(aState, aConfirm.instance());
  if (membership == nullptr || !membership->draining()) {
    return "instance: is not draining";
  }
  if (membership->epoch() != aConfirm.epoch()) {
    return "epoch: accepted is " + std::to_string(membership->epoch());
  }
  return {};
}

std::string CheckBody(const v1::FleetState& aState,
                      const v1::Change& aChange,
                      const v1::Maintenance& aMaintenance)
{
  std::string error =
    FirstError({ CheckName("name", aMaintenance.name()),
                 CheckReason(aMaintenance.reason()),
                 CheckEndTime(aMaintenance.ends_at_unix_ms(),
                              aChange.proposed_at_unix_ms()) });
  if (!error.empty()) {
    return error;
  }
  const size_t colon = aMaintenance.scope().find(':');
  const std::string kind = aMaintenance.scope().substr(0, colon);
  const bool isKnown =
    std::find(kMaintenanceScopes.begin(), kMaintenanceScopes.end(), kind) !=
    kMaintenanceScopes.end();
  if (colon == std::string::npos || !isKnown ||
      !IsValidConfigName(
        std::string_view(aMaintenance.scope()).substr(colon + 1))) {
    return "scope: accepted is rack:NAME, worker:NAME, pool:NAME, "
           "data_centre:NAME or instance:NAME";
  }
  if (aMaintenance.starts_at_unix_ms() >= aMaintenance.ends_at_unix_ms()) {
    return "starts_at_unix_ms: accepted is a time before the end";
  }
  if (FindByName(aState.maintenances(), aMaintenance.name()) !=
      aState.maintenances().end()) {
    return "name: \"" + aMaintenance.name() + "\" is in use";
  }
  return {};
}

std::string CheckBody(const v1::FleetState& aState,
                      const v1::Change& /*aChange*/,
                      const v1::EndMaintenance& aEnd)
{
  return FindByName(aState.maintenances(), aEnd.name()) ==
             aState.maintenances().end()
           ? "name: there is no maintenance \"" + aEnd.name() + "\""
           : std::string();
}

v1::Membership& MutableMembership(v1::FleetState& aState,
                                  const std::string& aInstance)
{
  for (v1::Membership& membership : *aState.mutable_memberships()) {
    if (membership.instance() == aInstance) {
      return membership;
    }
  }
  v1::Membership& added = *aState.add_memberships();
  added.set_instance(aInstance);
  return added;
}

bool IsOperatorChange(const v1::Change& aChange)
{
  switch (aChange.body_case()) {
    case v1::Change::kAssignInstance:
    case v1::Change::kDrainInstance:
    case v1::Change::kConfirmDrain:
      return false;
    default:
      return true;
  }
}

const std::string& InstanceOf(const v1::Change& aChange)
{
  switch (aChange.body_case()) {
    case v1::Change::kAssignInstance:
      return aChange.assign_instance().instance();
    case v1::Change::kDrainInstance:
      return aChange.drain_instance().instance();
    default:
      return aChange.confirm_drain().instance();
  }
}

template<class Items>
void EraseEnded(Items& aItems, int64_t aNow)
{
  const int64_t retainedSince = aNow - FleetConfig::kEndedRetention.Count();
  aItems.erase(std::remove_if(aItems.begin(),
                              aItems.end(),
                              [&](const auto& aItem) {
                                return aItem.ends_at_unix_ms() < retainedSince;
                              }),
               aItems.end());
}

void Assign(v1::FleetState& aState, const v1::AssignInstance& aAssign)
{
  v1::Membership& membership = MutableMembership(aState, aAssign.instance());
  membership.set_pool(aAssign.pool());
  membership.set_epoch(aAssign.epoch());
  membership.set_data_centre(aAssign.data_centre());
  membership.set_draining(false);
  membership.set_drained(false);
  membership.clear_drain_reason();
  membership.set_revision(aState.revision());
}

void Drain(v1::FleetState& aState, const v1::DrainInstance& aDrain)
{
  v1::Membership& membership = MutableMembership(aState, aDrain.instance());
  // Draining an already drained instance again keeps its confirmation.
  membership.set_drained(aDrain.draining() && membership.drained());
  membership.set_draining(aDrain.draining());
  membership.set_drain_reason(aDrain.draining() ? aDrain.reason() : "");
  membership.set_revision(aState.revision());
}

void Confirm(v1::FleetState& aState, const v1::ConfirmDrain& aConfirm)
{
  v1::Membership& membership = MutableMembership(aState, aConfirm.instance());
  membership.set_drained(true);
  membership.set_revision(aState.revision());
}

void SetDefaultValue(v1::FleetState& aState, const v1::SetDefault& aSet)
{
  if (aSet.value().empty()) {
    aState.mutable_defaults()->erase(aSet.setting());
  } else {
    (*aState.mutable_defaults())[aSet.setting()] = aSet.value();
  }
}

} // namespace

std::string Check(const v1::FleetState& aState, const v1::Change& aChange)
{
  switch (aChange.body_case()) {
    case v1::Change::kSetDefault:
      return CheckBody(aState, aChange, aChange.set_default());
    case v1::Change::kAddException:
      return CheckBody(aState, aChange, aChange.add_exception());
    case v1::Change::kRemoveException:
      return CheckBody(aState, aChange, aChange.remove_exception());
    case v1::Change::kPutPool:
      return CheckBody(aState, aChange, aChange.put_pool());
    case v1::Change::kAssignInstance:
      return CheckBody(aState, aChange, aChange.assign_instance());
    case v1::Change::kDrainInstance:
      return CheckBody(aState, aChange, aChange.drain_instance());
    case v1::Change::kConfirmDrain:
      return CheckBody(aState, aChange, aChange.confirm_drain());
    case v1::Change::kStartMaintenance:
      return CheckBody(aState, aChange, aChange.start_maintenance());
    case v1::Change::kEndMaintenance:
      return CheckBody(aState, aChange, aChange.end_maintenance());
    case v1::Change::BODY_NOT_SET:
      break;
  }
  return "body: must be given";
}

uint64_t LastRelevantRevision(const v1::FleetState& aState,
                              const v1::Change& aChange)
{
  if (IsOperatorChange(aChange)) {
    return aState.operator_revision();
  }
  const v1::Membership* membership =
    FindMembership(aState, InstanceOf(aChange));
  return membership != nullptr ? membership->revision() : 0;
}

std::string CurrentValue(const v1::FleetState& aState,
                         const v1::Change& aChange)
{
  const auto describe = [](const auto& aItems, const std::string& aName) {
    const auto it = FindByName(aItems, aName);
    return it != aItems.end() ? it->ShortDebugString() : "(none)";
  };
  switch (aChange.body_case()) {
    case v1::Change::kSetDefault: {
      const auto it = aState.defaults().find(aChange.set_default().setting());
      return it != aState.defaults().end() ? it->second : "(built-in default)";
    }
    case v1::Change::kAddException:
      return describe(aState.exceptions(), aChange.add_exception().name());
    case v1::Change::kRemoveException:
      return describe(aState.exceptions(), aChange.remove_exception().name());
    case v1::Change::kPutPool:
      return describe(aState.pools(), aChange.put_pool().name());
    case v1::Change::kStartMaintenance:
      return describe(aState.maintenances(),
                      aChange.start_maintenance().name());
    case v1::Change::kEndMaintenance:
      return describe(aState.maintenances(), aChange.end_maintenance().name());
    case v1::Change::BODY_NOT_SET:
      return {};
    default: {
      const v1::Membership* membership =
        FindMembership(aState, InstanceOf(aChange));
      return membership != nullptr ? membership->ShortDebugString() : "(none)";
    }
  }
}

void ApplyToState(v1::FleetState& aState, const v1::Change& aChange)
{
  EraseEnded(*aState.mutable_exceptions(), aChange.proposed_at_unix_ms());
  EraseEnded(*aState.mutable_maintenances(), aChange.proposed_at_unix_ms());
  if (IsOperatorChange(aChange)) {
    aState.set_operator_revision(aState.revision());
  }
  switch (aChange.body_case()) {
    case v1::Change::kSetDefault:
      SetDefaultValue(aState, aChange.set_default());
      break;
    case v1::Change::kAddException:
      PutByName(*aState.mutable_exceptions(), aChange.add_exception());
      break;
    case v1::Change::kRemoveException:
      EraseByName(*aState.mutable_exceptions(),
                  aChange.remove_exception().name());
      break;
    case v1::Change::kPutPool:
      PutByName(*aState.mutable_pools(), aChange.put_pool());
      break;
    case v1::Change::kAssignInstance:
      Assign(aState, aChange.assign_instance());
      break;
    case v1::Change::kDrainInstance:
      Drain(aState, aChange.drain_instance());
      break;
    case v1::Change::kConfirmDrain:
      Confirm(aState, aChange.confirm_drain());
      break;
    case v1::Change::kStartMaintenance:
      PutByName(*aState.mutable_maintenances(), aChange.start_maintenance());
      break;
    case v1::Change::kEndMaintenance:
      EraseByName(*aState.mutable_maintenances(),
                  aChange.end_maintenance().name());
      break;
    case v1::Change::BODY_NOT_SET:
      break;
  }
}

} // namespace vanillahatch::fleet_config
