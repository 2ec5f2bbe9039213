#include "vanillahatch/core/grantor.h"

#include <algorithm>
#include <iterator>

namespace vanillahatch {

namespace {

// Proposals are repeated at this pace until the state shows them.
constexpr Millis kProposalPeriod = Seconds(1);
// Of the instances of a service, one in so many gets its first membership in
// one period, since its grants have to be exchanged meanwhile.
constexpr size_t kAssignedPart = 8;

} // namespace

Grantor::Grantor(GrantorOptions aOptions,
                 std::unique_ptr<ShareStrategy> aShares,
                 Millis aNow)
  : options_(std::move(aOptions))
  , shares_(std::move(aShares))
  , recoveredAt_(aNow + OwnSpan(options_.lease_))
  , nextProposals_(aNow)
{
}

void Grantor::OnState(const v1::FleetState& aState)
{
  members_.clear();
  foreign_.clear();
  poolByService_.clear();
  for (const v1::Membership& held : aState.memberships()) {
    const InstanceName instance(held.instance());
    if (held.data_centre() != options_.dataCentre_.Str()) {
      foreign_.insert(instance);
      continue;
    }
    members_[instance] = { .assignment_ = { .pool_ = PoolName(held.pool()),
                                            .epoch_ = held.epoch() },
                           .draining_ = held.draining(),
                           .drained_ = held.drained(),
                           .revision_ = held.revision() };
  }
  for (const v1::PoolContract& pool : aState.pools()) {
    // The first pool of a service takes its new instances.
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
  LapseSessions(aNow);
  const SessionKey key{ .holder_ = NodeName(aRequest.holder()),
                        .session_ = aRequest.session() };
  const auto [it, isNew] = sessions_.try_emplace(key);
  Session& session = it->second;
  if (aRequest.sequence() <= session.sequence_) {
    // A late or repeated message; its sender no longer waits for the answer.
    reply.set_sequence(0);
    return reply;
  }
  dirty_ = dirty_ || isNew || session.lapsed_;
  // After a lapse the holder is given the whole table.
  reply.set_full(aRequest.known_version() == 0 || session.lapsed_);
  session.sequence_ = aRequest.sequence();
  session.lapsed_ = false;
  session.unreleased_.clear();
  session.busy_.clear();
  for (const v1::BusyInstance& busy : aRequest.busy()) {
    session.busy_.insert(InstanceName(busy.instance()));
  }
  Acknowledge(session, aRequest.known_version());
  TakeSeen(key, aRequest);
  TakeHeld(session, aRequest, aNow);
  session.leaseUntil_ = aNow + OwnSpan(options_.lease_);
  Recompute(aNow);
  FillReply(session, aRequest, reply);
  return reply;
}

std::vector<v1::Change> Grantor::OnTick(Millis aNow)
{
  LapseSessions(aNow);
  Recompute(aNow);
  std::vector<v1::Change> changes;
  if (!IsRecovering(aNow) && aNow >= nextProposals_) {
    ProposeConfirmations(aNow, changes);
    ProposeMemberships(aNow, changes);
    if (!changes.empty()) {
      nextProposals_ = aNow + kProposalPeriod;
    }
  }
  return changes;
}

size_t Grantor::LiveSessions() const
{
  return static_cast<size_t>(
    std::count_if(sessions_.begin(), sessions_.end(), [](const auto& aItem) {
      return !aItem.second.lapsed_;
    }));
}

size_t Grantor::OutstandingGrants() const
{
  size_t count = 0;
  for (const auto& [key, session] : sessions_) {
    count += session.table_.size();
  }
  return count;
}

void Grantor::TakeHeld(Session& aSession,
                       const v1::GrantRequest& aRequest,
                       Millis aNow)
{
  // A grant of the predecessor stands in the table until the holder has
  // acknowledged that it was renewed or revoked.
  for (const v1::HeldGrant& held : aRequest.held()) {
    const InstanceName instance(held.instance());
    const Assignment assignment{ .pool_ = PoolName(held.pool()),
                                 .epoch_ = held.epoch() };
    const bool isRecovering = IsRecovering(aNow);
    if (isRecovering) {
      proven_[instance] = assignment;
    }
    aSession.table_[instance] = { .assignment_ = assignment,
                                  .changedAt_ = ++version_,
                                  .revoked_ = !isRecovering };
    dirty_ = true;
  }
}

void Grantor::TakeSeen(const SessionKey& aKey, const v1::GrantRequest& aRequest)
{
  for (const v1::SeenInstance& seen : aRequest.seen()) {
    const InstanceName instance(seen.instance());
    dirty_ = true;
    if (seen.gone()) {
      const auto it = seen_.find(instance);
      if (it != seen_.end() && it->second.by_.erase(aKey) > 0 &&
          it->second.by_.empty()) {
        seen_.erase(it);
        implicit_.erase(instance);
      }
      continue;
    }
    Seen& known = seen_[instance];
    known.service_ = ServiceName(seen.service());
    known.whole_ = { .slots_ = seen.slots(),
                     .connections_ = seen.connections() };
    known.by_.insert(aKey);
    implicit_[instance] = { .pool_ = PoolName(seen.service()), .epoch_ = 0 };
  }
}

void Grantor::Acknowledge(Session& aSession, uint64_t aVersion)
{
  if (aVersion == 0) {
    // The holder holds nothing of the table: it has just started or has seen
    // its lease run out.
    dirty_ = dirty_ || !aSession.table_.empty();
    aSession.table_.clear();
    return;
  }
  dirty_ = std::erase_if(aSession.table_,
                         [&](const auto& aItem) {
                           return aItem.second.revoked_ &&
                                  aItem.second.changedAt_ <= aVersion;
                         }) > 0 ||
           dirty_;
}

void Grantor::LapseSessions(Millis aNow)
{
  std::vector<SessionKey> forgotten;
  for (auto& [key, session] : sessions_) {
    if (aNow < session.leaseUntil_) {
      continue;
    }
    if (!session.lapsed_) {
      session.lapsed_ = true;
      dirty_ = true;
      for (const auto& [instance, given] : session.table_) {
        session.unreleased_.insert(instance);
      }
      session.unreleased_.merge(session.busy_);
      session.table_.clear();
      session.busy_.clear();
    }
    if (aNow >= session.leaseUntil_ + options_.unreleasedGrace_) {
      forgotten.push_back(key);
    }
  }
  for (const SessionKey& key : forgotten) {
    ForgetSession(key);
  }
}

void Grantor::ForgetSession(const SessionKey& aKey)
{
  sessions_.erase(aKey);
  for (auto& [instance, seen] : seen_) {
    seen.by_.erase(aKey);
  }
  std::erase_if(seen_,
                [](const auto& aItem) { return aItem.second.by_.empty(); });
  std::erase_if(
    implicit_, [&](const auto& aItem) { return !seen_.contains(aItem.first); });
  dirty_ = true;
}

const Assignment* Grantor::Wanted(const InstanceName& aInstance, Millis aNow)
{
  const Assignment* wanted = nullptr;
  if (const auto member = members_.find(aInstance); member != members_.end()) {
    wanted = member->second.draining_ ? nullptr : &member->second.assignment_;
  } else if (!foreign_.contains(aInstance)) {
    const auto implied = implicit_.find(aInstance);
    wanted = implied != implicit_.end() ? &implied->second : nullptr;
  }
  if (wanted == nullptr || !IsRecovering(aNow)) {
    return wanted;
  }
  const auto proof = proven_.find(aInstance);
  const bool isProven = proof != proven_.end() && proof->second == *wanted;
  return isProven ? wanted : nullptr;
}

Grantor::Assignments Grantor::LiveAssignments() const
{
  Assignments live;
  for (const auto& [key, session] : sessions_) {
    for (const auto& [instance, given] : session.table_) {
      live[instance].insert(given.assignment_);
    }
  }
  return live;
}

void Grantor::Recompute(Millis aNow)
{
  const bool isRecovering = IsRecovering(aNow);
  dirty_ = dirty_ || isRecovering != wasRecovering_;
  wasRecovering_ = isRecovering;
  if (!isRecovering) {
    proven_.clear();
  }
  if (!dirty_) {
    return;
  }
  dirty_ = false;
  for (auto& [key, session] : sessions_) {
    Revoke(session, aNow);
  }
  Assignments live = LiveAssignments();
  const size_t holders = LiveSessions();
  size_t index = 0;
  for (auto& [key, session] : sessions_) {
    if (!session.lapsed_) {
      Give(session, index++, holders, live, aNow);
    }
  }
}

void Grantor::Revoke(Session& aSession, Millis aNow)
{
  for (auto& [instance, given] : aSession.table_) {
    const Assignment* wanted = Wanted(instance, aNow);
    const bool stays = wanted != nullptr && *wanted == given.assignment_ &&
                       seen_.contains(instance);
    if (!stays && !given.revoked_) {
      given.revoked_ = true;
      given.changedAt_ = ++version_;
    }
  }
}

void Grantor::Give(Session& aSession,
                   size_t aIndex,
                   size_t aHolders,
                   Assignments& aLive,
                   Millis aNow)
{
  for (const auto& [instance, seen] : seen_) {
    const Assignment* wanted = Wanted(instance, aNow);
    if (wanted == nullptr) {
      continue;
    }
    std::set<Assignment>& live = aLive[instance];
    const bool isFree =
      live.empty() || (live.size() == 1 && live.contains(*wanted));
    const GrantShare share = shares_->Divide(seen.whole_, aHolders, aIndex);
    const auto it = aSession.table_.find(instance);
    const bool isHeld = it != aSession.table_.end();
    if (!isFree || (isHeld && it->second.revoked_) ||
        (isHeld && it->second.share_ == share)) {
      continue;
    }
    live.insert(*wanted);
    aSession.table_[instance] = { .assignment_ = *wanted,
                                  .share_ = share,
                                  .changedAt_ = ++version_ };
  }
}

void Grantor::FillReply(const Session& aSession,
                        const v1::GrantRequest& aRequest,
                        v1::GrantReply& aReply) const
{
  aReply.set_lease_ms(options_.lease_.Count());
  aReply.set_version(version_);
  for (const auto& [instance, given] : aSession.table_) {
    if (!aReply.full() && given.changedAt_ <= aRequest.known_version()) {
      continue;
    }
    v1::TableChange& change = *aReply.add_changes();
    change.set_instance(instance.Str());
    change.set_revoked(given.revoked_);
    if (!given.revoked_) {
      change.set_pool(given.assignment_.pool_.Str());
      change.set_epoch(given.assignment_.epoch_);
      change.set_slots(given.share_.slots_);
      change.set_connections(given.share_.connections_);
    }
  }
}

bool Grantor::MayBeBusy(const InstanceName& aInstance, Millis aNow) const
{
  if (!HoldersKnown(aNow)) {
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

bool Grantor::HoldersKnown(Millis aNow) const
{
  if (aNow >= recoveredAt_ + options_.unreleasedGrace_) {
    return true;
  }
  std::set<NodeName> present;
  for (const auto& [key, session] : sessions_) {
    present.insert(key.holder_);
  }
  return std::includes(present.begin(),
                       present.end(),
                       options_.holders_.begin(),
                       options_.holders_.end());
}

void Grantor::ProposeConfirmations(Millis aNow,
                                   std::vector<v1::Change>& aChanges)
{
  for (const auto& [instance, member] : members_) {
    if (!member.draining_ || member.drained_ || MayBeBusy(instance, aNow)) {
      continue;
    }
    v1::Change& change = aChanges.emplace_back();
    // One id for each drain: a repeat is the same proposal.
    change.set_change_id("drained/" + instance.Str() + "/" +
                         std::to_string(member.revision_));
    change.set_expected_revision(member.revision_);
    change.mutable_confirm_drain()->set_instance(instance.Str());
    change.mutable_confirm_drain()->set_epoch(member.assignment_.epoch_);
  }
}

void Grantor::ProposeMemberships(Millis aNow, std::vector<v1::Change>& aChanges)
{
  std::map<ServiceName, size_t> counts;
  for (const auto& [instance, seen] : seen_) {
    ++counts[seen.service_];
  }
  std::map<ServiceName, size_t> proposed;
  for (const auto& [instance, seen] : seen_) {
    const auto pool = poolByService_.find(seen.service_);
    const bool lacks =
      !members_.contains(instance) && !foreign_.contains(instance);
    const size_t most = 1 + counts[seen.service_] / kAssignedPart;
    if (pool == poolByService_.end() || !lacks ||
        proposed[seen.service_] >= most || IsRecovering(aNow)) {
      continue;
    }
    ++proposed[seen.service_];
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
