// How the scheduler applies the customers' shares and caps.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace vanillahatch {

namespace {

// So few that a wide step doesn't take a free fleet at once, while others wait.
constexpr size_t kMaxStartsPerVisit = 8;

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
  if (!ledger_.HasCustomers()) {
    return;
  }
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
    [&](size_t aIndex, bool aIsContested) {
      constexpr size_t kUnlimited = std::numeric_limits<size_t>::max();
      return PlaceCandidate(
        aNow, backlog_[aIndex], aIsContested ? kMaxStartsPerVisit : kUnlimited);
    });
}

// Of the tasks that wait in the log, those that are not proposed.
uint32_t FleetScheduler::CountUnplaced(const TaskRef& aFirstTask) const
{
  const Occurrence* occurrence =
    JobStore::FindOccurrence(*aFirstTask.job_, aFirstTask.occurrence_);
  const Step* step =
    occurrence != nullptr ? &occurrence->steps_[aFirstTask.step_] : nullptr;
  uint32_t unplaced = step != nullptr
                        ? step->pending_
                        : JobStore::SpecOf(aFirstTask).task_count();
  for (auto it = proposedStarts_.lower_bound(aFirstTask);
       it != proposedStarts_.end() && it->job_ == aFirstTask.job_ &&
       it->occurrence_ == aFirstTask.occurrence_ &&
       it->step_ == aFirstTask.step_;
       ++it) {
    const bool isPending =
      step == nullptr || step->tasks_[it->index_].phase_ == TaskPhase::kPending;
    unplaced -= isPending ? 1 : 0;
  }
  return unplaced;
}

bool FleetScheduler::IsHeldByCap(const Candidate& aCandidate)
{
  if (!ledger_.HasCap(aCandidate.customer_)) {
    return false;
  }
  const bool startsTogether = JobStore::SpecOf(aCandidate.firstTask_).gang();
  const uint32_t unplaced = CountUnplaced(aCandidate.firstTask_);
  if (unplaced == 0) {
    return false;
  }
  const bool isHeld = !ledger_.MayStart(aCandidate.customer_,
                                        aCandidate.declaredNeed_,
                                        startsTogether ? unplaced : 1);
  if (isHeld) {
    ledger_.RecordHeld(aCandidate.customer_, unplaced);
    if (startsTogether) {
      ReportStepBeyondCap(aCandidate, unplaced);
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
