#define BOOST_TEST_MODULE order_queues
#include "scheduler/order_queues.h"

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

struct OrderQueuesFixture
{
  // An order that ends when the test calls `FinishAll`.
  QueuedOrder PendingOrder(bool aExpires)
  {
    QueuedOrder order;
    order.send_ = [this]() -> asio::awaitable<void> {
      ++sentCount_;
      asio::steady_timer finished(io_, asio::steady_timer::time_point::max());
      pending_.push_back(&finished);
      boost::system::error_code ignored;
      co_await finished.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    };
    if (aExpires) {
      order.sendBy_ = clock_.now_ + kMaxOrderDelay;
      order.onExpired_ = [this] { ++expiredCount_; };
    }
    return order;
  }

  void Poll()
  {
    io_.restart();
    io_.poll();
  }

  void FinishAll()
  {
    for (asio::steady_timer* finished : std::exchange(pending_, {})) {
      finished->cancel();
    }
    Poll();
  }

  asio::io_context io_;
  FakeClock clock_;
  OrderQueues queues_{ io_, clock_ };
  const InstanceKey instance_{ .id_ = "i-1", .startedUnixMs_ = 1 };
  std::vector<asio::steady_timer*> pending_;
  int sentCount_ = 0;
  int expiredCount_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OrderQueuesTests, OrderQueuesFixture)

BOOST_AUTO_TEST_CASE(OrdersBeyondFourWaitForReplies)
{
  for (int i = 0; i < 6; ++i) {
    queues_.Add(instance_, PendingOrder(true));
  }
  Poll();
  BOOST_TEST(sentCount_ == 4);
  FinishAll();
  BOOST_TEST(sentCount_ == 6);
  BOOST_TEST(expiredCount_ == 0);
}

BOOST_AUTO_TEST_CASE(ExpiringOrderToHangingInstanceIsNotSentLate)
{
  for (int i = 0; i < 6; ++i) {
    queues_.Add(instance_, PendingOrder(true));
  }
  Poll();
  clock_.now_ = clock_.now_ + kMaxOrderDelay + Millis(1);
  FinishAll();
  BOOST_TEST(sentCount_ == 4);
  BOOST_TEST(expiredCount_ == 2);
}

BOOST_AUTO_TEST_CASE(DelayBeforeTheQueueCountsTowardsTheBoundOfAnOrder)
{
  for (int i = 0; i < 4; ++i) {
    queues_.Add(instance_, PendingOrder(true));
  }
  Poll();
  QueuedOrder delayed = PendingOrder(true);
  clock_.now_ = clock_.now_ + Millis(200);
  queues_.Add(instance_, std::move(delayed));
  clock_.now_ = clock_.now_ + Millis(200);
  FinishAll();
  BOOST_TEST(sentCount_ == 4);
  BOOST_TEST(expiredCount_ == 1);
}

BOOST_AUTO_TEST_CASE(OrderThatDoesNotExpireIsSentLate)
{
  for (int i = 0; i < 5; ++i) {
    queues_.Add(instance_, PendingOrder(false));
  }
  Poll();
  clock_.now_ = clock_.now_ + Seconds(2);
  FinishAll();
  BOOST_TEST(sentCount_ == 5);
}

BOOST_AUTO_TEST_CASE(OrdersToOtherInstancesDoNotWait)
{
  for (int i = 0; i < 5; ++i) {
    queues_.Add(instance_, PendingOrder(true));
  }
  queues_.Add({ .id_ = "i-2", .startedUnixMs_ = 1 }, PendingOrder(true));
  Poll();
  BOOST_TEST(sentCount_ == 5);
}

BOOST_AUTO_TEST_SUITE_END()
