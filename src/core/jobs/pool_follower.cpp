#include "vanillahatch/core/jobs/pool_follower.h"

#include <algorithm>

namespace vanillahatch {

namespace {

struct Balance
{
  const PoolLoad* pool_ = nullptr;
  double capacity_ = 0;
  size_t machines_ = 0;
  std::vector<IdleMachine> idle_; // the longest idle last

  double Need(const PoolFollowerOptions& aOptions) const
  {
    const double work =
      std::max(pool_->wanted_, pool_->expected_ * (1 + aOptions.headroom_));
    return pool_->lasting_ + work + aOptions.buffer_;
  }
  double Shortage(const PoolFollowerOptions& aOptions) const
  {
    return pool_->isSpare_ ? 0 : Need(aOptions) - capacity_;
  }
  // True if its longest idle machine may go to a pool that is short.
  bool CanGive(const PoolFollowerOptions& aOptions) const
  {
    if (idle_.empty()) {
      return false;
    }
    if (pool_->isSpare_) {
      return true;
    }
    const double left = capacity_ - idle_.back().cores_;
    return idle_.back().idleFor_ >= aOptions.giveAfter_ &&
           machines_ > aOptions.leastMachines_ && left >= Need(aOptions);
  }
  bool CanRest(const PoolFollowerOptions& aOptions) const
  {
    return !pool_->isSpare_ && CanGive(aOptions) &&
           idle_.back().idleFor_ >= aOptions.restAfter_ &&
           capacity_ - idle_.back().cores_ >=
             Need(aOptions) + aOptions.giveMargin_;
  }
  IdleMachine Take()
  {
    IdleMachine machine = std::move(idle_.back());
    idle_.pop_back();
    capacity_ -= machine.cores_;
    --machines_;
    return machine;
  }
};

// Machines that are up cost nothing to keep, so they go before those at rest.
Balance* ChooseGiver(std::vector<Balance>& aPools,
                     const Balance& aTaker,
                     const PoolFollowerOptions& aOptions)
{
  Balance* best = nullptr;
  for (Balance& pool : aPools) {
    if (&pool == &aTaker || !pool.CanGive(aOptions)) {
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

void Give(Balance& aGiver, Balance& aTaker, std::vector<PoolMove>& aMoves)
{
  const IdleMachine machine = aGiver.Take();
  aTaker.capacity_ += machine.cores_;
  ++aTaker.machines_;
  aMoves.push_back({ .machine_ = machine.machine_,
                     .fromPool_ = aGiver.pool_->service_,
                     .toPool_ = aTaker.pool_->service_ });
}

// What a pool does not need any more gets no new work, the least used first.
void Close(const Balance& aPool,
           const PoolFollowerOptions& aOptions,
           std::vector<std::string>& aClosed)
{
  double surplus = aPool.capacity_ - aPool.Need(aOptions);
  for (const IdleMachine& machine : aPool.idle_) {
    surplus -= machine.cores_; // It will be given first.
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

PoolDecision FollowDemand(std::span<const PoolLoad> aPools,
                          const PoolFollowerOptions& aOptions)
{
  std::vector<Balance> pools;
  for (const PoolLoad& pool : aPools) {
    Balance& balance =
      pools.emplace_back(Balance{ .pool_ = &pool,
                                  .capacity_ = pool.capacity_,
                                  .machines_ = pool.machineCount_,
                                  .idle_ = pool.idle_ });
    std::sort(balance.idle_.begin(),
              balance.idle_.end(),
              [](const IdleMachine& aLeft, const IdleMachine& aRight) {
                return aLeft.idleFor_ < aRight.idleFor_;
              });
  }
  PoolDecision decision;
  std::vector<PoolMove>& moves = decision.moves_;
  while (moves.size() < aOptions.mostMoves_) {
    const auto taker = std::max_element(
      pools.begin(), pools.end(), [&](const auto& aLeft, const auto& aRight) {
        return aLeft.Shortage(aOptions) < aRight.Shortage(aOptions);
      });
    if (taker == pools.end() || taker->Shortage(aOptions) <= 0) {
      break;
    }
    Balance* giver = ChooseGiver(pools, *taker, aOptions);
    if (giver == nullptr) {
      break;
    }
    Give(*giver, *taker, moves);
  }
  const auto spare =
    std::find_if(pools.begin(), pools.end(), [](const Balance& aPool) {
      return aPool.pool_->isSpare_;
    });
  for (Balance& pool : pools) {
    while (spare != pools.end() && moves.size() < aOptions.mostMoves_ &&
           pool.CanRest(aOptions)) {
      Give(pool, *spare, moves);
    }
  }
  for (const Balance& pool : pools) {
    Close(pool, aOptions, decision.closed_);
  }
  return decision;
}

} // namespace vanillahatch
