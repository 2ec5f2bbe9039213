#include "vanillahatch/core/fleet_config.h"

#include <algorithm>

namespace vanillahatch {

namespace {

template<class Items, class Item>
void PutByName(Items& aItems, const Item& aItem)
{
  const auto it =
    std::find_if(aItems.begin(), aItems.end(), [&](const auto& aOther) {
      return aOther.name() == aItem.name();
    });
  if (it == aItems.end()) {
    *aItems.Add() = aItem;
  } else {
    *it = aItem;
  }
}

} // namespace

v1::ChangeReply FleetConfig::Apply(const v1::Change& aChange)
{
  const auto answered = answers_.find(aChange.change_id());
  if (answered != answers_.end()) {
    return answered->second;
  }
  v1::ChangeReply reply;
  const bool isStale = aChange.has_expected_revision() &&
                       aChange.expected_revision() != state_.revision();
  const std::string fault = Check(aChange);
  if (!fault.empty()) {
    reply.set_status(v1::CHANGE_INVALID);
    reply.set_detail(fault);
  } else if (isStale) {
    reply.set_status(v1::CHANGE_CONFLICT);
    reply.set_detail("the configuration has changed since that revision");
  } else {
    Perform(aChange);
    state_.set_revision(state_.revision() + 1);
    reply.set_status(v1::CHANGE_ACCEPTED);
  }
  reply.set_revision(state_.revision());
  answers_[aChange.change_id()] = reply;
  return reply;
}

bool FleetConfig::Restore(const v1::FleetState& aState)
{
  if (aState.revision() < state_.revision()) {
    return false;
  }
  state_ = aState;
  return true;
}

std::string FleetConfig::Check(const v1::Change& aChange) const
{
  if (aChange.change_id().empty()) {
    return "change_id: must not be empty";
  }
  switch (aChange.body_case()) {
    case v1::Change::kAddException:
      if (aChange.add_exception().name().empty()) {
        return "exception.name: must not be empty";
      }
      if (aChange.add_exception().reason().empty()) {
        return "exception.reason: must not be empty";
      }
      if (aChange.add_exception().ends_at_unix_ms() <= 0) {
        return "exception.ends_at: must be given";
      }
      return {};
    case v1::Change::kPutPool:
      if (aChange.put_pool().name().empty()) {
        return "pool.name: must not be empty";
      }
      return {};
    case v1::Change::BODY_NOT_SET:
      return "body: must be given";
    default:
      return {};
  }
}

void FleetConfig::Perform(const v1::Change& aChange)
{
  switch (aChange.body_case()) {
    case v1::Change::kSetDefault: {
      const v1::SetDefault& set = aChange.set_default();
      (*state_.mutable_defaults())[set.setting()] = set.value();
      break;
    }
    case v1::Change::kAddException:
      PutByName(*state_.mutable_exceptions(), aChange.add_exception());
      break;
    case v1::Change::kRemoveException: {
      auto& items = *state_.mutable_exceptions();
      items.erase(std::remove_if(items.begin(),
                                 items.end(),
                                 [&](const auto& aItem) {
                                   return aItem.name() ==
                                          aChange.remove_exception().name();
                                 }),
                  items.end());
      break;
    }
    case v1::Change::kPutPool:
      PutByName(*state_.mutable_pools(), aChange.put_pool());
      break;
    default:
      break;
  }
}

} // namespace vanillahatch
