#include "vanillahatch/core/slot_broker.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Terms that are not news are repeated this seldom while the entry waits, and
// while nothing waits.
constexpr Millis kRepeatTerms = Millis(250);
constexpr Millis kRepeatCalmTerms = Millis(2000);
// A new broker asks the entries that have not reported this often.
constexpr Millis kAskAgain = Millis(100);
// How long an advertised age of others' jobs stands before it is renewed.
constexpr Millis kRenewAge = Millis(20);

bool SameTerms(const SlotGrant& aLeft, const SlotGrant& aRight)
{
  return aLeft.keepIdle_ == aRight.keepIdle_ &&
         aLeft.maxHeld_ == aRight.maxHeld_ &&
         aLeft.othersWait_ == aRight.othersWait_;
}

} // namespace

SlotBroker::SlotBroker(SlotBrokerOptions aOptions,
                       std::unique_ptr<AllotmentStrategy> aStrategy,
                       Millis aNow)
  : options_(std::move(aOptions))
  , strategy_(std::move(aStrategy))
  , startedAt_(aNow)
{
}

uint32_t SlotBroker::Free(const Upstream& aUpstream)
{
  const bool room =
    aUpstream.known_ && aUpstream.slots_ > aUpstream.outstanding_;
  return room ? aUpstream.slots_ - aUpstream.outstanding_ : 0;
}

void SlotBroker::Index(const InstanceName& aInstance, const Upstream& aUpstream)
{
  const uint32_t free = Free(aUpstream);
  freeTotal_ += free;
  if (free > 0) {
    byFree_.insert({ free, aInstance });
  }
}

void SlotBroker::Unindex(const InstanceName& aInstance,
                         const Upstream& aUpstream)
{
  const uint32_t free = Free(aUpstream);
  freeTotal_ -= free;
  byFree_.erase({ free, aInstance });
}

void SlotBroker::SetUpstream(const InstanceName& aInstance,
                             uint32_t aSlots,
                             uint32_t aMostPerEntry)
{
  Upstream& upstream = upstreams_[aInstance];
  Unindex(aInstance, upstream);
  capacity_ += aSlots - (upstream.known_ ? upstream.slots_ : 0);
  upstream.slots_ = aSlots;
  upstream.mostPerEntry_ = aMostPerEntry;
  upstream.known_ = true;
  Index(aInstance, upstream);
}

void SlotBroker::RemoveUpstream(const InstanceName& aInstance)
{
  const auto it = upstreams_.find(aInstance);
  if (it == upstreams_.end() || !it->second.known_) {
    return;
  }
  Unindex(aInstance, it->second);
  capacity_ -= it->second.slots_;
  it->second.known_ = false;
  if (it->second.outstanding_ == 0) {
    upstreams_.erase(it);
  }
}

void SlotBroker::SetEntry(const NodeName& aEntry,
                          bool aLive,
                          bool aNear,
                          Millis aNow)
{
  const auto [it, isNew] = holders_.try_emplace(aEntry);
  SlotHolder& holder = it->second;
  if (isNew || (aLive && !holder.live_)) {
    holder.heardAt_ = aNow;
  }
  holder.live_ = aLive;
  holder.near_ = aNear;
}

void SlotBroker::Add(const InstanceName& aInstance, int64_t aSlots)
{
  Upstream& upstream = upstreams_[aInstance];
  Unindex(aInstance, upstream);
  upstream.outstanding_ =
    static_cast<uint32_t>(static_cast<int64_t>(upstream.outstanding_) + aSlots);
  Index(aInstance, upstream);
}

void SlotBroker::DropPending(SlotHolder& aHolder, uint64_t aUpTo)
{
  while (!aHolder.pending_.empty() &&
         aHolder.pending_.front().sequence_ <= aUpTo) {
    const SlotHolder::Pending& pending = aHolder.pending_.front();
    Add(pending.instance_, -static_cast<int64_t>(pending.slots_));
    aHolder.pendingTotal_ -= pending.slots_;
    aHolder.pending_.pop_front();
  }
}

void SlotBroker::DropHolder(SlotHolder& aHolder)
{
  DropPending(aHolder, UINT64_MAX);
  for (const auto& [instance, slots] : aHolder.held_) {
    Add(instance, -static_cast<int64_t>(slots));
  }
  aHolder.held_.clear();
  aHolder.heldTotal_ = 0;
  aHolder.idle_ = 0;
  aHolder.waiting_ = 0;
  aHolder.urgent_ = 0;
}

void SlotBroker::Take(const NodeName& aFrom,
                      const SlotReport& aReport,
                      Millis aNow)
{
  SlotHolder& holder = holders_[aFrom];
  if (aReport.sequence_ <= holder.reportSequence_) {
    return;
  }
  for (const auto& [instance, slots] : holder.held_) {
    Add(instance, -static_cast<int64_t>(slots));
  }
  holder.held_.clear();
  holder.heldTotal_ = 0;
  for (const InstanceSlots& held : aReport.held_) {
    holder.held_[held.instance_] = held.slots_;
    holder.heldTotal_ += held.slots_;
    Add(held.instance_, held.slots_);
  }
  if (aReport.term_ == options_.term_) {
    DropPending(holder, aReport.acknowledged_);
  }
  holder.reportSequence_ = aReport.sequence_;
  holder.reported_ = true;
  holder.live_ = true;
  holder.heardAt_ = aNow;
  holder.waiting_ = aReport.waiting_;
  holder.urgent_ = aReport.urgent_;
  holder.oldestAt_ = aNow - aReport.oldestAge_;
  holder.idle_ = aReport.idle_;
  holder.avoided_ = { aReport.avoided_.begin(), aReport.avoided_.end() };
  Run(aNow);
}

void SlotBroker::Tick(Millis aNow)
{
  for (auto& [name, holder] : holders_) {
    if (!holder.live_ && aNow - holder.heardAt_ >= kReserve) {
      DropHolder(holder);
    }
  }
  Run(aNow);
}

bool SlotBroker::WarmingUp(Millis aNow) const
{
  if (aNow - startedAt_ >= kWarmUp) {
    return false;
  }
  return std::any_of(holders_.begin(), holders_.end(), [](const auto& aEntry) {
    return aEntry.second.live_ && !aEntry.second.reported_;
  });
}

bool SlotBroker::Busy() const
{
  return std::any_of(holders_.begin(), holders_.end(), [](const auto& aEntry) {
    return aEntry.second.waiting_ > 0 || aEntry.second.last_.othersWait_;
  });
}

bool SlotBroker::GrantOne(SlotHolder& aHolder)
{
  for (auto it = byFree_.rbegin(); it != byFree_.rend(); ++it) {
    const InstanceName instance = it->second;
    const uint32_t most = upstreams_.at(instance).mostPerEntry_;
    if (aHolder.avoided_.contains(instance) ||
        aHolder.Holds(instance) >= most) {
      continue;
    }
    Add(instance, 1);
    aHolder.AddGranted(instance);
    return true;
  }
  return false;
}

uint32_t SlotHolder::Holds(const InstanceName& aInstance) const
{
  const auto held = held_.find(aInstance);
  uint32_t slots = held != held_.end() ? held->second : 0;
  for (const Pending& pending : pending_) {
    slots += pending.instance_ == aInstance ? pending.slots_ : 0;
  }
  for (const InstanceSlots& added : next_.added_) {
    slots += added.instance_ == aInstance ? added.slots_ : 0;
  }
  return slots;
}

void SlotHolder::AddGranted(const InstanceName& aInstance)
{
  ++pendingTotal_;
  for (InstanceSlots& added : next_.added_) {
    if (added.instance_ == aInstance) {
      ++added.slots_;
      return;
    }
  }
  next_.added_.push_back({ .instance_ = aInstance, .slots_ = 1 });
}

void SlotBroker::Run(Millis aNow)
{
  if (WarmingUp(aNow)) {
    AskForReports(aNow);
    return;
  }
  for (auto& [name, holder] : holders_) {
    holder.next_ = SlotGrant{ .pool_ = options_.pool_,
                              .term_ = options_.term_,
                              .keepIdle_ = holder.last_.keepIdle_,
                              .maxHeld_ = holder.last_.maxHeld_ };
  }
  strategy_->Allot(*this, aNow);
  Flush(aNow);
}

void SlotBroker::AskForReports(Millis aNow)
{
  for (auto& [name, holder] : holders_) {
    const bool asked = holder.asked_ && aNow - holder.lastSentAt_ < kAskAgain;
    if (!holder.live_ || holder.reported_ || asked) {
      continue;
    }
    holder.asked_ = true;
    holder.lastSentAt_ = aNow;
    // The terms take nothing back from the entry.
    out_.emplace_back(name,
                      SlotGrant{ .pool_ = options_.pool_,
                                 .term_ = options_.term_,
                                 .sequence_ = ++sequence_,
                                 .keepIdle_ = UINT32_MAX });
  }
}

void SlotBroker::Flush(Millis aNow)
{
  for (auto& [name, holder] : holders_) {
    SlotGrant& next = holder.next_;
    const bool ageIsOld =
      next.othersWait_ && aNow - holder.lastSentAt_ >= kRenewAge;
    const bool involved = holder.heldTotal_ > 0 || holder.waiting_ > 0 ||
                          holder.near_ || !next.added_.empty();
    const bool calm = !next.othersWait_ && holder.waiting_ == 0;
    const Millis repeat = calm ? kRepeatCalmTerms : kRepeatTerms;
    const bool news = !next.added_.empty() || !SameTerms(next, holder.last_) ||
                      ageIsOld || aNow - holder.lastSentAt_ >= repeat;
    if (!holder.live_ || !involved || !news) {
      continue;
    }
    next.sequence_ = ++sequence_;
    for (const InstanceSlots& added : next.added_) {
      holder.pending_.push_back({ .sequence_ = next.sequence_,
                                  .instance_ = added.instance_,
                                  .slots_ = added.slots_ });
    }
    holder.last_ = next;
    holder.lastSentAt_ = aNow;
    out_.emplace_back(name, std::move(next));
  }
}

} // namespace vanillahatch
