#define BOOST_TEST_MODULE leader_finder
#include "gateway/leader_finder.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace vanillahatch;

BOOST_AUTO_TEST_CASE(SeedsAreQueriedInTurnWhileNoLeaderIsKnown)
{
  LeaderFinder finder({ .seeds_ = { "a", "b", "c" } });
  std::set<std::string> queried;
  for (int i = 0; i < 3; ++i) {
    queried.insert(finder.NextReplicaToQuery());
  }
  BOOST_TEST(queried.size() == 3U);
  BOOST_TEST(!finder.IsReady(Seconds(1)));
}

BOOST_AUTO_TEST_CASE(ConfirmationOfLeaderExpires)
{
  LeaderFinder finder({ .seeds_ = { "a" } });
  finder.OnMembersReply(Seconds(1), "a", "a", true, { "a", "b" });
  BOOST_TEST(finder.Leader() == "a");
  BOOST_TEST(finder.IsReady(Seconds(2)));
  BOOST_TEST(!finder.IsReady(Seconds(3)));
}

BOOST_AUTO_TEST_CASE(ServedCallConfirmsLeader)
{
  LeaderFinder finder({ .seeds_ = { "a" } });
  finder.OnMembersReply(Seconds(1), "a", "a", true, { "a", "b" });
  finder.OnCallServed(Seconds(3), "a");
  BOOST_TEST(finder.IsReady(Seconds(4)));
  finder.OnCallServed(Seconds(9), "b"); // a late reply of a former leader
  BOOST_TEST(!finder.IsReady(Seconds(9)));
}

BOOST_AUTO_TEST_CASE(MembersAreQueriedWhenNoSeedAnswers)
{
  LeaderFinder finder({ .seeds_ = { "a" } });
  finder.OnMembersReply(Seconds(1), "a", "a", true, { "b", "c" });
  finder.OnNoReply("a");
  std::set<std::string> queried;
  for (int i = 0; i < 3; ++i) {
    queried.insert(finder.NextReplicaToQuery());
  }
  BOOST_TEST(queried.contains("b"));
  BOOST_TEST(queried.contains("c"));
}

BOOST_AUTO_TEST_CASE(LeaderNamedByFollowerIsQueriedNext)
{
  LeaderFinder finder({ .seeds_ = { "a", "b" } });
  finder.OnMembersReply(Seconds(1), "a", "b", false, {});
  BOOST_TEST(finder.NextReplicaToQuery() == "b");
  BOOST_TEST(!finder.IsReady(Seconds(1)));
}
