// Orders to one instance a few at a time, so that it is not flooded with
// connections; a start that waits too long is dropped.
//
// Load that it answers: an instance that hangs, under a turn. Its orders pile
// up behind those that wait for an answer, and would reach it seconds later,
// when it may have been born again under its id: it knows nothing of a stop
// that its former life was sent, and would run a task that runs elsewhere by
// then.
//
//   OrderLanes lanes(io, clock);
//   lanes.Add(key, { .send_ = ..., .expire_ = ... });
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/jobs/job_store.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>

namespace vanillahatch {

struct LaneOrder
{
  std::function<boost::asio::awaitable<void>()> send_;
  // Called instead of `send_` if the order waited too long; none: it is sent
  // at any time.
  std::function<void()> expire_;
};

// Lives on the thread of its io_context.
class OrderLanes
{
public:
  OrderLanes(boost::asio::io_context& aIo, const Clock& aClock);

  void Add(const InstanceKey& aInstance, LaneOrder aOrder);
  // Forgets what waits. What is under way ends by itself.
  void Clear();

private:
  struct Waiting
  {
    LaneOrder order_;
    Millis addedAt_;
  };
  struct Lane
  {
    std::deque<Waiting> waiting_;
    size_t underWay_ = 0;
  };

  void Run(const InstanceKey& aInstance);
  boost::asio::awaitable<void> Send(
    InstanceKey aInstance,
    std::function<boost::asio::awaitable<void>()> aSend);

  boost::asio::io_context& io_;
  const Clock& clock_;
  std::map<InstanceKey, Lane> lanes_;
  uint64_t generation_ = 0; // grows with each `Clear`
};

} // namespace vanillahatch
