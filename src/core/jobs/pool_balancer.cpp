#include "vanillahatch/core/jobs/pool_balancer.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// A pool during the decision, with the effect of the moves chosen so far.
struct PoolState
{
  const PoolLoad* pool_ = nullptr;
  double capacity_ = 0;
  size_t machines_ = 0;
  std::vector<IdleMachine> idle_; // by idle time, longest last

  // Target capacity in cores.
  double TargetCores(const PoolBalancerOptions& aOptions) const
  {
    const double work =
      std::max(pool_->demandCores_,
               pool_->forecastCores_ * (1 + aOptions.forecastHeadroom_));
    return pool_->longRunningCores_ + work + aOptions.bufferCores_;
  }
  // Cores by which the capacity is below the target; negative for a surplus.
  double Shortage(const PoolBalancerOptions& aOptions) const
  {
    return pool_->isSpare_ ? 0 : TargetCores(aOptions) - capacity_;
  }
  // True if its longest idle machine may move to a pool with a shortage.
  bool CanRelease(const PoolBalancerOptions& aOptions) const
  {
    if (idle_.empty()) {
      return false;
    }
    if (pool_->isSpare_) {
      return true;
    }
    const double left = capacity_ - idle_.back().cores_;
    return idle_.back().idleFor_ >= aOptions.minIdleForMove_ &&
           machines_ > aOptions.minMachines_ && left >= TargetCores(aOptions);
  }
  // True if its longest idle machine may move to the spare pool.
  bool CanReleaseToSpare(const PoolBalancerOptions& aOptions) const
  {
    return !pool_->isSpare_ && CanRelease(aOptions) &&
           idle_.back().idleFor_ >= aOptions.minIdleForSpare_ &&
           capacity_ - idle_.back().cores_ >=
             TargetCores(aOptions) + aOptions.spareMarginCores_;
  }
  IdleMachine ReleaseMachine()
  {
    IdleMachine machine = std::move(idle_.back());
    idle_.pop_back();
    capacity_ -= machine.cores_;
    --machines_;
    return machine;
  }
};

// Prefers machines that are up, which have no further cost, to spare ones;
// among pools of the same kind, the one with the largest surplus.
PoolState* ChooseSource(std::vector<PoolState>& aPools,
                        const PoolState& aDestination,
                        const PoolBalancerOptions& aOptions)
{
  PoolState* best = nullptr;
  for (PoolState& pool : aPools) {
    if (&pool == &aDestination || !pool.CanRelease(aOptions)) {
      continue;
    }
    const bool isBetter = best == nullptr ||
                          (best->pool_->isSpare_ && !pool.pool_->isSpare_) ||
                          (best->pool_->isSpare_ == pool.pool_->isSpare_ &&
                           pool.Shortage(aOptions) < best->Shortage(aOptions));
    if (isBetter) {
      best = &pool;
    }
  }
  return best;
}

void MoveMachine(PoolState& aSource,
                 PoolState& aDestination,
                 std::vector<PoolMove>& aMoves)
{
  const IdleMachine machine = aSource.ReleaseMachine();
  aDestination.capacity_ += machine.cores_;
  ++aDestination.machines_;
  aMoves.push_back({ .machine_ = machine.machine_,
                     .fromPool_ = aSource.pool_->service_,
                     .toPool_ = aDestination.pool_->service_ });
}

// Closes surplus machines of a pool to new work, the least used ones first.
void CloseSurplusMachines(const PoolState& aPool,
                          const PoolBalancerOptions& aOptions,
                          std::vector<std::string>& aClosed)
{
  double surplus = aPool.capacity_ - aPool.TargetCores(aOptions);
  for (const IdleMachine& machine : aPool.idle_) {
    surplus -= machine.cores_; // Idle machines leave the pool first.
  }
  std::vector<BusyMachine> busy = aPool.pool_->busy_;
  std::sort(busy.begin(),
            busy.end(),
            [](const BusyMachine& aLeft, const BusyMachine& aRight) {
              return aLeft.usedCores_ < aRight.usedCores_;
            });
  for (const BusyMachine& machine : busy) {
    surplus -= machine.cores_;
    if (surplus < 0 || aPool.pool_->isSpare_) {
      return;
    }
    aClosed.push_back(machine.machine_);
  }
}

} // namespace

PoolDecision BalancePools(std::span<const PoolLoad> aPools,
                          const PoolBalancerOptions& aOptions)
{
  std::vector<PoolState> pools;
  for (const PoolLoad& pool : aPools) {
    PoolState& state =
      pools.emplace_back(PoolState{ .pool_ = &pool,
                                    .capacity_ = pool.capacity_,
                                    .machines_ = pool.machineCount_,
                                    .idle_ = pool.idle_ });
    std::sort(state.idle_.begin(),
              state.idle_.end(),
              [](const IdleMachine& aLeft, const IdleMachine& aRight) {
                return aLeft.idleFor_ < aRight.idleFor_;
              });
  }
  PoolDecision decision;
  std::vector<PoolMove>& moves = decision.moves_;
  while (moves.size() < aOptions.maxMoves_) {
    const auto destination = std::max_element(
      pools.begin(), pools.end(), [&](const auto& aLeft, const auto& aRight) {
        return aLeft.Shortage(aOptions) < aRight.Shortage(aOptions);
      });
    if (destination == pools.end() || destination->Shortage(aOptions) <= 0) {
      break;
    }
    PoolState* source = ChooseSource(pools, *destination, aOptions);
    if (source == nullptr) {
      break;
    }
    MoveMachine(*source, *destination, moves);
  }
  const auto spare =
    std::find_if(pools.begin(), pools.end(), [](const PoolState& aPool) {
      return aPool.pool_->isSpare_;
    });
  for (PoolState& pool : pools) {
    while (spare != pools.end() && moves.size() < aOptions.maxMoves_ &&
           pool.CanReleaseToSpare(aOptions)) {
      MoveMachine(pool, *spare, moves);
    }
  }
  for (const PoolState& pool : pools) {
    CloseSurplusMachines(pool, aOptions, decision.closedMachines_);
  }
  return decision;
}

} // namespace vanillahatch
