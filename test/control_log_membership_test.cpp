// Replacement of replicas of an open cluster, where any replica may join.
#define BOOST_TEST_MODULE control_log_membership
#include "log_cluster.h"

using namespace vanillahatch;

namespace {

// A machine counts as lost until this time after it, or its successor, started.
constexpr Millis kCatchUp = Seconds(4);

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

// Three replicas, of which `follower_` will be replaced and `other_` not.
struct OpenCluster
{
  explicit OpenCluster(uint64_t aSeed = 1)
    : cluster_(3, aSeed, kOpen)
  {
    cluster_.StartAll();
    BOOST_REQUIRE(Commit(cluster_, "first"));
    leader_ = cluster_.Leader();
    follower_ = AllBut(cluster_, leader_)[0];
    other_ = AllBut(cluster_, leader_)[1];
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
