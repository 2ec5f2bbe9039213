// The jobs that an entry has accepted and not answered yet, indexed by number
// and by deadline, so that finding the n overdue jobs takes O(n).
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
  kClaiming, // the claim on the key is in flight
  kWaiting,  // queued for a slot
  kBackoff,  // neither queued nor running; a retry may follow
  kRunning,  // an attempt is in flight
};

struct Job
{
  JobRequest request_;
  JobState state_ = JobState::kWaiting;
  bool hasClaim_ = false;   // holds its key: no other request with it ran
  AttemptNumber attempt_{}; // the latest
  InstanceName instance_;   // of the latest attempt
  Millis dispatchedAt_;
  uint32_t attempts_ = 0; // dispatched
  // Whether an ended or abandoned attempt may have written a byte, or another
  // request with the same key may have run. A refusal states
  // `ExecutionStatus::kNotRun` only if this is false.
  bool mayHaveRun_ = false;
  std::vector<InstanceName> tried_; // not chosen again
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

  // Jobs whose deadline has passed, earliest first.
  std::vector<JobNumber> Overdue(Millis aNow) const
  {
    std::vector<JobNumber> overdue;
    for (const auto& [deadline, number] : byDeadline_) {
      if (deadline > aNow) {
        break;
      }
      overdue.push_back(number);
    }
    return overdue;
  }

  // The earliest deadline, or Millis::Max() if there is no job.
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
