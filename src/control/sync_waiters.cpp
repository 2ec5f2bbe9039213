#include "control/sync_waiters.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// A request that asks for a longer wait is held for this long.
constexpr std::chrono::milliseconds kMaxWait(10'000);

} // namespace

SyncWaiters::SyncWaiters(ControlState& aState)
  : state_(aState)
{
  state_.Subscribe([this] {
    std::lock_guard lock(mutex_);
    stateChanged_ = true;
    wake_.notify_one();
  });
  thread_ = std::thread([this] { Run(); });
}

SyncWaiters::~SyncWaiters()
{
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    wake_.notify_one();
  }
  thread_.join();
}

void SyncWaiters::Add(grpc::ServerUnaryReactor* aReactor,
                      const v1::SyncRequest* aRequest,
                      v1::SyncReply* aReply)
{
  const std::chrono::milliseconds wait(aRequest->wait_ms());
  std::unique_lock lock(mutex_);
  // A change takes the same lock to wake the waiters, so that none is missed
  // between this check and the insertion.
  const bool isBehind = aRequest->known_revision() < state_.Revision();
  if (isBehind || wait.count() == 0 || stopping_) {
    lock.unlock();
    *aReply = state_.Sync(*aRequest);
    aReactor->Finish(grpc::Status::OK);
    return;
  }
  waiting_.push_back({ .reactor_ = aReactor,
                       .request_ = aRequest,
                       .reply_ = aReply,
                       .deadline_ = std::chrono::steady_clock::now() +
                                    std::min(wait, kMaxWait) });
}

void SyncWaiters::Run()
{
  std::unique_lock lock(mutex_);
  for (;;) {
    wake_.wait_until(
      lock, NextWakeAt(), [this] { return stateChanged_ || stopping_; });
    const bool stopping = stopping_;
    std::vector<Waiter> due =
      RemoveDue(std::exchange(stateChanged_, false) || stopping);
    lock.unlock();
    for (const Waiter& waiter : due) {
      *waiter.reply_ = state_.Sync(*waiter.request_);
      waiter.reactor_->Finish(grpc::Status::OK);
    }
    if (stopping) {
      return;
    }
    lock.lock();
  }
}

std::vector<SyncWaiters::Waiter> SyncWaiters::RemoveDue(bool aAll)
{
  const TimePoint now = std::chrono::steady_clock::now();
  const auto firstDue = std::stable_partition(
    waiting_.begin(), waiting_.end(), [&](const auto& aWaiter) {
      return !aAll && aWaiter.deadline_ > now;
    });
  std::vector<Waiter> due(firstDue, waiting_.end());
  waiting_.erase(firstDue, waiting_.end());
  return due;
}

SyncWaiters::TimePoint SyncWaiters::NextWakeAt() const
{
  // A new call does not wake the thread, so this bounds the delay after its
  // deadline.
  constexpr std::chrono::milliseconds kMaxSleep(100);
  TimePoint next = std::chrono::steady_clock::now() + kMaxSleep;
  for (const Waiter& waiter : waiting_) {
    next = std::min(next, waiter.deadline_);
  }
  return next;
}

} // namespace vanillahatch
