#define BOOST_TEST_MODULE claim_protocol
#include "claim_cluster.h"

#include <boost/test/data/test_case.hpp>

using namespace vanillahatch;
using namespace vanillahatch::testing;
namespace data = boost::unit_test::data;

BOOST_TEST_DONT_PRINT_LOG_VALUE(vanillahatch::ClaimOutcome)

namespace {

constexpr int kReplicas = 3;

} // namespace

BOOST_AUTO_TEST_CASE(FreeKeyIsGrantedInOneRoundTripAndOneSync)
{
  Cluster cluster;
  const uint64_t claim = cluster.Begin("k", "a");
  BOOST_TEST(cluster.Await(claim) == ClaimOutcome::kGranted);
  BOOST_TEST(cluster.now_.Count() == 2);
  for (const Replica& replica : cluster.replicas_) {
    BOOST_TEST(replica.store_.Syncs() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(ResendGetsTheRecordedAnswer)
{
  Cluster cluster;
  BOOST_TEST(cluster.Await(cluster.Begin("k", "a")) == ClaimOutcome::kGranted);
  cluster.Dispatch("k", "a");
  const uint64_t record = cluster.Begin("k", "a", ClaimOperation::kRecord);
  BOOST_TEST(cluster.Await(record) == ClaimOutcome::kRecorded);
  const uint64_t resend = cluster.Begin("k", "b");
  BOOST_TEST(cluster.Await(resend) == ClaimOutcome::kRecorded);
  BOOST_TEST(cluster.results_[resend].recorded_.body() == "answer for a");
}

BOOST_AUTO_TEST_CASE(ResendWaitsForTheRunningJob)
{
  Cluster cluster;
  BOOST_TEST(cluster.Await(cluster.Begin("k", "a")) == ClaimOutcome::kGranted);
  const uint64_t resend = cluster.Begin("k", "b");
  cluster.Run(Seconds(2));
  BOOST_TEST(!cluster.results_.contains(resend));
  cluster.Begin("k", "a", ClaimOperation::kRecord);
  BOOST_TEST(cluster.Await(resend) == ClaimOutcome::kRecorded);
}

BOOST_AUTO_TEST_CASE(ResendAfterTheClaimantDiedIsHeld)
{
  Cluster cluster;
  const uint64_t claim = cluster.Begin("k", "a");
  BOOST_TEST(cluster.Await(claim) == ClaimOutcome::kGranted);
  BOOST_TEST(cluster.Await(cluster.Begin("k", "b")) == ClaimOutcome::kHeld);
}

BOOST_AUTO_TEST_CASE(AbandonedKeyIsGrantedToTheNext)
{
  Cluster cluster;
  BOOST_TEST(cluster.Await(cluster.Begin("k", "a")) == ClaimOutcome::kGranted);
  const uint64_t abandon = cluster.Begin("k", "a", ClaimOperation::kAbandon);
  BOOST_TEST(cluster.Await(abandon) == ClaimOutcome::kAbandoned);
  BOOST_TEST(cluster.Await(cluster.Begin("k", "b")) == ClaimOutcome::kGranted);
}

BOOST_AUTO_TEST_CASE(UndecidedClaimThatIsAbandonedCannotBeCompletedLater)
{
  Cluster cluster;
  cluster.cut_ = { 1, 2 };
  const uint64_t claim = cluster.Begin("k", "a");
  BOOST_TEST(cluster.Await(claim) == ClaimOutcome::kUnavailable);
  cluster.cut_ = { 0 };
  const uint64_t abandon = cluster.Begin("k", "a", ClaimOperation::kAbandon);
  BOOST_TEST(cluster.Await(abandon) == ClaimOutcome::kAbandoned);
  cluster.cut_ = { 1 };
  BOOST_TEST(cluster.Await(cluster.Begin("k", "b")) == ClaimOutcome::kGranted);
}

BOOST_AUTO_TEST_CASE(AbandonByTheLoserOfARaceLeavesTheWinnerAlone)
{
  Cluster cluster;
  BOOST_TEST(cluster.Await(cluster.Begin("k", "a")) == ClaimOutcome::kGranted);
  const uint64_t late = cluster.Begin("k", "b", ClaimOperation::kAbandon);
  BOOST_TEST(cluster.Await(late) == ClaimOutcome::kAbandoned);
  BOOST_TEST(cluster.Await(cluster.Begin("k", "c")) == ClaimOutcome::kHeld);
}

BOOST_DATA_TEST_CASE(DeadReplicaDelaysAClaimByOneShortWait,
                     data::xrange(kReplicas),
                     dead)
{
  Cluster cluster;
  cluster.KillReplica(static_cast<size_t>(dead));
  const uint64_t claim = cluster.Begin("k", "a");
  BOOST_TEST(cluster.Await(claim) == ClaimOutcome::kGranted);
  BOOST_TEST(cluster.now_.Count() <= 60 + 4);
}

BOOST_AUTO_TEST_CASE(TwoClaimantsAtOnceNeverBothHoldTheKey)
{
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Cluster cluster(kReplicas, seed);
    cluster.maxDelayMs_ = 5;
    const uint64_t first = cluster.Begin("k", "a");
    const uint64_t second = cluster.Begin("k", "b");
    const bool firstWon = cluster.Await(first) == ClaimOutcome::kGranted;
    const bool secondWon = cluster.Await(second) == ClaimOutcome::kGranted;
    BOOST_REQUIRE_MESSAGE(firstWon != secondWon, "seed " << seed);
  }
}

// The claimant dies after `kill` milliseconds, which is between every two of
// its steps; messages on the way still arrive.
BOOST_DATA_TEST_CASE(KilledClaimantNeverLetsTwoRun, data::xrange(1, 12), kill)
{
  Cluster cluster(kReplicas, 7);
  cluster.cut_ = { 2 };
  cluster.maxDelayMs_ = 3;
  const uint64_t claim = cluster.Begin("k", "a");
  cluster.Run(Millis(kill * 6));
  const bool granted = cluster.results_.contains(claim);
  cluster.KillOperation(claim);
  cluster.cut_ = { 0 };
  const ClaimOutcome next = cluster.Await(cluster.Begin("k", "b"));
  BOOST_TEST(!(granted && next == ClaimOutcome::kGranted));
}

// A replica dies after `kill` milliseconds and comes back with what it synced.
BOOST_DATA_TEST_CASE(KilledReplicaComesBackWithItsVotes,
                     data::xrange(1, 10) * data::xrange(kReplicas),
                     kill,
                     victim)
{
  Cluster cluster(kReplicas, 11);
  cluster.maxDelayMs_ = 4;
  const uint64_t first = cluster.Begin("k", "a");
  cluster.Run(Millis(kill));
  cluster.KillReplica(static_cast<size_t>(victim));
  cluster.StartReplica(static_cast<size_t>(victim));
  BOOST_TEST(cluster.IsMember(static_cast<size_t>(victim)));
  const uint64_t second = cluster.Begin("k", "b");
  const bool firstWon = cluster.Await(first) == ClaimOutcome::kGranted;
  const bool secondWon = cluster.Await(second) == ClaimOutcome::kGranted;
  BOOST_TEST(firstWon != secondWon);
}

BOOST_AUTO_TEST_CASE(ClaimantFrozenAfterItsGrantCannotBeSuperseded)
{
  Cluster cluster;
  BOOST_TEST(cluster.Await(cluster.Begin("k", "a")) == ClaimOutcome::kGranted);
  cluster.Run(Seconds(100));
  BOOST_TEST(cluster.Await(cluster.Begin("k", "b")) == ClaimOutcome::kHeld);
  // It thaws and dispatches: it is still the only one that may.
  cluster.Dispatch("k", "a");
  const uint64_t record = cluster.Begin("k", "a", ClaimOperation::kRecord);
  BOOST_TEST(cluster.Await(record) == ClaimOutcome::kRecorded);
}

BOOST_AUTO_TEST_CASE(ClaimantFrozenBeforeItLearntOfItsGrantGivesTheKeyUp)
{
  Cluster cluster;
  const uint64_t claim =
    cluster.Begin("k", "a", ClaimOperation::kClaim, Seconds(10));
  cluster.Run(Millis(1)); // the votes are cast, no reply is taken in
  cluster.frozen_ = { claim };
  BOOST_TEST(cluster.Await(cluster.Begin("k", "b")) == ClaimOutcome::kHeld);
  cluster.Run(Seconds(30));
  cluster.frozen_.clear();
  BOOST_TEST(cluster.Await(claim) == ClaimOutcome::kUnavailable);
  const uint64_t abandon = cluster.Begin("k", "a", ClaimOperation::kAbandon);
  BOOST_TEST(cluster.Await(abandon) == ClaimOutcome::kAbandoned);
  BOOST_TEST(cluster.Await(cluster.Begin("k", "c")) == ClaimOutcome::kGranted);
}

BOOST_AUTO_TEST_CASE(ClaimantFrozenWithAnUndecidedClaimLosesTheKey)
{
  Cluster cluster;
  cluster.cut_ = { 1, 2 };
  const uint64_t claim =
    cluster.Begin("k", "a", ClaimOperation::kClaim, Seconds(10));
  cluster.Run(Millis(2));
  cluster.frozen_ = { claim };
  cluster.cut_ = { 0 };
  BOOST_TEST(cluster.Await(cluster.Begin("k", "b")) == ClaimOutcome::kGranted);
  cluster.cut_.clear();
  cluster.frozen_.clear();
  BOOST_TEST(cluster.Await(claim) == ClaimOutcome::kHeld);
}

BOOST_AUTO_TEST_CASE(LostDiskForgetsNoClaimEvenIfASecondIsLostAfterTheRepair)
{
  Cluster cluster;
  BOOST_TEST(cluster.Await(cluster.Begin("k", "a")) == ClaimOutcome::kGranted);
  for (size_t victim = 0; victim < kReplicas; ++victim) {
    cluster.LoseDisk(victim);
    BOOST_TEST(!cluster.IsMember(victim));
    cluster.Run(Seconds(2));
    BOOST_TEST(cluster.IsMember(victim));
  }
  BOOST_TEST(cluster.Await(cluster.Begin("k", "b")) == ClaimOutcome::kHeld);
}

BOOST_AUTO_TEST_CASE(TwoLostDisksAtOnceStopTheLedgerInsteadOfForgetting)
{
  Cluster cluster;
  BOOST_TEST(cluster.Await(cluster.Begin("k", "a")) == ClaimOutcome::kGranted);
  cluster.LoseDisk(0);
  cluster.LoseDisk(1);
  cluster.Run(Seconds(30));
  BOOST_TEST(!cluster.IsMember(0));
  BOOST_TEST(!cluster.IsMember(1));
  BOOST_TEST(cluster.Await(cluster.Begin("k", "b")) ==
             ClaimOutcome::kUnavailable);
}

BOOST_AUTO_TEST_CASE(FiveReplicasSurviveTwoLostDisksAtOnce)
{
  Cluster cluster(5);
  BOOST_TEST(cluster.Await(cluster.Begin("k", "a")) == ClaimOutcome::kGranted);
  cluster.LoseDisk(0);
  cluster.LoseDisk(3);
  cluster.Run(Seconds(3));
  BOOST_TEST(cluster.IsMember(0));
  BOOST_TEST(cluster.IsMember(3));
  BOOST_TEST(cluster.Await(cluster.Begin("k", "b")) == ClaimOutcome::kHeld);
}

BOOST_AUTO_TEST_CASE(VoteFromBeforeALostDiskDoesNotCountBesideOneFromAfter)
{
  // The claimant has replica 0's vote; the disk is lost and repaired before
  // the other votes are cast. The old vote must not complete the quorum.
  ClaimProposer proposer({ .key_ = "k",
                           .claimant_ = "a",
                           .replicas_ = 3,
                           .deadline_ = Seconds(9),
                           .skipFast_ = true });
  const std::vector<SendVote> sends = proposer.Start(Millis(0));
  v1::VoteReply before;
  before.set_status(v1::VOTE_GRANTED);
  for (const uint64_t identity : { 1, 1, 1 }) {
    before.add_identities(identity);
  }
  v1::VoteReply after = before;
  after.set_identities(0, 2);
  BOOST_TEST(proposer.OnReply(0, sends[0].serial_, before, Millis(1)).empty());
  BOOST_TEST(proposer.OnReply(1, sends[1].serial_, after, Millis(2)).empty());
  BOOST_TEST(!proposer.OnReply(2, sends[2].serial_, after, Millis(3)).empty());
}

BOOST_DATA_TEST_CASE(RandomScheduleRunsNoJobTwice, data::xrange(1, 13), seed)
{
  Cluster cluster(seed % 4 == 0 ? 5 : 3, static_cast<uint64_t>(seed));
  cluster.maxDelayMs_ = 20;
  cluster.lossShare_ = 0.05;
  cluster.repeatShare_ = 0.1;
  const auto dice = [&](int aSides) {
    return static_cast<int>(cluster.random_() % static_cast<uint64_t>(aSides));
  };
  size_t granted = 0;
  size_t recorded = 0;
  cluster.onResult_ = [&](uint64_t aId) {
    const Operation operation{ .claimant_ = cluster.Current().claimant_,
                               .key_ = cluster.Current().key_,
                               .kind_ = cluster.Current().kind_ };
    const ClaimOutcome outcome = cluster.results_[aId].outcome_;
    if (outcome == ClaimOutcome::kRecorded) {
      BOOST_REQUIRE(cluster.dispatched_.contains(operation.key_));
      ++recorded;
    }
    if (operation.kind_ != ClaimOperation::kClaim || dice(10) == 0) {
      return; // one in ten claimants dies here
    }
    if (outcome != ClaimOutcome::kGranted) {
      cluster.Begin(
        operation.key_, operation.claimant_, ClaimOperation::kAbandon);
      return;
    }
    // Granted: nobody may have run the job before.
    BOOST_REQUIRE(!cluster.dispatched_.contains(operation.key_));
    ++granted;
    if (dice(4) == 0) {
      cluster.Begin(
        operation.key_, operation.claimant_, ClaimOperation::kAbandon);
      return;
    }
    cluster.Dispatch(operation.key_, operation.claimant_);
    if (dice(8) != 0) {
      cluster.Begin(
        operation.key_, operation.claimant_, ClaimOperation::kRecord);
    }
  };
  uint64_t claimant = 0;
  for (int step = 0; step < 12'000; ++step) {
    cluster.Step();
    if (dice(8) == 0) {
      const std::string key =
        "k" + std::to_string(step / 600) + "-" + std::to_string(dice(6));
      cluster.Begin(key,
                    "c" + std::to_string(claimant++),
                    ClaimOperation::kClaim,
                    Millis(50 + dice(1500)));
    }
    if (dice(50) == 0 && !cluster.operations_.empty()) {
      auto it = cluster.operations_.begin();
      std::advance(it, dice(static_cast<int>(cluster.operations_.size())));
      if (dice(2) == 0) {
        cluster.KillOperation(it->first);
      } else {
        cluster.frozen_.insert(it->first);
      }
    }
    if (dice(200) == 0) {
      cluster.frozen_.clear();
    }
    const auto replica =
      static_cast<size_t>(dice(static_cast<int>(cluster.replicas_.size())));
    bool allWell = cluster.cut_.empty();
    for (size_t i = 0; i < cluster.replicas_.size(); ++i) {
      allWell = allWell && cluster.IsMember(i);
    }
    if (dice(300) == 0 && allWell) {
      cluster.LoseDisk(replica);
    } else if (dice(100) == 0 && cluster.IsMember(replica)) {
      cluster.KillReplica(replica);
      cluster.StartReplica(replica);
    }
    if (dice(150) == 0) {
      cluster.cut_ = { replica };
    } else if (dice(50) == 0) {
      cluster.cut_.clear();
    }
  }
  BOOST_TEST(granted > 50U);
  BOOST_TEST(recorded > 100U);
}
