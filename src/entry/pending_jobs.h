// The jobs whose callers wait for an answer from this entry, and the final
// states of recent ones. To be used on the network thread only.
#pragma once

#include "vanillahatch/core/job.h"
#include "vanillahatch/shell/http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace vanillahatch {

// The state of a job that `GET /v1/jobs/{id}` returns.
enum class PublicJobState : uint8_t
{
  kWaiting,
  kRunning,
  kAnswered,
  kRefused,
  kUnknown, // not accepted since the entry started, or finished too long ago
};

struct PendingJob
{
  JobRequest request_;
  std::string publicId_; // the id that the caller uses
  PublicJobState state_ = PublicJobState::kWaiting;
  HttpRequest httpRequest_;
  std::optional<HttpResponse> response_; // to the caller
  // Never expires; is cancelled when `response_` is set, to wake the handler.
  std::shared_ptr<boost::asio::steady_timer> wake_;
  // Complete answers of upstreams, until the decision thread chooses one.
  std::map<AttemptNumber, HttpResponse> answers_;
};

class PendingJobs
{
public:
  void Add(std::shared_ptr<PendingJob> aJob)
  {
    jobs_[aJob->request_.number_] = std::move(aJob);
  }

  std::shared_ptr<PendingJob> Find(JobNumber aNumber) const
  {
    const auto it = jobs_.find(aNumber);
    return it != jobs_.end() ? it->second : nullptr;
  }

  // Sends the caller its response. Further responses for the job are ignored.
  void Complete(JobNumber aNumber,
                HttpResponse aResponse,
                PublicJobState aState = PublicJobState::kAnswered)
  {
    const auto it = jobs_.find(aNumber);
    if (it == jobs_.end()) {
      return;
    }
    it->second->response_ = std::move(aResponse);
    it->second->wake_->cancel();
    jobs_.erase(it);
    RecordEnd(aNumber, aState);
  }

  PublicJobState StateOf(JobNumber aNumber) const
  {
    if (const auto job = Find(aNumber)) {
      return job->state_;
    }
    const auto it = endedStates_.find(aNumber);
    return it != endedStates_.end() ? it->second : PublicJobState::kUnknown;
  }

  size_t Size() const { return jobs_.size(); }

  static constexpr size_t kMaxEndedJobs = 20'000; // whose state is kept

private:
  void RecordEnd(JobNumber aNumber, PublicJobState aState)
  {
    endedStates_[aNumber] = aState;
    endedOldestFirst_.push_back(aNumber);
    if (endedOldestFirst_.size() > kMaxEndedJobs) {
      endedStates_.erase(endedOldestFirst_.front());
      endedOldestFirst_.pop_front();
    }
  }

  std::map<JobNumber, std::shared_ptr<PendingJob>> jobs_;
  std::map<JobNumber, PublicJobState> endedStates_;
  std::deque<JobNumber> endedOldestFirst_;
};

} // namespace vanillahatch
