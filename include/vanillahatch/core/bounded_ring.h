// A bounded queue between two duties, each on a thread of its own.
//
// A full ring is back-pressure: `TryPush` says no and the producer has to give
// its own defined answer. Nothing is dropped silently. `Close` wakes the
// consumer, which then drains what is left.
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

  // False if the ring is full or closed; the item is then left as it was.
  bool TryPush(T&& aItem)
  {
    std::lock_guard lock(mutex_);
    if (closed_ || items_.full()) {
      return false;
    }
    items_.push_back(std::move(aItem));
    ready_.notify_one();
    return true;
  }

  // Waits for space. False only if the ring is closed.
  bool Push(T&& aItem)
  {
    std::unique_lock lock(mutex_);
    space_.wait(lock, [this] { return closed_ || !items_.full(); });
    if (closed_) {
      return false;
    }
    items_.push_back(std::move(aItem));
    ready_.notify_one();
    return true;
  }

  // The oldest item, or nothing after `aWait` or once closed and drained.
  std::optional<T> PopFor(Millis aWait)
  {
    std::unique_lock lock(mutex_);
    ready_.wait_for(lock, std::chrono::milliseconds(aWait.Count()), [this] {
      return closed_ || !items_.empty();
    });
    if (items_.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(items_.front()));
    items_.pop_front();
    space_.notify_one();
    return item;
  }

  void Close()
  {
    std::lock_guard lock(mutex_);
    closed_ = true;
    ready_.notify_all();
    space_.notify_all();
  }

  bool Closed() const
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
  std::condition_variable ready_;
  std::condition_variable space_;
  boost::circular_buffer<T> items_;
  bool closed_ = false;
};

} // namespace vanillahatch
