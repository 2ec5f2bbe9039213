#include "vanillahatch/core/slot_broker.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Interval at which unchanged limits are sent again, while jobs wait and while
// none does.
constexpr Millis kResendInterval = Millis(250);
constexpr Millis kIdleResendInterval = Millis(2000);
// Interval at which a new broker repeats its request for a report.
constexpr Millis kReportRequestInterval = Millis(100);
// Interval at which an entry is sent the age of the oldest job that waits at
// the other entries.
constexpr Millis kAgeUpdateInterval = Millis(20);

bool HasSameLimits(const SlotGrant& aLeft, const SlotGrant& aRight)
{
  return aLeft.keepIdle_ == aRight.keepIdle_ &&
         aLeft.maxHeld_ == aRight.maxHeld_ &&
         aLeft.othersWait_ == aRight.othersWait_;
}

} // namespace

SlotBroker::SlotBroker(SlotBrokerOptions aOptions,
                       std::unique_ptr<AllocationStrategy> aStrategy,
                       Millis aNow)
  : options_(std::move(aOptions))
  , strategy_(std::move(aStrategy))
  , startedAt_(aNow)
{
}

uint32_t SlotBroker::FreeSlots(const Upstream& aUpstream)
{
  const bool hasFree =
    aUpstream.announced_ && aUpstream.slots_ > aUpstream.outstanding_;
  return hasFree ? aUpstream.slots_ - aUpstream.outstanding_ : 0;
}

void SlotBroker::Index(const InstanceName& aInstance, const Upstream& aUpstream)
{
  const uint32_t free = FreeSlots(aUpstream);
  freeTotal_ += free;
  if (free > 0) {
    byFreeSlots_.insert({ free, aInstance });
  }
}

void SlotBroker::Unindex(const InstanceName& aInstance,
                         const Upstream& aUpstream)
{
  const uint32_t free = FreeSlots(aUpstream);
  freeTotal_ -= free;
  byFreeSlots_.erase({ free, aInstance });
}

void SlotBroker::SetUpstream(const InstanceName& aInstance,
                             uint32_t aSlots,
                             uint32_t aMaxPerEntry)
{
  Upstream& upstream = upstreams_[aInstance];
  Unindex(aInstance, upstream);
  capacity_ += aSlots - (upstream.announced_ ? upstream.slots_ : 0);
  upstream.slots_ = aSlots;
  upstream.maxPerEntry_ = aMaxPerEntry;
  upstream.announced_ = true;
  Index(aInstance, upstream);
}

void SlotBroker::RemoveUpstream(const InstanceName& aInstance)
{
  const auto it = upstreams_.find(aInstance);
  if (it == upstreams_.end() || !it->second.announced_) {
    return;
  }
  Unindex(aInstance, it->second);
  capacity_ -= it->second.slots_;
  it->second.announced_ = false;
  if (it->second.outstanding_ == 0) {
    upstreams_.erase(it);
  }
}

void SlotBroker::SetEntry(const NodeName& aEntry,
                          bool aLive,
                          bool aIsLocal,
                          Millis aNow)
{
  const auto [it, isNew] = holders_.try_emplace(aEntry);
  SlotHolder& holder = it->second;
  if (isNew || (aLive && !holder.live_)) {
    holder.lastContactAt_ = aNow;
  }
  holder.live_ = aLive;
  holder.isLocal_ = aIsLocal;
}

void SlotBroker::AddOutstanding(const InstanceName& aInstance, int64_t aSlots)
{
  Upstream& upstream = upstreams_[aInstance];
  Unindex(aInstance, upstream);
  upstream.outstanding_ =
    static_cast<uint32_t>(static_cast<int64_t>(upstream.outstanding_) + aSlots);
  Index(aInstance, upstream);
}

void SlotBroker::ReleasePending(SlotHolder& aHolder, uint64_t aUpTo)
{
  while (!aHolder.pending_.empty() &&
         aHolder.pending_.front().sequence_ <= aUpTo) {
    const SlotHolder::Pending& pending = aHolder.pending_.front();
    AddOutstanding(pending.instance_, -static_cast<int64_t>(pending.slots_));
    aHolder.pendingTotal_ -= pending.slots_;
    aHolder.pending_.pop_front();
  }
}

void SlotBroker::ReleaseSlots(SlotHolder& aHolder)
{
  ReleasePending(aHolder, UINT64_MAX);
  for (const auto& [instance, slots] : aHolder.held_) {
    AddOutstanding(instance, -static_cast<int64_t>(slots));
  }
  aHolder.held_.clear();
  aHolder.heldTotal_ = 0;
  aHolder.idle_ = 0;
  aHolder.waiting_ = 0;
  aHolder.urgent_ = 0;
}

void SlotBroker::HandleReport(const NodeName& aFrom,
                              const SlotReport& aReport,
                              Millis aNow)
{
  SlotHolder& holder = holders_[aFrom];
  if (aReport.sequence_ <= holder.reportSequence_) {
    return;
  }
  for (const auto& [instance, slots] : holder.held_) {
    AddOutstanding(instance, -static_cast<int64_t>(slots));
  }
  holder.held_.clear();
  holder.heldTotal_ = 0;
  for (const InstanceSlots& held : aReport.held_) {
    holder.held_[held.instance_] = held.slots_;
    holder.heldTotal_ += held.slots_;
    AddOutstanding(held.instance_, held.slots_);
  }
  if (aReport.term_ == options_.term_) {
    ReleasePending(holder, aReport.acknowledged_);
  }
  holder.reportSequence_ = aReport.sequence_;
  holder.reported_ = true;
  holder.live_ = true;
  holder.lastContactAt_ = aNow;
  holder.waiting_ = aReport.waiting_;
  holder.urgent_ = aReport.urgent_;
  holder.oldestArrivedAt_ = aNow - aReport.oldestAge_;
  holder.idle_ = aReport.idle_;
  holder.avoided_ = { aReport.avoided_.begin(), aReport.avoided_.end() };
  RunStrategy(aNow);
}

void SlotBroker::Tick(Millis aNow)
{
  for (auto& [name, holder] : holders_) {
    if (!holder.live_ && aNow - holder.lastContactAt_ >= kReservationTimeout) {
      ReleaseSlots(holder);
    }
  }
  RunStrategy(aNow);
}

bool SlotBroker::IsWarmingUp(Millis aNow) const
{
  if (aNow - startedAt_ >= kWarmUpTimeout) {
    return false;
  }
  return std::any_of(holders_.begin(), holders_.end(), [](const auto& aEntry) {
    return aEntry.second.live_ && !aEntry.second.reported_;
  });
}

bool SlotBroker::HasWaitingJobs() const
{
  return std::any_of(holders_.begin(), holders_.end(), [](const auto& aEntry) {
    return aEntry.second.waiting_ > 0 || aEntry.second.lastGrant_.othersWait_;
  });
}

bool SlotBroker::GrantOne(SlotHolder& aHolder)
{
  for (auto it = byFreeSlots_.rbegin(); it != byFreeSlots_.rend(); ++it) {
    const InstanceName instance = it->second;
    const uint32_t maxPerEntry = upstreams_.at(instance).maxPerEntry_;
    if (aHolder.avoided_.contains(instance) ||
        aHolder.SlotsOn(instance) >= maxPerEntry) {
      continue;
    }
    AddOutstanding(instance, 1);
    aHolder.AddGranted(instance);
    return true;
  }
  return false;
}

uint32_t SlotHolder::SlotsOn(const InstanceName& aInstance) const
{
  const auto held = held_.find(aInstance);
  uint32_t slots = held != held_.end() ? held->second : 0;
  for (const Pending& pending : pending_) {
    slots += pending.instance_ == aInstance ? pending.slots_ : 0;
  }
  for (const InstanceSlots& added : nextGrant_.added_) {
    slots += added.instance_ == aInstance ? added.slots_ : 0;
  }
  return slots;
}

void SlotHolder::AddGranted(const InstanceName& aInstance)
{
  ++pendingTotal_;
  for (InstanceSlots& added : nextGrant_.added_) {
    if (added.instance_ == aInstance) {
      ++added.slots_;
      return;
    }
  }
  nextGrant_.added_.push_back({ .instance_ = aInstance, .slots_ = 1 });
}

void SlotBroker::RunStrategy(Millis aNow)
{
  if (IsWarmingUp(aNow)) {
    RequestReports(aNow);
    return;
  }
  for (auto& [name, holder] : holders_) {
    holder.nextGrant_ = SlotGrant{ .pool_ = options_.pool_,
                                   .term_ = options_.term_,
                                   .keepIdle_ = holder.lastGrant_.keepIdle_,
                                   .maxHeld_ = holder.lastGrant_.maxHeld_ };
  }
  strategy_->Allocate(*this, aNow);
  QueueGrants(aNow);
}

void SlotBroker::RequestReports(Millis aNow)
{
  for (auto& [name, holder] : holders_) {
    const bool requested = holder.reportRequested_ &&
                           aNow - holder.lastSentAt_ < kReportRequestInterval;
    if (!holder.live_ || holder.reported_ || requested) {
      continue;
    }
    holder.reportRequested_ = true;
    holder.lastSentAt_ = aNow;
    // With these limits the entry returns no slot.
    outgoing_.emplace_back(name,
                           SlotGrant{ .pool_ = options_.pool_,
                                      .term_ = options_.term_,
                                      .sequence_ = ++sequence_,
                                      .keepIdle_ = UINT32_MAX });
  }
}

void SlotBroker::QueueGrants(Millis aNow)
{
  for (auto& [name, holder] : holders_) {
    SlotGrant& next = holder.nextGrant_;
    const bool ageUpdateDue =
      next.othersWait_ && aNow - holder.lastSentAt_ >= kAgeUpdateInterval;
    const bool involved = holder.heldTotal_ > 0 || holder.waiting_ > 0 ||
                          holder.isLocal_ || !next.added_.empty();
    const bool noJobsWait = !next.othersWait_ && holder.waiting_ == 0;
    const Millis resendInterval =
      noJobsWait ? kIdleResendInterval : kResendInterval;
    const bool due = !next.added_.empty() ||
                     !HasSameLimits(next, holder.lastGrant_) || ageUpdateDue ||
                     aNow - holder.lastSentAt_ >= resendInterval;
    if (!holder.live_ || !involved || !due) {
      continue;
    }
    next.sequence_ = ++sequence_;
    for (const InstanceSlots& added : next.added_) {
      holder.pending_.push_back({ .sequence_ = next.sequence_,
                                  .instance_ = added.instance_,
                                  .slots_ = added.slots_ });
    }
    holder.lastGrant_ = next;
    holder.lastSentAt_ = aNow;
    outgoing_.emplace_back(name, std::move(next));
  }
}

} // namespace vanillahatch
