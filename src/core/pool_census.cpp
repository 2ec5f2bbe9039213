#include "vanillahatch/core/pool_census.h"

#include <algorithm>
#include <tuple>

namespace vanillahatch {

PoolCensus::PoolCensus(const FleetView& aView, Millis aProbation, Millis aNow)
  : view_(aView)
  , probation_(aProbation)
  , now_(aNow)
  , counts_(aView.pools_.size())
{
  for (const InstanceView& instance : view_.instances_) {
    PoolCount& count = counts_[At(instance.pool_)];
    const bool isJoining = instance.state_ == InstanceState::kJoining;
    const bool isServing = instance.state_ == InstanceState::kServing;
    const bool isTaken = instance.state_ == InstanceState::kDraining ||
                         instance.state_ == InstanceState::kMaintenance;
    count.joining_ += isJoining ? 1 : 0;
    const bool isLeaving = isTaken && instance.purpose_ == Purpose::kMove;
    count.members_ += isJoining || isLeaving ? 0 : 1;
    count.serving_ += isServing ? 1 : 0;
    count.onProbation_ += isServing && !IsOutOfProbation(instance) ? 1 : 0;
    count.unavailable_ += IsUnavailable(instance.state_) && !isLeaving ? 1 : 0;
    if (isLeaving) {
      ++counts_[At(instance.target_)].incoming_;
    } else if (isTaken) {
      ++count.maintained_;
    }
  }
  CountByRack();
}

void PoolCensus::CountByRack()
{
  rackCounts_.reserve(view_.instances_.size());
  for (const InstanceView& instance : view_.instances_) {
    rackCounts_.push_back(
      { .pool_ = instance.pool_,
        .rack_ = instance.rack_,
        .dataCentre_ = instance.dataCentre_,
        .serving_ = instance.state_ == InstanceState::kServing ? 1U : 0U });
  }
  const auto key = [](const RackCount& aCount) {
    return std::tie(aCount.pool_, aCount.rack_);
  };
  std::sort(rackCounts_.begin(),
            rackCounts_.end(),
            [&](const auto& aL, const auto& aR) { return key(aL) < key(aR); });
  size_t kept = 0;
  for (size_t i = 0; i < rackCounts_.size(); ++i) {
    if (kept > 0 && key(rackCounts_[kept - 1]) == key(rackCounts_[i])) {
      rackCounts_[kept - 1].serving_ += rackCounts_[i].serving_;
    } else {
      rackCounts_[kept++] = rackCounts_[i];
    }
  }
  rackCounts_.resize(kept);
  firstRackCounts_.assign(view_.pools_.size() + 1, 0);
  for (const RackCount& rackCount : rackCounts_) {
    ++firstRackCounts_[At(rackCount.pool_) + 1];
  }
  for (size_t i = 1; i < firstRackCounts_.size(); ++i) {
    firstRackCounts_[i] += firstRackCounts_[i - 1];
  }
}

bool PoolCensus::IsOutOfProbation(const InstanceView& aInstance) const
{
  return now_ - aInstance.repairedAt_ >= probation_;
}

std::optional<Obstacle> PoolCensus::ObstacleTo(InstanceIndex aInstance,
                                               Purpose aPurpose) const
{
  const InstanceView& instance = view_.instances_[At(aInstance)];
  const PoolCount& count = counts_[At(instance.pool_)];
  const PoolContract& contract = view_.pools_[At(instance.pool_)].contract_;
  if (!IsOutOfProbation(instance)) {
    return Obstacle::kProbation;
  }
  // Instances on probation may fail again, so they count as unavailable.
  const bool isMove = aPurpose == Purpose::kMove;
  const uint32_t unavailable =
    count.unavailable_ + count.onProbation_ + (isMove ? 0 : 1);
  const uint32_t poolSize = count.members_ - (isMove ? 1 : 0);
  if (unavailable > contract.budget_.Allowed(poolSize)) {
    return Obstacle::kBudget;
  }
  if (count.OutOfProbation() < contract.floor_ + 1) {
    return Obstacle::kFloor;
  }
  if (BreaksSpread(instance)) {
    return Obstacle::kSpread;
  }
  return std::nullopt;
}

bool PoolCensus::BreaksSpread(const InstanceView& aInstance) const
{
  const PoolContract& contract = view_.pools_[At(aInstance.pool_)].contract_;
  if (contract.rackSpread_ == 0 && contract.dataCentreSpread_ == 0) {
    return false;
  }
  uint32_t racks = 0;
  std::vector<bool> dataCentres(view_.dataCentreCount_);
  for (uint32_t i = firstRackCounts_[At(aInstance.pool_)];
       i < firstRackCounts_[At(aInstance.pool_) + 1];
       ++i) {
    const RackCount& rackCount = rackCounts_[i];
    const uint32_t leaving = rackCount.rack_ == aInstance.rack_ ? 1 : 0;
    if (rackCount.serving_ > leaving) {
      ++racks;
      dataCentres[At(rackCount.dataCentre_)] = true;
    }
  }
  const auto spread = std::count(dataCentres.begin(), dataCentres.end(), true);
  return racks < contract.rackSpread_ || spread < contract.dataCentreSpread_;
}

PoolCensus::RackCount* PoolCensus::FindRackCount(const InstanceView& aInstance)
{
  return const_cast<RackCount*>(
    std::as_const(*this).FindRackCount(aInstance.pool_, aInstance.rack_));
}

const PoolCensus::RackCount* PoolCensus::FindRackCount(PoolIndex aPool,
                                                       RackIndex aRack) const
{
  const auto first = rackCounts_.begin() + firstRackCounts_[At(aPool)];
  const auto last = rackCounts_.begin() + firstRackCounts_[At(aPool) + 1];
  const auto it = std::lower_bound(
    first, last, aRack, [](const RackCount& aCount, RackIndex aR) {
      return aCount.rack_ < aR;
    });
  return it != last && it->rack_ == aRack ? &*it : nullptr;
}

void PoolCensus::CountDrain(InstanceIndex aInstance,
                            Purpose aPurpose,
                            PoolIndex aTarget)
{
  const InstanceView& instance = view_.instances_[At(aInstance)];
  PoolCount& count = counts_[At(instance.pool_)];
  --count.serving_;
  --FindRackCount(instance)->serving_;
  if (aPurpose == Purpose::kMove) {
    --count.members_;
    ++counts_[At(aTarget)].incoming_;
  } else {
    ++count.unavailable_;
    ++count.maintained_;
  }
}

uint32_t PoolCensus::LargestLoss(std::span<const uint32_t> aNeeded) const
{
  std::vector<uint32_t> lost(view_.rackCount_);
  for (const RackCount& rackCount : rackCounts_) {
    const uint32_t serving = counts_[At(rackCount.pool_)].serving_;
    const uint32_t needed = aNeeded[At(rackCount.pool_)];
    const uint32_t surplus = serving > needed ? serving - needed : 0;
    if (rackCount.serving_ > surplus) {
      lost[At(rackCount.rack_)] += rackCount.serving_ - surplus;
    }
  }
  const auto worst = std::max_element(lost.begin(), lost.end());
  return worst != lost.end() ? *worst : 0;
}

} // namespace vanillahatch
