#define BOOST_TEST_MODULE order_lanes
#include "scheduler/order_lanes.h"

#include "vanillahatch/core/jobs/orders.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

using namespace vanillahatch;
namespace asio = boost::asio;

namespace {

class FakeClock : public Clock
{
public:
  Millis Now() const override { return now_; }
  Millis UnixNow() const override { return now_; }
  Millis now_ = Seconds(10);
};

struct LanesFixture
{
  // An order that is answered when the test says so.
  LaneOrder Hanging(bool aExpires)
  {
    LaneOrder order;
    order.send_ = [this]() -> asio::awaitable<void> {
      ++sent_;
      asio::steady_timer answer(io_, asio::steady_timer::time_point::max());
      answers_.push_back(&answer);
      boost::system::error_code ignored;
      co_await answer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    };
    if (aExpires) {
      order.expire_ = [this] { ++expired_; };
    }
    return order;
  }

  void Poll()
  {
    io_.restart();
    io_.poll();
  }

  void AnswerAll()
  {
    for (asio::steady_timer* answer : std::exchange(answers_, {})) {
      answer->cancel();
    }
    Poll();
  }

  asio::io_context io_;
  FakeClock clock_;
  OrderLanes lanes_{ io_, clock_ };
  const InstanceKey instance_{ .id_ = "i-1", .startedUnixMs_ = 1 };
  std::vector<asio::steady_timer*> answers_;
  int sent_ = 0;
  int expired_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Lanes, LanesFixture)

BOOST_AUTO_TEST_CASE(OrdersBeyondAFewWaitForAnswers)
{
  for (int i = 0; i < 6; ++i) {
    lanes_.Add(instance_, Hanging(true));
  }
  Poll();
  BOOST_TEST(sent_ == 4);
  AnswerAll();
  BOOST_TEST(sent_ == 6);
  BOOST_TEST(expired_ == 0);
}

BOOST_AUTO_TEST_CASE(StartThatWaitedBehindAHangingInstanceIsNotSentLate)
{
  for (int i = 0; i < 6; ++i) {
    lanes_.Add(instance_, Hanging(true));
  }
  Poll();
  clock_.now_ = clock_.now_ + kMaxOrderDelay + Millis(1);
  AnswerAll();
  BOOST_TEST(sent_ == 4);
  BOOST_TEST(expired_ == 2);
}

BOOST_AUTO_TEST_CASE(StopIsSentHoweverLate)
{
  for (int i = 0; i < 5; ++i) {
    lanes_.Add(instance_, Hanging(false));
  }
  Poll();
  clock_.now_ = clock_.now_ + Seconds(2);
  AnswerAll();
  BOOST_TEST(sent_ == 5);
}

BOOST_AUTO_TEST_CASE(OtherInstancesDoNotWait)
{
  for (int i = 0; i < 5; ++i) {
    lanes_.Add(instance_, Hanging(true));
  }
  lanes_.Add({ .id_ = "i-2", .startedUnixMs_ = 1 }, Hanging(true));
  Poll();
  BOOST_TEST(sent_ == 5);
}

BOOST_AUTO_TEST_SUITE_END()
