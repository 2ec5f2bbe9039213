// Which waiting task comes next, and where it goes.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Starts of one round; more would delay the answers to callers.
constexpr size_t kMaxStartsARound = 200;
// Closed jobs whose arrival may still be remembered.
constexpr size_t kForgetSeen = 256;
constexpr double kMillisOfCore = 1000.0;

} // namespace

void FleetScheduler::NoteArrival(Millis aNow, const Job& aJob)
{
  if (aJob.order_ < firstOwnOrder_) {
    return; // It did not arrive now.
  }
  double work = 0;
  for (const v1::StepSpec& step : aJob.spec_.steps()) {
    if (!step.lasting()) {
      work += static_cast<double>(step.task_count()) *
              OccupiedBy(step).cpu_millis() / kMillisOfCore *
              static_cast<double>(times_.Expect(aJob.queue_, step).Count());
    }
  }
  demands_[store_.ServiceOf(aJob)].Add(aNow, work);
}

JobUrgency FleetScheduler::UrgencyOf(Millis aNow,
                                     const Job& aJob,
                                     uint32_t aOccurrence)
{
  const auto [seen, isNew] = seenAt_.try_emplace(aJob.order_, aNow);
  if (isNew) {
    NoteArrival(aNow, aJob);
  }
  const v1::QueueSpec* queue = store_.FindQueue(aJob.queue_);
  const auto it = aJob.occurrences_.find(aOccurrence);
  std::vector<bool> done(static_cast<size_t>(aJob.spec_.steps_size()), false);
  const Millis chain = times_.RemainingChain(aJob.queue_, aJob.spec_, done);
  for (size_t i = 0; it != aJob.occurrences_.end() && i < done.size(); ++i) {
    done[i] = it->second.steps_[i].IsDone();
  }
  const double stretch = queue != nullptr ? queue->stretch() : 1.0;
  const Millis target(queue != nullptr ? queue->target_latency_ms() : 0);
  const Millis stretched(
    static_cast<int64_t>(stretch * static_cast<double>(chain.Count())));
  return RankJob(
    aNow,
    { .isLasting_ = aJob.spec_.steps(0).lasting(),
      .isBegun_ = it != aJob.occurrences_.end(),
      .priority_ = queue != nullptr ? queue->priority() : 0,
      .arrivedAt_ = seen->second,
      .objective_ = target + stretched,
      .remainingChain_ =
        times_.RemainingChain(aJob.queue_, aJob.spec_, done),
      .order_ = aJob.order_ });
}

void FleetScheduler::CollectFrom(Millis aNow,
                                 Job& aJob,
                                 uint32_t aOccurrence,
                                 std::vector<Candidate>& aOut)
{
  const Occurrence* occurrence = JobStore::FindOccurrence(aJob, aOccurrence);
  if (occurrence != nullptr && occurrence->IsDone()) {
    return;
  }
  for (int i = 0; i < aJob.spec_.steps_size(); ++i) {
    const auto step = static_cast<uint32_t>(i);
    const bool hasPending =
      occurrence == nullptr || occurrence->steps_[step].pending_ > 0;
    if (!hasPending || !JobStore::IsStepReady(aJob, occurrence, step)) {
      continue;
    }
    aOut.push_back({ .first_ = { .job_ = &aJob,
                                 .occurrence_ = aOccurrence,
                                 .step_ = step },
                     .urgency_ = UrgencyOf(aNow, aJob, aOccurrence) });
  }
}

std::vector<FleetScheduler::Candidate> FleetScheduler::Candidates(Millis aNow)
{
  const auto& open = store_.OpenJobs();
  if (seenAt_.size() > 2 * open.size() + kForgetSeen) {
    std::erase_if(seenAt_, [&](const auto& aItem) {
      return !open.contains(aItem.first);
    });
  }
  std::vector<Candidate> candidates;
  for (const auto& [order, job] : open) {
    CollectFrom(aNow, *job, 0, candidates);
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return ComesBefore(aLeft.urgency_, aRight.urgency_);
            });
  return candidates;
}

// Best fit: the instance that keeps the least room, so that wide tasks still
// find some and others run empty. Tasks that last gather on few instances,
// since a machine that carries one cannot move.
InstanceView* FleetScheduler::Choose(Millis aNow,
                                     const std::string& aService,
                                     const TaskRef& aTask)
{
  const v1::StepSpec& step = JobStore::SpecOf(aTask);
  const v1::Resources need = OccupiedBy(step);
  InstanceView* best = nullptr;
  uint32_t bestLeft = 0;
  uint32_t bestGathered = 0;
  for (auto& [key, view] : views_) {
    const v1::InstanceRecord& facts = view.Facts();
    if (facts.service() != aService || !view.IsUsable(aNow) ||
        !view.HasRoomFor(need)) {
      continue;
    }
    const auto& labels = facts.labels();
    const bool isLabelled =
      step.required_label().empty() ||
      std::find(labels.begin(), labels.end(), step.required_label()) !=
        labels.end();
    const bool isApart = step.max_per_instance() == 0 ||
                         view.CountOf(aTask) < step.max_per_instance();
    if (!isLabelled || !isApart) {
      continue;
    }
    const uint32_t left = facts.capacity().cpu_millis() -
                          view.Used().cpu_millis() - need.cpu_millis();
    const uint32_t gathered = step.lasting() ? view.LastingRuns() : 0;
    const bool isBetter =
      best == nullptr || gathered > bestGathered ||
      (gathered == bestGathered &&
       (step.lasting() && gathered == 0 ? left > bestLeft : left < bestLeft));
    if (isBetter) {
      best = &view;
      bestLeft = left;
      bestGathered = gathered;
    }
  }
  return best;
}

void FleetScheduler::PlaceTasks(Millis aNow)
{
  size_t starts = 0;
  waiting_.clear();
  for (const Candidate& candidate : Candidates(aNow)) {
    Job& job = *candidate.first_.job_;
    const std::string& service = store_.ServiceOf(job);
    const Occurrence* occurrence =
      JobStore::FindOccurrence(job, candidate.first_.occurrence_);
    const v1::StepSpec& spec = JobStore::SpecOf(candidate.first_);
    for (uint32_t i = 0; i < spec.task_count(); ++i) {
      TaskRef task = candidate.first_;
      task.index_ = i;
      const Task* known = occurrence != nullptr
                            ? &occurrence->steps_[task.step_].tasks_[i]
                            : nullptr;
      const bool isPending =
        known == nullptr || known->phase_ == TaskPhase::kPending;
      if (!isPending || proposed_.contains(task)) {
        continue;
      }
      InstanceView* view =
        starts < kMaxStartsARound ? Choose(aNow, service, task) : nullptr;
      if (view == nullptr) {
        // The rest of the step waits too.
        Waiting& waiting = waiting_[service];
        const double cores =
          (spec.task_count() - i) * OccupiedBy(spec).cpu_millis() /
          kMillisOfCore;
        waiting.cores_ += cores;
        waiting.coreMillis_ +=
          cores *
          static_cast<double>(times_.Expect(job.queue_, spec).Count());
        break;
      }
      const uint32_t run = (known != nullptr ? known->run_ : 0) + 1;
      view->AddRun(task,
                   { .run_ = run,
                     .need_ = OccupiedBy(spec),
                     .phase_ = RunPhase::kProposed,
                     .since_ = aNow });
      v1::RunStart& start = *round_.add_changes()->mutable_run_start();
      *start.mutable_task() = JobStore::NameOf(task);
      start.set_run(run);
      *start.mutable_instance() = ToMessage(view->Record().key_);
      proposed_.insert(task);
      roundPending_.starts_.emplace_back(view->Record().key_, task);
      ++starts;
    }
  }
}

} // namespace vanillahatch
