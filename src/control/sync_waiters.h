// Calls of entries that wait for the next revision (long polls). A thread of
// its own answers them when a change is applied or their time is up.
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

  // Answers the call now or later; request and reply stay valid until the
  // reactor is finished.
  void Add(grpc::ServerUnaryReactor* aReactor,
           const v1::SyncRequest* aRequest,
           v1::SyncReply* aReply);

private:
  using Instant = std::chrono::steady_clock::time_point;

  struct Waiter
  {
    grpc::ServerUnaryReactor* reactor_ = nullptr;
    const v1::SyncRequest* request_ = nullptr;
    v1::SyncReply* reply_ = nullptr;
    Instant until_;
  };

  void Run();
  // Takes out the waiters that are due; all of them if `aAll`.
  std::vector<Waiter> TakeDue(bool aAll);
  Instant NextInstant() const;

  ControlState& state_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Waiter> waiting_;
  bool changed_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace vanillahatch
