// The jobs that an entry has taken in and not answered, by number and by
// deadline, so that finding the late ones costs only their own number.
#pragma once

#include "vanillahatch/core/job.h"

#include <functional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace vanillahatch {

enum class JobState : uint8_t
{
  kClaiming, // the ledger is asked for the key
  kWaiting,  // for a slot
  kBackoff,  // before a retry
  kRunning,  // an attempt is under way
};

struct Job
{
  JobRequest request_;
  JobState state_ = JobState::kWaiting;
  bool hasClaim_ = false; // the key is this job's: nobody else ran it
  AttemptNumber attempt_{};
  InstanceName instance_; // of the running attempt
  Millis dispatchedAt_;
  uint32_t attempts_ = 0;
  // Set from the first dispatch that may have written a byte; a refusal says
  // "did not run" only while it is false.
  bool maybeRan_ = false;
  std::vector<InstanceName> tried_;
};

class JobTable
{
public:
  Job& Add(const JobRequest& aRequest)
  {
    Job& job = jobs_[aRequest.number_];
    job.request_ = aRequest;
    byDeadline_.insert({ aRequest.deadline_, aRequest.number_ });
    return job;
  }

  Job* Find(JobNumber aNumber)
  {
    const auto it = jobs_.find(aNumber);
    return it != jobs_.end() ? &it->second : nullptr;
  }

  void Remove(JobNumber aNumber)
  {
    const auto it = jobs_.find(aNumber);
    if (it == jobs_.end()) {
      return;
    }
    byDeadline_.erase({ it->second.request_.deadline_, aNumber });
    jobs_.erase(it);
  }

  // Jobs whose deadline has come, earliest first.
  std::vector<JobNumber> Late(Millis aNow) const
  {
    std::vector<JobNumber> late;
    for (const auto& [deadline, number] : byDeadline_) {
      if (deadline > aNow) {
        break;
      }
      late.push_back(number);
    }
    return late;
  }

  Millis NextDeadline() const
  {
    return byDeadline_.empty() ? Millis::Max() : byDeadline_.begin()->first;
  }

  size_t Size() const { return jobs_.size(); }

private:
  std::unordered_map<JobNumber, Job> jobs_;
  std::set<std::pair<Millis, JobNumber>> byDeadline_;
};

} // namespace vanillahatch
