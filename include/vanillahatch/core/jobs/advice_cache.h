// Caches the advisor's replies: which instances may run a step, and the tickets
// that the start orders have to carry.
//
// The advisor accepts one call at a time and its latency grows with the number
// of instances in the call. Only steps that are about to start are therefore
// queried, for a limited number of instances per call. The result for an
// instance never changes and is cached; only its ticket expires.
//
//   AdviceCache cache;
//   auto queried = cache.ChooseInstancesToQuery(now, step, usable);
//   cache.OnCallSent(step);
//   cache.OnReply(now, step, queried, reply);
//   cache.TicketFor(now, step, instance);
#pragma once

#include "vanillahatch/core/jobs/orders.h"

#include <span>

namespace vanillahatch {

AdviceStep ToAdviceStep(const TaskRef& aTask);

class AdviceCache
{
public:
  // The ticket to start the step on the instance, or null if no valid ticket is
  // cached.
  const std::string* TicketFor(Millis aNow,
                               const AdviceStep& aStep,
                               const InstanceKey& aInstance) const;
  // Instances of `aUsable` to query next: allowed instances without a valid
  // ticket first, then instances that were never queried. Empty while a call is
  // in flight or shortly after a failed one.
  std::vector<InstanceKey> ChooseInstancesToQuery(
    Millis aNow,
    const AdviceStep& aStep,
    std::span<const InstanceKey* const> aUsable) const;

  // Records that a call for the step was sent.
  void OnCallSent(const AdviceStep& aStep);
  void OnReply(Millis aNow,
               const AdviceStep& aStep,
               std::span<const InstanceKey> aQueried,
               const AdviceReply& aReply);
  // Invalidates the ticket, after the instance has rejected it.
  void DropTicket(const AdviceStep& aStep, const InstanceKey& aInstance);
  // Evicts the steps of jobs that are not open.
  void RetainJobs(const std::map<uint64_t, Job*>& aOpenJobs);

private:
  struct CachedResult
  {
    bool isAllowed_ = false;
    std::string ticket_;
    Millis validUntil_; // expiry of the ticket
  };

  std::map<AdviceStep, std::map<InstanceKey, CachedResult>> results_;
  bool isCallInFlight_ = false;
  Millis nextCallAt_;
};

} // namespace vanillahatch
