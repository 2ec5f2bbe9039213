// Random schedules of the control log. By hand, longer and with a seed:
//   build/control_log_random_test -- SEED STEPS
#define BOOST_TEST_MODULE control_log_random
#include "log_cluster.h"

#include <algorithm>
#include <cstdlib>

using namespace vanillahatch;

namespace {

// One replica at a time is without its disk: the next disk is lost only once
// the last repair is committed, as the deployment promises.
class Schedule
{
public:
  Schedule(size_t aReplicas, uint64_t aSeed, const ControlLogOptions& aCommon)
    : cluster_(aReplicas, aSeed, aCommon)
    , random_(aSeed)
  {
    cluster_.StartAll();
    cluster_.WaitForLeader();
  }

  void Step()
  {
    const uint64_t dice = random_() % 10000;
    if (dice < 8000) {
      DeliverSome();
    } else if (dice < 9000) {
      cluster_.Pass(Millis(static_cast<int64_t>(random_() % 60)));
      cluster_.TickAll();
    } else if (dice < 9500) {
      cluster_.Propose(Any(), "p" + std::to_string(++proposals_));
    } else if (dice < 9700) {
      DropOrRepeat();
    } else if (dice < 9730) {
      CrashOne();
    } else if (dice < 9870) {
      StartOne();
    } else if (dice < 9885) {
      cluster_.Cut(Any(), Any());
    } else if (dice < 9915) {
      cluster_.Heal();
      cluster_.ReleaseFrozen();
    } else if (dice < 9920) {
      cluster_.Freeze(Any(), Seconds(static_cast<int64_t>(random_() % 30)));
    } else if (dice < 9940) {
      CompactOne();
    } else {
      LoseOne();
    }
  }

  void Settle()
  {
    cluster_.Heal();
    cluster_.ReleaseFrozen();
    cluster_.Pass(Seconds(31));
    for (const std::string& name : cluster_.Names()) {
      cluster_.CrashAfterSteps(name, -1);
      if (!cluster_.At(name).IsUp()) {
        cluster_.Start(name);
      }
    }
    BOOST_TEST(cluster_.RunUntil([&] { return cluster_.AllMembersEqual(); },
                                 Seconds(60)),
               "the replicas do not settle" << cluster_.Describe());
  }

  const LogCluster& Cluster() const { return cluster_; }
  size_t LostDisks() const { return lost_; }

private:
  const std::string& Any()
  {
    return cluster_.Names()[random_() % cluster_.Names().size()];
  }

  void DeliverSome()
  {
    if (!cluster_.Pending().empty()) {
      // Any of those under way: late and out of order.
      cluster_.Deliver(random_() % cluster_.Pending().size());
    }
  }

  void DropOrRepeat()
  {
    if (cluster_.Pending().empty()) {
      return;
    }
    const size_t at = random_() % cluster_.Pending().size();
    if (random_() % 2 == 0) {
      cluster_.Drop(at);
    } else {
      cluster_.Deliver(at, true);
    }
  }

  void CrashOne()
  {
    const std::string& name = Any();
    if (cluster_.At(name).IsUp()) {
      cluster_.CrashAfterSteps(name, static_cast<int>(random_() % 12));
    }
  }

  void StartOne()
  {
    const std::string& name = Any();
    if (!cluster_.At(name).IsUp()) {
      cluster_.Start(name);
    }
  }

  void CompactOne()
  {
    Replica& replica = cluster_.At(Any());
    if (replica.IsUp()) {
      replica.log_->Compact(replica.state_);
      cluster_.Tick(replica.name_);
    }
  }

  // The replacement of the last wiped replica is known to be committed by
  // every replica but the next victim, so the victim's knowledge is not needed.
  bool IsRepaired(const std::string& aVictim)
  {
    if (lastLost_.empty()) {
      return true;
    }
    if (!cluster_.At(lastLost_).IsUp()) {
      return false;
    }
    const v1::LogMember& repaired = cluster_.Log(lastLost_).Self();
    const auto& names = cluster_.Names();
    return std::all_of(
      names.begin(), names.end(), [&](const std::string& aName) {
        if (aName == aVictim) {
          return true;
        }
        if (!cluster_.At(aName).IsUp()) {
          return false;
        }
        const ControlLog& log = cluster_.Log(aName);
        const LogHistory::Configuration& latest = log.History().Latest();
        return Contains(latest.config_, repaired) &&
               log.CommitIndex() >= latest.index_;
      });
  }

  void LoseOne()
  {
    const std::string& name = Any();
    if (IsRepaired(name)) {
      cluster_.LoseDisk(name);
      lastLost_ = name;
      ++lost_;
    }
  }

  LogCluster cluster_;
  std::mt19937_64 random_;
  uint64_t proposals_ = 0;
  std::string lastLost_;
  size_t lost_ = 0;
};

// As the scheduler's replicas run it: fewer and larger messages.
const ControlLogOptions kBatched = { .timing_ = { .appendGap_ = Millis(15) },
                                     .tellCommitAtOnce_ = false };

void RunSchedule(size_t aReplicas,
                 uint64_t aSeed,
                 size_t aSteps,
                 const ControlLogOptions& aCommon = {})
{
  BOOST_TEST_CONTEXT("seed " << aSeed << ", replicas " << aReplicas)
  {
    Schedule schedule(aReplicas, aSeed, aCommon);
    for (size_t step = 0; step < aSteps; ++step) {
      schedule.Step();
    }
    schedule.Settle();
    BOOST_TEST_MESSAGE("seed "
                       << aSeed << " replicas " << aReplicas << " committed "
                       << schedule.Cluster().Committed() << " terms "
                       << schedule.Cluster().Elections() << " disks lost "
                       << schedule.LostDisks());
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(PromisesHoldUnderRandomSchedules)
{
  const auto& suite = boost::unit_test::framework::master_test_suite();
  if (suite.argc > 2) {
    RunSchedule(3,
                std::strtoull(suite.argv[1], nullptr, 10),
                std::strtoull(suite.argv[2], nullptr, 10));
    return;
  }
  for (uint64_t seed = 1; seed <= 24; ++seed) {
    RunSchedule(seed % 3 == 0 ? 5 : 3, seed, 20000);
    RunSchedule(seed % 3 == 0 ? 5 : 3, seed, 20000, kBatched);
  }
  RunSchedule(3, 1194, 50000);
}
