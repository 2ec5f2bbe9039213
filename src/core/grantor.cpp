#include "vanillahatch/core/grantor.h"

#include <algorithm>
#include <iterator>

namespace vanillahatch {

namespace {

// Proposals are repeated at this interval until the applied state has them.
constexpr Millis kProposalInterval = Seconds(1);
// One in this many instances of a service gets its first membership in one
// interval: an instance cannot be used while its grants are replaced.
constexpr size_t kFirstMembershipDivisor = 8;

} // namespace

Grantor::Grantor(GrantorOptions aOptions,
                 std::unique_ptr<ShareStrategy> aShareStrategy,
                 Millis aNow)
  : options_(std::move(aOptions))
  , shareStrategy_(std::move(aShareStrategy))
  , recoveryEndsAt_(aNow + GrantorLeaseDuration(options_.leaseDuration_))
  , nextProposalsAt_(aNow)
{
}

void Grantor::OnState(const v1::FleetState& aState)
{
  memberships_.clear();
  remoteInstances_.clear();
  poolByService_.clear();
  for (const v1::Membership& held : aState.memberships()) {
    const InstanceName instance(held.instance());
    if (held.data_centre() != options_.dataCentre_.Str()) {
      remoteInstances_.insert(instance);
      continue;
    }
    memberships_[instance] = { .assignment_ = { .pool_ = PoolName(held.pool()),
                                                .epoch_ = held.epoch() },
                               .draining_ = held.draining(),
                               .drained_ = held.drained(),
                               .revision_ = held.revision() };
  }
  for (const v1::PoolContract& pool : aState.pools()) {
    // New instances of a service join its first pool.
    poolByService_.try_emplace(ServiceName(pool.service()), pool.name());
  }
  dirty_ = true;
}

v1::GrantReply Grantor::OnRequest(const v1::GrantRequest& aRequest, Millis aNow)
{
  v1::GrantReply reply;
  reply.set_sequence(aRequest.sequence());
  reply.set_incarnation(options_.incarnation_);
  if (aRequest.incarnation() != options_.incarnation_) {
    reply.set_present(true);
    return reply;
  }
  ExpireSessions(aNow);
  const SessionKey key{ .holder_ = NodeName(aRequest.holder()),
                        .session_ = aRequest.session() };
  const auto [it, isNew] = sessions_.try_emplace(key);
  Session& session = it->second;
  if (aRequest.sequence() <= session.sequence_) {
    // A late or repeated request: its sender no longer waits for the reply.
    reply.set_sequence(0);
    return reply;
  }
  dirty_ = dirty_ || isNew || session.expired_;
  // After its lease expired the holder is sent the whole table.
  reply.set_full(aRequest.known_version() == 0 || session.expired_);
  session.sequence_ = aRequest.sequence();
  session.expired_ = false;
  session.unreleased_.clear();
  session.busy_.clear();
  for (const v1::BusyInstance& busy : aRequest.busy()) {
    session.busy_.insert(InstanceName(busy.instance()));
  }
  Acknowledge(session, aRequest.known_version());
  RecordReportedInstances(key, aRequest);
  RecordHeldGrants(session, aRequest, aNow);
  session.leaseExpiresAt_ =
    aNow + GrantorLeaseDuration(options_.leaseDuration_);
  Recompute(aNow);
  FillReply(session, aRequest, reply);
  return reply;
}

std::vector<v1::Change> Grantor::OnTick(Millis aNow)
{
  ExpireSessions(aNow);
  Recompute(aNow);
  std::vector<v1::Change> changes;
  if (!IsRecovering(aNow) && aNow >= nextProposalsAt_) {
    ProposeConfirmations(aNow, changes);
    ProposeMemberships(aNow, changes);
    if (!changes.empty()) {
      nextProposalsAt_ = aNow + kProposalInterval;
    }
  }
  return changes;
}

size_t Grantor::LiveSessionCount() const
{
  return static_cast<size_t>(
    std::count_if(sessions_.begin(), sessions_.end(), [](const auto& aItem) {
      return !aItem.second.expired_;
    }));
}

size_t Grantor::OutstandingGrantCount() const
{
  size_t count = 0;
  for (const auto& [key, session] : sessions_) {
    count += session.table_.size();
  }
  return count;
}

void Grantor::RecordHeldGrants(Session& aSession,
                               const v1::GrantRequest& aRequest,
                               Millis aNow)
{
  // A grant of the predecessor stays in the table until the holder has
  // acknowledged its renewal or revocation.
  for (const v1::HeldGrant& held : aRequest.held()) {
    const InstanceName instance(held.instance());
    const Assignment assignment{ .pool_ = PoolName(held.pool()),
                                 .epoch_ = held.epoch() };
    const bool isRecovering = IsRecovering(aNow);
    if (isRecovering) {
      confirmed_[instance] = assignment;
    }
    aSession.table_[instance] = { .assignment_ = assignment,
                                  .changedInVersion_ = ++version_,
                                  .revoked_ = !isRecovering };
    dirty_ = true;
  }
}

void Grantor::RecordReportedInstances(const SessionKey& aKey,
                                      const v1::GrantRequest& aRequest)
{
  for (const v1::SeenInstance& reported : aRequest.seen()) {
    const InstanceName instance(reported.instance());
    dirty_ = true;
    if (reported.gone()) {
      const auto it = reported_.find(instance);
      if (it != reported_.end() && it->second.reportedBy_.erase(aKey) > 0 &&
          it->second.reportedBy_.empty()) {
        reported_.erase(it);
        implicitAssignments_.erase(instance);
      }
      continue;
    }
    ReportedInstance& known = reported_[instance];
    known.service_ = ServiceName(reported.service());
    known.total_ = { .slots_ = reported.slots(),
                     .connections_ = reported.connections() };
    known.reportedBy_.insert(aKey);
    implicitAssignments_[instance] = { .pool_ = PoolName(reported.service()),
                                       .epoch_ = 0 };
  }
}

void Grantor::Acknowledge(Session& aSession, uint64_t aVersion)
{
  if (aVersion == 0) {
    // The holder holds no grant of the table: it has just started or its lease
    // has expired.
    dirty_ = dirty_ || !aSession.table_.empty();
    aSession.table_.clear();
    return;
  }
  dirty_ = std::erase_if(aSession.table_,
                         [&](const auto& aItem) {
                           return aItem.second.revoked_ &&
                                  aItem.second.changedInVersion_ <= aVersion;
                         }) > 0 ||
           dirty_;
}

void Grantor::ExpireSessions(Millis aNow)
{
  std::vector<SessionKey> toRemove;
  for (auto& [key, session] : sessions_) {
    if (aNow < session.leaseExpiresAt_) {
      continue;
    }
    if (!session.expired_) {
      session.expired_ = true;
      dirty_ = true;
      for (const auto& [instance, entry] : session.table_) {
        session.unreleased_.insert(instance);
      }
      session.unreleased_.merge(session.busy_);
      session.table_.clear();
      session.busy_.clear();
    }
    if (aNow >= session.leaseExpiresAt_ + options_.unreleasedGrace_) {
      toRemove.push_back(key);
    }
  }
  for (const SessionKey& key : toRemove) {
    RemoveSession(key);
  }
}

void Grantor::RemoveSession(const SessionKey& aKey)
{
  sessions_.erase(aKey);
  for (auto& [instance, reported] : reported_) {
    reported.reportedBy_.erase(aKey);
  }
  std::erase_if(reported_, [](const auto& aItem) {
    return aItem.second.reportedBy_.empty();
  });
  std::erase_if(implicitAssignments_, [&](const auto& aItem) {
    return !reported_.contains(aItem.first);
  });
  dirty_ = true;
}

const Assignment* Grantor::FindGrantable(const InstanceName& aInstance,
                                         Millis aNow)
{
  const Assignment* target = nullptr;
  if (const auto membership = memberships_.find(aInstance);
      membership != memberships_.end()) {
    target =
      membership->second.draining_ ? nullptr : &membership->second.assignment_;
  } else if (!remoteInstances_.contains(aInstance)) {
    const auto implicit = implicitAssignments_.find(aInstance);
    target =
      implicit != implicitAssignments_.end() ? &implicit->second : nullptr;
  }
  if (target == nullptr || !IsRecovering(aNow)) {
    return target;
  }
  const auto confirmed = confirmed_.find(aInstance);
  const bool isConfirmed =
    confirmed != confirmed_.end() && confirmed->second == *target;
  return isConfirmed ? target : nullptr;
}

Grantor::Assignments Grantor::OutstandingAssignments() const
{
  Assignments outstanding;
  for (const auto& [key, session] : sessions_) {
    for (const auto& [instance, entry] : session.table_) {
      outstanding[instance].insert(entry.assignment_);
    }
  }
  return outstanding;
}

void Grantor::Recompute(Millis aNow)
{
  const bool isRecovering = IsRecovering(aNow);
  dirty_ = dirty_ || isRecovering != wasRecovering_;
  wasRecovering_ = isRecovering;
  if (!isRecovering) {
    confirmed_.clear();
  }
  if (!dirty_) {
    return;
  }
  dirty_ = false;
  for (auto& [key, session] : sessions_) {
    RevokeGrants(session, aNow);
  }
  Assignments outstanding = OutstandingAssignments();
  const size_t holderCount = LiveSessionCount();
  size_t index = 0;
  for (auto& [key, session] : sessions_) {
    if (!session.expired_) {
      IssueGrants(session, index++, holderCount, outstanding, aNow);
    }
  }
}

void Grantor::RevokeGrants(Session& aSession, Millis aNow)
{
  for (auto& [instance, entry] : aSession.table_) {
    const Assignment* target = FindGrantable(instance, aNow);
    const bool isValid = target != nullptr && *target == entry.assignment_ &&
                         reported_.contains(instance);
    if (!isValid && !entry.revoked_) {
      entry.revoked_ = true;
      entry.changedInVersion_ = ++version_;
    }
  }
}

void Grantor::IssueGrants(Session& aSession,
                          size_t aHolderIndex,
                          size_t aHolderCount,
                          Assignments& aOutstanding,
                          Millis aNow)
{
  for (const auto& [instance, reported] : reported_) {
    const Assignment* target = FindGrantable(instance, aNow);
    if (target == nullptr) {
      continue;
    }
    std::set<Assignment>& outstanding = aOutstanding[instance];
    const bool noOtherOutstanding =
      outstanding.empty() ||
      (outstanding.size() == 1 && outstanding.contains(*target));
    const GrantShare share =
      shareStrategy_->Divide(reported.total_, aHolderCount, aHolderIndex);
    const auto it = aSession.table_.find(instance);
    const bool isHeld = it != aSession.table_.end();
    if (!noOtherOutstanding || (isHeld && it->second.revoked_) ||
        (isHeld && it->second.share_ == share)) {
      continue;
    }
    outstanding.insert(*target);
    aSession.table_[instance] = { .assignment_ = *target,
                                  .share_ = share,
                                  .changedInVersion_ = ++version_ };
  }
}

void Grantor::FillReply(const Session& aSession,
                        const v1::GrantRequest& aRequest,
                        v1::GrantReply& aReply) const
{
  aReply.set_lease_ms(options_.leaseDuration_.Count());
  aReply.set_version(version_);
  for (const auto& [instance, entry] : aSession.table_) {
    if (!aReply.full() && entry.changedInVersion_ <= aRequest.known_version()) {
      continue;
    }
    v1::TableChange& change = *aReply.add_changes();
    change.set_instance(instance.Str());
    change.set_revoked(entry.revoked_);
    if (!entry.revoked_) {
      change.set_pool(entry.assignment_.pool_.Str());
      change.set_epoch(entry.assignment_.epoch_);
      change.set_slots(entry.share_.slots_);
      change.set_connections(entry.share_.connections_);
    }
  }
}

bool Grantor::MayBeInUse(const InstanceName& aInstance, Millis aNow) const
{
  if (!KnowsAllWorkInFlight(aNow)) {
    return true;
  }
  return std::any_of(
    sessions_.begin(), sessions_.end(), [&](const auto& aItem) {
      const Session& session = aItem.second;
      return session.table_.contains(aInstance) ||
             session.busy_.contains(aInstance) ||
             session.unreleased_.contains(aInstance);
    });
}

bool Grantor::KnowsAllWorkInFlight(Millis aNow) const
{
  if (aNow >= recoveryEndsAt_ + options_.unreleasedGrace_) {
    return true;
  }
  std::set<NodeName> present;
  for (const auto& [key, session] : sessions_) {
    present.insert(key.holder_);
  }
  return std::includes(present.begin(),
                       present.end(),
                       options_.expectedHolders_.begin(),
                       options_.expectedHolders_.end());
}

void Grantor::ProposeConfirmations(Millis aNow,
                                   std::vector<v1::Change>& aChanges)
{
  for (const auto& [instance, membership] : memberships_) {
    if (!membership.draining_ || membership.drained_ ||
        MayBeInUse(instance, aNow)) {
      continue;
    }
    v1::Change& change = aChanges.emplace_back();
    // One id for each drain, so that a repeated proposal has no effect.
    change.set_change_id("drained/" + instance.Str() + "/" +
                         std::to_string(membership.revision_));
    change.set_expected_revision(membership.revision_);
    change.mutable_confirm_drain()->set_instance(instance.Str());
    change.mutable_confirm_drain()->set_epoch(membership.assignment_.epoch_);
  }
}

void Grantor::ProposeMemberships(Millis aNow, std::vector<v1::Change>& aChanges)
{
  std::map<ServiceName, size_t> counts;
  for (const auto& [instance, reported] : reported_) {
    ++counts[reported.service_];
  }
  std::map<ServiceName, size_t> proposed;
  for (const auto& [instance, reported] : reported_) {
    const auto pool = poolByService_.find(reported.service_);
    const bool lacksMembership =
      !memberships_.contains(instance) && !remoteInstances_.contains(instance);
    const size_t maxProposals =
      1 + counts[reported.service_] / kFirstMembershipDivisor;
    if (pool == poolByService_.end() || !lacksMembership ||
        proposed[reported.service_] >= maxProposals || IsRecovering(aNow)) {
      continue;
    }
    ++proposed[reported.service_];
    v1::Change& change = aChanges.emplace_back();
    change.set_change_id("first/" + options_.dataCentre_.Str() + "/" +
                         instance.Str() + "/" + pool->second.Str());
    v1::AssignInstance& assign = *change.mutable_assign_instance();
    assign.set_instance(instance.Str());
    assign.set_pool(pool->second.Str());
    assign.set_epoch(1);
    assign.set_data_centre(options_.dataCentre_.Str());
  }
}

} // namespace vanillahatch
