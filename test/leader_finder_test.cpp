#define BOOST_TEST_MODULE leader_finder
#include "gateway/leader_finder.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace vanillahatch;

BOOST_AUTO_TEST_CASE(SeedsAreAskedInTurnWhileNoLeaderIsKnown)
{
  LeaderFinder finder({ .seeds_ = { "a", "b", "c" } });
  std::set<std::string> asked;
  for (int i = 0; i < 3; ++i) {
    asked.insert(finder.NextToAsk());
  }
  BOOST_TEST(asked.size() == 3U);
  BOOST_TEST(!finder.IsReady(Seconds(1)));
}

BOOST_AUTO_TEST_CASE(LeaderIsBelievedInForAWhileOnly)
{
  LeaderFinder finder({ .seeds_ = { "a" } });
  finder.OnAnswer(Seconds(1), "a", "a", true, { "a", "b" });
  BOOST_TEST(finder.Leader() == "a");
  BOOST_TEST(finder.IsReady(Seconds(2)));
  BOOST_TEST(!finder.IsReady(Seconds(3)));
}

BOOST_AUTO_TEST_CASE(ServedCallConfirmsTheLeader)
{
  LeaderFinder finder({ .seeds_ = { "a" } });
  finder.OnAnswer(Seconds(1), "a", "a", true, { "a", "b" });
  finder.OnServed(Seconds(3), "a");
  BOOST_TEST(finder.IsReady(Seconds(4)));
  finder.OnServed(Seconds(9), "b"); // of a call to a former leader
  BOOST_TEST(!finder.IsReady(Seconds(9)));
}

BOOST_AUTO_TEST_CASE(MembersAreAskedWhenAllSeedsAreGone)
{
  LeaderFinder finder({ .seeds_ = { "a" } });
  finder.OnAnswer(Seconds(1), "a", "a", true, { "b", "c" });
  finder.OnSilence("a");
  std::set<std::string> asked;
  for (int i = 0; i < 3; ++i) {
    asked.insert(finder.NextToAsk());
  }
  BOOST_TEST(asked.contains("b"));
  BOOST_TEST(asked.contains("c"));
}

BOOST_AUTO_TEST_CASE(FollowerNamesTheLeaderThatIsAskedNext)
{
  LeaderFinder finder({ .seeds_ = { "a", "b" } });
  finder.OnAnswer(Seconds(1), "a", "b", false, {});
  BOOST_TEST(finder.NextToAsk() == "b");
  BOOST_TEST(!finder.IsReady(Seconds(1)));
}
