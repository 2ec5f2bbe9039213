// Moves of instances between the spare pool and the others.
#include "plan_draft.h"

#include <algorithm>

namespace vanillahatch {

void PlanDraft::PrepareSpares()
{
  spares_.resize(view_.rackCount_);
  if (!spare_) {
    return;
  }
  std::vector<InstanceIndex> members = members_[At(*spare_)];
  // Those that the spare pool would have to restart are lent first; they start
  // in the borrower's version anyway.
  std::stable_partition(members.begin(), members.end(), [&](auto aMember) {
    return !NeedsRollOut(View(aMember));
  });
  for (const InstanceIndex index : members) {
    spares_[At(View(index).rack_)].push_back(index);
  }
  const std::vector<uint32_t> kept = CountByRack(*spare_);
  lent_.resize(view_.rackCount_);
  for (const InstanceView& instance : view_.instances_) {
    ++lent_[At(instance.rack_)];
  }
  for (size_t rack = 0; rack < lent_.size(); ++rack) {
    lent_[rack] -= kept[rack];
  }
}

std::vector<PlanDraft::Want> PlanDraft::Wants()
{
  std::vector<Want> wants;
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
    const uint32_t room = future < ceiling ? ceiling - future : 0;
    const uint32_t urgent = need.now_ > capacity ? need.now_ - capacity : 0;
    const uint32_t missing = target > capacity ? target - capacity : 0;
    if (urgent > room) {
      Hold(pool, Purpose::kMove, StepReason::kAtCeiling);
    }
    const Want want{ .pool_ = pool,
                     .urgent_ = std::min(urgent, room),
                     .ahead_ = std::min(missing, room) -
                               std::min({ urgent, missing, room }) };
    if (want.urgent_ + want.ahead_ > 0) {
      wants.push_back(want);
    }
  }
  std::stable_sort(
    wants.begin(), wants.end(), [&](const Want& aL, const Want& aR) {
      return Contract(aL.pool_).priority_ > Contract(aR.pool_).priority_;
    });
  return wants;
}

void PlanDraft::Grow()
{
  const std::vector<Want> wants = Wants();
  for (const Want& want : wants) {
    Lend({ .pool_ = want.pool_, .urgent_ = want.urgent_ });
  }
  for (const Want& want : wants) {
    Lend({ .pool_ = want.pool_, .ahead_ = want.ahead_ });
  }
}

bool PlanDraft::MayLend(bool aUrgent, PoolIndex aTo) const
{
  const uint32_t serving = census_.Of(*spare_).serving_;
  const PoolNeed& need = Need(*spare_);
  if (!aUrgent) {
    return serving > need.keep_ + plan_.sharedBuffer_;
  }
  const bool isAbove = Contract(aTo).priority_ > Contract(*spare_).priority_;
  return serving > (isAbove ? Contract(*spare_).floor_ : need.now_);
}

void PlanDraft::Lend(const Want& aWant)
{
  const uint32_t wanted = aWant.urgent_ + aWant.ahead_;
  const bool isUrgent = aWant.urgent_ > 0;
  const PoolCount& count = census_.Of(aWant.pool_);
  const bool isBelowFloor = count.Capacity() < Contract(aWant.pool_).floor_;
  StepReason reason = isUrgent ? StepReason::kDemand : StepReason::kBorrow;
  if (isBelowFloor) {
    reason = StepReason::kFloor;
  } else if (!isUrgent && Need(aWant.pool_).borrowed_ == 0) {
    reason = StepReason::kDemand;
  }
  if (wanted == 0) {
    return;
  }
  std::vector<uint32_t> own = CountByRack(aWant.pool_);
  for (uint32_t i = 0; i < wanted; ++i) {
    if (drains_ >= options_.maxDrainsPerPlan_) {
      return;
    }
    std::optional<InstanceIndex> instance;
    if (spare_ && MayLend(isUrgent, aWant.pool_)) {
      instance = PickSpare(own);
    }
    if (!instance) {
      hasUnmetDemand_ |= isUrgent;
      Hold(aWant.pool_, Purpose::kMove, StepReason::kNoSpareInstance);
      return;
    }
    Drain(*instance, Purpose::kMove, aWant.pool_, reason);
    ++own[At(View(*instance).rack_)];
    ++lent_[At(View(*instance).rack_)];
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
  std::span<const uint32_t> aOwn)
{
  // The loss of a rack costs least where fewest instances are in use, and the
  // borrower's own count twice, to keep it spread.
  std::vector<InstanceIndex>* best = nullptr;
  uint32_t bestUse = 0;
  for (size_t rack = 0; rack < spares_.size(); ++rack) {
    std::vector<InstanceIndex>& candidates = spares_[rack];
    while (!candidates.empty() && isTaken_[At(candidates.back())]) {
      candidates.pop_back();
    }
    if (candidates.empty()) {
      continue;
    }
    const uint32_t restart = NeedsRollOut(View(candidates.back())) ? 0 : 1;
    const uint32_t use = 2 * (lent_[rack] + aOwn[rack]) + restart;
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
    // Others' unmet demand ends the dwell of a surplus.
    const uint32_t keep =
      hasUnmetDemand_ ? need.ahead_ : std::max(need.keep_, need.ahead_);
    // While a version rolls out, members are replaced by borrowed ones that
    // run it already; the others stay, so that the waves keep their width.
    const bool isReplacing =
      need.isRollingOut_ && need.isProven_ && objective_.IsRollOutFirst();
    const uint32_t borrowed = isReplacing ? 0 : need.borrowed_;
    const uint32_t serving = census_.Of(static_cast<PoolIndex>(i)).serving_;
    const bool isKept = need.isRollingOut_ && objective_.IsRollOutFirst() &&
                        !isReplacing && !hasUnmetDemand_;
    if (!isKept && serving > keep + borrowed) {
      GiveBack(static_cast<PoolIndex>(i),
               serving - keep - borrowed,
               isReplacing && !hasUnmetDemand_);
    }
  }
}

void PlanDraft::GiveBack(PoolIndex aPool,
                         uint32_t aSurplus,
                         bool aOnlyOldVersion)
{
  std::vector<InstanceIndex> members = members_[At(aPool)];
  // From the racks most in use first, so that the rest stays spread.
  const std::vector<uint32_t> own = CountByRack(aPool);
  const auto use = [&](InstanceIndex aMember) {
    const size_t rack = At(View(aMember).rack_);
    return own[rack] + lent_[rack];
  };
  std::stable_sort(members.begin(), members.end(), [&](auto aL, auto aR) {
    return use(aL) > use(aR);
  });
  uint32_t given = 0;
  for (const InstanceIndex member : members) {
    if (given == aSurplus || drains_ >= options_.maxDrainsPerPlan_) {
      return;
    }
    const bool isKept = aOnlyOldVersion && !NeedsRollOut(View(member));
    if (isKept || isTaken_[At(member)] ||
        census_.ObstacleTo(member, Purpose::kMove)) {
      continue;
    }
    Drain(member, Purpose::kMove, *spare_, StepReason::kSurplus);
    --lent_[At(View(member).rack_)];
    ++given;
  }
}

} // namespace vanillahatch
