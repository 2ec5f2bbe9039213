// Waits for places near the data of a task, or for one rack for a gang.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Waits of closed jobs are kept up to about this number.
constexpr size_t kMaxClosedWaits = 256;

NearWaits::StepKey KeyOf(const TaskRef& aTask)
{
  return { .acceptanceIndex_ = aTask.job_->acceptanceIndex_,
           .occurrence_ = aTask.occurrence_,
           .step_ = aTask.step_ };
}

std::string NameOfRack(std::string_view aService, std::string_view aRack)
{
  return std::string(aService) + '/' + std::string(aRack);
}

std::string_view RackOf(const v1::StepSpec& aStep)
{
  return aStep.gang() ? std::string_view() : aStep.data_rack();
}

} // namespace

// Jobs accepted under an earlier leader do not wait: waits under several
// leaders would add up. Advice and the maximum per instance rule out places
// that come free, so steps with either do not wait.
bool FleetScheduler::MayWaitForNearPlace(const Candidate& aCandidate) const
{
  const TaskRef& task = aCandidate.firstTask_;
  const v1::StepSpec& step = JobStore::SpecOf(task);
  const bool hasNearPlace =
    step.gang() ? step.same_rack() : !step.data_rack().empty();
  return options_.remoteRackFactor_ > 1.0 && hasNearPlace && !step.lasting() &&
         step.max_per_instance() == 0 && !aCandidate.needsAdvice_ &&
         task.job_->acceptanceIndex_ >= firstOwnAcceptanceIndex_ &&
         runTimes_.HasSamples(task.job_->queueAddress_, step);
}

void FleetScheduler::BeginNearRound(Millis aNow)
{
  if (nearRound_.at_ == aNow) {
    return;
  }
  nearRound_ = { .at_ = aNow };
  const auto& open = store_.OpenJobs();
  if (nearWaits_.Size() > 2 * open.size() + kMaxClosedWaits) {
    nearWaits_.RemoveIf([&](uint64_t aAcceptanceIndex) {
      return !open.contains(aAcceptanceIndex);
    });
  }
}

bool FleetScheduler::WaitsForRack(Millis aNow,
                                  const Candidate& aCandidate,
                                  const UsableInstances& aUsable,
                                  std::span<const std::string> aRacks,
                                  uint32_t aTasks)
{
  BeginNearRound(aNow);
  const TaskRef& task = aCandidate.firstTask_;
  const v1::StepSpec& step = JobStore::SpecOf(task);
  std::optional<Millis> placeAt;
  std::string_view earliestRack;
  for (const std::string& rack : aRacks) {
    const std::optional<Millis> expected =
      ExpectPlaces(aNow, aCandidate, aUsable, rack, aTasks);
    if (expected && (!placeAt || *expected < *placeAt)) {
      placeAt = expected;
      earliestRack = rack;
    }
  }
  const auto arrival = arrivals_.find(task.job_->acceptanceIndex_);
  if (!placeAt || arrival == arrivals_.end()) {
    return false;
  }
  const CriticalPath& remaining = arrival->second.remaining_;
  const NearWaits::Wait* wait = nearWaits_.Find(KeyOf(task));
  const Millis nearRun = runTimes_.EstimateRun(task.job_->queueAddress_, step);
  const Millis farRun(static_cast<int64_t>(
    static_cast<double>(nearRun.Count()) * options_.remoteRackFactor_));
  const std::optional<Millis> until = options_.nearWaitRule_(
    { .now_ = aNow,
      .waitingSince_ = wait != nullptr ? wait->firstAt_ : aNow,
      .placeAt_ = placeAt,
      .chance_ =
        nearWaits_.ChanceAt(NameOfRack(aCandidate.service_, RackOf(step))),
      .nearRun_ = nearRun,
      .farRun_ = farRun,
      .dueAt_ = aCandidate.urgency_.dueAt_,
      .timeToEnd_ = ExpectedTimeToEnd(remaining.runTime_,
                                      runTimes_.Delay() * remaining.steps_),
      .isCapacityShort_ = IsCapacityShort(aCandidate, aUsable) });
  if (until) {
    nearRound_
      .waitingMilliCpus_[NameOfRack(aCandidate.service_, earliestRack)] +=
      std::max<int64_t>(aCandidate.need_.milliCpus_, 1) * aTasks;
  }
  return until.has_value();
}

// When the rack is expected to have places for that many tasks of the step,
// after those for the tasks that wait already.
std::optional<Millis> FleetScheduler::ExpectPlaces(
  Millis aNow,
  const Candidate& aCandidate,
  const UsableInstances& aUsable,
  const std::string& aRack,
  uint32_t aTasks)
{
  const v1::StepSpec& step = JobStore::SpecOf(aCandidate.firstTask_);
  const Resources& need = aCandidate.need_;
  const auto [it, isNew] = nearRound_.places_.try_emplace(
    { .service_ = std::string(aCandidate.service_),
      .rack_ = aRack,
      .label_ = step.required_label(),
      .need_ = { need.milliCpus_, need.memoryMb_, need.accelerators_ } },
    need);
  RackPlaces& places = it->second;
  for (const InstanceView* view : aUsable.views_) {
    if (!isNew || view->StoredRecord().rack() != aRack ||
        !HasRequiredLabel(*view, step)) {
      continue;
    }
    std::vector<ExpectedEnd> ends;
    for (const auto& [task, run] : view->Runs()) {
      if (!run.expectedEndAt_ || run.isReleased_ || run.isLongRunning_) {
        continue;
      }
      // A run that is overdue is expected to take as long again as it already
      // is.
      const Millis overdue = std::max(aNow - *run.expectedEndAt_, Millis());
      ends.push_back({ .at_ = std::max(*run.expectedEndAt_, aNow) + overdue,
                       .freed_ = run.need_ });
    }
    const Resources kept = RequiredCapacity(*view, need, step.lasting()) - need;
    places.AddInstance(
      aNow, view->Capacity() - view->Used() - kept, std::move(ends));
  }
  const auto waiting =
    nearRound_.waitingMilliCpus_.find(NameOfRack(aCandidate.service_, aRack));
  const int64_t ahead =
    waiting != nearRound_.waitingMilliCpus_.end()
      ? waiting->second / std::max<int64_t>(need.milliCpus_, 1)
      : 0;
  return places.At(static_cast<size_t>(ahead) + aTasks - 1);
}

bool FleetScheduler::IsCapacityShort(const Candidate& aCandidate,
                                     const UsableInstances& aUsable)
{
  const auto [it, isNew] =
    nearRound_.isCapacityShort_.try_emplace(std::string(aCandidate.service_));
  if (!isNew) {
    return it->second;
  }
  double freeCores = 0;
  for (const InstanceView* view : aUsable.views_) {
    freeCores += OccupiedCores(view->Capacity(), machineCapacity_) -
                 OccupiedCores(view->Used(), machineCapacity_);
  }
  double waitingCores = 0;
  for (const Candidate& candidate : backlog_) {
    const TaskRef& first = candidate.firstTask_;
    if (waitingCores > freeCores) {
      break;
    }
    if (candidate.service_ != aCandidate.service_ || !first.job_->IsOpen()) {
      continue;
    }
    const Occurrence* occurrence =
      JobStore::FindOccurrence(*first.job_, first.occurrence_);
    const uint32_t tasks = JobStore::SpecOf(first).task_count();
    const uint32_t pending =
      occurrence != nullptr ? occurrence->steps_[first.step_].pending_ : tasks;
    TaskRef last = first;
    last.index_ = tasks;
    const auto proposed = std::distance(proposedStarts_.lower_bound(first),
                                        proposedStarts_.lower_bound(last));
    waitingCores += static_cast<double>(
                      pending - std::min<uint32_t>(
                                  pending, static_cast<uint32_t>(proposed))) *
                    OccupiedCores(candidate.need_, machineCapacity_);
  }
  it->second = waitingCores > freeCores;
  return it->second;
}

void FleetScheduler::RecordPlacement(Millis aNow,
                                     InstanceView& aView,
                                     const TaskRef& aTask,
                                     uint32_t aRun,
                                     bool aIsFar)
{
  const v1::StepSpec& step = JobStore::SpecOf(aTask);
  RunView* run = options_.remoteRackFactor_ > 1.0 && !step.lasting()
                   ? aView.FindRun(aTask, aRun)
                   : nullptr;
  if (run == nullptr) {
    return;
  }
  const Millis near = runTimes_.EstimateRun(aTask.job_->queueAddress_, step);
  const double factor = aIsFar ? options_.remoteRackFactor_ : 1.0;
  run->isFar_ = aIsFar;
  run->expectedEndAt_ =
    aNow + runTimes_.Delay() +
    Millis(static_cast<int64_t>(static_cast<double>(near.Count()) * factor));
}

void FleetScheduler::RecordNearRound(Millis aNow,
                                     const Candidate& aCandidate,
                                     const NearWaits::Round& aRound)
{
  const TaskRef& task = aCandidate.firstTask_;
  const bool isKnown =
    nearWaits_.Size() > 0 && nearWaits_.Find(KeyOf(task)) != nullptr;
  if (aRound.waiting_ == 0 && !isKnown) {
    return;
  }
  const std::string_view rack = RackOf(JobStore::SpecOf(task));
  const NearWaits::Change change = nearWaits_.Update(
    aNow, KeyOf(task), NameOfRack(aCandidate.service_, rack), aRound);
  if (change == NearWaits::Change::kNone) {
    return;
  }
  NearWaitReport report{ .firstTask_ = task, .rack_ = rack };
  if (change == NearWaits::Change::kEnded) {
    const NearWaits::Wait& wait = *nearWaits_.Find(KeyOf(task));
    report.isEnded_ = true;
    report.waited_ = wait.lastAt_ - wait.since_;
    report.endedNear_ = wait.endedNear_;
    report.endedFar_ = wait.endedFar_;
  }
  trace_.onNearWait_(report);
}

} // namespace vanillahatch
