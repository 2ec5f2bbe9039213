#include "vanillahatch/core/jobs/advice_cache.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Maximum number of instances per call: enough for a step with many tasks,
// while the latency of the call stays below the run time of a short task.
constexpr size_t kMaxInstancesPerCall = 30;
// Delay after a call that got no reply or was rejected by rate limiting.
constexpr Millis kRetryDelay = Millis(200);
// Time reserved for the start order to reach the instance before the ticket
// expires.
constexpr Millis kTicketMargin = Millis(300);

} // namespace

AdviceStep ToAdviceStep(const TaskRef& aTask)
{
  return { .jobAcceptanceIndex_ = aTask.job_->acceptanceIndex_,
           .occurrence_ = aTask.occurrence_,
           .step_ = aTask.step_ };
}

const std::string* AdviceCache::TicketFor(Millis aNow,
                                          const AdviceStep& aStep,
                                          const InstanceKey& aInstance) const
{
  const auto step = results_.find(aStep);
  if (step == results_.end()) {
    return nullptr;
  }
  const auto it = step->second.find(aInstance);
  const bool isValid = it != step->second.end() && it->second.isAllowed_ &&
                       aNow + kTicketMargin < it->second.validUntil_;
  return isValid ? &it->second.ticket_ : nullptr;
}

std::vector<InstanceKey> AdviceCache::ChooseInstancesToQuery(
  Millis aNow,
  const AdviceStep& aStep,
  std::span<const InstanceKey* const> aUsable) const
{
  if (isCallInFlight_ || aNow < nextCallAt_) {
    return {};
  }
  const auto step = results_.find(aStep);
  std::vector<InstanceKey> queried;
  std::vector<InstanceKey> neverQueried;
  for (const InstanceKey* instance : aUsable) {
    const CachedResult* result = nullptr;
    if (step != results_.end()) {
      const auto it = step->second.find(*instance);
      result = it != step->second.end() ? &it->second : nullptr;
    }
    if (result == nullptr) {
      neverQueried.push_back(*instance);
    } else if (result->isAllowed_ && !TicketFor(aNow, aStep, *instance)) {
      queried.push_back(*instance);
    }
  }
  queried.insert(queried.end(), neverQueried.begin(), neverQueried.end());
  queried.resize(std::min(queried.size(), kMaxInstancesPerCall));
  return queried;
}

void AdviceCache::OnCallSent(const AdviceStep& aStep)
{
  isCallInFlight_ = true;
  results_.try_emplace(aStep);
}

void AdviceCache::OnReply(Millis aNow,
                          const AdviceStep& aStep,
                          std::span<const InstanceKey> aQueried,
                          const AdviceReply& aReply)
{
  isCallInFlight_ = false;
  if (!aReply.isAnswered_) {
    nextCallAt_ = aNow + kRetryDelay;
    return;
  }
  const auto step = results_.find(aStep);
  if (step == results_.end()) {
    return; // The job has closed.
  }
  for (const InstanceKey& instance : aQueried) {
    CachedResult& result = step->second[instance];
    const auto ticket = std::find_if(
      aReply.allowed_.begin(),
      aReply.allowed_.end(),
      [&](const Ticket& aTicket) { return aTicket.instance_ == instance.id_; });
    result.isAllowed_ = ticket != aReply.allowed_.end();
    result.ticket_ = result.isAllowed_ ? ticket->ticket_ : std::string();
    result.validUntil_ = aNow + aReply.validity_;
  }
}

void AdviceCache::DropTicket(const AdviceStep& aStep,
                             const InstanceKey& aInstance)
{
  const auto step = results_.find(aStep);
  if (step == results_.end()) {
    return;
  }
  const auto it = step->second.find(aInstance);
  if (it != step->second.end()) {
    it->second.validUntil_ = {};
  }
}

void AdviceCache::RetainJobs(const std::map<uint64_t, Job*>& aOpenJobs)
{
  std::erase_if(results_, [&](const auto& aItem) {
    return !aOpenJobs.contains(aItem.first.jobAcceptanceIndex_);
  });
}

} // namespace vanillahatch
