#define BOOST_TEST_MODULE control_log
#include "log_cluster.h"

using namespace vanillahatch;

BOOST_AUTO_TEST_CASE(NewClusterBootstrapsAndCommits)
{
  for (const size_t count : { 1U, 2U, 3U, 5U }) {
    LogCluster cluster(count);
    cluster.StartAll();
    BOOST_TEST(Commit(cluster, "first"), "replicas: " << count);
    BOOST_TEST(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }));
  }
}

BOOST_AUTO_TEST_CASE(PayloadThatIsTooLargeToSendDoesNotStopTheLog)
{
  constexpr size_t kMaxReceivedBytes = 64 << 10;
  LogCluster cluster(
    3, 1, { .maxMessageBytes_ = 1 << 10, .maxPayloadBytes_ = 32 << 10 });
  cluster.SetMaxMessageBytes(kMaxReceivedBytes);
  cluster.StartAll();
  const std::string leader = cluster.WaitForLeader();
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }));
  cluster.Isolate(AllBut(cluster, leader).front()); // the leader's log must win
  BOOST_TEST(!cluster.Propose(leader, std::string(kMaxReceivedBytes, 'x')));
  BOOST_TEST(cluster.RunUntil([&] {
    const std::string current = cluster.Leader();
    return !current.empty() && cluster.Propose(current, "next") &&
           cluster.IsApplied("next");
  }));
}

BOOST_AUTO_TEST_CASE(EntriesWithinAppendGapAreSentTogether)
{
  LogCluster cluster(3, 1, { .timing_ = { .appendGap_ = Millis(60) } });
  cluster.StartAll();
  BOOST_REQUIRE(Commit(cluster, "first"));
  cluster.Run(Millis(300)); // longer than the gap of two followers
  const std::string leader = cluster.Leader();
  BOOST_REQUIRE(cluster.Propose(leader, "second"));
  cluster.DeliverAll(); // no time passes
  BOOST_TEST(cluster.IsApplied("second"));
  BOOST_REQUIRE(cluster.Propose(leader, "third"));
  BOOST_REQUIRE(cluster.Propose(leader, "fourth"));
  cluster.DeliverAll();
  BOOST_TEST(!cluster.IsApplied("third"));
  cluster.Run(Millis(140));
  BOOST_TEST(cluster.IsApplied("third"));
  BOOST_TEST(cluster.IsApplied("fourth"));
}

BOOST_AUTO_TEST_CASE(CommitIndexNotSentImmediatelyComesWithNextHeartbeat)
{
  LogCluster cluster(3, 1, { .sendCommitImmediately_ = false });
  cluster.StartAll();
  BOOST_REQUIRE(Commit(cluster, "first"));
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }));
  const std::string leader = cluster.Leader();
  const std::string follower = OtherThan(cluster, leader);
  BOOST_REQUIRE(cluster.Propose(leader, "second"));
  cluster.DeliverAll(); // no time passes
  BOOST_TEST(cluster.IsApplied("second"));
  BOOST_TEST(cluster.Log(follower).CommitIndex() <
             cluster.Log(leader).CommitIndex());
  cluster.Run(LogTiming().heartbeat_ + Millis(40));
  BOOST_TEST(cluster.Log(follower).CommitIndex() ==
             cluster.Log(leader).CommitIndex());
}

BOOST_AUTO_TEST_CASE(CommitIndexReachesEveryFollowerBeforeNextHeartbeat)
{
  LogCluster cluster(3);
  cluster.StartAll();
  BOOST_REQUIRE(Commit(cluster, "first"));
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }));
  const std::string leader = cluster.Leader();
  BOOST_REQUIRE(cluster.Propose(leader, "second"));
  cluster.DeliverAll(); // no time passes
  const uint64_t committed = cluster.Log(leader).CommitIndex();
  for (const std::string& name : cluster.Names()) {
    BOOST_TEST(cluster.Log(name).CommitIndex() == committed,
               name << " expected " << committed << ", actual "
                    << cluster.Log(name).CommitIndex());
  }
}

BOOST_AUTO_TEST_CASE(NoClusterIsBootstrappedWhileOneReplicaIsDown)
{
  LogCluster cluster(3);
  cluster.Start("a");
  cluster.Start("b");
  cluster.Run(Seconds(30));
  BOOST_TEST(cluster.Leader().empty());
  BOOST_TEST(cluster.Log("a").ClusterId() == 0U);
}

BOOST_AUTO_TEST_CASE(TwoWipedReplicasBesideOneWithDataDoNotBootstrap)
{
  LogCluster cluster(3);
  cluster.StartAll();
  BOOST_REQUIRE(Commit(cluster, "kept"));
  cluster.LoseDisk("a");
  cluster.LoseDisk("b");
  cluster.Start("a");
  cluster.Start("b");
  cluster.Run(Seconds(60));
  BOOST_TEST(cluster.Leader().empty());
  BOOST_TEST(!cluster.Propose("c", "by the survivor alone"));
  for (const std::string name : { "a", "b" }) {
    const uint64_t joined = cluster.Log(name).ClusterId();
    BOOST_TEST((joined == 0U || joined == cluster.Log("c").ClusterId()));
    BOOST_TEST((cluster.Log(name).Role() != LogRole::kLeader));
  }
}

BOOST_AUTO_TEST_CASE(CrashedLeaderIsReplacedWithinThreeSeconds)
{
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    LogCluster cluster(3, seed);
    cluster.StartAll();
    const std::string old = cluster.WaitForLeader();
    cluster.Crash(old);
    const Millis killed = cluster.Now();
    const std::string leader = cluster.WaitForLeader();
    BOOST_TEST(leader != old);
    BOOST_TEST((cluster.Now() - killed).Count() <= 3000, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(CrashBetweenAnyTwoStepsLosesNoCommittedEntry)
{
  for (const bool killLeader : { true, false }) {
    for (const bool tear : { false, true }) {
      for (int step = 0; step < 24; ++step) {
        LogCluster cluster(3, 100 + static_cast<uint64_t>(step));
        cluster.StartAll();
        BOOST_REQUIRE(Commit(cluster, "before"));
        const std::string leader = cluster.Leader();
        const std::string victim =
          killLeader ? leader : OtherThan(cluster, leader);
        cluster.At(victim).tearOnCrash_ = tear;
        cluster.CrashAfterSteps(victim, step);
        cluster.Propose(leader, "during");
        cluster.Run(Seconds(4));
        cluster.CrashAfterSteps(victim, -1);
        if (!cluster.At(victim).IsUp()) {
          cluster.Start(victim);
        }
        BOOST_TEST(Commit(cluster, "after"), "step " << step);
        BOOST_TEST(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }),
                   "step " << step << " tear " << tear);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(WipedReplicaRejoinsWithNewIncarnation)
{
  LogCluster cluster(3);
  cluster.StartAll();
  BOOST_REQUIRE(Commit(cluster, "kept"));
  const std::string victim = OtherThan(cluster, cluster.Leader());
  const uint64_t before = cluster.Log(victim).Self().incarnation();
  cluster.LoseDisk(victim);
  cluster.Start(victim);
  BOOST_TEST(!cluster.Log(victim).IsMember());
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }));
  BOOST_TEST(cluster.Log(victim).Self().incarnation() != before);
}

BOOST_AUTO_TEST_CASE(DiskLostRightAfterReplacementLosesNoCommittedEntry)
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    LogCluster cluster(3, seed);
    cluster.StartAll();
    BOOST_REQUIRE(Commit(cluster, "kept"));
    const std::vector<std::string> order = { "b", "c", "a", "b", "c" };
    for (const std::string& victim : order) {
      cluster.LoseDisk(victim);
      cluster.Run(Millis(100));
      cluster.Start(victim);
      BOOST_REQUIRE(
        cluster.RunUntil([&] { return cluster.Log(victim).IsMember(); }));
      // The next disk is lost as soon as the replacement is committed.
      BOOST_REQUIRE(cluster.RunUntil([&] {
        const std::string leader = cluster.Leader();
        return !leader.empty() &&
               cluster.Log(leader).CommitIndex() >=
                 cluster.Log(leader).History().Latest().index_;
      }));
      cluster.Run(Millis(20));
    }
    BOOST_TEST(Commit(cluster, "after"), "seed " << seed);
    BOOST_TEST(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }));
  }
}

BOOST_AUTO_TEST_CASE(ReplicaWhoseReplacementWasOverwrittenAsksToJoinAgain)
{
  LogCluster cluster(5);
  cluster.StartAll();
  const std::string old = cluster.WaitForLeader();
  BOOST_REQUIRE(Commit(cluster, "kept"));
  const std::string wiped = OtherThan(cluster, old);
  cluster.LoseDisk(wiped);
  for (const std::string& other : cluster.Names()) {
    for (const std::string& side : { old, wiped }) {
      if (other != old && other != wiped) {
        cluster.CutLink(side, other);
        cluster.CutLink(other, side);
      }
    }
  }
  cluster.Start(wiped);
  // The old leader sends it the replacement entry, which cannot be committed.
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Log(wiped).IsMember(); },
                                 Seconds(2)));
  cluster.Crash(old);
  BOOST_REQUIRE(Commit(cluster, "by the other three"));
  cluster.Heal();
  cluster.Start(old);
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }),
             cluster.Describe());
}

BOOST_AUTO_TEST_CASE(ReplacedIncarnationIsNotNeededForQuorumAfterRestart)
{
  LogCluster cluster(3);
  cluster.StartAll();
  BOOST_REQUIRE(Commit(cluster, "kept"));
  cluster.LoseDisk("b");
  cluster.Start("b");
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }));
  cluster.LoseDisk("c");
  cluster.Crash("a");
  cluster.Crash("b");
  cluster.Start("a");
  cluster.Start("b");
  BOOST_TEST(Commit(cluster, "without c"));
}

BOOST_AUTO_TEST_CASE(IsolatedLeaderStepsDownAndItsEntriesAreOverwritten)
{
  LogCluster cluster(3);
  cluster.StartAll();
  const std::string old = cluster.WaitForLeader();
  cluster.Isolate(old);
  BOOST_TEST(cluster.Propose(old, "never agreed"));
  cluster.Run(Millis(1300));
  BOOST_TEST(!cluster.Log(old).IsLeader());
  BOOST_TEST(!cluster.Propose(old, "refused"));
  BOOST_TEST(Commit(cluster, "by the rest"));
  const uint64_t term = cluster.Log(cluster.Leader()).Term();
  cluster.Run(Seconds(60));
  cluster.Heal();
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }));
  BOOST_TEST(!cluster.IsApplied("never agreed"));
  // Pre-vote: the isolated replica does not cause an election when it rejoins.
  BOOST_TEST(cluster.Log(cluster.Leader()).Term() == term);
}

BOOST_AUTO_TEST_CASE(LeaderLeaseIsHeldWhileMajorityFollows)
{
  LogCluster cluster(3, 1, { .timing_ = { .heartbeat_ = Millis(100) } });
  cluster.StartAll();
  const std::string leader = cluster.WaitForLeader();
  cluster.Run(Seconds(1));
  for (int i = 0; i < 100; ++i) {
    cluster.Run(Millis(20));
    BOOST_TEST((cluster.Log(leader).LeaderLeaseExpiresAt() > cluster.Now()));
  }
}

// A late reply does not confirm the leader after the answered message was sent.
BOOST_AUTO_TEST_CASE(LeaderLeaseCountsFromSendTimeOfAnsweredMessage)
{
  LogCluster cluster(3, 1, { .timing_ = { .heartbeat_ = Millis(100) } });
  cluster.StartAll();
  const std::string leader = cluster.WaitForLeader();
  cluster.Run(Seconds(1));
  const Millis cutAt = cluster.Now();
  cluster.AdvanceTime(Millis(100));
  cluster.Tick(leader);
  for (const std::string& other : AllBut(cluster, leader)) {
    BOOST_REQUIRE_EQUAL(cluster.Pending().front().to(), other);
    cluster.Deliver(0); // the heartbeat; its reply stays pending
    cluster.CutLink(leader, other);
  }
  cluster.AdvanceTime(Millis(500));
  cluster.DeliverAll();
  BOOST_TEST((cluster.Log(leader).LeaderLeaseExpiresAt() <=
              cutAt + Millis(100) + LogTiming().leaderLease_));
}

BOOST_AUTO_TEST_CASE(SuspendedLeaderHoldsNoLeaseWhenItResumes)
{
  LogCluster cluster(3);
  cluster.StartAll();
  const std::string old = cluster.WaitForLeader();
  cluster.Suspend(old, Seconds(30));
  cluster.Run(Seconds(2));
  BOOST_TEST((cluster.Log(old).LeaderLeaseExpiresAt() <= cluster.Now()));
}

BOOST_AUTO_TEST_CASE(LeaderThatReceivesNoMessagesStepsDown)
{
  LogCluster cluster(3);
  cluster.StartAll();
  const std::string old = cluster.WaitForLeader();
  for (const std::string& other : AllBut(cluster, old)) {
    cluster.CutLink(other, old);
  }
  BOOST_TEST(cluster.RunUntil([&] {
    const std::string leader = cluster.Leader();
    return !leader.empty() && leader != old;
  }));
  BOOST_TEST(!cluster.Log(old).IsLeader());
}

BOOST_AUTO_TEST_CASE(ReplicaThatReceivesNoMessagesDoesNotDeposeLeader)
{
  LogCluster cluster(3);
  cluster.StartAll();
  const std::string leader = cluster.WaitForLeader();
  const uint64_t term = cluster.Log(leader).Term();
  const std::string unreachable = OtherThan(cluster, leader);
  for (const std::string& other : AllBut(cluster, unreachable)) {
    cluster.CutLink(other, unreachable);
  }
  cluster.Run(Seconds(30));
  BOOST_TEST(cluster.Leader() == leader);
  BOOST_TEST(cluster.Log(leader).Term() == term);
}

BOOST_AUTO_TEST_CASE(SuspendedLeaderRejectsProposalsAfterItResumes)
{
  LogCluster cluster(3);
  cluster.StartAll();
  const std::string old = cluster.WaitForLeader();
  cluster.Suspend(old, Seconds(30));
  cluster.Run(Seconds(10));
  BOOST_TEST(Commit(cluster, "while suspended"));
  cluster.AdvanceTime(Seconds(30));
  // A proposal as its first event after it resumed must be rejected.
  BOOST_TEST(!cluster.Propose(old, "after it resumed"));
  cluster.QueueHeldMessages();
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }));
}

BOOST_AUTO_TEST_CASE(EvenPartitionAcceptsNothingOnEitherSide)
{
  LogCluster cluster(4);
  cluster.StartAll();
  const std::string leader = cluster.WaitForLeader();
  const std::string sameSide = OtherThan(cluster, leader);
  for (const std::string& near : { leader, sameSide }) {
    for (const std::string& far : cluster.Names()) {
      if (far != leader && far != sameSide) {
        cluster.CutLink(near, far);
        cluster.CutLink(far, near);
      }
    }
  }
  cluster.Propose(leader, "left");
  cluster.Run(Seconds(30));
  for (const std::string& name : cluster.Names()) {
    BOOST_TEST(!cluster.Propose(name, "side of " + name));
  }
  BOOST_TEST(!cluster.IsApplied("left"));
  cluster.Heal();
  BOOST_TEST(Commit(cluster, "healed"));
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }));
}

BOOST_AUTO_TEST_CASE(RestartedReplicaCatchesUpHundredsOfEntries)
{
  LogCluster cluster(3);
  cluster.StartAll();
  const std::string leader = cluster.WaitForLeader();
  const std::string late = OtherThan(cluster, leader);
  cluster.Crash(late);
  for (int i = 0; i < 700; ++i) {
    BOOST_REQUIRE(cluster.Propose(leader, "change " + std::to_string(i)));
  }
  BOOST_REQUIRE(
    cluster.RunUntil([&] { return cluster.IsApplied("change 699"); }));
  cluster.Start(late);
  const Millis started = cluster.Now();
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }));
  BOOST_TEST((cluster.Now() - started).Count() <= 2000);
}

BOOST_AUTO_TEST_CASE(ReplicaBehindTheSnapshotIsSentTheSnapshot)
{
  LogCluster cluster(3);
  cluster.StartAll();
  const std::string leader = cluster.WaitForLeader();
  const std::string late = OtherThan(cluster, leader);
  cluster.Crash(late);
  for (int i = 0; i < 50; ++i) {
    cluster.Propose(leader, "change " + std::to_string(i));
  }
  BOOST_REQUIRE(
    cluster.RunUntil([&] { return cluster.IsApplied("change 49"); }));
  for (const std::string& name : AllBut(cluster, late)) {
    cluster.Log(name).Compact(cluster.At(name).state_);
    cluster.Tick(name);
    BOOST_TEST(cluster.Log(name).History().SnapshotIndex() > 0U);
  }
  cluster.Start(late);
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }));
  cluster.Crash(late);
  cluster.Start(late);
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllMembersEqual(); }));
}

BOOST_AUTO_TEST_CASE(ProposalsBeyondMaxUncommittedAreRejected)
{
  LogCluster cluster(3);
  cluster.StartAll();
  const std::string leader = cluster.WaitForLeader();
  cluster.Isolate(leader);
  size_t accepted = 0;
  while (cluster.Propose(leader, "p" + std::to_string(accepted)) &&
         accepted < 10000) {
    ++accepted;
  }
  BOOST_TEST(accepted == 4096U);
}

BOOST_AUTO_TEST_CASE(MessagesToAnOldIncarnationAreIgnored)
{
  LogCluster cluster(3);
  cluster.StartAll();
  BOOST_REQUIRE(Commit(cluster, "kept"));
  v1::PeerMessage request;
  request.set_cluster(cluster.Log("a").ClusterId());
  *request.mutable_from() = cluster.Log("a").Self();
  request.set_to("b");
  request.set_to_incarnation(cluster.Log("b").Self().incarnation());
  request.set_term(99);
  request.mutable_vote_request()->set_last_index(1000);
  request.mutable_vote_request()->set_last_term(99);
  cluster.LoseDisk("b");
  cluster.Start("b");
  cluster.Log("b").Receive(cluster.Now(), request);
  const LogActions actions = cluster.Log("b").TakeActions();
  for (const v1::PeerMessage& message : actions.messages_) {
    BOOST_TEST(message.has_hello(), message.ShortDebugString());
  }
  BOOST_TEST(cluster.Log("b").Term() == 0U);
}
