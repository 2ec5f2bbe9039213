// Replacement of replicas of an open cluster, where any replica may join.
#define BOOST_TEST_MODULE control_log_membership
#include "log_cluster.h"

using namespace vanillahatch;

namespace {

// A machine counts as lost until this time after it, or its successor, started.
constexpr Millis kCatchUp = Seconds(4);
constexpr Millis kRecovery = Seconds(12);

// The options of the scheduler's replicas.
const ControlLogOptions kOpen = {
  .openMembership_ = true,
  .timing_ = { .heartbeat_ = Millis(150),
               .minElectionTimeout_ = Millis(600),
               .maxElectionTimeout_ = Millis(1000),
               .minRetry_ = Millis(100),
               .maxRetry_ = Millis(350),
               .appendGap_ = Millis(4) },
  .sendCommitImmediately_ = false
};

// When the successor of a replica starts.
enum class Successor
{
  kWaits, // long before the replica is killed
  kComesAfter,
};

// Replicas of which `follower_` will be replaced and `other_` not.
struct OpenCluster
{
  explicit OpenCluster(uint64_t aSeed = 1,
                       size_t aCount = 3,
                       ControlLogOptions aOptions = kOpen)
    : cluster_(aCount, aSeed, std::move(aOptions))
  {
    cluster_.StartAll();
    BOOST_REQUIRE(Commit(cluster_, "first"));
    leader_ = cluster_.Leader();
    follower_ = AllBut(cluster_, leader_)[0];
    other_ = AllBut(cluster_, leader_)[1];
  }

  void LoseDiskAndRestart(const std::string& aName)
  {
    cluster_.LoseDisk(aName);
    cluster_.Run(Seconds(1));
    cluster_.Start(aName);
  }

  void CheckRecovers(const std::string& aPayload)
  {
    BOOST_TEST(
      cluster_.RunUntil([&] { return !cluster_.Leader().empty(); }, kRecovery),
      "no leader" << cluster_.Describe());
    BOOST_TEST((!cluster_.Leader().empty() && Commit(cluster_, aPayload)));
  }

  // The disk of `other_` is lost as soon as `aRemoved`, which is replaced by
  // "d", no longer counts as lost.
  void ReplaceThenLoseDisk(const std::string& aRemoved, Successor aSuccessor)
  {
    const std::vector<std::string> seeds = { leader_, other_ };
    if (aSuccessor == Successor::kWaits) {
      cluster_.Add("d", seeds);
      cluster_.Run(kCatchUp);
      cluster_.Crash(aRemoved);
    } else {
      cluster_.Crash(aRemoved);
      cluster_.Run(Seconds(1));
      cluster_.Add("d", seeds);
    }
    cluster_.Run(kCatchUp);
    LoseDiskAndRestart(other_);
    CheckRecovers("after both losses");
  }

  size_t MemberCount()
  {
    const ControlLog& log = cluster_.Log(cluster_.WaitForLeader());
    return log.History().Latest().config_.members_size();
  }

  LogCluster cluster_;
  std::string leader_;
  std::string follower_;
  std::string other_;
};

} // namespace

// Guards against a joining replica that never reaches the leader because its
// seeds name only followers.
BOOST_AUTO_TEST_CASE(ReplicaWhoseSeedsAreFollowersFindsTheLeader)
{
  OpenCluster open;
  open.cluster_.Crash(open.follower_);
  open.cluster_.Run(Seconds(1));
  open.cluster_.Add("d", { open.follower_, open.other_ });
  BOOST_TEST(open.cluster_.RunUntil(
               [&] { return open.cluster_.Log("d").IsMember(); }, kCatchUp),
             open.cluster_.Describe());
}

// Guards against a learner that waits and, once its only seed has stopped, does
// not find the next leader.
BOOST_AUTO_TEST_CASE(JoiningReplicaFindsTheNextLeaderWithoutItsSeeds)
{
  OpenCluster open;
  open.cluster_.Add("d", { open.leader_ });
  open.cluster_.Run(Seconds(1));
  open.cluster_.Crash(open.leader_);
  BOOST_TEST(open.cluster_.RunUntil(
               [&] { return open.cluster_.Log("d").IsMember(); }, kCatchUp),
             open.cluster_.Describe());
}

// Guards against a killed replica that still counts as a member when the next
// disk is lost, so that no quorum is left.
BOOST_AUTO_TEST_CASE(QuorumSurvivesDiskLostAfterReplacementOfKilledReplica)
{
  for (const uint64_t seed : { 1U, 2U, 3U, 4U, 5U }) {
    OpenCluster open(seed);
    open.ReplaceThenLoseDisk(open.follower_, Successor::kComesAfter);
  }
}

// The same with a successor that has joined before the replica stops.
BOOST_AUTO_TEST_CASE(QuorumSurvivesDiskLostAfterReplacementByWaitingReplica)
{
  for (const uint64_t seed : { 1U, 2U, 3U, 4U, 5U }) {
    OpenCluster open(seed);
    open.ReplaceThenLoseDisk(open.follower_, Successor::kWaits);
  }
}

// The same with the leader as the replica that is killed: an election comes
// before the replacement.
BOOST_AUTO_TEST_CASE(QuorumSurvivesDiskLostAfterReplacementOfKilledLeader)
{
  for (const uint64_t seed : { 1U, 2U, 3U, 4U, 5U }) {
    OpenCluster open(seed);
    open.ReplaceThenLoseDisk(open.leader_, Successor::kComesAfter);
  }
}

// Guards against a quorum that is lost with the disk of the next member unless
// the end of the member before has been noticed, though its successor had
// joined long before.
BOOST_AUTO_TEST_CASE(
  QuorumSurvivesDisksLostAtOnceAfterEndOfReplicaWithSuccessor)
{
  for (const size_t size : { 3U, 5U, 6U }) {
    for (const Millis pause : { Millis(0), Millis(300), Seconds(1) }) {
      for (const bool isLeaderRemoved : { false, true }) {
        for (const bool isLeaderWiped : { false, true }) {
          if (isLeaderRemoved && isLeaderWiped) {
            continue;
          }
          BOOST_TEST_CONTEXT(size << " replicas, pause " << pause.Count()
                                  << " ms, leader removed " << isLeaderRemoved
                                  << ", wiped " << isLeaderWiped)
          {
            ControlLogOptions options = kOpen;
            options.toleratedLosses_ = (size - 1) / 2;
            OpenCluster open(size, size, options);
            open.cluster_.Add("x", { open.leader_, open.other_ });
            open.cluster_.Run(kCatchUp);
            BOOST_REQUIRE(Commit(open.cluster_, "with the successor"));
            open.cluster_.Crash(isLeaderRemoved ? open.leader_
                                                : open.follower_);
            open.cluster_.Run(pause);
            std::vector<std::string> wiped = { isLeaderWiped ? open.leader_
                                                             : open.other_ };
            if (size >= 5) {
              wiped.push_back(AllBut(open.cluster_, open.leader_)[2]);
            }
            for (const std::string& name : wiped) {
              open.cluster_.LoseDisk(name);
            }
            open.cluster_.Run(Seconds(1));
            for (const std::string& name : wiped) {
              open.cluster_.Start(name);
            }
            open.CheckRecovers("after the losses");
          }
        }
      }
    }
  }
}

// The same with a restart of all replicas that are left right after the loss.
BOOST_AUTO_TEST_CASE(QuorumSurvivesDiskLostAndRestartOfAllAfterEndOfReplica)
{
  OpenCluster open;
  open.cluster_.Add("x", { open.leader_, open.other_ });
  open.cluster_.Run(kCatchUp);
  open.cluster_.Crash(open.follower_);
  open.cluster_.LoseDisk(open.other_);
  open.cluster_.Crash(open.leader_);
  open.cluster_.Crash("x");
  open.cluster_.Start(open.other_);
  open.cluster_.Run(Seconds(1));
  open.cluster_.Start("x");
  open.cluster_.Run(Seconds(1));
  open.cluster_.Start(open.leader_);
  open.CheckRecovers("after both losses and the restart");
}

// Guards against a half of the members that elects a leader while the others
// may do the same.
BOOST_AUTO_TEST_CASE(HalfOfTheMembersElectsNoLeaderWithoutALostDisk)
{
  OpenCluster open;
  open.cluster_.Add("x", { open.leader_, open.other_ });
  BOOST_REQUIRE(open.cluster_.RunUntil(
    [&] { return open.cluster_.AllMembersEqual(); }, kCatchUp));
  open.cluster_.Crash(open.follower_);
  open.cluster_.Crash(open.other_);
  open.cluster_.Run(kRecovery);
  BOOST_TEST(open.cluster_.Leader().empty());
  open.cluster_.Start(open.other_);
  open.CheckRecovers("with three of four");
}

// Guards against members that are gone and are still counted because their
// number is odd.
BOOST_AUTO_TEST_CASE(MembersThatAreNotNeededAreRemovedWhenTheyAreGone)
{
  OpenCluster open;
  open.cluster_.Add("x", { open.leader_ });
  open.cluster_.Add("y", { open.leader_ });
  BOOST_REQUIRE(open.cluster_.RunUntil(
    [&] { return open.cluster_.AllMembersEqual(); }, kCatchUp));
  open.cluster_.Crash(open.follower_);
  open.cluster_.Crash(open.other_);
  open.cluster_.Run(kCatchUp);
  BOOST_TEST(open.MemberCount() == 3U);
  open.LoseDiskAndRestart("x");
  open.CheckRecovers("with three of five");
}

// Guards against a replica that stays blank after the loss of its disk because
// its seeds are gone, though the members know it.
BOOST_AUTO_TEST_CASE(ReplicaThatLostItsDiskJoinsWithoutItsSeeds)
{
  OpenCluster open;
  open.cluster_.Add("x", { open.follower_ });
  open.cluster_.Run(kCatchUp);
  open.cluster_.Crash(open.follower_);
  open.cluster_.Run(Seconds(2));
  open.LoseDiskAndRestart("x");
  BOOST_TEST(open.cluster_.RunUntil(
               [&] { return open.cluster_.Log("x").IsMember(); }, kCatchUp),
             open.cluster_.Describe());
}

// The same without a leader, which only the loss of that disk lets be elected.
BOOST_AUTO_TEST_CASE(QuorumSurvivesDiskLostByReplicaWhoseSeedsAreGone)
{
  OpenCluster open;
  open.cluster_.Add("x", { open.leader_ });
  open.cluster_.Run(kCatchUp);
  open.cluster_.Crash(open.leader_);
  open.LoseDiskAndRestart("x");
  open.CheckRecovers("with x blank");
}

// Guards against an even number of members that is not needed: cut into halves,
// none of them has a quorum.
BOOST_AUTO_TEST_CASE(HalfOfTheReplicasServesWhileTheOthersAreCutOff)
{
  OpenCluster open(1, 5);
  open.cluster_.Add("x", { open.leader_ });
  open.cluster_.Run(kCatchUp);
  BOOST_TEST(open.MemberCount() == 5U);
  for (const std::string& other :
       { std::string("x"), open.follower_, open.other_ }) {
    open.cluster_.Isolate(other);
  }
  BOOST_TEST(Commit(open.cluster_, "while one half is cut off"));
}

// Guards against a removal of members that are away for a while, after which an
// entry is stored on no more replicas than may lose their disks.
BOOST_AUTO_TEST_CASE(EntriesSurviveAsManyLostDisksAsTolerated)
{
  ControlLogOptions options = kOpen;
  options.toleratedLosses_ = 2;
  OpenCluster open(1, 3, options);
  open.cluster_.Add("x", { open.leader_ });
  open.cluster_.Add("y", { open.leader_ });
  BOOST_REQUIRE(open.cluster_.RunUntil(
    [&] { return open.cluster_.AllMembersEqual(); }, kCatchUp));
  open.cluster_.Crash("x");
  open.cluster_.Crash("y");
  open.cluster_.Run(kCatchUp);
  BOOST_TEST(open.MemberCount() == 5U);
  BOOST_REQUIRE(Commit(open.cluster_, "with two of five down"));
  open.cluster_.LoseDisk(open.leader_);
  open.cluster_.LoseDisk(open.follower_);
  for (const std::string& name : { open.leader_, open.follower_ }) {
    open.cluster_.Start(name);
  }
  open.cluster_.Start("x");
  open.cluster_.Start("y");
  open.CheckRecovers("after two disks lost while two were down");
}

// Guards against a late message of an earlier incarnation, by which the present
// one would count as lost.
BOOST_AUTO_TEST_CASE(OnlyFormerIncarnationsCountAsLost)
{
  OpenCluster open;
  open.cluster_.Add("x", { open.leader_, open.other_ });
  open.cluster_.Run(kCatchUp);
  const v1::LogMember first = open.cluster_.Log(open.other_).Self();
  open.LoseDiskAndRestart(open.other_);
  BOOST_REQUIRE(open.cluster_.RunUntil(
    [&] { return open.cluster_.Log(open.other_).IsMember(); }, kCatchUp));
  v1::PeerMessage late;
  *late.mutable_from() = first;
  late.set_to(open.leader_);
  late.mutable_hello()->set_blank(true);
  open.cluster_.Log(open.leader_).Receive(open.cluster_.Now(), late);
  open.cluster_.Crash(open.follower_);
  open.cluster_.Crash(open.other_);
  open.cluster_.Run(kRecovery);
  BOOST_TEST(open.cluster_.Leader().empty());
}

// Guards against replacements that leave members behind which are gone, so that
// the quorum outgrows the replicas that run.
BOOST_AUTO_TEST_CASE(QuorumSurvivesReplacementOfEveryReplica)
{
  OpenCluster open;
  std::vector<std::string> running = open.cluster_.Names();
  for (const std::string successor : { "d", "e", "f", "g", "h", "i" }) {
    const std::string removed = running.front();
    running.erase(running.begin());
    open.cluster_.Crash(removed);
    open.cluster_.Run(Seconds(1));
    open.cluster_.Add(successor, { removed, running.front() });
    running.push_back(successor);
    open.cluster_.Run(kCatchUp);
    BOOST_REQUIRE_MESSAGE(Commit(open.cluster_, "after " + removed),
                          open.cluster_.Describe());
  }
  BOOST_TEST(open.MemberCount() == 3U);
  open.LoseDiskAndRestart(running.front());
  open.CheckRecovers("last");
}

// Guards against a further member that makes the quorum larger without
// tolerating more failures.
BOOST_AUTO_TEST_CASE(FurtherMembersTolerateAsManyFailures)
{
  for (const bool isLeader : { false, true }) {
    OpenCluster open;
    open.cluster_.Add("d", { open.leader_ });
    open.cluster_.Run(Seconds(5));
    BOOST_TEST(open.cluster_.Log("d").IsMember());
    open.cluster_.Crash(isLeader ? open.leader_ : open.follower_);
    BOOST_TEST(Commit(open.cluster_, "with one of four down"));
    open.cluster_.Run(Seconds(1));
    BOOST_TEST(open.MemberCount() == 3U);
    open.cluster_.Crash(open.other_);
    BOOST_TEST(Commit(open.cluster_, "with two of four down"));
  }
  OpenCluster open;
  open.cluster_.Add("d", { open.leader_ });
  open.cluster_.Run(Seconds(5));
  open.cluster_.Add("e", { open.follower_ });
  BOOST_TEST(open.cluster_.RunUntil([&] { return open.MemberCount() == 5; },
                                    Seconds(2)));
  BOOST_TEST(open.cluster_.RunUntil(
    [&] { return open.cluster_.AllMembersEqual(); }, Seconds(2)));
  open.cluster_.Crash(open.follower_);
  open.cluster_.Crash(open.other_);
  BOOST_TEST(Commit(open.cluster_, "with two of five down"));
}

// A replica that has joined must know the entries and the leader.
BOOST_AUTO_TEST_CASE(JoinedReplicaFollowsTheLeader)
{
  OpenCluster open;
  open.cluster_.Add("d", { open.follower_ });
  open.cluster_.Run(Seconds(2));
  BOOST_REQUIRE(Commit(open.cluster_, "once d has joined"));
  open.cluster_.Run(Seconds(1));
  BOOST_TEST(open.cluster_.At("d").state_ ==
             open.cluster_.At(open.leader_).state_);
  BOOST_TEST(open.cluster_.Log("d").LeaderName() == open.leader_);
  open.cluster_.Crash(open.leader_);
  const std::string next = open.cluster_.WaitForLeader();
  BOOST_TEST(open.cluster_.RunUntil(
    [&] { return open.cluster_.Log("d").LeaderName() == next; }, Seconds(2)));
}

// Guards against a member that was removed while it was away and is no member
// again when the next one is lost.
BOOST_AUTO_TEST_CASE(RemovedMemberThatReturnsStandsInForTheNextOne)
{
  OpenCluster open;
  open.cluster_.Add("d", { open.leader_ });
  open.cluster_.Run(Seconds(2));
  open.cluster_.Crash(open.follower_);
  BOOST_REQUIRE(open.cluster_.RunUntil(
    [&] { return open.cluster_.Log("d").IsMember(); }, kCatchUp));
  open.cluster_.Start(open.follower_);
  open.cluster_.Run(Seconds(2));
  BOOST_TEST(open.cluster_.Log(open.follower_).IsMember());
  open.cluster_.Crash(open.other_);
  BOOST_TEST(Commit(open.cluster_, "without the next one"));
  open.cluster_.Run(Seconds(1));
  BOOST_TEST(open.MemberCount() == 3U);
  BOOST_TEST(open.cluster_.Log(open.follower_).IsMember());
}

// Guards against a planned replacement that keeps the stopped replica as a
// member until it counts as unresponsive.
BOOST_AUTO_TEST_CASE(QuorumSurvivesDiskLostRightAfterReplicaHasLeft)
{
  for (const bool isLeader : { false, true }) {
    OpenCluster open;
    open.cluster_.Add("d", { open.leader_, open.other_ });
    open.cluster_.Run(kCatchUp);
    const std::string leaving = isLeader ? open.leader_ : open.follower_;
    open.cluster_.Log(leaving).Leave(open.cluster_.Now());
    BOOST_TEST(
      open.cluster_.RunUntil(
        [&] { return open.cluster_.Log(leaving).MayStop(); }, Millis(500)),
      open.cluster_.Describe());
    open.cluster_.Crash(leaving);
    open.LoseDiskAndRestart(open.other_);
    open.CheckRecovers("after both losses");
  }
}

// Guards against a stop that waits for a successor that does not exist.
BOOST_AUTO_TEST_CASE(ReplicaWithoutSuccessorMayStopAtOnce)
{
  OpenCluster open;
  for (const std::string& name : open.cluster_.Names()) {
    open.cluster_.Log(name).Leave(open.cluster_.Now());
    open.cluster_.Run(Millis(100));
    BOOST_TEST(open.cluster_.Log(name).MayStop(), name);
  }
  for (const std::string& name : open.cluster_.Names()) {
    BOOST_TEST(open.cluster_.Log(name).IsMember(), name);
  }
}

// Guards against a stop of all replicas that loses one as a member for good.
BOOST_AUTO_TEST_CASE(ReplicasThatAllLeaveAndReturnKeepTheCluster)
{
  OpenCluster open;
  open.cluster_.Add("d", { open.leader_ });
  open.cluster_.Run(kCatchUp);
  for (const std::string& name : open.cluster_.Names()) {
    open.cluster_.Log(name).Leave(open.cluster_.Now());
  }
  open.cluster_.Run(Millis(500));
  for (const std::string& name : open.cluster_.Names()) {
    open.cluster_.Crash(name);
  }
  for (const std::string& name : open.cluster_.Names()) {
    open.cluster_.Start(name);
  }
  open.CheckRecovers("after the restart");
  BOOST_TEST(open.cluster_.RunUntil(
               [&] { return open.cluster_.AllMembersEqual(); }, kCatchUp),
             open.cluster_.Describe());
}
