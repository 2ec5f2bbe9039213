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
    count.unsettled_ += isServing && !IsSettled(instance) ? 1 : 0;
    count.unavailable_ += IsUnavailable(instance.state_) && !isLeaving ? 1 : 0;
    if (isLeaving) {
      ++counts_[At(instance.target_)].incoming_;
    } else if (isTaken) {
      ++count.maintained_;
    }
  }
  CountPlaces();
}

void PoolCensus::CountPlaces()
{
  places_.reserve(view_.instances_.size());
  for (const InstanceView& instance : view_.instances_) {
    places_.push_back(
      { .pool_ = instance.pool_,
        .rack_ = instance.rack_,
        .dataCentre_ = instance.dataCentre_,
        .serving_ = instance.state_ == InstanceState::kServing ? 1U : 0U });
  }
  const auto key = [](const Place& aPlace) {
    return std::tie(aPlace.pool_, aPlace.rack_);
  };
  std::sort(places_.begin(),
            places_.end(),
            [&](const auto& aL, const auto& aR) { return key(aL) < key(aR); });
  size_t kept = 0;
  for (size_t i = 0; i < places_.size(); ++i) {
    if (kept > 0 && key(places_[kept - 1]) == key(places_[i])) {
      places_[kept - 1].serving_ += places_[i].serving_;
    } else {
      places_[kept++] = places_[i];
    }
  }
  places_.resize(kept);
  firstPlaces_.assign(view_.pools_.size() + 1, 0);
  for (const Place& place : places_) {
    ++firstPlaces_[At(place.pool_) + 1];
  }
  for (size_t i = 1; i < firstPlaces_.size(); ++i) {
    firstPlaces_[i] += firstPlaces_[i - 1];
  }
}

bool PoolCensus::IsSettled(const InstanceView& aInstance) const
{
  return now_ - aInstance.repairedAt_ >= probation_;
}

std::optional<Obstacle> PoolCensus::ObstacleTo(InstanceIndex aInstance,
                                               Purpose aPurpose) const
{
  const InstanceView& instance = view_.instances_[At(aInstance)];
  const PoolCount& count = counts_[At(instance.pool_)];
  const PoolContract& contract = view_.pools_[At(instance.pool_)].contract_;
  if (!IsSettled(instance)) {
    return Obstacle::kProbation;
  }
  // Members on probation may go again, so they count as unavailable.
  const bool isMove = aPurpose == Purpose::kMove;
  const uint32_t unavailable =
    count.unavailable_ + count.unsettled_ + (isMove ? 0 : 1);
  const uint32_t members = count.members_ - (isMove ? 1 : 0);
  if (unavailable > contract.budget_.Allowed(members)) {
    return Obstacle::kBudget;
  }
  if (count.Settled() < contract.floor_ + 1) {
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
  for (uint32_t i = firstPlaces_[At(aInstance.pool_)];
       i < firstPlaces_[At(aInstance.pool_) + 1];
       ++i) {
    const Place& place = places_[i];
    const uint32_t taken = place.rack_ == aInstance.rack_ ? 1 : 0;
    if (place.serving_ > taken) {
      ++racks;
      dataCentres[At(place.dataCentre_)] = true;
    }
  }
  const auto spread = std::count(dataCentres.begin(), dataCentres.end(), true);
  return racks < contract.rackSpread_ || spread < contract.dataCentreSpread_;
}

PoolCensus::Place* PoolCensus::FindPlace(const InstanceView& aInstance)
{
  return const_cast<Place*>(
    std::as_const(*this).FindPlace(aInstance.pool_, aInstance.rack_));
}

const PoolCensus::Place* PoolCensus::FindPlace(PoolIndex aPool,
                                               RackIndex aRack) const
{
  const auto first = places_.begin() + firstPlaces_[At(aPool)];
  const auto last = places_.begin() + firstPlaces_[At(aPool) + 1];
  const auto it =
    std::lower_bound(first, last, aRack, [](const Place& aPlace, RackIndex aR) {
      return aPlace.rack_ < aR;
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
  --FindPlace(instance)->serving_;
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
  for (const Place& place : places_) {
    const uint32_t serving = counts_[At(place.pool_)].serving_;
    const uint32_t needed = aNeeded[At(place.pool_)];
    const uint32_t surplus = serving > needed ? serving - needed : 0;
    if (place.serving_ > surplus) {
      lost[At(place.rack_)] += place.serving_ - surplus;
    }
  }
  const auto worst = std::max_element(lost.begin(), lost.end());
  return worst != lost.end() ? *worst : 0;
}

} // namespace vanillahatch
