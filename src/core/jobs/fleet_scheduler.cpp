#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include "vanillahatch/core/jobs/pacing.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Leases are far longer.
constexpr Millis kWatchLapsesEvery = Millis(100);
// The lower bound of an idle instance's clock falls back by 2% of the time, and
// a start must not be past its deadline when it leaves.
constexpr Millis kReadClockEvery = Seconds(20);
// Longest wait of a listing; the platform's bound is 2,000 ms.
constexpr Millis kLongPoll = Millis(1500);
// Between looks for jobs whose state need not be shown any more.
constexpr Millis kLookForSettledEvery = Seconds(5);
// After a stop that was not answered.
constexpr Millis kStopRetry = Millis(300);
// Between listings of an instance whose filling tasks are paced; the listed
// figures are those of the last half second.
constexpr Millis kPacingPoll = Millis(250);

// All members of a gang resume from the same checkpoint.
const std::string& CheckpointOf(const TaskRef& aTask)
{
  const Task& own = JobStore::TaskAt(aTask);
  if (!JobStore::SpecOf(aTask).gang()) {
    return own.checkpoint_;
  }
  const Step& step =
    aTask.job_->occurrences_.at(aTask.occurrence_).steps_[aTask.step_];
  const auto saved =
    std::find_if(step.tasks_.begin(), step.tasks_.end(), [](const Task& aOne) {
      return !aOne.checkpoint_.empty();
    });
  return saved != step.tasks_.end() ? saved->checkpoint_ : own.checkpoint_;
}

Millis WaitFor(const InstanceView& aView, const RunSummary& aRuns)
{
  if (!aView.HasRuns() || !aView.contacted_ || aView.isUnresponsive_ ||
      aRuns.needsListing_) {
    return {};
  }
  return NeedsPacing(aView) ? kPacingPoll : kLongPoll;
}

} // namespace

FleetScheduler::FleetScheduler(JobStore& aStore,
                               FleetSchedulerOptions aOptions,
                               SchedulerTrace aTrace,
                               Millis aNow)
  : store_(aStore)
  , options_(aOptions)
  , trace_(std::move(aTrace))
  , ledSince_(aNow)
  , machines_(options_.machines_)
{
  if (!store_.OpenJobs().empty()) {
    firstOwnOrder_ = store_.OpenJobs().rbegin()->first + 1;
  }
  SyncViews(aNow);
}

InstanceView* FleetScheduler::FindView(const InstanceKey& aKey)
{
  const auto it = views_.find(aKey);
  return it != views_.end() ? &it->second : nullptr;
}

const RunSummary& FleetScheduler::SummaryOf(const InstanceView& aView) const
{
  return aView.Summary(store_.ClosedJobCount());
}

OrderTarget FleetScheduler::TargetOf(const InstanceView& aView) const
{
  return { .instance_ = aView.StoredInstance().key_,
           .endpoint_ = { .address_ = aView.StoredRecord().address(),
                          .port_ = static_cast<uint16_t>(
                            aView.StoredRecord().port()) },
           .fencingToken_ = options_.fencingToken_ };
}

// One view for each instance of the store.
void FleetScheduler::SyncViews(Millis aNow)
{
  if (syncedChanges_ == store_.InstanceChangeCount()) {
    return;
  }
  std::optional<std::vector<InstanceKey>> changed =
    store_.InstancesChangedSince(syncedChanges_);
  syncedChanges_ = store_.InstanceChangeCount();
  if (!changed) {
    changed.emplace();
    for (const auto& [key, view] : views_) {
      changed->push_back(key);
    }
    for (const auto& [key, instance] : store_.Instances()) {
      changed->push_back(key);
    }
  }
  for (const InstanceKey& key : *changed) {
    SyncView(aNow, key);
  }
}

// What the log says to be assigned there and no view knows was begun by an
// earlier leader.
void FleetScheduler::SyncView(Millis aNow, const InstanceKey& aKey)
{
  Instance* instance = store_.FindInstance(aKey);
  InstanceView* known = FindView(aKey);
  if (known != nullptr && (instance == nullptr || !known->IsOf(instance))) {
    RemoveFromIndex(*known);
    views_.erase(aKey);
    known = nullptr;
  }
  if (instance == nullptr) {
    return;
  }
  if (known != nullptr) {
    RemoveFromIndex(*known);
    known->RefreshCapacity();
    AddToIndex(*known);
    return;
  }
  InstanceView& view =
    views_.try_emplace(aKey, *instance, options_.lease_, aNow).first->second;
  AddToIndex(view);
  for (const TaskRef& task : instance->assigned_) {
    view.AddRun(task,
                { .run_ = JobStore::TaskAt(task).run_,
                  .phase_ = RunPhase::kInDoubt,
                  .since_ = aNow });
  }
  machines_.OnInstanceReport(
    aNow, view.StoredRecord().machine(), view.StoredRecord().service(), aKey);
}

void FleetScheduler::AddToIndex(InstanceView& aView)
{
  onMachine_.emplace(aView.StoredRecord().machine(), &aView);
  eachView_.push_back(&aView);
  ofService_[aView.StoredRecord().service()].push_back(&aView);
}

// Its facts may have changed since it was added.
void FleetScheduler::RemoveFromIndex(const InstanceView& aView)
{
  std::erase_if(onMachine_,
                [&](const auto& aItem) { return aItem.second == &aView; });
  std::erase(eachView_, &aView);
  for (auto& [service, views] : ofService_) {
    std::erase(views, &aView);
  }
}

uint64_t FleetScheduler::Propose(v1::JobChanges aChanges, Pending aPending)
{
  const uint64_t number = nextNumber_++;
  pending_.emplace(number, std::move(aPending));
  actions_.push_back(
    Proposal{ .number_ = number, .changes_ = std::move(aChanges) });
  return number;
}

std::vector<SchedulerAction> FleetScheduler::Take()
{
  return std::exchange(actions_, {});
}

void FleetScheduler::Tick(Millis aNow, Millis aUnixNow)
{
  if (deposed_) {
    return; // Another replica leads; whatever is decided here is overtaken.
  }
  unixNow_ = aUnixNow;
  SyncViews(aNow);
  WatchLapses(aNow);
  ServeWaves(aNow);
  StopUnwanted(aNow);
  PlaceTasks(aNow);
  FollowPools(aNow);
  RepeatUnclear(aNow);
  AskForMachines(aNow);
  ForgetFinished(aNow);
  Audit(aNow);
  RenewLeases(aNow);
  if (round_.changes_size() > 0) {
    Propose(std::exchange(round_, {}), std::exchange(roundPending_, {}));
  }
}

void FleetScheduler::ProposeGone(InstanceView& aView,
                                 GoneFor aFor,
                                 std::string_view aReason)
{
  if (aView.removalProposed_) {
    return;
  }
  aView.removalProposed_ = true;
  v1::InstanceGone& gone = *round_.add_changes()->mutable_instance_gone();
  *gone.mutable_key() = ToMessage(aView.StoredInstance().key_);
  gone.set_final(aFor == GoneFor::kGood);
  trace_.onInstance_(aView.StoredInstance().key_, aReason);
}

// An instance that cannot be reached is given up once nothing can run there.
void FleetScheduler::WatchLapses(Millis aNow)
{
  if (aNow - watchedLapsesAt_ < kWatchLapsesEvery) {
    return;
  }
  watchedLapsesAt_ = aNow;
  for (InstanceView* each : eachView_) {
    InstanceView& view = *each;
    const bool isSilent = aNow - view.lastReplyAt_ > options_.lease_ &&
                          aNow - view.lastReportAt_ > options_.lease_;
    const Millis silentSince = std::max(view.lastReplyAt_, view.busySince_);
    const bool isCutOff =
      view.HasRuns() && aNow - silentSince > options_.lease_;
    const bool isDead = !view.HasRuns() && isSilent && !view.contacted_;
    if ((isCutOff || isDead) && view.Lease().HasExpired(aNow)) {
      ProposeGone(view, GoneFor::kNow, "lease lapsed");
    }
  }
}

void FleetScheduler::RenewLeases(Millis aNow)
{
  for (InstanceView* each : eachView_) {
    InstanceView& view = *each;
    const uint64_t cursor = view.StoredRecord().end_cursor();
    const bool hasRuns = view.HasRuns();
    if (hasRuns) {
      view.lastBusyAt_ = aNow;
    }
    const bool hasNews = cursor > view.confirmedCursor_;
    const bool waitsForLog = view.proposedCursor_ > cursor;
    const bool isClockStale =
      view.Lease().IsClockKnown() &&
      aNow - view.Lease().ObservedAt() > kReadClockEvery;
    const bool isWanted =
      hasRuns || hasNews || !view.contacted_ || isClockStale;
    if (!isWanted) {
      continue;
    }
    const RunSummary& runs = SummaryOf(view);
    const Millis wait = WaitFor(view, runs);
    // A long poll may be under way while something has to be known now.
    const bool isUnderWay = wait > Millis() || !runs.needsListing_
                              ? view.holdInFlight_ || view.pollInFlight_
                              : view.pollInFlight_;
    if (isUnderWay || waitsForLog || aNow < view.nextHoldAt_) {
      continue;
    }
    HoldOrder order{ .target_ = TargetOf(view),
                     .endCursor_ = cursor,
                     .wait_ = wait };
    // An instance that does not answer may still hear: renewing its lease would
    // keep its tasks from ever being started elsewhere.
    if (view.Lease().IsClockKnown() && hasRuns && !view.isUnresponsive_) {
      const Millis deadline = view.Lease().ClockAt(aNow) + options_.lease_;
      view.Lease().Extend(deadline);
      order.deadline_ = deadline;
    }
    (wait > Millis() ? view.holdInFlight_ : view.pollInFlight_) = true;
    view.confirmedCursor_ = cursor;
    actions_.push_back(std::move(order));
  }
}

void FleetScheduler::SendStop(Millis aNow,
                              InstanceView& aView,
                              const TaskRef& aTask,
                              const v1::TaskName& aName,
                              uint32_t aRun)
{
  bool keepsBudget = false;
  if (RunView* run = aView.FindRun(aTask, aRun)) {
    run->stopInFlight_ = true;
    run->nextStopAt_ = aNow + kStopRetry;
    keepsBudget = run->stopRespectsBudget_ && aTask.job_->IsOpen();
  }
  actions_.push_back(StopOrder{ .target_ = TargetOf(aView),
                                .ref_ = aTask,
                                .task_ = aName,
                                .run_ = aRun,
                                .expires_ = keepsBudget });
}

// Runs of jobs that have ended otherwise, and runs in doubt.
void FleetScheduler::StopUnwanted(Millis aNow)
{
  for (InstanceView* each : eachView_) {
    InstanceView& view = *each;
    if (!view.HasRuns() || !view.contacted_ ||
        !SummaryOf(view).hasRunsToStop_) {
      continue;
    }
    for (auto& [task, run] : view.Runs()) {
      const bool isOrdered = run.phase_ != RunPhase::kProposed;
      if (isOrdered && !run.stopRequested_ && !task.job_->IsOpen()) {
        run.stopRequested_ = true;
      }
      const bool isDue = run.stopRequested_ && isOrdered &&
                         !run.stopInFlight_ && !run.stoppedAt_ &&
                         !run.endProposed_ && aNow >= run.nextStopAt_;
      // An earlier try may have failed, and another task of its step may have
      // been lost since.
      const bool isAllowed = !run.stopRespectsBudget_ || !task.job_->IsOpen() ||
                             MayInterrupt(aNow, task);
      if (isDue && isAllowed) {
        SendStop(aNow, view, task, JobStore::NameOf(task), run.run_);
      }
    }
  }
}

// The time counts from when this leader first saw the job settled, so a change
// of leader keeps jobs longer, never shorter.
void FleetScheduler::ForgetFinished(Millis aNow)
{
  if (aNow - lookedForSettledAt_ < kLookForSettledEvery) {
    return;
  }
  lookedForSettledAt_ = aNow;
  std::unordered_map<uint64_t, Millis> settledAt;
  for (const Job* job : store_.FinishedJobs()) {
    const auto known = settledAt_.find(job->acceptanceIndex_);
    const Millis since = known != settledAt_.end() ? known->second : aNow;
    if (aNow - since < options_.showFinishedFor_ + kLookForSettledEvery) {
      settledAt.emplace(job->acceptanceIndex_, since);
    } else {
      round_.add_changes()->mutable_forget_job()->set_id(job->id_);
    }
  }
  settledAt_ = std::move(settledAt);
}

void FleetScheduler::OnReport(Millis aNow,
                              const InstanceKey& aKey,
                              Millis aClock)
{
  SyncViews(aNow);
  if (InstanceView* view = FindView(aKey)) {
    view->Lease().Observe(aClock, aNow);
    view->lastReportAt_ = aNow;
  }
}

void FleetScheduler::OnCommitted(Millis aNow, uint64_t aNumber)
{
  const auto it = pending_.find(aNumber);
  if (it == pending_.end()) {
    return;
  }
  const Pending pending = std::move(it->second);
  pending_.erase(it);
  SyncViews(aNow);
  for (const ProposedRun& end : pending.ends_) {
    FinishEnd(end);
  }
  for (const ProposedRun& start : pending.starts_) {
    OrderStart(aNow, start);
  }
}

// The log applies an end before we hear of its commit, so the next run of the
// task may have been given to the same instance in between: only the run that
// has ended goes.
void FleetScheduler::FinishEnd(const ProposedRun& aEnd)
{
  InstanceView* view = FindView(aEnd.instance_);
  if (view == nullptr || view->FindRun(aEnd.task_, aEnd.run_) == nullptr) {
    return;
  }
  const bool isEnded = !view->StoredInstance().assigned_.contains(aEnd.task_) ||
                       JobStore::TaskAt(aEnd.task_).run_ != aEnd.run_;
  if (isEnded) {
    view->RemoveRun(aEnd.task_);
  }
}

void FleetScheduler::OrderStart(Millis aNow, const ProposedRun& aStart)
{
  proposed_.erase(aStart.task_);
  InstanceView* view = FindView(aStart.instance_);
  RunView* run =
    view != nullptr ? view->FindRun(aStart.task_, aStart.run_) : nullptr;
  if (run == nullptr) {
    return;
  }
  const bool isTaken =
    view->StoredInstance().assigned_.contains(aStart.task_) &&
    JobStore::TaskAt(aStart.task_).run_ == aStart.run_;
  if (!isTaken) {
    view->RemoveRun(aStart.task_);
    return;
  }
  if (view->removalProposed_) {
    return; // Its tasks will be free; a start now would run beside them.
  }
  const Millis clock = view->Lease().ClockAt(aNow);
  StartOrder order{ .target_ = TargetOf(*view),
                    .ref_ = aStart.task_,
                    .task_ = JobStore::NameOf(aStart.task_),
                    .run_ = aStart.run_,
                    .text_ = aStart.task_.job_->spec_.text(),
                    .checkpoint_ = CheckpointOf(aStart.task_),
                    .deadline_ = clock + options_.startWithin_ };
  const std::string* ticket =
    advice_.TicketFor(aNow, ToAdviceStep(aStart.task_), aStart.instance_);
  order.ticket_ = ticket != nullptr ? *ticket : std::string();
  view->Lease().Extend(order.deadline_);
  run->phase_ = RunPhase::kOrdered;
  run->since_ = aNow;
  trace_.onStart_(order);
  actions_.push_back(std::move(order));
}

} // namespace vanillahatch
