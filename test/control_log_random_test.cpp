// Random schedules of the control log. To run one schedule with a given seed
// and number of steps:
//   build/control_log_random_test -- SEED STEPS [REPLICAS]
#define BOOST_TEST_MODULE control_log_random
#include "log_cluster.h"

#include <algorithm>
#include <cstdlib>

using namespace vanillahatch;

namespace {

// Random sequence of deliveries, crashes, partitions and disk losses. At most
// one disk is lost at a time: the next one is lost only once the replacement of
// the last wiped replica is committed, which is the fault model of the
// deployment.
class Schedule
{
public:
  // `aJoining` further replicas join a cluster of `aReplicas`.
  Schedule(size_t aReplicas,
           size_t aJoining,
           uint64_t aSeed,
           const ControlLogOptions& aCommon)
    : cluster_(aReplicas, aSeed, aCommon)
    , random_(aSeed)
    , replicasMayLeave_(aJoining > 0)
  {
    cluster_.StartAll();
    cluster_.WaitForLeader();
    const std::vector<std::string> seeds = cluster_.Names();
    for (size_t i = 0; i < aJoining; ++i) {
      cluster_.Add(std::string("+") + std::to_string(i), seeds);
    }
  }

  void Step()
  {
    const uint64_t choice = random_() % 10000;
    if (choice < 8000) {
      DeliverSome();
    } else if (choice < 9000) {
      cluster_.AdvanceTime(Millis(static_cast<int64_t>(random_() % 60)));
      cluster_.TickAll();
    } else if (choice < 9500) {
      cluster_.Propose(AnyReplica(), "p" + std::to_string(++proposals_));
    } else if (choice < 9700) {
      DropOrDuplicate();
    } else if (choice < 9730) {
      CrashOne();
    } else if (choice < 9870) {
      StartOne();
    } else if (choice < 9885) {
      cluster_.CutLink(AnyReplica(), AnyReplica());
    } else if (choice < 9915) {
      cluster_.Heal();
      cluster_.QueueHeldMessages();
    } else if (choice < 9920) {
      cluster_.Suspend(AnyReplica(),
                       Seconds(static_cast<int64_t>(random_() % 30)));
    } else if (choice < 9940) {
      CompactOne();
    } else {
      LoseOneDisk();
    }
  }

  void Settle()
  {
    cluster_.Heal();
    cluster_.QueueHeldMessages();
    cluster_.AdvanceTime(Seconds(31));
    for (const std::string& name : cluster_.Names()) {
      cluster_.CrashAfterSteps(name, -1);
      if (cluster_.At(name).IsUp() && leaving_.contains(name)) {
        cluster_.Crash(name);
      }
      if (!cluster_.At(name).IsUp()) {
        cluster_.Start(name);
      }
    }
    BOOST_TEST(cluster_.RunUntil([&] { return HasSettled(); }, Seconds(60)),
               "the replicas do not settle" << cluster_.Describe());
  }

  const LogCluster& Cluster() const { return cluster_; }
  size_t LostDisks() const { return lostDisks_; }

private:
  bool HasSettled()
  {
    const auto& names = cluster_.Names();
    const auto members =
      std::count_if(names.begin(), names.end(), [&](const std::string& aName) {
        return cluster_.At(aName).IsUp() && cluster_.Log(aName).IsMember();
      });
    // Of an even number beyond four, one waits unless all were members before.
    const bool mayOneWait = names.size() % 2 == 0 && names.size() > 4;
    const size_t waiting = names.size() - static_cast<size_t>(members);
    return waiting <= (mayOneWait ? 1U : 0U) && cluster_.AllReplicasEqual();
  }

  const std::string& AnyReplica()
  {
    return cluster_.Names()[random_() % cluster_.Names().size()];
  }

  void DeliverSome()
  {
    if (!cluster_.Pending().empty()) {
      // A random pending message, so messages are late and out of order.
      cluster_.Deliver(random_() % cluster_.Pending().size());
    }
  }

  void DropOrDuplicate()
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
    const std::string& name = AnyReplica();
    if (cluster_.At(name).IsUp()) {
      if (replicasMayLeave_ && random_() % 2 == 0) {
        cluster_.Log(name).Leave(cluster_.Now());
        leaving_.insert(name);
      }
      cluster_.CrashAfterSteps(name, static_cast<int>(random_() % 12));
    }
  }

  void StartOne()
  {
    const std::string& name = AnyReplica();
    if (!cluster_.At(name).IsUp()) {
      cluster_.Start(name);
      leaving_.erase(name);
    }
  }

  void CompactOne()
  {
    Replica& replica = cluster_.At(AnyReplica());
    if (replica.IsUp()) {
      replica.log_->Compact(replica.state_);
      cluster_.Tick(replica.name_);
    }
  }

  // True if every replica except the next victim knows that the replacement of
  // the last wiped replica is committed, so that does not depend on the victim.
  bool IsRepaired(const std::string& aVictim)
  {
    if (lastWiped_.empty()) {
      return true;
    }
    if (!cluster_.At(lastWiped_).IsUp()) {
      return false;
    }
    const v1::LogMember& repaired = cluster_.Log(lastWiped_).Self();
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

  void LoseOneDisk()
  {
    const std::string& name = AnyReplica();
    if (IsRepaired(name)) {
      cluster_.LoseDisk(name);
      lastWiped_ = name;
      ++lostDisks_;
    }
  }

  LogCluster cluster_;
  std::mt19937_64 random_;
  uint64_t proposals_ = 0;
  std::string lastWiped_;
  size_t lostDisks_ = 0;
  const bool replicasMayLeave_;
  std::set<std::string> leaving_; // asked to leave, and have not stopped since
};

// The options of the scheduler's replicas: fewer and larger messages.
const ControlLogOptions kBatched = { .timing_ = { .appendGap_ = Millis(15) },
                                     .sendCommitImmediately_ = false };

const ControlLogOptions kOpen = { .openMembership_ = true,
                                  .timing_ = { .appendGap_ = Millis(15) },
                                  .sendCommitImmediately_ = false };

void RunSchedule(size_t aReplicas,
                 uint64_t aSeed,
                 size_t aSteps,
                 const ControlLogOptions& aCommon = {},
                 size_t aJoining = 0)
{
  BOOST_TEST_CONTEXT("seed " << aSeed << ", replicas " << aReplicas
                             << ", joining " << aJoining)
  {
    Schedule schedule(aReplicas, aJoining, aSeed, aCommon);
    for (size_t step = 0; step < aSteps; ++step) {
      schedule.Step();
    }
    schedule.Settle();
    BOOST_TEST_MESSAGE("seed "
                       << aSeed << " replicas " << aReplicas << " committed "
                       << schedule.Cluster().CommittedEntries() << " terms "
                       << schedule.Cluster().Terms() << " disks lost "
                       << schedule.LostDisks());
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(InvariantsHoldUnderRandomSchedules)
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

// Replicas join, replace others and leave. With an even number of them, half
// become a quorum once a lost disk is known.
BOOST_AUTO_TEST_CASE(InvariantsHoldUnderRandomSchedulesOfAnOpenCluster)
{
  const auto& suite = boost::unit_test::framework::master_test_suite();
  if (suite.argc > 2) {
    const size_t replicas =
      suite.argc > 3 ? std::strtoull(suite.argv[3], nullptr, 10) : 3;
    for (const size_t joining : { 1U, 2U }) {
      RunSchedule(replicas,
                  std::strtoull(suite.argv[1], nullptr, 10),
                  std::strtoull(suite.argv[2], nullptr, 10),
                  kOpen,
                  joining);
    }
    return;
  }
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    RunSchedule(3, seed, 20000, kOpen, 1 + seed % 2);
    RunSchedule(4 + seed % 3, seed, 20000, kOpen, 1 + seed % 2);
  }
  // A new member that lacks the entry which adds it is needed for an election.
  RunSchedule(3, 156, 20000, kOpen, 2);
}
