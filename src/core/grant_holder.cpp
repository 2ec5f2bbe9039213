#include "vanillahatch/core/grant_holder.h"

#include <utility>

namespace vanillahatch {

GrantHolder::GrantHolder(GrantHolderOptions aOptions)
  : options_(std::move(aOptions))
{
}

void GrantHolder::PutUpstream(const UpstreamFact& aFact)
{
  v1::SeenInstance reported;
  reported.set_instance(aFact.instance_.Str());
  reported.set_service(aFact.service_.Str());
  reported.set_slots(aFact.slots_);
  reported.set_connections(aFact.connections_);
  v1::SeenInstance& known = upstreams_[aFact.instance_];
  const bool isSame = known.service() == reported.service() &&
                      known.slots() == reported.slots() &&
                      known.connections() == reported.connections();
  if (!isSame) {
    known = reported;
    unsentChanges_[aFact.instance_] = std::move(reported);
  }
}

void GrantHolder::RemoveUpstream(const InstanceName& aInstance)
{
  if (upstreams_.erase(aInstance) == 0) {
    return;
  }
  v1::SeenInstance& removed = unsentChanges_[aInstance];
  removed.Clear();
  removed.set_instance(aInstance.Str());
  removed.set_gone(true);
}

std::optional<v1::GrantRequest> GrantHolder::Tick(Millis aNow,
                                                  const InFlight& aInFlight)
{
  ExpireTable(aNow);
  if (awaitingReply_ && aNow < sentAt_ + options_.requestTimeout_) {
    return std::nullopt;
  }
  if (awaitingReply_) {
    // The request timed out: the next one repeats the changes that it carried.
    awaitingReply_ = false;
    for (auto& [instance, change] : unansweredChanges_) {
      unsentChanges_.try_emplace(instance, std::move(change));
    }
    unansweredChanges_.clear();
    nextRequestAt_ = aNow;
  }
  if (aNow < nextRequestAt_) {
    return std::nullopt;
  }
  awaitingReply_ = true;
  sentAt_ = aNow;
  nextRequestAt_ = aNow + options_.renewInterval_;
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
  AddUpstreamChanges(request);
  AddHeldGrants(request);
  return request;
}

bool GrantHolder::OnReply(const v1::GrantReply& aReply, Millis aNow)
{
  ExpireTable(aNow);
  if (!awaitingReply_ || aReply.sequence() != sequence_) {
    return false;
  }
  awaitingReply_ = false;
  if (aReply.present()) {
    // The grantor has restarted. The held grants stay valid until their lease
    // expires; the next request, sent immediately, lists them.
    incarnation_ = aReply.incarnation();
    knownVersion_ = 0;
    nextRequestAt_ = aNow;
    unansweredChanges_.clear();
    return false;
  }
  unansweredChanges_.clear();
  if (!aReply.full() && knownVersion_ == 0) {
    // The table that the changes refer to has expired.
    nextRequestAt_ = aNow;
    return false;
  }
  ApplyTableChanges(aReply);
  knownVersion_ = aReply.version();
  expiresAt_ = sentAt_ + Millis(aReply.lease_ms());
  for (auto& [instance, grant] : table_) {
    grant.expiresAt_ = expiresAt_;
    changedGrants_.push_back(grant);
  }
  ExpireTable(aNow);
  return true;
}

std::vector<Grant> GrantHolder::TakeChanges()
{
  return std::exchange(changedGrants_, {});
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

void GrantHolder::ExpireTable(Millis aNow)
{
  if (aNow < expiresAt_ || knownVersion_ == 0) {
    if (aNow >= expiresAt_) {
      table_.clear();
    }
    return;
  }
  // No change is reported: the entry checks the expiry of each grant itself.
  table_.clear();
  knownVersion_ = 0;
}

void GrantHolder::AddHeldGrants(v1::GrantRequest& aRequest) const
{
  // A grantor that has replied under this incarnation knows the table.
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

void GrantHolder::AddUpstreamChanges(v1::GrantRequest& aRequest)
{
  if (incarnation_.empty()) {
    return;
  }
  unansweredChanges_ = std::exchange(unsentChanges_, {});
  if (knownVersion_ == 0) {
    for (const auto& [instance, change] : upstreams_) {
      unansweredChanges_[instance] = change;
    }
  }
  for (const auto& [instance, change] : unansweredChanges_) {
    *aRequest.add_seen() = change;
  }
}

void GrantHolder::ApplyTableChanges(const v1::GrantReply& aReply)
{
  std::map<InstanceName, Grant> missingFromReply;
  if (aReply.full()) {
    missingFromReply = std::exchange(table_, {});
  }
  for (const v1::TableChange& change : aReply.changes()) {
    const InstanceName instance(change.instance());
    missingFromReply.erase(instance);
    if (change.revoked()) {
      Revoke(instance);
      continue;
    }
    table_[instance] = Grant{ .instance_ = instance,
                              .pool_ = PoolName(change.pool()),
                              .epoch_ = change.epoch(),
                              .slots_ = change.slots(),
                              .connections_ = change.connections() };
  }
  for (auto& [instance, grant] : missingFromReply) {
    grant.expiresAt_ = Millis(0);
    changedGrants_.push_back(grant);
  }
}

void GrantHolder::Revoke(const InstanceName& aInstance)
{
  const auto it = table_.find(aInstance);
  if (it == table_.end()) {
    return;
  }
  it->second.expiresAt_ = Millis(0);
  changedGrants_.push_back(it->second);
  table_.erase(it);
}

} // namespace vanillahatch
