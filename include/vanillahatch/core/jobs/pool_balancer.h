// Decides which machines move to another pool, so that capacity follows demand.
//
// Designed for demand peaks that reach one service after the other, so that one
// pool lacks capacity while the others are idle. Idle machines of pools with a
// surplus, and of the spare pool, move to the pool with the largest shortage;
// machines that no pool needs move to the spare pool. A machine with running
// work is never moved.
//
// When the demand of a pool falls, its work remains spread over many machines.
// The least used ones are closed to new work, so that they become idle soon.
//
// A pure function from the state of the pools to moves. Two measures prevent
// machines from moving back and forth: a margin between the levels at which a
// pool receives and releases machines, and a minimum idle time before a move.
#pragma once

#include "vanillahatch/core/clock.h"

#include <span>
#include <string>
#include <vector>

namespace vanillahatch {

struct IdleMachine
{
  std::string machine_;
  Millis idleFor_; // time since its last work
  double cores_ = 0;
};

// A machine whose work ends by itself.
struct BusyMachine
{
  std::string machine_;
  double cores_ = 0;
  double usedCores_ = 0;
};

// Capacity and demand of the pool of one service.
struct PoolLoad
{
  std::string service_;
  bool isSpare_ = false;        // its machines are off until they are moved
  double capacity_ = 0;         // cores, including machines that are joining
  double longRunningCores_ = 0; // cores occupied by long-running tasks
  // Cores that all other tasks could use at present, and the forecast for the
  // time at which a machine moved at present would join.
  double demandCores_ = 0;
  double forecastCores_ = 0;
  size_t machineCount_ = 0; // including machines that are joining
  std::vector<IdleMachine> idle_;
  std::vector<BusyMachine> busy_;
};

struct PoolBalancerOptions
{
  // Cores kept beyond the demand, for the start of a demand peak.
  double bufferCores_ = 24;
  // Additional capacity, as a fraction of the forecast demand.
  double forecastHeadroom_ = 0.15;
  // Cores that a pool must have beyond its target after a machine moves to the
  // spare pool.
  double spareMarginCores_ = 16;
  // Minimum idle time before a move to the spare pool, and before any other.
  Millis minIdleForSpare_ = Millis(1500);
  Millis minIdleForMove_ = Millis(300);
  size_t minMachines_ = 2; // kept by each pool that is not spare
  size_t maxMoves_ = 16;   // per decision
};

struct PoolMove
{
  std::string machine_;
  std::string fromPool_;
  std::string toPool_;
};

struct PoolDecision
{
  std::vector<PoolMove> moves_;
  std::vector<std::string> closedMachines_; // machines that get no new work
};

PoolDecision BalancePools(std::span<const PoolLoad> aPools,
                          const PoolBalancerOptions& aOptions);

} // namespace vanillahatch
