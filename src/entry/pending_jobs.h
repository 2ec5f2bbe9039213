// The jobs whose callers wait on this entry: their bodies and the place where
// the answer is put. Used on the network thread only.
#pragma once

#include "vanillahatch/core/job.h"
#include "vanillahatch/shell/http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace vanillahatch {

// What `GET /v1/jobs/{id}` tells.
enum class PublicState : uint8_t
{
  kWaiting,
  kRunning,
  kAnswered,
  kRefused,
  kUnknown, // not a job of this start of the entry, or too long ago
};

struct PendingJob
{
  JobRequest request_;
  std::string publicId_; // what the caller sees
  PublicState state_ = PublicState::kWaiting;
  HttpRequest body_;
  std::optional<HttpResponse> response_;
  std::shared_ptr<boost::asio::steady_timer> wake_; // cancelled when answered
  std::map<AttemptNumber, HttpResponse> answers_;   // whole, not yet chosen
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

  // Gives the caller its response; later ones for the job find nothing.
  void Complete(JobNumber aNumber,
                HttpResponse aResponse,
                PublicState aState = PublicState::kAnswered)
  {
    const auto it = jobs_.find(aNumber);
    if (it == jobs_.end()) {
      return;
    }
    it->second->response_ = std::move(aResponse);
    it->second->wake_->cancel();
    jobs_.erase(it);
    Remember(aNumber, aState);
  }

  PublicState StateOf(JobNumber aNumber) const
  {
    if (const auto job = Find(aNumber)) {
      return job->state_;
    }
    const auto it = ended_.find(aNumber);
    return it != ended_.end() ? it->second : PublicState::kUnknown;
  }

  size_t Size() const { return jobs_.size(); }

  static constexpr size_t kMostEnded = 20'000; // ended jobs remembered

private:
  void Remember(JobNumber aNumber, PublicState aState)
  {
    ended_[aNumber] = aState;
    endedInOrder_.push_back(aNumber);
    if (endedInOrder_.size() > kMostEnded) {
      ended_.erase(endedInOrder_.front());
      endedInOrder_.pop_front();
    }
  }

  std::map<JobNumber, std::shared_ptr<PendingJob>> jobs_;
  std::map<JobNumber, PublicState> ended_;
  std::deque<JobNumber> endedInOrder_;
};

} // namespace vanillahatch
