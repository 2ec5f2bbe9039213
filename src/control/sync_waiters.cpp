#include "control/sync_waiters.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// The longest that a call may be held, whatever it asks for.
constexpr std::chrono::milliseconds kMaxWait(10'000);

} // namespace

SyncWaiters::SyncWaiters(ControlState& aState)
  : state_(aState)
{
  state_.Subscribe([this] {
    std::lock_guard lock(mutex_);
    changed_ = true;
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
  // The revision is read under the lock that a change has to take to wake the
  // waiters, so that no change slips in between.
  const bool isBehind = aRequest->known_revision() < state_.Revision();
  if (isBehind || wait.count() == 0 || stopping_) {
    lock.unlock();
    *aReply = state_.Sync(*aRequest);
    aReactor->Finish(grpc::Status::OK);
    return;
  }
  waiting_.push_back(
    { .reactor_ = aReactor,
      .request_ = aRequest,
      .reply_ = aReply,
      .until_ = std::chrono::steady_clock::now() + std::min(wait, kMaxWait) });
}

void SyncWaiters::Run()
{
  std::unique_lock lock(mutex_);
  for (;;) {
    wake_.wait_until(
      lock, NextInstant(), [this] { return changed_ || stopping_; });
    const bool stopping = stopping_;
    std::vector<Waiter> due =
      TakeDue(std::exchange(changed_, false) || stopping);
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

std::vector<SyncWaiters::Waiter> SyncWaiters::TakeDue(bool aAll)
{
  const Instant now = std::chrono::steady_clock::now();
  const auto firstDue = std::stable_partition(
    waiting_.begin(), waiting_.end(), [&](const auto& aW) {
      return !aAll && aW.until_ > now;
    });
  std::vector<Waiter> due(firstDue, waiting_.end());
  waiting_.erase(firstDue, waiting_.end());
  return due;
}

SyncWaiters::Instant SyncWaiters::NextInstant() const
{
  // New calls wake the thread only through this bound.
  constexpr std::chrono::milliseconds kLongest(100);
  Instant next = std::chrono::steady_clock::now() + kLongest;
  for (const Waiter& waiter : waiting_) {
    next = std::min(next, waiter.until_);
  }
  return next;
}

} // namespace vanillahatch
