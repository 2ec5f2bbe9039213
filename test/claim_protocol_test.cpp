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
  ClaimCluster cluster;
  const uint64_t claim = cluster.StartOperation("k", "a");
  BOOST_TEST(cluster.Await(claim) == ClaimOutcome::kGranted);
  BOOST_TEST(cluster.now_.Count() == 2);
  for (const Replica& replica : cluster.replicas_) {
    BOOST_TEST(replica.store_.Syncs() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(ResendReturnsTheRecordedAnswer)
{
  ClaimCluster cluster;
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "a")) ==
             ClaimOutcome::kGranted);
  cluster.Dispatch("k", "a");
  const uint64_t record =
    cluster.StartOperation("k", "a", ClaimOperation::kRecord);
  BOOST_TEST(cluster.Await(record) == ClaimOutcome::kRecorded);
  const uint64_t resend = cluster.StartOperation("k", "b");
  BOOST_TEST(cluster.Await(resend) == ClaimOutcome::kRecorded);
  BOOST_TEST(cluster.results_[resend].recorded_.body() == "answer for a");
}

BOOST_AUTO_TEST_CASE(ResendWaitsForTheRunningJob)
{
  ClaimCluster cluster;
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "a")) ==
             ClaimOutcome::kGranted);
  const uint64_t resend = cluster.StartOperation("k", "b");
  cluster.Run(Seconds(2));
  BOOST_TEST(!cluster.results_.contains(resend));
  cluster.StartOperation("k", "a", ClaimOperation::kRecord);
  BOOST_TEST(cluster.Await(resend) == ClaimOutcome::kRecorded);
}

BOOST_AUTO_TEST_CASE(ResendAfterTheClaimantDiedIsHeld)
{
  ClaimCluster cluster;
  const uint64_t claim = cluster.StartOperation("k", "a");
  BOOST_TEST(cluster.Await(claim) == ClaimOutcome::kGranted);
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "b")) ==
             ClaimOutcome::kHeldByOther);
}

BOOST_AUTO_TEST_CASE(AbandonedKeyIsGrantedToTheNextClaimant)
{
  ClaimCluster cluster;
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "a")) ==
             ClaimOutcome::kGranted);
  const uint64_t abandon =
    cluster.StartOperation("k", "a", ClaimOperation::kAbandon);
  BOOST_TEST(cluster.Await(abandon) == ClaimOutcome::kAbandoned);
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "b")) ==
             ClaimOutcome::kGranted);
}

BOOST_AUTO_TEST_CASE(UndecidedClaimThatIsAbandonedCannotBeCompletedLater)
{
  ClaimCluster cluster;
  cluster.cutOff_ = { 1, 2 };
  const uint64_t claim = cluster.StartOperation("k", "a");
  BOOST_TEST(cluster.Await(claim) == ClaimOutcome::kUnavailable);
  cluster.cutOff_ = { 0 };
  const uint64_t abandon =
    cluster.StartOperation("k", "a", ClaimOperation::kAbandon);
  BOOST_TEST(cluster.Await(abandon) == ClaimOutcome::kAbandoned);
  cluster.cutOff_ = { 1 };
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "b")) ==
             ClaimOutcome::kGranted);
}

BOOST_AUTO_TEST_CASE(AbandonByTheLoserOfARaceKeepsTheWinnersClaim)
{
  ClaimCluster cluster;
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "a")) ==
             ClaimOutcome::kGranted);
  const uint64_t late =
    cluster.StartOperation("k", "b", ClaimOperation::kAbandon);
  BOOST_TEST(cluster.Await(late) == ClaimOutcome::kAbandoned);
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "c")) ==
             ClaimOutcome::kHeldByOther);
}

BOOST_DATA_TEST_CASE(CrashedReplicaDelaysAClaimByTheFastBallotTimeout,
                     data::xrange(kReplicas),
                     crashed)
{
  ClaimCluster cluster;
  cluster.KillReplica(static_cast<size_t>(crashed));
  const uint64_t claim = cluster.StartOperation("k", "a");
  BOOST_TEST(cluster.Await(claim) == ClaimOutcome::kGranted);
  // The timeout of the fast ballot, then two round trips of 2 ms.
  BOOST_TEST(cluster.now_.Count() <= 60 + 4);
}

BOOST_AUTO_TEST_CASE(OneOfTwoConcurrentClaimantsIsGrantedTheKey)
{
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    ClaimCluster cluster(kReplicas, seed);
    cluster.maxDelayMs_ = 5;
    const uint64_t first = cluster.StartOperation("k", "a");
    const uint64_t second = cluster.StartOperation("k", "b");
    const bool firstWon = cluster.Await(first) == ClaimOutcome::kGranted;
    const bool secondWon = cluster.Await(second) == ClaimOutcome::kGranted;
    BOOST_REQUIRE_MESSAGE(firstWon != secondWon, "seed " << seed);
  }
}

// The claimant dies after `step` times 6 ms, which covers every phase of its
// claim; messages in flight are delivered.
BOOST_DATA_TEST_CASE(KilledClaimantAndItsSuccessorAreNotBothGranted,
                     data::xrange(1, 12),
                     step)
{
  ClaimCluster cluster(kReplicas, 7);
  cluster.cutOff_ = { 2 };
  cluster.maxDelayMs_ = 3;
  const uint64_t claim = cluster.StartOperation("k", "a");
  cluster.Run(Millis(step * 6));
  const bool granted = cluster.results_.contains(claim);
  cluster.KillOperation(claim);
  cluster.cutOff_ = { 0 };
  const ClaimOutcome next = cluster.Await(cluster.StartOperation("k", "b"));
  BOOST_TEST(!(granted && next == ClaimOutcome::kGranted));
}

// A replica crashes after `crashMs` milliseconds and restarts with the records
// that it had synced.
BOOST_DATA_TEST_CASE(CrashedReplicaRestoresItsVotes,
                     data::xrange(1, 10) * data::xrange(kReplicas),
                     crashMs,
                     crashed)
{
  ClaimCluster cluster(kReplicas, 11);
  cluster.maxDelayMs_ = 4;
  const uint64_t first = cluster.StartOperation("k", "a");
  cluster.Run(Millis(crashMs));
  cluster.KillReplica(static_cast<size_t>(crashed));
  cluster.StartReplica(static_cast<size_t>(crashed));
  BOOST_TEST(cluster.IsMember(static_cast<size_t>(crashed)));
  const uint64_t second = cluster.StartOperation("k", "b");
  const bool firstWon = cluster.Await(first) == ClaimOutcome::kGranted;
  const bool secondWon = cluster.Await(second) == ClaimOutcome::kGranted;
  BOOST_TEST(firstWon != secondWon);
}

BOOST_AUTO_TEST_CASE(ClaimantPausedAfterItsGrantKeepsTheKey)
{
  ClaimCluster cluster;
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "a")) ==
             ClaimOutcome::kGranted);
  cluster.Run(Seconds(100));
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "b")) ==
             ClaimOutcome::kHeldByOther);
  // The claimant resumes and dispatches: no other claimant was granted the key.
  cluster.Dispatch("k", "a");
  const uint64_t record =
    cluster.StartOperation("k", "a", ClaimOperation::kRecord);
  BOOST_TEST(cluster.Await(record) == ClaimOutcome::kRecorded);
}

BOOST_AUTO_TEST_CASE(ClaimantPausedBeforeItReceivedItsGrantCanAbandonTheKey)
{
  ClaimCluster cluster;
  const uint64_t claim =
    cluster.StartOperation("k", "a", ClaimOperation::kClaim, Seconds(10));
  cluster.Run(Millis(1)); // the votes are cast, no reply is received
  cluster.paused_ = { claim };
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "b")) ==
             ClaimOutcome::kHeldByOther);
  cluster.Run(Seconds(30));
  cluster.paused_.clear();
  BOOST_TEST(cluster.Await(claim) == ClaimOutcome::kUnavailable);
  const uint64_t abandon =
    cluster.StartOperation("k", "a", ClaimOperation::kAbandon);
  BOOST_TEST(cluster.Await(abandon) == ClaimOutcome::kAbandoned);
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "c")) ==
             ClaimOutcome::kGranted);
}

BOOST_AUTO_TEST_CASE(ClaimantPausedWithAnUndecidedClaimLosesTheKey)
{
  ClaimCluster cluster;
  cluster.cutOff_ = { 1, 2 };
  const uint64_t claim =
    cluster.StartOperation("k", "a", ClaimOperation::kClaim, Seconds(10));
  cluster.Run(Millis(2));
  cluster.paused_ = { claim };
  cluster.cutOff_ = { 0 };
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "b")) ==
             ClaimOutcome::kGranted);
  cluster.cutOff_.clear();
  cluster.paused_.clear();
  BOOST_TEST(cluster.Await(claim) == ClaimOutcome::kHeldByOther);
}

BOOST_AUTO_TEST_CASE(LostDiskLosesNoClaimEvenIfASecondIsLostAfterTheCatchUp)
{
  ClaimCluster cluster;
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "a")) ==
             ClaimOutcome::kGranted);
  for (size_t replica = 0; replica < kReplicas; ++replica) {
    cluster.LoseDisk(replica);
    BOOST_TEST(!cluster.IsMember(replica));
    cluster.Run(Seconds(2));
    BOOST_TEST(cluster.IsMember(replica));
  }
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "b")) ==
             ClaimOutcome::kHeldByOther);
}

BOOST_AUTO_TEST_CASE(
  TwoLostDisksAtOnceMakeTheLedgerUnavailableInsteadOfLosingClaims)
{
  ClaimCluster cluster;
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "a")) ==
             ClaimOutcome::kGranted);
  cluster.LoseDisk(0);
  cluster.LoseDisk(1);
  cluster.Run(Seconds(30));
  BOOST_TEST(!cluster.IsMember(0));
  BOOST_TEST(!cluster.IsMember(1));
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "b")) ==
             ClaimOutcome::kUnavailable);
}

BOOST_AUTO_TEST_CASE(FiveReplicasSurviveTwoLostDisksAtOnce)
{
  ClaimCluster cluster(5);
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "a")) ==
             ClaimOutcome::kGranted);
  cluster.LoseDisk(0);
  cluster.LoseDisk(3);
  cluster.Run(Seconds(3));
  BOOST_TEST(cluster.IsMember(0));
  BOOST_TEST(cluster.IsMember(3));
  BOOST_TEST(cluster.Await(cluster.StartOperation("k", "b")) ==
             ClaimOutcome::kHeldByOther);
}

BOOST_AUTO_TEST_CASE(VoteCastBeforeALostDiskIsVoidBesideOneCastAfter)
{
  // The claimant has replica 0's vote; replica 0 loses its disk and catches up
  // before the other votes are cast. The old vote must not count for the
  // quorum.
  ClaimProposer proposer({ .key_ = "k",
                           .claimant_ = "a",
                           .replicaCount_ = 3,
                           .deadline_ = Seconds(9),
                           .skipFastBallot_ = true });
  const std::vector<OutgoingVoteRequest> sends = proposer.Start(Millis(0));
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

BOOST_DATA_TEST_CASE(RandomFailuresDispatchNoJobTwice,
                     data::xrange(1, 13),
                     seed)
{
  ClaimCluster cluster(seed % 4 == 0 ? 5 : 3, static_cast<uint64_t>(seed));
  cluster.maxDelayMs_ = 20;
  cluster.lossProbability_ = 0.05;
  cluster.duplicateProbability_ = 0.1;
  const auto randomBelow = [&](int aLimit) {
    return static_cast<int>(cluster.random_() % static_cast<uint64_t>(aLimit));
  };
  size_t granted = 0;
  size_t recorded = 0;
  cluster.onResult_ = [&](uint64_t aId) {
    const Operation operation{ .claimant_ = cluster.Current().claimant_,
                               .key_ = cluster.Current().key_,
                               .kind_ = cluster.Current().kind_ };
    const ClaimOutcome outcome = cluster.results_[aId].outcome_;
    if (outcome == ClaimOutcome::kRecorded) {
      BOOST_REQUIRE(cluster.dispatchers_.contains(operation.key_));
      ++recorded;
    }
    if (operation.kind_ != ClaimOperation::kClaim || randomBelow(10) == 0) {
      return; // one in ten claimants ends here
    }
    if (outcome != ClaimOutcome::kGranted) {
      cluster.StartOperation(
        operation.key_, operation.claimant_, ClaimOperation::kAbandon);
      return;
    }
    // Granted: no claimant may have dispatched the job before.
    BOOST_REQUIRE(!cluster.dispatchers_.contains(operation.key_));
    ++granted;
    if (randomBelow(4) == 0) {
      cluster.StartOperation(
        operation.key_, operation.claimant_, ClaimOperation::kAbandon);
      return;
    }
    cluster.Dispatch(operation.key_, operation.claimant_);
    if (randomBelow(8) != 0) {
      cluster.StartOperation(
        operation.key_, operation.claimant_, ClaimOperation::kRecord);
    }
  };
  uint64_t claimant = 0;
  for (int step = 0; step < 12'000; ++step) {
    cluster.Step();
    if (randomBelow(8) == 0) {
      const std::string key =
        "k" + std::to_string(step / 600) + "-" + std::to_string(randomBelow(6));
      cluster.StartOperation(key,
                             "c" + std::to_string(claimant++),
                             ClaimOperation::kClaim,
                             Millis(50 + randomBelow(1500)));
    }
    if (randomBelow(50) == 0 && !cluster.operations_.empty()) {
      auto it = cluster.operations_.begin();
      std::advance(it,
                   randomBelow(static_cast<int>(cluster.operations_.size())));
      if (randomBelow(2) == 0) {
        cluster.KillOperation(it->first);
      } else {
        cluster.paused_.insert(it->first);
      }
    }
    if (randomBelow(200) == 0) {
      cluster.paused_.clear();
    }
    const auto replica = static_cast<size_t>(
      randomBelow(static_cast<int>(cluster.replicas_.size())));
    bool isHealthy = cluster.cutOff_.empty();
    for (size_t i = 0; i < cluster.replicas_.size(); ++i) {
      isHealthy = isHealthy && cluster.IsMember(i);
    }
    if (randomBelow(300) == 0 && isHealthy) {
      cluster.LoseDisk(replica);
    } else if (randomBelow(100) == 0 && cluster.IsMember(replica)) {
      cluster.KillReplica(replica);
      cluster.StartReplica(replica);
    }
    if (randomBelow(150) == 0) {
      cluster.cutOff_ = { replica };
    } else if (randomBelow(50) == 0) {
      cluster.cutOff_.clear();
    }
  }
  BOOST_TEST(granted > 50U);
  BOOST_TEST(recorded > 100U);
}
