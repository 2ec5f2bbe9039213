// The jobs whose callers wait on this entry: their bodies and the place where
// the answer is put. Used on the network thread only.
#pragma once

#include "vanillahatch/core/job.h"
#include "vanillahatch/shell/http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>

namespace vanillahatch {

struct PendingJob
{
  JobRequest request_;
  std::string publicId_; // what the caller sees
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
  void Complete(JobNumber aNumber, HttpResponse aResponse)
  {
    const auto it = jobs_.find(aNumber);
    if (it == jobs_.end()) {
      return;
    }
    it->second->response_ = std::move(aResponse);
    it->second->wake_->cancel();
    jobs_.erase(it);
  }

  size_t Size() const { return jobs_.size(); }

private:
  std::map<JobNumber, std::shared_ptr<PendingJob>> jobs_;
};

} // namespace vanillahatch
