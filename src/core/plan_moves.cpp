// Moves of instances between the spare pool and the other pools.
#include "plan_draft.h"

#include <algorithm>

namespace vanillahatch {

void PlanDraft::CollectSpares()
{
  spares_.resize(view_.rackCount_);
  if (!spare_) {
    return;
  }
  std::vector<InstanceIndex> members = members_[At(*spare_)];
  // Instances that the spare pool would have to restart for its roll-out come
  // last and are lent first; they restart in the borrower's version anyway.
  std::stable_partition(members.begin(), members.end(), [&](auto aMember) {
    return !NeedsRollOut(View(aMember));
  });
  for (const InstanceIndex index : members) {
    spares_[At(View(index).rack_)].push_back(index);
  }
  const std::vector<uint32_t> kept = CountByRack(*spare_);
  lentByRack_.resize(view_.rackCount_);
  for (const InstanceView& instance : view_.instances_) {
    ++lentByRack_[At(instance.rack_)];
  }
  for (size_t rack = 0; rack < lentByRack_.size(); ++rack) {
    lentByRack_[rack] -= kept[rack];
  }
}

std::vector<PlanDraft::Shortage> PlanDraft::Shortages()
{
  std::vector<Shortage> shortages;
  for (size_t i = 0; i < needs_.size(); ++i) {
    const auto pool = static_cast<PoolIndex>(i);
    const PoolNeed& need = needs_[i];
    const PoolCount& count = census_.Of(pool);
    if (spare_ == pool) {
      hasUnmetDemand_ |= count.Capacity() < need.now_;
      continue;
    }
    const uint32_t capacity = count.Capacity();
    const uint32_t target = std::max(need.now_, need.ahead_) + need.borrowed_;
    const uint32_t future = count.members_ + count.joining_ + count.incoming_;
    const uint32_t ceiling = Contract(pool).ceiling_;
    const uint32_t belowCeiling = future < ceiling ? ceiling - future : 0;
    const uint32_t urgent = need.now_ > capacity ? need.now_ - capacity : 0;
    const uint32_t missing = target > capacity ? target - capacity : 0;
    if (urgent > belowCeiling) {
      Hold(pool, Purpose::kMove, StepReason::kAtCeiling);
    }
    const Shortage shortage{ .pool_ = pool,
                             .urgent_ = std::min(urgent, belowCeiling),
                             .ahead_ =
                               std::min(missing, belowCeiling) -
                               std::min({ urgent, missing, belowCeiling }) };
    if (shortage.urgent_ + shortage.ahead_ > 0) {
      shortages.push_back(shortage);
    }
  }
  std::stable_sort(shortages.begin(),
                   shortages.end(),
                   [&](const Shortage& aL, const Shortage& aR) {
                     return Contract(aL.pool_).priority_ >
                            Contract(aR.pool_).priority_;
                   });
  return shortages;
}

void PlanDraft::Grow()
{
  const std::vector<Shortage> shortages = Shortages();
  for (const Shortage& shortage : shortages) {
    Lend({ .pool_ = shortage.pool_, .urgent_ = shortage.urgent_ });
  }
  for (const Shortage& shortage : shortages) {
    Lend({ .pool_ = shortage.pool_, .ahead_ = shortage.ahead_ });
  }
}

bool PlanDraft::MayLend(bool aUrgent, PoolIndex aTo) const
{
  const uint32_t serving = census_.Of(*spare_).serving_;
  const PoolNeed& need = Need(*spare_);
  if (!aUrgent) {
    return serving > need.keep_ + plan_.sharedBuffer_;
  }
  const bool hasPriority =
    Contract(aTo).priority_ > Contract(*spare_).priority_;
  return serving > (hasPriority ? Contract(*spare_).floor_ : need.now_);
}

void PlanDraft::Lend(const Shortage& aShortage)
{
  const uint32_t needed = aShortage.urgent_ + aShortage.ahead_;
  const bool isUrgent = aShortage.urgent_ > 0;
  const PoolCount& count = census_.Of(aShortage.pool_);
  const bool isBelowFloor = count.Capacity() < Contract(aShortage.pool_).floor_;
  StepReason reason = isUrgent ? StepReason::kDemand : StepReason::kBorrow;
  if (isBelowFloor) {
    reason = StepReason::kFloor;
  } else if (!isUrgent && Need(aShortage.pool_).borrowed_ == 0) {
    reason = StepReason::kDemand;
  }
  if (needed == 0) {
    return;
  }
  std::vector<uint32_t> ownByRack = CountByRack(aShortage.pool_);
  for (uint32_t i = 0; i < needed; ++i) {
    if (drainCount_ >= options_.maxDrainsPerPlan_) {
      return;
    }
    std::optional<InstanceIndex> instance;
    if (spare_ && MayLend(isUrgent, aShortage.pool_)) {
      instance = PickSpare(ownByRack);
    }
    if (!instance) {
      hasUnmetDemand_ |= isUrgent;
      Hold(aShortage.pool_, Purpose::kMove, StepReason::kNoSpareInstance);
      return;
    }
    Drain(*instance, Purpose::kMove, aShortage.pool_, reason);
    ++ownByRack[At(View(*instance).rack_)];
    ++lentByRack_[At(View(*instance).rack_)];
  }
}

std::vector<uint32_t> PlanDraft::CountByRack(PoolIndex aPool) const
{
  std::vector<uint32_t> counts(view_.rackCount_);
  for (const InstanceView& instance : view_.instances_) {
    const bool isMove = instance.state_ == InstanceState::kDraining &&
                        instance.purpose_ == Purpose::kMove;
    const PoolIndex pool = isMove ? instance.target_ : instance.pool_;
    counts[At(instance.rack_)] += pool == aPool ? 1 : 0;
  }
  return counts;
}

std::optional<InstanceIndex> PlanDraft::PickSpare(
  std::span<const uint32_t> aBorrowerByRack)
{
  // Choose the rack with the fewest lent instances, to limit the loss of a
  // rack. The borrower's own instances count again, to keep it spread
  // over racks. Among equals, an instance that the spare pool would have to
  // restart is preferred.
  std::vector<InstanceIndex>* best = nullptr;
  uint32_t bestUse = 0;
  for (size_t rack = 0; rack < spares_.size(); ++rack) {
    std::vector<InstanceIndex>& candidates = spares_[rack];
    while (!candidates.empty() && hasStep_[At(candidates.back())]) {
      candidates.pop_back();
    }
    if (candidates.empty()) {
      continue;
    }
    const uint32_t restart = NeedsRollOut(View(candidates.back())) ? 0 : 1;
    const uint32_t use =
      2 * (lentByRack_[rack] + aBorrowerByRack[rack]) + restart;
    const bool isBetter = best == nullptr || use < bestUse;
    if (isBetter && !census_.ObstacleTo(candidates.back(), Purpose::kMove)) {
      best = &candidates;
      bestUse = use;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const InstanceIndex picked = best->back();
  best->pop_back();
  return picked;
}

void PlanDraft::Shrink()
{
  if (!spare_) {
    return;
  }
  for (size_t i = 0; i < needs_.size(); ++i) {
    const PoolNeed& need = needs_[i];
    if (spare_ == static_cast<PoolIndex>(i)) {
      continue;
    }
    // Unmet demand of other pools ends the surplus dwell time.
    const uint32_t keep =
      hasUnmetDemand_ ? need.ahead_ : std::max(need.keep_, need.ahead_);
    // During a roll-out, members are replaced by borrowed ones that already run
    // the new version; the others stay, so that the roll-out keeps its width.
    const bool isReplacing =
      need.isRollingOut_ && need.isConfirmed_ && objective_.IsRollOutFirst();
    const uint32_t borrowed = isReplacing ? 0 : need.borrowed_;
    const uint32_t serving = census_.Of(static_cast<PoolIndex>(i)).serving_;
    const bool isKept = need.isRollingOut_ && objective_.IsRollOutFirst() &&
                        !isReplacing && !hasUnmetDemand_;
    if (!isKept && serving > keep + borrowed) {
      ReturnToSpare(static_cast<PoolIndex>(i),
                    serving - keep - borrowed,
                    isReplacing && !hasUnmetDemand_);
    }
  }
}

void PlanDraft::ReturnToSpare(PoolIndex aPool,
                              uint32_t aSurplus,
                              bool aOnlyOldVersion)
{
  std::vector<InstanceIndex> members = members_[At(aPool)];
  // Racks with the most instances first, so that the rest stays spread.
  const std::vector<uint32_t> ownByRack = CountByRack(aPool);
  const auto use = [&](InstanceIndex aMember) {
    const size_t rack = At(View(aMember).rack_);
    return ownByRack[rack] + lentByRack_[rack];
  };
  std::stable_sort(members.begin(), members.end(), [&](auto aL, auto aR) {
    return use(aL) > use(aR);
  });
  uint32_t returned = 0;
  for (const InstanceIndex member : members) {
    if (returned == aSurplus || drainCount_ >= options_.maxDrainsPerPlan_) {
      return;
    }
    const bool isKept = aOnlyOldVersion && !NeedsRollOut(View(member));
    if (isKept || hasStep_[At(member)] ||
        census_.ObstacleTo(member, Purpose::kMove)) {
      continue;
    }
    Drain(member, Purpose::kMove, *spare_, StepReason::kSurplus);
    --lentByRack_[At(View(member).rack_)];
    ++returned;
  }
}

} // namespace vanillahatch
