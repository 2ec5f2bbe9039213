// Holds the long polls of entries that wait for the next revision. Its thread
// replies to them when a change is applied or their deadline has passed.
#pragma once

#include "control/control_state.h"

#include <chrono>
#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <thread>
#include <vector>

namespace vanillahatch {

class SyncWaiters
{
public:
  explicit SyncWaiters(ControlState& aState);
  ~SyncWaiters();
  SyncWaiters(const SyncWaiters&) = delete;
  SyncWaiters& operator=(const SyncWaiters&) = delete;

  // Replies immediately or later; request and reply must stay valid until the
  // reactor is finished.
  void Add(grpc::ServerUnaryReactor* aReactor,
           const v1::SyncRequest* aRequest,
           v1::SyncReply* aReply);

private:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Waiter
  {
    grpc::ServerUnaryReactor* reactor_ = nullptr;
    const v1::SyncRequest* request_ = nullptr;
    v1::SyncReply* reply_ = nullptr;
    TimePoint deadline_;
  };

  void Run();
  // Removes and returns the waiters whose deadline has passed; all of them if
  // `aAll`.
  std::vector<Waiter> RemoveDue(bool aAll);
  // When the thread has to wake at the latest.
  TimePoint NextWakeAt() const;

  ControlState& state_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Waiter> waiting_;
  bool stateChanged_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace vanillahatch
