// Queues the orders to each instance and sends at most four at once, which
// bounds the connections to it. An order that may expire is dropped if its
// turn comes after its `sendBy_`.
//
// The limit on the wait guards against an instance that hangs during a demand
// peak: its orders would wait for seconds, and by then a new incarnation may
// have started under its id. The new incarnation does not know of a stop sent
// to the old one, and would run a task that has since started elsewhere.
//
//   OrderQueues queues(io, clock);
//   queues.Add(key, { .send_ = ..., .onExpired_ = ... });
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/jobs/job_store.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <optional>

namespace vanillahatch {

struct QueuedOrder
{
  std::function<boost::asio::awaitable<void>()> send_;
  // `onExpired_` is called instead of `send_` after this time. Unset: the order
  // is sent however long it waited.
  std::optional<Millis> sendBy_;
  std::function<void()> onExpired_;
};

// Must be used on the thread of its io_context only.
class OrderQueues
{
public:
  OrderQueues(boost::asio::io_context& aIo, const Clock& aClock);

  void Add(const InstanceKey& aInstance, QueuedOrder aOrder);
  // Removes the orders that wait. Those in flight end by themselves.
  void Clear();

private:
  struct InstanceQueue
  {
    std::deque<QueuedOrder> waiting_;
    size_t ordersInFlight_ = 0;
  };

  void SendNext(const InstanceKey& aInstance);
  boost::asio::awaitable<void> Send(
    InstanceKey aInstance,
    std::function<boost::asio::awaitable<void>()> aSend);

  boost::asio::io_context& io_;
  const Clock& clock_;
  std::map<InstanceKey, InstanceQueue> queues_;
  uint64_t generation_ = 0; // grows with each `Clear`
};

} // namespace vanillahatch
