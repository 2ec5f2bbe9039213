// How the scheduler applies the customers' shares and caps.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>
#include <iterator>

namespace vanillahatch {

namespace {

// Urgencies of equal rank are ordered among customers by their shares.
uint64_t RankOf(const JobUrgency& aUrgency)
{
  constexpr int kPriorityBits = 32;
  return static_cast<uint64_t>(aUrgency.class_) << kPriorityBits |
         aUrgency.priority_;
}

} // namespace

void FleetScheduler::RefreshLedger()
{
  ledger_.BeginRound();
  if (ledgerConfigVersion_ != store_.Config().version()) {
    ledgerConfigVersion_ = store_.Config().version();
    ledger_.RefreshTerms();
  }
}

void FleetScheduler::MeasureServices()
{
  for (const auto& [service, views] : viewsByService_) {
    Resources capacity;
    for (const InstanceView* view : views) {
      capacity = capacity + view->Capacity();
    }
    ledger_.SetCapacity(ledger_.FindOrAddService(service), capacity);
  }
}

void FleetScheduler::AssignFairBacklog()
{
  std::vector<FairBacklog::Entry> entries;
  entries.reserve(backlog_.size());
  std::transform(backlog_.begin(),
                 backlog_.end(),
                 std::back_inserter(entries),
                 [&](const Candidate& aCandidate) {
                   return FairBacklog::Entry{
                     .rank_ = RankOf(aCandidate.urgency_),
                     .customer_ = aCandidate.customer_,
                     .service_ = ledger_.FindOrAddService(aCandidate.service_)
                   };
                 });
  fairBacklog_.Assign(entries);
}

void FleetScheduler::PlaceFairly(Millis aNow)
{
  fairBacklog_.Visit(
    [&](CustomerId aCustomer, ServiceId aService) {
      return ledger_.ShareOf(aCustomer, aService);
    },
    [&](size_t aIndex) { PlaceCandidate(aNow, backlog_[aIndex]); });
}

bool FleetScheduler::IsHeldByCap(const Candidate& aCandidate, uint32_t aTasks)
{
  const bool startsTogether = JobStore::SpecOf(aCandidate.firstTask_).gang();
  if (proposedStarts_.contains(aCandidate.firstTask_) && startsTogether) {
    return false; // It has been proposed and is charged already.
  }
  const bool isHeld = !ledger_.MayStart(aCandidate.customer_,
                                        aCandidate.declaredNeed_,
                                        startsTogether ? aTasks : 1);
  if (isHeld) {
    ledger_.RecordHeld(aCandidate.customer_, aTasks);
    if (startsTogether) {
      ReportStepBeyondCap(aCandidate, aTasks);
    }
  }
  return isHeld;
}

void FleetScheduler::ReportStepBeyondCap(const Candidate& aCandidate,
                                         uint32_t aTasks)
{
  const Job& job = *aCandidate.firstTask_.job_;
  const auto arrival = arrivals_.find(job.acceptanceIndex_);
  if (arrival == arrivals_.end() || arrival->second.isBeyondCapReported_ ||
      ledger_.CanEverStart(
        aCandidate.customer_, aCandidate.declaredNeed_, aTasks)) {
    return;
  }
  arrival->second.isBeyondCapReported_ = true;
  trace_.onStepBeyondCap_(aCandidate.firstTask_);
}

} // namespace vanillahatch
