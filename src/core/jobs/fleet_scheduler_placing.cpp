// Which waiting task comes next, and where it goes.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>
#include <iterator>

namespace vanillahatch {

namespace {

// Starts of one round; more would delay the answers to callers.
constexpr size_t kMaxStartsARound = 200;
// Kept free of short work where lasting tasks run, so that one that was lost
// elsewhere joins them instead of binding another machine.
constexpr uint32_t kKeptForLasting = 2000;
// Closed jobs whose arrival may still be remembered.
constexpr size_t kForgetSeen = 256;
// Ranking costs about 1 us for each candidate; this keeps it below a twentieth
// of a core, however long the backlog is.
constexpr int64_t kRankedEachMilli = 50; // candidates
constexpr Millis kRankAtLeastEvery = Millis(60);

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
  if (aJob.acceptanceIndex_ < firstOwnOrder_) {
    return; // It did not arrive now.
  }
  double work = 0;
  for (const v1::StepSpec& step : aJob.spec_.steps()) {
    if (!step.lasting()) {
      work += static_cast<double>(step.task_count()) *
              OccupiedCores(OccupiedBy(step), machineShape_) *
              static_cast<double>(ExpectOccupied(aJob, step).Count());
    }
  }
  demands_[store_.ServiceOf(aJob)].Add(aNow, work);
}

Millis FleetScheduler::ExpectOccupied(const Job& aJob,
                                      const v1::StepSpec& aStep) const
{
  return times_.Expect(aJob.queue_, aStep) + times_.Delay();
}

StepChain FleetScheduler::RemainingChain(const Job& aJob,
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
  const auto [it, isNew] = arrivals_.try_emplace(aJob.acceptanceIndex_);
  Arrival& arrival = it->second;
  const v1::QueueSpec* queue = store_.FindQueue(aJob.queue_);
  if (isNew) {
    NoteArrival(aNow, aJob);
    const double stretch = queue != nullptr ? queue->stretch() : 1.0;
    const Millis target(queue != nullptr ? queue->target_latency_ms() : 0);
    const StepChain chain = RemainingChain(aJob, nullptr);
    arrival.at_ = aNow;
    arrival.objective_ =
      target + Millis(static_cast<int64_t>(
                 stretch * static_cast<double>(chain.runs_.Count())));
    arrival.remaining_ = chain;
  }
  const uint32_t stepsDone =
    aOccurrence != nullptr ? aOccurrence->stepsDone_ : 0;
  if (stepsDone != arrival.stepsDone_) {
    arrival.stepsDone_ = stepsDone;
    arrival.remaining_ = RemainingChain(aJob, aOccurrence);
  }
  return RankJob(aNow,
                 { .isLongRunning_ = aJob.spec_.steps(0).lasting(),
                   .isStarted_ = aOccurrence != nullptr,
                   .priority_ = queue != nullptr ? queue->priority() : 0,
                   .arrivedAt_ = arrival.at_,
                   .objective_ = arrival.objective_,
                   .remainingChain_ = arrival.remaining_.runs_,
                   .delay_ = times_.Delay() * arrival.remaining_.steps_,
                   .acceptanceIndex_ = aJob.acceptanceIndex_ });
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
  const v1::QueueSpec* queue = store_.FindQueue(aJob.queue_);
  for (int i = 0; i < aJob.spec_.steps_size(); ++i) {
    const auto step = static_cast<uint32_t>(i);
    const bool hasPending =
      occurrence == nullptr || occurrence->steps_[step].pending_ > 0;
    if (!hasPending || !JobStore::IsStepReady(aJob, occurrence, step)) {
      continue;
    }
    const v1::StepSpec& spec = aJob.spec_.steps(i);
    aOut.push_back(
      { .first_ = { .job_ = &aJob, .occurrence_ = aOccurrence, .step_ = step },
        .urgency_ = UrgencyOf(aNow, aJob, occurrence),
        .service_ = store_.ServiceOf(aJob),
        .need_ = OccupiedBy(spec),
        .expectedRun_ = ExpectOccupied(aJob, spec),
        .needsAdvice_ = queue != nullptr && queue->needs_advice() });
  }
}

void FleetScheduler::RankBacklog(Millis aNow)
{
  const auto length = static_cast<int64_t>(backlog_.size());
  const Millis every =
    std::min(Millis(length / kRankedEachMilli), kRankAtLeastEvery);
  if (aNow - rankedAt_ < every && rankedConfig_ == store_.Config().version()) {
    return;
  }
  rankedAt_ = aNow;
  rankedConfig_ = store_.Config().version();
  const auto& open = store_.OpenJobs();
  if (arrivals_.size() > 2 * open.size() + kForgetSeen) {
    std::erase_if(arrivals_, [&](const auto& aItem) {
      return !open.contains(aItem.first);
    });
    advice_.RetainJobs(open);
  }
  backlog_.clear();
  for (const auto& [order, job] : open) {
    const uint32_t due = DueOccurrences(*job, unixNow_);
    for (uint32_t number = 0; number < due; ++number) {
      CollectFrom(aNow, *job, number, backlog_);
    }
  }
  std::sort(backlog_.begin(),
            backlog_.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return ComesBefore(aLeft.urgency_, aRight.urgency_);
            });
}

bool FleetScheduler::Room::IsHopeless(const Resources& aNeed) const
{
  return std::any_of(refused_.begin(), refused_.end(), [&](auto& aLess) {
    return aLess.FitsInto(aNeed);
  });
}

// Best fit: the instance that keeps the least room, so that wide tasks still
// find some and others run empty. Tasks that last gather on few instances,
// since a machine that carries one cannot move.
InstanceView* FleetScheduler::Choose(Millis aNow,
                                     Room& aRoom,
                                     const Candidate& aCandidate,
                                     const TaskRef& aTask,
                                     std::string_view aRack)
{
  const v1::StepSpec& step = JobStore::SpecOf(aTask);
  const Resources& need = aCandidate.need_;
  const bool isLasting = step.lasting();
  const std::string& label = step.required_label();
  if (aRoom.IsHopeless(need)) {
    return nullptr;
  }
  Resources besideLasting = need;
  besideLasting.milliCpus_ += isLasting ? 0 : kKeptForLasting;
  InstanceView* best = nullptr;
  int64_t bestLeft = 0;
  uint32_t bestGathered = 0;
  bool hasRoom = false;
  for (InstanceView* candidate : aRoom.views_) {
    const InstanceView& view = *candidate;
    if (!view.HasCapacityFor(view.LongRunningRunCount() > 0 ? besideLasting
                                                            : need)) {
      continue;
    }
    hasRoom = true;
    if (!aRack.empty() && view.StoredRecord().rack() != aRack) {
      continue;
    }
    const auto& labels = view.StoredRecord().labels();
    const bool isLabelled =
      label.empty() ||
      std::find(labels.begin(), labels.end(), label) != labels.end();
    const bool isApart = step.max_per_instance() == 0 ||
                         view.CountRunsOfStep(aTask) < step.max_per_instance();
    const bool isAllowed =
      !aCandidate.needsAdvice_ ||
      advice_.TicketFor(aNow, ToAdviceStep(aTask), view.StoredInstance().key_);
    if (!isLabelled || !isApart || !isAllowed) {
      continue;
    }
    const int64_t left =
      view.Capacity().milliCpus_ - view.Used().milliCpus_ - need.milliCpus_;
    const uint32_t gathered = isLasting ? view.LongRunningRunCount() : 0;
    const bool isBetter =
      best == nullptr || gathered > bestGathered ||
      (gathered == bestGathered &&
       (isLasting && gathered == 0 ? left > bestLeft : left < bestLeft));
    if (isBetter) {
      best = candidate;
      bestLeft = left;
      bestGathered = gathered;
    }
  }
  if (!hasRoom) {
    aRoom.refused_.push_back(need);
  }
  return best;
}

void FleetScheduler::MeasureRooms(Millis aNow)
{
  rooms_.clear();
  for (const auto& [service, views] : ofService_) {
    Room& room = rooms_[service];
    std::copy_if(
      views.begin(),
      views.end(),
      std::back_inserter(room.views_),
      [&](const InstanceView* aView) { return aView->IsUsable(aNow); });
    if (room.views_.empty()) {
      rooms_.erase(service);
    }
  }
}

void FleetScheduler::ProposeStart(Millis aNow,
                                  InstanceView& aView,
                                  const TaskRef& aTask,
                                  uint32_t aRun)
{
  if (!aView.HasRuns()) {
    aView.busySince_ = aNow;
  }
  aView.AddRun(aTask,
               { .run_ = aRun,
                 .phase_ = RunPhase::kProposed,
                 .since_ = aNow,
                 .placedAt_ = aNow });
  v1::RunStart& start = *round_.add_changes()->mutable_run_start();
  *start.mutable_task() = JobStore::NameOf(aTask);
  start.set_run(aRun);
  *start.mutable_instance() = ToMessage(aView.StoredInstance().key_);
  proposed_.insert(aTask);
  roundPending_.starts_.push_back(
    { .instance_ = aView.StoredInstance().key_, .task_ = aTask, .run_ = aRun });
  ++startsOfRound_;
}

void FleetScheduler::NoteWaiting(const Candidate& aCandidate, uint32_t aTasks)
{
  const auto it = waiting_.find(aCandidate.service_);
  Waiting& waiting = it != waiting_.end()
                       ? it->second
                       : waiting_[std::string(aCandidate.service_)];
  const double cores = aTasks * OccupiedCores(aCandidate.need_, machineShape_);
  const v1::StepSpec& spec = JobStore::SpecOf(aCandidate.first_);
  if (spec.lasting()) {
    waiting.lastingCores_ += cores;
    const uint32_t together = std::max(spec.max_per_instance(), 1U);
    waiting.mostApart_ = std::max(
      waiting.mostApart_, spec.max_per_instance() > 0 ? aTasks / together : 1U);
    return;
  }
  waiting.cores_ += cores;
  waiting.coreMillis_ +=
    cores * static_cast<double>(aCandidate.expectedRun_.Count());
}

void FleetScheduler::PlaceStep(Millis aNow,
                               const Candidate& aCandidate,
                               Room& aRoom)
{
  Job& job = *aCandidate.first_.job_;
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
               : Choose(aNow, aRoom, aCandidate, task, spec.data_rack());
      view = view != nullptr ? view : Choose(aNow, aRoom, aCandidate, task, {});
    }
    if (view == nullptr) {
      AskAdvisor(aNow, aCandidate, aRoom);
      NoteWaiting(aCandidate, spec.task_count() - i);
      return;
    }
    ProposeStart(aNow, *view, task, (known != nullptr ? known->run_ : 0) + 1);
  }
}

// All members at once under one run number, or none; on one rack if the step
// asks for it and a rack has room.
void FleetScheduler::PlaceGang(Millis aNow,
                               const Candidate& aCandidate,
                               Room& aRoom)
{
  Job& job = *aCandidate.first_.job_;
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
      racks.insert(view.StoredRecord().rack());
    }
  }
  // Racks by name first, the empty one, which means any, last.
  for (auto rack = racks.rbegin(); rack != racks.rend(); ++rack) {
    std::vector<std::pair<InstanceView*, TaskRef>> placed;
    for (uint32_t i = 0; i < spec.task_count(); ++i) {
      TaskRef task = aCandidate.first_;
      task.index_ = i;
      InstanceView* view = Choose(aNow, aRoom, aCandidate, task, *rack);
      if (view == nullptr) {
        break;
      }
      view->AddRun(task, { .run_ = run });
      placed.emplace_back(view, task);
    }
    for (const auto& [view, task] : placed) {
      view->RemoveRun(task);
      aRoom.refused_.clear();
    }
    if (placed.size() == spec.task_count()) {
      for (const auto& [view, task] : placed) {
        ProposeStart(aNow, *view, task, run);
      }
      return;
    }
  }
  AskAdvisor(aNow, aCandidate, aRoom);
  NoteWaiting(aCandidate, spec.task_count());
}

void FleetScheduler::AskAdvisor(Millis aNow,
                                const Candidate& aCandidate,
                                const Room& aRoom)
{
  if (!aCandidate.needsAdvice_) {
    return;
  }
  std::vector<const InstanceKey*> usable;
  for (const InstanceView* view : aRoom.views_) {
    if (view->HasCapacityFor(aCandidate.need_)) {
      usable.push_back(&view->StoredInstance().key_);
    }
  }
  const AdviceStep step = ToAdviceStep(aCandidate.first_);
  std::vector<InstanceKey> asked =
    advice_.ChooseInstancesToQuery(aNow, step, usable);
  if (asked.empty()) {
    return;
  }
  advice_.OnCallSent(step);
  actions_.push_back(AdviceOrder{ .advisedStep_ = step,
                                  .name_ = JobStore::NameOf(aCandidate.first_),
                                  .queried_ = std::move(asked) });
}

void FleetScheduler::OnAdvice(Millis aNow,
                              const AdviceOrder& aOrder,
                              const AdviceReply& aReply)
{
  advice_.OnReply(aNow, aOrder.advisedStep_, aOrder.queried_, aReply);
}

void FleetScheduler::PlaceTasks(Millis aNow)
{
  startsOfRound_ = 0;
  waiting_.clear();
  RankBacklog(aNow);
  if (backlog_.empty()) {
    return;
  }
  MeasureRooms(aNow);
  for (const Candidate& candidate : backlog_) {
    const TaskRef& first = candidate.first_;
    if (!first.job_->IsOpen()) {
      continue; // It was closed since the backlog was ranked.
    }
    const Occurrence* occurrence =
      JobStore::FindOccurrence(*first.job_, first.occurrence_);
    const v1::StepSpec& spec = JobStore::SpecOf(first);
    const uint32_t pending = occurrence != nullptr
                               ? occurrence->steps_[first.step_].pending_
                               : spec.task_count();
    const auto room = rooms_.find(candidate.service_);
    const bool isHopeless =
      room == rooms_.end() || room->second.IsHopeless(candidate.need_);
    if (pending == 0) {
      continue;
    }
    if (isHopeless) {
      NoteWaiting(candidate, pending);
    } else if (spec.gang()) {
      PlaceGang(aNow, candidate, room->second);
    } else {
      PlaceStep(aNow, candidate, room->second);
    }
  }
}

} // namespace vanillahatch
