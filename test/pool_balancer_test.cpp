#define BOOST_TEST_MODULE pool_balancer
#include "vanillahatch/core/jobs/pool_balancer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

constexpr double kCores = 16;

PoolLoad MakePool(const std::string& aName, size_t aMachines, size_t aIdle)
{
  PoolLoad pool{ .service_ = aName,
                 .capacity_ = kCores * static_cast<double>(aMachines),
                 .machineCount_ = aMachines };
  for (size_t i = 0; i < aIdle; ++i) {
    pool.idle_.push_back({ .machine_ = aName + std::to_string(i),
                           .idleFor_ = Seconds(10),
                           .cores_ = kCores });
  }
  return pool;
}

size_t MovesTo(const PoolDecision& aDecision, const std::string& aPool)
{
  return static_cast<size_t>(std::count_if(
    aDecision.moves_.begin(),
    aDecision.moves_.end(),
    [&](const PoolMove& aMove) { return aMove.toPool_ == aPool; }));
}

} // namespace

BOOST_AUTO_TEST_CASE(PoolsWithEnoughCapacityKeepTheirMachines)
{
  std::vector<PoolLoad> pools = { MakePool("a", 3, 0), MakePool("b", 3, 0) };
  pools[0].demandCores_ = 20;
  pools[1].demandCores_ = 20;
  const PoolDecision decision = BalancePools(pools, {});
  BOOST_TEST(decision.moves_.empty());
}

BOOST_AUTO_TEST_CASE(ShortageIsFilledFromIdlePoolsBeforeTheSparePool)
{
  std::vector<PoolLoad> pools = { MakePool("a", 2, 0),
                                  MakePool("b", 6, 6),
                                  MakePool("spare", 0, 8) };
  pools[2].isSpare_ = true;
  pools[0].demandCores_ = 60;
  const PoolDecision decision = BalancePools(pools, {});
  BOOST_TEST(MovesTo(decision, "a") == 4U); // 60 + 24 cores need 6 machines
  BOOST_TEST(decision.moves_[0].fromPool_ == "b");
}

BOOST_AUTO_TEST_CASE(ForecastDemandMovesMachinesInAdvance)
{
  std::vector<PoolLoad> pools = { MakePool("a", 2, 0),
                                  MakePool("spare", 0, 8) };
  pools[1].isSpare_ = true;
  pools[0].forecastCores_ = 100;
  BOOST_TEST(MovesTo(BalancePools(pools, {}), "a") > 4U);
}

BOOST_AUTO_TEST_CASE(MachinesThatNoPoolNeedsMoveToTheSparePool)
{
  std::vector<PoolLoad> pools = { MakePool("a", 8, 8),
                                  MakePool("spare", 0, 0) };
  pools[1].isSpare_ = true;
  const PoolDecision decision = BalancePools(pools, {});
  BOOST_TEST(MovesTo(decision, "spare") >= 4U);
  BOOST_TEST(MovesTo(decision, "spare") <= 6U); // `minMachines_` stay
}

BOOST_AUTO_TEST_CASE(RecentlyBusyMachineDoesNotMoveToTheSparePool)
{
  std::vector<PoolLoad> pools = { MakePool("a", 8, 8),
                                  MakePool("spare", 0, 0) };
  pools[1].isSpare_ = true;
  for (IdleMachine& machine : pools[0].idle_) {
    machine.idleFor_ = Millis(200);
  }
  BOOST_TEST(BalancePools(pools, {}).moves_.empty());
}

BOOST_AUTO_TEST_CASE(FallingDemandClosesTheLeastUsedMachines)
{
  std::vector<PoolLoad> pools = { MakePool("a", 10, 0) };
  pools[0].demandCores_ = 30;
  for (int i = 0; i < 10; ++i) {
    pools[0].busy_.push_back({ .machine_ = "a" + std::to_string(i),
                               .cores_ = kCores,
                               .usedCores_ = static_cast<double>(i) });
  }
  const PoolDecision decision = BalancePools(pools, {});
  // 30 + 24 cores fit into 4 of 10 machines.
  BOOST_TEST(decision.closedMachines_.size() == 6U);
  BOOST_TEST(decision.closedMachines_[0] == "a0");
}
