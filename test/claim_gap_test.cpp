// Compares how long a crashed replica delays claims with how long a log with a
// leader, represented by this project's control log, has no leader after a
// crash. Virtual time, with a one-way delay of 1 ms in both. Run with
// --log_level=message to print the figures.
#define BOOST_TEST_MODULE claim_gap
#include "claim_cluster.h"
#include "log_cluster.h"

using namespace vanillahatch;

BOOST_TEST_DONT_PRINT_LOG_VALUE(vanillahatch::ClaimOutcome)

namespace {

constexpr uint64_t kSeeds = 20;
// The requirement for changes is a pause of at most 3 s without a leader; a
// claim may be delayed by at most a tenth of that.
constexpr Millis kMaxGap = Millis(300);

struct GapStatistics
{
  Millis max_;
  Millis sum_;

  void Add(Millis aGap)
  {
    max_ = std::max(max_, aGap);
    sum_ = sum_ + aGap;
  }
};

// The duration of the longest of 100 claims, one started every 10 ms; the
// replica crashes as the 51st starts.
Millis LongestClaim(size_t aCrashed, uint64_t aSeed)
{
  testing::ClaimCluster cluster(3, aSeed);
  std::map<uint64_t, Millis> startedAt;
  Millis longest;
  cluster.onResult_ = [&](uint64_t aId) {
    BOOST_TEST(cluster.results_[aId].outcome_ == ClaimOutcome::kGranted);
    longest = std::max(longest, cluster.now_ - startedAt[aId]);
  };
  for (int i = 0; i < 100; ++i) {
    const std::string name = std::to_string(i);
    const Millis now = cluster.now_;
    startedAt[cluster.StartOperation("k" + name, "c" + name)] = now;
    if (i == 50) {
      cluster.KillReplica(aCrashed);
    }
    cluster.Run(Millis(10));
  }
  cluster.Run(Seconds(1));
  BOOST_TEST(cluster.results_.size() == 100U);
  return longest;
}

// The time for which the log accepts no entries after its leader crashed.
Millis LeaderlessTime(uint64_t aSeed)
{
  LogCluster cluster(3, aSeed);
  cluster.StartAll();
  std::string leader;
  const auto hasLeader = [&] {
    for (const std::string& name : cluster.Names()) {
      const Replica& replica = cluster.At(name);
      if (replica.IsUp() && replica.log_->IsEstablishedLeader()) {
        leader = name;
        return true;
      }
    }
    return false;
  };
  BOOST_REQUIRE(cluster.RunUntil(hasLeader));
  cluster.Run(Seconds(5));
  BOOST_REQUIRE(hasLeader());
  cluster.Crash(leader);
  const Millis before = cluster.Now();
  BOOST_REQUIRE(cluster.RunUntil(hasLeader));
  return cluster.Now() - before;
}

} // namespace

BOOST_AUTO_TEST_CASE(CrashedReplicaDelaysNoClaimForLong)
{
  GapStatistics claims;
  GapStatistics leader;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    claims.Add(LongestClaim(seed % 3, seed));
    leader.Add(LeaderlessTime(seed));
  }
  BOOST_TEST_MESSAGE("gap, ms, seeds 1 to "
                     << kSeeds << ": register per key mean "
                     << (claims.sum_ / kSeeds).Count() << " max "
                     << claims.max_.Count() << "; leader's log mean "
                     << (leader.sum_ / kSeeds).Count() << " max "
                     << leader.max_.Count());
  BOOST_TEST(claims.max_.Count() <= kMaxGap.Count());
  BOOST_TEST(claims.max_.Count() < leader.max_.Count());
}
