#include "vanillahatch/core/slot_broker.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Returns the entry to serve next: one with urgent jobs first, then the one
// with the longest wait.
SlotHolder* FindNextHolder(SlotHolders& aHolders,
                           const std::set<const SlotHolder*>& aSkipped)
{
  SlotHolder* best = nullptr;
  for (auto& [name, holder] : aHolders) {
    if (!holder.live_ || holder.UnmetDemand() == 0 ||
        aSkipped.contains(&holder)) {
      continue;
    }
    if (best == nullptr) {
      best = &holder;
      continue;
    }
    const bool urgent = holder.urgent_ > 0;
    const bool bestUrgent = best->urgent_ > 0;
    if (urgent != bestUrgent
          ? urgent
          : holder.oldestArrivedAt_ < best->oldestArrivedAt_) {
      best = &holder;
    }
  }
  return best;
}

// Removes the oldest job from the entry's demand after a grant. The arrival of
// the next one is estimated: the arrivals are assumed to be evenly spread over
// the time since the oldest.
void AdvanceDemand(SlotHolder& aHolder, Millis aNow)
{
  const int64_t left = std::max<int64_t>(aHolder.UnmetDemand(), 1);
  aHolder.oldestArrivedAt_ =
    aHolder.oldestArrivedAt_ + (aNow - aHolder.oldestArrivedAt_) / (left + 1);
  aHolder.urgent_ -= aHolder.urgent_ > 0 ? 1 : 0;
}

class OnDemandAllocation : public AllocationStrategy
{
public:
  void Allocate(SlotBroker& aBroker, Millis aNow) override
  {
    GrantUnmetDemand(aBroker, aNow);
    const uint32_t unmet = UpdateOthersWaiting(aBroker.Holders(), aNow);
    if (unmet > 0) {
      lastUnmetAt_ = aNow;
    }
    const bool mayReserve = aNow - lastUnmetAt_ >= kReserveDelay;
    for (auto& [name, holder] : aBroker.Holders()) {
      const uint32_t reserve = mayReserve ? ReservePerEntry(aBroker) : 0;
      holder.nextGrant_.keepIdle_ = holder.isLocal_ ? reserve : 0;
    }
    if (mayReserve) {
      FillReserves(aBroker);
    }
  }

private:
  // An entry with fewer held slots per urgent job needs slots of other entries.
  static constexpr uint32_t kMinSlotsPerUrgentJob = 4;
  static constexpr uint32_t kMaxReserve = 32;
  // Exceeds the age of any job.
  static constexpr Millis kPressingAge = Seconds(600);
  // Entries get slots in advance once all demand was met for this long.
  static constexpr Millis kReserveDelay = Millis(50);

  static void GrantUnmetDemand(SlotBroker& aBroker, Millis aNow)
  {
    std::set<const SlotHolder*> skipped;
    while (aBroker.FreeTotal() > 0) {
      SlotHolder* next = FindNextHolder(aBroker.Holders(), skipped);
      if (next == nullptr) {
        return;
      }
      if (!aBroker.GrantOne(*next)) {
        skipped.insert(next);
        continue;
      }
      AdvanceDemand(*next, aNow);
    }
  }

  static uint32_t UpdateOthersWaiting(SlotHolders& aHolders, Millis aNow)
  {
    uint32_t unmet = 0;
    for (auto& [name, holder] : aHolders) {
      unmet += holder.live_ ? holder.UnmetDemand() : 0;
      for (const auto& [otherName, other] : aHolders) {
        if (&other == &holder || !other.live_ || other.UnmetDemand() == 0) {
          continue;
        }
        // An entry that holds few slots cannot serve its urgent jobs from slots
        // that it frees itself, so its jobs precede those of all others.
        const bool pressing =
          other.urgent_ * kMinSlotsPerUrgentJob > other.heldTotal_;
        const Millis age =
          pressing ? kPressingAge : aNow - other.oldestArrivedAt_;
        holder.nextGrant_.othersWait_ = true;
        holder.nextGrant_.othersOldestAge_ =
          std::max(holder.nextGrant_.othersOldestAge_, age);
      }
    }
    return unmet;
  }

  // The idle slots that each entry of the data centre may keep: an equal part
  // of half of all slots, but no more than an entry uses during a round trip to
  // the broker.
  static uint32_t ReservePerEntry(SlotBroker& aBroker)
  {
    uint32_t localEntries = 0;
    for (const auto& [name, holder] : aBroker.Holders()) {
      localEntries += holder.live_ && holder.isLocal_ ? 1 : 0;
    }
    return localEntries > 0
             ? std::clamp(
                 aBroker.Capacity() / (2 * localEntries), 1U, kMaxReserve)
             : 0;
  }

  static void FillReserves(SlotBroker& aBroker)
  {
    for (auto& [name, holder] : aBroker.Holders()) {
      while (holder.live_ && holder.reported_ && holder.isLocal_ &&
             aBroker.FreeTotal() > 0 &&
             holder.idle_ + holder.pendingTotal_ <
               holder.nextGrant_.keepIdle_) {
        if (!aBroker.GrantOne(holder)) {
          break;
        }
      }
    }
  }

  Millis lastUnmetAt_;
};

class FairShareAllocation : public AllocationStrategy
{
public:
  void Allocate(SlotBroker& aBroker, Millis aNow) override
  {
    if (aNow >= nextRebalanceAt_) {
      nextRebalanceAt_ = aNow + kRebalanceInterval;
      Rebalance(aBroker);
    }
    for (auto& [name, holder] : aBroker.Holders()) {
      holder.nextGrant_.maxHeld_ = shares_[name];
      holder.nextGrant_.keepIdle_ = shares_[name];
      while (holder.live_ && holder.reported_ && aBroker.FreeTotal() > 0 &&
             holder.heldTotal_ + holder.pendingTotal_ < shares_[name]) {
        if (!aBroker.GrantOne(holder)) {
          break;
        }
      }
    }
  }

private:
  static constexpr Millis kRebalanceInterval = Millis(100);

  // Computes max-min fair shares: assigns each slot to the entry with the
  // lowest share among those with unmet demand, and spreads the rest evenly.
  void Rebalance(SlotBroker& aBroker)
  {
    shares_.clear();
    for (uint32_t left = aBroker.Capacity(); left > 0; --left) {
      const NodeName* next = FindLowestShare(aBroker, true);
      next = next != nullptr ? next : FindLowestShare(aBroker, false);
      if (next == nullptr) {
        return;
      }
      ++shares_[*next];
    }
  }

  const NodeName* FindLowestShare(SlotBroker& aBroker, bool aWithDemandOnly)
  {
    const NodeName* lowest = nullptr;
    for (const auto& [name, holder] : aBroker.Holders()) {
      const uint32_t demand = holder.heldTotal_ -
                              std::min(holder.idle_, holder.heldTotal_) +
                              holder.waiting_;
      const bool eligible =
        aWithDemandOnly ? shares_[name] < demand : holder.isLocal_;
      if (!holder.live_ || !eligible) {
        continue;
      }
      if (lowest == nullptr || shares_[name] < shares_[*lowest]) {
        lowest = &name;
      }
    }
    return lowest;
  }

  Millis nextRebalanceAt_;
  std::map<NodeName, uint32_t> shares_;
};

} // namespace

std::unique_ptr<AllocationStrategy> MakeOnDemandAllocation()
{
  return std::make_unique<OnDemandAllocation>();
}

std::unique_ptr<AllocationStrategy> MakeFairShareAllocation()
{
  return std::make_unique<FairShareAllocation>();
}

} // namespace vanillahatch
