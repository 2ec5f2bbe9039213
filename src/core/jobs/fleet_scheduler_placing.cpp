// Which waiting task comes next, and where it goes.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Starts of one round; more would delay the answers to callers.
constexpr size_t kMaxStartsARound = 200;
// Kept free of short work where lasting tasks run, so that one that was lost
// elsewhere joins them instead of binding another machine.
constexpr uint32_t kKeptForLasting = 2000;
// Closed jobs whose arrival may still be remembered.
constexpr size_t kForgetSeen = 256;
constexpr double kMillisOfCore = 1000.0;

// How many of the job's occurrences have become due.
uint32_t DueOccurrences(const Job& aJob, Millis aUnixNow)
{
  if (aJob.spec_.repeat_count() == 0) {
    return 1;
  }
  const int64_t since = aUnixNow.Count() - aJob.spec_.first_due_unix_ms();
  if (since < 0) {
    return 0;
  }
  const int64_t interval =
    std::max<int64_t>(aJob.spec_.repeat_interval_ms(), 1);
  const int64_t due = since / interval + 1;
  return static_cast<uint32_t>(
    std::min<int64_t>(due, aJob.spec_.repeat_count()));
}

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

Millis FleetScheduler::RemainingChain(const Job& aJob,
                                      const Occurrence* aOccurrence) const
{
  std::vector<bool> done(static_cast<size_t>(aJob.spec_.steps_size()), false);
  for (size_t i = 0; aOccurrence != nullptr && i < done.size(); ++i) {
    done[i] = aOccurrence->steps_[i].IsDone();
  }
  return times_.RemainingChain(aJob.queue_, aJob.spec_, done);
}

JobUrgency FleetScheduler::UrgencyOf(Millis aNow,
                                     const Job& aJob,
                                     const Occurrence* aOccurrence)
{
  const auto [it, isNew] = arrivals_.try_emplace(aJob.order_);
  Arrival& arrival = it->second;
  const v1::QueueSpec* queue = store_.FindQueue(aJob.queue_);
  if (isNew) {
    NoteArrival(aNow, aJob);
    const double stretch = queue != nullptr ? queue->stretch() : 1.0;
    const Millis target(queue != nullptr ? queue->target_latency_ms() : 0);
    const Millis chain = RemainingChain(aJob, nullptr);
    arrival.at_ = aNow;
    arrival.objective_ =
      target + Millis(static_cast<int64_t>(stretch *
                                           static_cast<double>(chain.Count())));
    arrival.remainingChain_ = chain;
  }
  const uint32_t stepsDone =
    aOccurrence != nullptr ? aOccurrence->stepsDone_ : 0;
  if (stepsDone != arrival.stepsDone_) {
    arrival.stepsDone_ = stepsDone;
    arrival.remainingChain_ = RemainingChain(aJob, aOccurrence);
  }
  return RankJob(aNow,
                 { .isLasting_ = aJob.spec_.steps(0).lasting(),
                   .isBegun_ = aOccurrence != nullptr,
                   .priority_ = queue != nullptr ? queue->priority() : 0,
                   .arrivedAt_ = arrival.at_,
                   .objective_ = arrival.objective_,
                   .remainingChain_ = arrival.remainingChain_,
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
    aOut.push_back(
      { .first_ = { .job_ = &aJob, .occurrence_ = aOccurrence, .step_ = step },
        .urgency_ = UrgencyOf(aNow, aJob, occurrence) });
  }
}

std::vector<FleetScheduler::Candidate> FleetScheduler::Candidates(Millis aNow)
{
  const auto& open = store_.OpenJobs();
  if (arrivals_.size() > 2 * open.size() + kForgetSeen) {
    std::erase_if(arrivals_, [&](const auto& aItem) {
      return !open.contains(aItem.first);
    });
  }
  std::vector<Candidate> candidates;
  for (const auto& [order, job] : open) {
    const uint32_t due = DueOccurrences(*job, unixNow_);
    for (uint32_t number = 0; number < due; ++number) {
      CollectFrom(aNow, *job, number, candidates);
    }
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
                                     const TaskRef& aTask,
                                     std::string_view aRack)
{
  const v1::StepSpec& step = JobStore::SpecOf(aTask);
  const v1::Resources need = OccupiedBy(step);
  Room& room = RoomOf(aNow, aService);
  const bool isHopeless =
    std::any_of(room.refused_.begin(), room.refused_.end(), [&](auto& aLess) {
      return need.cpu_millis() >= aLess.cpu_millis() &&
             need.memory_mb() >= aLess.memory_mb() &&
             need.gpus() >= aLess.gpus();
    });
  if (isHopeless) {
    return nullptr;
  }
  InstanceView* best = nullptr;
  uint32_t bestLeft = 0;
  uint32_t bestGathered = 0;
  bool hasRoom = false;
  for (InstanceView* candidate : room.views_) {
    InstanceView& view = *candidate;
    const v1::InstanceRecord& facts = view.Facts();
    v1::Resources wanted = need;
    if (!step.lasting() && view.LastingRuns() > 0) {
      wanted.set_cpu_millis(wanted.cpu_millis() + kKeptForLasting);
    }
    if (!view.HasRoomFor(wanted)) {
      continue;
    }
    hasRoom = true;
    if (!aRack.empty() && facts.rack() != aRack) {
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
  if (!hasRoom) {
    room.refused_.push_back(need);
  }
  return best;
}

FleetScheduler::Room& FleetScheduler::RoomOf(Millis aNow,
                                             const std::string& aService)
{
  auto [it, isNew] = rooms_.try_emplace(aService);
  if (isNew) {
    for (auto& [key, view] : views_) {
      if (view.Facts().service() == aService && view.IsUsable(aNow)) {
        it->second.views_.push_back(&view);
      }
    }
  }
  return it->second;
}

void FleetScheduler::ProposeStart(Millis aNow,
                                  InstanceView& aView,
                                  const TaskRef& aTask,
                                  uint32_t aRun)
{
  aView.AddRun(aTask,
               { .run_ = aRun,
                 .need_ = OccupiedBy(JobStore::SpecOf(aTask)),
                 .phase_ = RunPhase::kProposed,
                 .since_ = aNow });
  v1::RunStart& start = *round_.add_changes()->mutable_run_start();
  *start.mutable_task() = JobStore::NameOf(aTask);
  start.set_run(aRun);
  *start.mutable_instance() = ToMessage(aView.Record().key_);
  proposed_.insert(aTask);
  roundPending_.starts_.emplace_back(aView.Record().key_, aTask);
  ++startsOfRound_;
}

void FleetScheduler::NoteWaiting(const Candidate& aCandidate, uint32_t aTasks)
{
  const Job& job = *aCandidate.first_.job_;
  const v1::StepSpec& spec = JobStore::SpecOf(aCandidate.first_);
  Waiting& waiting = waiting_[store_.ServiceOf(job)];
  const double cores = aTasks * OccupiedBy(spec).cpu_millis() / kMillisOfCore;
  waiting.cores_ += cores;
  waiting.coreMillis_ +=
    cores * static_cast<double>(times_.Expect(job.queue_, spec).Count());
}

void FleetScheduler::PlaceStep(Millis aNow, const Candidate& aCandidate)
{
  Job& job = *aCandidate.first_.job_;
  const std::string& service = store_.ServiceOf(job);
  const Occurrence* occurrence =
    JobStore::FindOccurrence(job, aCandidate.first_.occurrence_);
  const v1::StepSpec& spec = JobStore::SpecOf(aCandidate.first_);
  for (uint32_t i = 0; i < spec.task_count(); ++i) {
    TaskRef task = aCandidate.first_;
    task.index_ = i;
    const Task* known = occurrence != nullptr
                          ? &occurrence->steps_[task.step_].tasks_[i]
                          : nullptr;
    const bool isPending =
      known == nullptr || known->phase_ == TaskPhase::kPending;
    if (!isPending || proposed_.contains(task)) {
      continue;
    }
    InstanceView* view = nullptr;
    if (startsOfRound_ < kMaxStartsARound) {
      view = spec.data_rack().empty()
               ? nullptr
               : Choose(aNow, service, task, spec.data_rack());
      view = view != nullptr ? view : Choose(aNow, service, task, {});
    }
    if (view == nullptr) {
      NoteWaiting(aCandidate, spec.task_count() - i);
      return;
    }
    ProposeStart(aNow, *view, task, (known != nullptr ? known->run_ : 0) + 1);
  }
}

// All members at once under one run number, or none; on one rack if the step
// asks for it and a rack has room.
void FleetScheduler::PlaceGang(Millis aNow, const Candidate& aCandidate)
{
  Job& job = *aCandidate.first_.job_;
  const std::string& service = store_.ServiceOf(job);
  const v1::StepSpec& spec = JobStore::SpecOf(aCandidate.first_);
  const Occurrence* occurrence =
    JobStore::FindOccurrence(job, aCandidate.first_.occurrence_);
  uint32_t run = 1;
  if (occurrence != nullptr) {
    const Step& step = occurrence->steps_[aCandidate.first_.step_];
    if (step.pending_ < spec.task_count()) {
      return; // Members of the last run have not all ended.
    }
    for (const Task& task : step.tasks_) {
      run = std::max(run, task.run_ + 1);
    }
  }
  if (proposed_.contains(aCandidate.first_)) {
    return;
  }
  std::set<std::string> racks = { {} };
  if (spec.same_rack()) {
    for (const auto& [key, view] : views_) {
      racks.insert(view.Facts().rack());
    }
  }
  // Racks by name first, the empty one, which means any, last.
  for (auto rack = racks.rbegin(); rack != racks.rend(); ++rack) {
    std::vector<std::pair<InstanceView*, TaskRef>> placed;
    for (uint32_t i = 0; i < spec.task_count(); ++i) {
      TaskRef task = aCandidate.first_;
      task.index_ = i;
      InstanceView* view = Choose(aNow, service, task, *rack);
      if (view == nullptr) {
        break;
      }
      view->AddRun(task, { .run_ = run, .need_ = OccupiedBy(spec) });
      placed.emplace_back(view, task);
    }
    for (const auto& [view, task] : placed) {
      view->RemoveRun(task);
      RoomOf(aNow, service).refused_.clear();
    }
    if (placed.size() == spec.task_count()) {
      for (const auto& [view, task] : placed) {
        ProposeStart(aNow, *view, task, run);
      }
      return;
    }
  }
  NoteWaiting(aCandidate, spec.task_count());
}

void FleetScheduler::PlaceTasks(Millis aNow)
{
  startsOfRound_ = 0;
  waiting_.clear();
  rooms_.clear();
  for (const Candidate& candidate : Candidates(aNow)) {
    if (JobStore::SpecOf(candidate.first_).gang()) {
      PlaceGang(aNow, candidate);
    } else {
      PlaceStep(aNow, candidate);
    }
  }
}

} // namespace vanillahatch
