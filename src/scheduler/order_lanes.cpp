#include "scheduler/order_lanes.h"

#include "vanillahatch/core/jobs/orders.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace vanillahatch {

namespace asio = boost::asio;

namespace {

// Connections for orders to one instance, beside the one that lists.
constexpr size_t kOrdersAtOnce = 4;

} // namespace

OrderLanes::OrderLanes(asio::io_context& aIo, const Clock& aClock)
  : io_(aIo)
  , clock_(aClock)
{
}

void OrderLanes::Add(const InstanceKey& aInstance, LaneOrder aOrder)
{
  lanes_[aInstance].waiting_.push_back(
    { .order_ = std::move(aOrder), .addedAt_ = clock_.Now() });
  Run(aInstance);
}

void OrderLanes::Clear()
{
  ++generation_;
  lanes_.clear();
}

void OrderLanes::Run(const InstanceKey& aInstance)
{
  Lane& lane = lanes_[aInstance];
  while (lane.underWay_ < kOrdersAtOnce && !lane.waiting_.empty()) {
    Waiting next = std::move(lane.waiting_.front());
    lane.waiting_.pop_front();
    const bool isLate = clock_.Now() - next.addedAt_ > kMaxOrderDelay;
    if (isLate && next.order_.expire_) {
      // Not from here: it may add orders to this very lane.
      asio::post(io_, std::move(next.order_.expire_));
      continue;
    }
    ++lane.underWay_;
    asio::co_spawn(
      io_, Send(aInstance, std::move(next.order_.send_)), asio::detached);
  }
}

asio::awaitable<void> OrderLanes::Send(
  InstanceKey aInstance,
  std::function<asio::awaitable<void>()> aSend)
{
  const uint64_t generation = generation_;
  co_await aSend();
  if (generation == generation_) {
    --lanes_[aInstance].underWay_;
    Run(aInstance);
  }
}

} // namespace vanillahatch
