// Which machines change their pool, so that capacity follows the demand.
//
// Load that it answers: turns in which one service after the other needs more
// than its pool holds while the others idle. Idle machines of pools that rest,
// and of the spare pool, go to the pool that is short; what no pool needs goes
// to rest. A machine that carries anything is never moved.
//
// A pool that ebbs keeps its work spread over many machines; those with the
// least work are closed to new work, so that they can go soon.
//
// A pure decision: the state of the pools in, moves out. Moving back and forth
// is kept down by a margin between the level at which a pool takes machines
// and the one at which it gives them, and by the time that a machine has to be
// idle first.
#pragma once

#include "vanillahatch/core/clock.h"

#include <span>
#include <string>
#include <vector>

namespace vanillahatch {

struct IdleMachine
{
  std::string machine_;
  Millis idleFor_; // since the last work on it
  double cores_ = 0;
};

// Carries work that ends by itself.
struct BusyMachine
{
  std::string machine_;
  double cores_ = 0;
  double usedCores_ = 0;
};

struct PoolLoad
{
  std::string service_;
  bool isSpare_ = false; // its machines are off until they are moved
  double capacity_ = 0;  // cores up, and on their way here
  double lasting_ = 0;   // cores taken by tasks that last
  // Cores that could be kept busy now, and those expected by the time that a
  // machine could join; without the lasting ones.
  double wanted_ = 0;
  double expected_ = 0;
  size_t machineCount_ = 0; // up, and on their way here
  std::vector<IdleMachine> idle_;
  std::vector<BusyMachine> busy_;
};

struct PoolFollowerOptions
{
  // Cores kept beyond what is wanted, for the beginning of a turn.
  double buffer_ = 24;
  // Share of the expected work that is kept in addition.
  double headroom_ = 0.15;
  // A pool gives a machine only if it keeps this much more.
  double giveMargin_ = 16;
  Millis restAfter_ = Millis(1500); // idle, before a machine goes to rest
  Millis giveAfter_ = Millis(300);  // idle, before another pool gets it
  size_t leastMachines_ = 2;        // of a pool that is not spare
  size_t mostMoves_ = 16;           // of one decision
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
  std::vector<std::string> closed_; // machines that get no new work for now
};

PoolDecision FollowDemand(std::span<const PoolLoad> aPools,
                          const PoolFollowerOptions& aOptions);

} // namespace vanillahatch
