#include "vanillahatch/core/grant_holder.h"

#include <utility>

namespace vanillahatch {

GrantHolder::GrantHolder(GrantHolderOptions aOptions)
  : options_(std::move(aOptions))
{
}

void GrantHolder::PutUpstream(const UpstreamFact& aFact)
{
  v1::SeenInstance seen;
  seen.set_instance(aFact.instance_.Str());
  seen.set_service(aFact.service_.Str());
  seen.set_slots(aFact.slots_);
  seen.set_connections(aFact.connections_);
  v1::SeenInstance& known = seen_[aFact.instance_];
  const bool isSame = known.service() == seen.service() &&
                      known.slots() == seen.slots() &&
                      known.connections() == seen.connections();
  if (!isSame) {
    known = seen;
    unsent_[aFact.instance_] = std::move(seen);
  }
}

void GrantHolder::RemoveUpstream(const InstanceName& aInstance)
{
  if (seen_.erase(aInstance) == 0) {
    return;
  }
  v1::SeenInstance& gone = unsent_[aInstance];
  gone.Clear();
  gone.set_instance(aInstance.Str());
  gone.set_gone(true);
}

std::optional<v1::GrantRequest> GrantHolder::Tick(Millis aNow,
                                                  const InFlight& aInFlight)
{
  LapseAt(aNow);
  if (waiting_ && aNow < sentAt_ + options_.timeout_) {
    return std::nullopt;
  }
  if (waiting_) {
    // Given up: what it told is told again.
    waiting_ = false;
    for (auto& [instance, seen] : underWay_) {
      unsent_.try_emplace(instance, std::move(seen));
    }
    underWay_.clear();
    nextAt_ = aNow;
  }
  if (aNow < nextAt_) {
    return std::nullopt;
  }
  waiting_ = true;
  sentAt_ = aNow;
  nextAt_ = aNow + options_.period_;
  v1::GrantRequest request;
  request.set_holder(options_.holder_.Str());
  request.set_session(options_.session_);
  request.set_sequence(++sequence_);
  request.set_incarnation(incarnation_);
  request.set_known_version(knownVersion_);
  for (const auto& [instance, count] : aInFlight) {
    if (count > 0 && !table_.contains(instance)) {
      v1::BusyInstance& busy = *request.add_busy();
      busy.set_instance(instance.Str());
      busy.set_in_flight(count);
    }
  }
  FillSeen(request);
  FillHeld(request);
  return request;
}

bool GrantHolder::OnReply(const v1::GrantReply& aReply, Millis aNow)
{
  LapseAt(aNow);
  if (!waiting_ || aReply.sequence() != sequence_) {
    return false;
  }
  waiting_ = false;
  if (aReply.present()) {
    // The grantor has restarted. What is held stays good until its lease
    // ends; the next request, at once, shows it.
    incarnation_ = aReply.incarnation();
    knownVersion_ = 0;
    nextAt_ = aNow;
    underWay_.clear();
    return false;
  }
  underWay_.clear();
  if (!aReply.full() && knownVersion_ == 0) {
    // The table that the changes refer to has run out meanwhile.
    nextAt_ = aNow;
    return false;
  }
  TakeTable(aReply);
  knownVersion_ = aReply.version();
  expiresAt_ = sentAt_ + Millis(aReply.lease_ms());
  for (auto& [instance, grant] : table_) {
    grant.expiresAt_ = expiresAt_;
    changes_.push_back(grant);
  }
  LapseAt(aNow);
  return true;
}

std::vector<Grant> GrantHolder::TakeChanges()
{
  return std::exchange(changes_, {});
}

std::vector<Grant> GrantHolder::Grants(Millis aNow) const
{
  std::vector<Grant> grants;
  for (const auto& [instance, grant] : table_) {
    if (aNow < grant.expiresAt_) {
      grants.push_back(grant);
    }
  }
  return grants;
}

void GrantHolder::LapseAt(Millis aNow)
{
  if (aNow < expiresAt_ || knownVersion_ == 0) {
    if (aNow >= expiresAt_) {
      table_.clear();
    }
    return;
  }
  // The entry lets each grant run out by itself.
  table_.clear();
  knownVersion_ = 0;
}

void GrantHolder::FillHeld(v1::GrantRequest& aRequest) const
{
  // A grantor that has answered under this incarnation knows the table.
  if (knownVersion_ != 0) {
    return;
  }
  for (const auto& [instance, grant] : table_) {
    v1::HeldGrant& held = *aRequest.add_held();
    held.set_instance(instance.Str());
    held.set_pool(grant.pool_.Str());
    held.set_epoch(grant.epoch_);
  }
}

void GrantHolder::FillSeen(v1::GrantRequest& aRequest)
{
  if (incarnation_.empty()) {
    return;
  }
  underWay_ = std::exchange(unsent_, {});
  if (knownVersion_ == 0) {
    for (const auto& [instance, seen] : seen_) {
      underWay_[instance] = seen;
    }
  }
  for (const auto& [instance, seen] : underWay_) {
    *aRequest.add_seen() = seen;
  }
}

void GrantHolder::TakeTable(const v1::GrantReply& aReply)
{
  std::map<InstanceName, Grant> before;
  if (aReply.full()) {
    before = std::exchange(table_, {});
  }
  for (const v1::TableChange& change : aReply.changes()) {
    const InstanceName instance(change.instance());
    before.erase(instance);
    if (change.revoked()) {
      Drop(instance);
      continue;
    }
    table_[instance] = Grant{ .instance_ = instance,
                              .pool_ = PoolName(change.pool()),
                              .epoch_ = change.epoch(),
                              .slots_ = change.slots(),
                              .connections_ = change.connections() };
  }
  for (auto& [instance, grant] : before) {
    grant.expiresAt_ = Millis(0);
    changes_.push_back(grant);
  }
}

void GrantHolder::Drop(const InstanceName& aInstance)
{
  const auto it = table_.find(aInstance);
  if (it == table_.end()) {
    return;
  }
  it->second.expiresAt_ = Millis(0);
  changes_.push_back(it->second);
  table_.erase(it);
}

} // namespace vanillahatch
