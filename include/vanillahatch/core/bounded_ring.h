// A bounded queue between a producer thread and a consumer thread.
//
// A full ring applies back-pressure: `TryPush` returns false and the producer
// must handle the refusal, so no item is dropped silently. `Close` wakes the
// consumer, which then takes the remaining items.
//
//   BoundedRing<Event> ring(1024);
//   if (!ring.TryPush(std::move(event))) { RefuseOverloaded(); }
//   while (auto event = ring.PopFor(Millis(10))) { ... }
#pragma once

#include "vanillahatch/core/clock.h"

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace vanillahatch {

template<class T>
class BoundedRing
{
public:
  explicit BoundedRing(size_t aCapacity)
    : items_(aCapacity)
  {
  }

  // Returns false, with the item unchanged, if the ring is full or closed.
  bool TryPush(T&& aItem)
  {
    std::lock_guard lock(mutex_);
    if (closed_ || items_.full()) {
      return false;
    }
    items_.push_back(std::move(aItem));
    itemAvailable_.notify_one();
    return true;
  }

  // Waits for space. Returns false only if the ring is closed.
  bool Push(T&& aItem)
  {
    std::unique_lock lock(mutex_);
    spaceAvailable_.wait(lock, [this] { return closed_ || !items_.full(); });
    if (closed_) {
      return false;
    }
    items_.push_back(std::move(aItem));
    itemAvailable_.notify_one();
    return true;
  }

  // Takes the oldest item; returns nothing after `aTimeout` without one, or if
  // the ring is closed and empty.
  std::optional<T> PopFor(Millis aTimeout)
  {
    std::unique_lock lock(mutex_);
    itemAvailable_.wait_for(lock,
                            std::chrono::milliseconds(aTimeout.Count()),
                            [this] { return closed_ || !items_.empty(); });
    if (items_.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(items_.front()));
    items_.pop_front();
    spaceAvailable_.notify_one();
    return item;
  }

  void Close()
  {
    std::lock_guard lock(mutex_);
    closed_ = true;
    itemAvailable_.notify_all();
    spaceAvailable_.notify_all();
  }

  bool IsClosed() const
  {
    std::lock_guard lock(mutex_);
    return closed_;
  }

  size_t Size() const
  {
    std::lock_guard lock(mutex_);
    return items_.size();
  }

private:
  mutable std::mutex mutex_;
  std::condition_variable itemAvailable_;
  std::condition_variable spaceAvailable_;
  boost::circular_buffer<T> items_;
  bool closed_ = false;
};

} // namespace vanillahatch
