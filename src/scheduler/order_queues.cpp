#include "scheduler/order_queues.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace vanillahatch {

namespace asio = boost::asio;

namespace {

// Per instance, and so the number of connections to it in addition to the one
// for hold orders.
constexpr size_t kMaxOrdersInFlight = 4;

} // namespace

OrderQueues::OrderQueues(asio::io_context& aIo, const Clock& aClock)
  : io_(aIo)
  , clock_(aClock)
{
}

void OrderQueues::Add(const InstanceKey& aInstance, QueuedOrder aOrder)
{
  queues_[aInstance].waiting_.push_back(std::move(aOrder));
  SendNext(aInstance);
}

void OrderQueues::Clear()
{
  ++generation_;
  queues_.clear();
}

void OrderQueues::SendNext(const InstanceKey& aInstance)
{
  InstanceQueue& queue = queues_[aInstance];
  while (queue.ordersInFlight_ < kMaxOrdersInFlight &&
         !queue.waiting_.empty()) {
    QueuedOrder next = std::move(queue.waiting_.front());
    queue.waiting_.pop_front();
    if (next.sendBy_ && clock_.Now() > *next.sendBy_) {
      // Posted, because the callback may add orders to this queue.
      asio::post(io_, std::move(next.onExpired_));
      continue;
    }
    ++queue.ordersInFlight_;
    asio::co_spawn(io_, Send(aInstance, std::move(next.send_)), asio::detached);
  }
}

asio::awaitable<void> OrderQueues::Send(
  InstanceKey aInstance,
  std::function<asio::awaitable<void>()> aSend)
{
  const uint64_t generation = generation_;
  co_await aSend();
  if (generation == generation_) {
    --queues_[aInstance].ordersInFlight_;
    SendNext(aInstance);
  }
}

} // namespace vanillahatch
