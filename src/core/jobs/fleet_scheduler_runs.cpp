// Handling of replies and listings of instances, which report the state of
// runs.
#include "vanillahatch/core/jobs/fleet_scheduler.h"
#include "vanillahatch/core/jobs/pacing.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// How long an instance gets no new work after it refused an order or did not
// reply.
constexpr Millis kAvoidAfterRefusal = Millis(500);
constexpr Millis kAvoidAfterNoReply = Seconds(1);
// After this many failed runs in a row an instance is avoided for longer.
constexpr uint32_t kMaxFailuresInRow = 3;
constexpr Millis kAvoidAfterFailures = Seconds(3);
// Interval between listings of an instance that does not reply.
constexpr Millis kListingRetryInterval = Millis(200);
// Shortest interval between listings of an instance.
constexpr Millis kMinListingInterval = Millis(30);
// A listing with this many ends may be truncated.
constexpr size_t kMaxEndsListed = 500;
constexpr uint32_t kFullPercent = 100;
// A count of waiting jobs may be 2 s old.
constexpr Millis kMaxStartedJobDelay = Millis(500);

// A reply with the clock of the instance proves that it is reachable.
void RecordReply(Millis aNow, InstanceView& aView, const OrderResult& aResult)
{
  if (aResult.clock_ && aResult.status_ != OrderStatus::kOtherIncarnation) {
    aView.Lease().Observe(*aResult.clock_, aNow);
    aView.lastReplyAt_ = aNow;
  }
}

} // namespace

void FleetScheduler::MarkInDoubt(Millis aNow,
                                 const TaskRef& aTask,
                                 RunView& aRun,
                                 std::string_view aReason)
{
  aRun.phase_ = RunPhase::kInDoubt;
  aRun.since_ = aNow;
  trace_.onInDoubt_(aTask, aRun.run_, aReason);
}

// Proposes that a run ended as stopped: it never existed or exists no more.
void FleetScheduler::ProposeStopped(InstanceView& aView,
                                    const TaskRef& aTask,
                                    uint32_t aRun)
{
  RunView* run = aView.FindRun(aTask, aRun);
  if (run == nullptr || run->endProposed_) {
    return;
  }
  run->endProposed_ = true;
  nextPending_.ends_.push_back(
    { .instance_ = aView.StoredInstance().key_, .task_ = aTask, .run_ = aRun });
  v1::RunEnd& end = *nextChanges_.add_changes()->mutable_run_end();
  *end.mutable_task() = JobStore::NameOf(aTask);
  end.set_run(aRun);
  *end.mutable_instance() = ToMessage(aView.StoredInstance().key_);
  end.set_outcome(v1::RUN_STOPPED);
}

void FleetScheduler::OnRunBegun(Millis aNow, const Job& aJob)
{
  if (aJob.started_ || !aJob.IsOpen()) {
    return;
  }
  if (startedJobs_.empty()) {
    firstStartedAt_ = aNow;
  }
  startedJobs_.insert(aJob.id_);
}

// Other changes take them along. An end within the delay makes them needless.
void FleetScheduler::ProposeStartedJobs(Millis aNow)
{
  const bool isDue =
    !startedJobs_.empty() && (nextChanges_.changes_size() > 0 ||
                              aNow - firstStartedAt_ >= kMaxStartedJobDelay);
  if (!isDue) {
    return;
  }
  for (const std::string& id : startedJobs_) {
    const Job* job = store_.FindJob(id);
    if (job != nullptr && !job->started_ && job->IsOpen()) {
      nextChanges_.add_changes()->mutable_job_started()->set_id(id);
    }
  }
  startedJobs_.clear();
}

// The next incarnation may have executed starts. It takes over the runs once it
// has reported.
void FleetScheduler::MarkReplaced(InstanceView& aView)
{
  if (!aView.isReplaced_) {
    aView.isReplaced_ = true;
    aView.isUnresponsive_ = true;
    trace_.onInstance_(aView.StoredInstance().key_, "it has started again");
  }
}

// An instance keeps its address, so one that has replied there itself has
// ended. Else the address may be wrong, and the instance may run its tasks
// elsewhere: they are freed only once their lease has expired.
void FleetScheduler::OnOtherInstanceReplied(Millis aNow,
                                            InstanceView& aView,
                                            const Endpoint& aEndpoint)
{
  if (aView.confirmedEndpoint_ == aEndpoint) {
    ProposeRemoval(
      aView, RemovalKind::kFinal, "another instance has taken its address");
    return;
  }
  if (!aView.isUnresponsive_) {
    trace_.onInstance_(aView.StoredInstance().key_,
                       "another instance replied at its address");
  }
  SetUnresponsive(aNow, aView);
  if (!aView.HasRuns()) {
    RemoveIdle(aView, "another instance replied; it had no tasks");
  }
}

void FleetScheduler::SetUnresponsive(Millis aNow, InstanceView& aView)
{
  aView.isUnresponsive_ = true;
  aView.nextHoldAt_ = aNow + kListingRetryInterval;
  aView.confirmedCursor_ = 0;
  aView.avoidUntil_ = aNow + kAvoidAfterNoReply;
}

void FleetScheduler::OnStart(Millis aNow,
                             const StartOrder& aOrder,
                             const OrderResult& aResult)
{
  SyncViews(aNow);
  InstanceView* view = FindView(aOrder.target_.instance_);
  if (view == nullptr) {
    return;
  }
  RecordReply(aNow, *view, aResult);
  RunView* run = view->FindRun(aOrder.ref_, aOrder.run_);
  if (run == nullptr) {
    return;
  }
  const bool isUnresolved = run->phase_ == RunPhase::kOrdered;
  // The deadline was computed from a lower bound of the clock.
  if (aResult.clock_ &&
      *aResult.clock_ < aOrder.deadline_ - options_.startTimeout_) {
    MarkReplaced(*view);
  }
  switch (aResult.status_) {
    case OrderStatus::kAccepted:
      run->acceptedClock_ = aResult.clock_;
      OnRunBegun(aNow, *aOrder.ref_.job_);
      if (isUnresolved) {
        run->phase_ = RunPhase::kStarted;
        run->since_ = aNow;
      }
      return;
    case OrderStatus::kFenced:
      deposed_ = true;
      return;
    case OrderStatus::kOtherIncarnation:
      OnOtherInstanceReplied(aNow, *view, aOrder.target_.endpoint_);
      break;
    case OrderStatus::kUnknown:
      view->avoidUntil_ = aNow + kAvoidAfterNoReply;
      if (isUnresolved) {
        MarkInDoubt(aNow, aOrder.ref_, *run, "no reply to its start");
      }
      return;
    case OrderStatus::kNotSent:
      view->avoidUntil_ = aNow + kAvoidAfterNoReply;
      break;
    case OrderStatus::kUnavailable:
    case OrderStatus::kNoCapacity:
      view->avoidUntil_ = aNow + kAvoidAfterRefusal;
      break;
    case OrderStatus::kNoTicket:
      advice_.DropTicket(ToAdviceStep(aOrder.ref_), aOrder.target_.instance_);
      break;
    case OrderStatus::kRunTooOld:
    case OrderStatus::kPastDeadline:
    case OrderStatus::kRefused:
      break;
  }
  if (isUnresolved) {
    ProposeStopped(*view, aOrder.ref_, aOrder.run_);
  }
}

void FleetScheduler::OnStop(Millis aNow,
                            const StopOrder& aOrder,
                            const OrderResult& aResult)
{
  SyncViews(aNow);
  InstanceView* view = FindView(aOrder.target_.instance_);
  if (view == nullptr) {
    return;
  }
  RecordReply(aNow, *view, aResult);
  deposed_ = deposed_ || aResult.status_ == OrderStatus::kFenced;
  if (aResult.status_ == OrderStatus::kOtherIncarnation) {
    OnOtherInstanceReplied(aNow, *view, aOrder.target_.endpoint_);
  }
  if (RunView* run = view->FindRun(aOrder.ref_, aOrder.run_)) {
    run->stopInFlight_ = false;
    if (aResult.status_ == OrderStatus::kAccepted) {
      run->stoppedAt_ = aNow;
    } else if (run->stopBecauseUnlisted_) {
      // The next listing decides whether the run has to be stopped.
      run->stopBecauseUnlisted_ = false;
      run->stopRequested_ = false;
      run->since_ = aNow;
    }
  }
}

void FleetScheduler::OnListing(Millis aNow,
                               const HoldOrder& aOrder,
                               Millis aSentAt,
                               const OrderResult& aResult,
                               const InstanceListing& aListing)
{
  SyncViews(aNow);
  InstanceView* view = FindView(aOrder.target_.instance_);
  if (view == nullptr) {
    return;
  }
  (aOrder.wait_ > Millis() ? view->holdInFlight_ : view->pollInFlight_) = false;
  if (aResult.status_ == OrderStatus::kFenced) {
    deposed_ = true;
    return;
  }
  if (aResult.status_ == OrderStatus::kOtherIncarnation) {
    OnOtherInstanceReplied(aNow, *view, aOrder.target_.endpoint_);
    return;
  }
  const bool isReplaced =
    aResult.status_ == OrderStatus::kAccepted && aListing.startedUnixMs_ != 0 &&
    aListing.startedUnixMs_ != aOrder.target_.instance_.startedUnixMs_;
  if (isReplaced) {
    MarkReplaced(*view);
  }
  if (isReplaced || aResult.status_ != OrderStatus::kAccepted) {
    SetUnresponsive(aNow, *view);
    return;
  }
  if (!view->contacted_) {
    view->contacted_ = true;
    trace_.onInstance_(aOrder.target_.instance_, "in contact");
  }
  view->isUnresponsive_ = false;
  view->confirmedEndpoint_ = aOrder.target_.endpoint_;
  view->lastReplyAt_ = aNow;
  view->nextHoldAt_ = aNow + kMinListingInterval;
  if (aResult.clock_) {
    view->Lease().Observe(*aResult.clock_, aNow);
  }
  ++view->listings_;
  ProcessEnded(aNow, *view, aResult.clock_, aListing);
  ProcessRunning(aNow, *view, aListing);
  if (aListing.ended_.size() < kMaxEndsListed) {
    CheckUnlistedRuns(aNow, *view, aSentAt);
  }
  SendPaceChanges(aNow, *view);
}

void FleetScheduler::SendPaceChanges(Millis aNow, InstanceView& aView)
{
  for (const PaceChange& change : PaceBestEffortTasks(aView)) {
    RunView& run = *aView.FindRun(change.task_, change.run_);
    run.orderedPercent_ = change.percent_;
    run.paceInFlight_ = true;
    actions_.push_back(PaceOrder{ .target_ = TargetOf(aNow, aView),
                                  .ref_ = change.task_,
                                  .task_ = JobStore::NameOf(change.task_),
                                  .run_ = change.run_,
                                  .percent_ = change.percent_ });
  }
}

void FleetScheduler::OnPace(const PaceOrder& aOrder, const OrderResult& aResult)
{
  deposed_ = deposed_ || aResult.status_ == OrderStatus::kFenced;
  InstanceView* view = FindView(aOrder.target_.instance_);
  RunView* run =
    view != nullptr ? view->FindRun(aOrder.ref_, aOrder.run_) : nullptr;
  if (run == nullptr) {
    return;
  }
  run->paceInFlight_ = false;
  if (aResult.status_ != OrderStatus::kAccepted) {
    // The pace of the task is unknown; the next listing leads to a new order.
    run->orderedPercent_ = 100;
  }
}

// Run times are measured between replies of the instance, on its clock; the
// time that orders and replies are in flight counts as delay of the leader.
// Runs placed by an earlier leader are not measured.
void FleetScheduler::RecordRunTime(Millis aNow,
                                   const TaskRef& aTask,
                                   const RunView& aRun,
                                   std::optional<Millis> aEndClock)
{
  const bool isMeasured = aRun.placedAt_ && aRun.acceptedClock_ && aEndClock &&
                          *aEndClock >= *aRun.acceptedClock_ &&
                          JobStore::TaskAt(aTask).checkpoint_.empty();
  if (!isMeasured) {
    return;
  }
  const Millis runTime = *aEndClock - *aRun.acceptedClock_;
  runTimes_.Record(aTask.job_->queueAddress_,
                   JobStore::SpecOf(aTask),
                   runTime,
                   aRun.isFar_ ? options_.remoteRackFactor_ : 1.0);
  runTimes_.RecordDelay(aNow - *aRun.placedAt_ - runTime);
}

void FleetScheduler::ProcessEnded(Millis aNow,
                                  InstanceView& aView,
                                  std::optional<Millis> aClock,
                                  const InstanceListing& aListing)
{
  for (const EndedTask& ended : aListing.ended_) {
    if (ended.number_ <= aView.proposedCursor_) {
      continue;
    }
    aView.proposedCursor_ = ended.number_;
    v1::RunEnd& end = *nextChanges_.add_changes()->mutable_run_end();
    *end.mutable_task() = ended.task_;
    end.set_run(ended.run_);
    *end.mutable_instance() = ToMessage(aView.StoredInstance().key_);
    end.set_end_number(ended.number_);
    end.set_outcome(ended.outcome_);
    end.set_checkpoint(ended.checkpoint_);
    const std::optional<TaskRef> ref = store_.FindTask(ended.task_);
    RunView* run = ref ? aView.FindRun(*ref, ended.run_) : nullptr;
    if (run == nullptr) {
      continue;
    }
    trace_.onEnd_(*ref, ended, aView.StoredInstance().key_);
    run->endProposed_ = true;
    // A start that uses this capacity follows the end in the log.
    aView.ReleaseCapacityOf(*run);
    nextPending_.ends_.push_back({ .instance_ = aView.StoredInstance().key_,
                                   .task_ = *ref,
                                   .run_ = ended.run_ });
    if (ended.outcome_ == v1::RUN_DONE) {
      aView.failuresInRow_ = 0;
      RecordRunTime(aNow, *ref, *run, aClock);
    } else if (ended.outcome_ == v1::RUN_FAILED &&
               ++aView.failuresInRow_ >= kMaxFailuresInRow) {
      aView.avoidUntil_ = aNow + kAvoidAfterFailures;
      trace_.onInstance_(aView.StoredInstance().key_,
                         "several runs in a row failed");
    }
  }
}

void FleetScheduler::ProcessRunning(Millis aNow,
                                    InstanceView& aView,
                                    const InstanceListing& aListing)
{
  aView.ClearUnassignedRuns();
  for (const RunningTask& running : aListing.running_) {
    const std::optional<TaskRef> ref = store_.FindTask(running.task_);
    RunView* run = ref ? aView.FindRun(*ref, running.run_) : nullptr;
    if (run == nullptr && ref) {
      aView.AddUnassignedRun(*ref);
    }
    if (run == nullptr) {
      // A run of an earlier leader or an earlier run of the task; its result
      // is not needed.
      SendStop(
        aNow, aView, ref.value_or(TaskRef{}), running.task_, running.run_);
      continue;
    }
    run->lastListing_ = aView.listings_;
    OnRunBegun(aNow, *ref->job_);
    if (run->phase_ != RunPhase::kListed) {
      run->phase_ = RunPhase::kListed;
      run->since_ = aNow;
    }
    // The start was carried out late. The run is kept, since its step may have
    // no availability budget left for a stop.
    if (run->stopBecauseUnlisted_ && !run->stopInFlight_ && !run->stoppedAt_) {
      run->stopBecauseUnlisted_ = false;
      run->stopRequested_ = false;
    }
    run->percent_ = running.percent_;
    run->load_ = running.load_;
    const bool isRunning = running.percent_ == kFullPercent;
    if (!isRunning) {
      run->runningSince_.reset();
    } else if (!run->runningSince_) {
      run->runningSince_ = aNow;
    }
  }
}

// Handles runs that should be on the instance but are in neither list.
void FleetScheduler::CheckUnlistedRuns(Millis aNow,
                                       InstanceView& aView,
                                       Millis aSentAt)
{
  for (auto& [task, run] : aView.Runs()) {
    const bool isMissing = run.phase_ != RunPhase::kProposed &&
                           !run.endProposed_ &&
                           run.lastListing_ != aView.listings_;
    if (!isMissing) {
      continue;
    }
    if (run.stoppedAt_ && *run.stoppedAt_ < aSentAt) {
      ProposeStopped(aView, task, run.run_);
    } else if (run.phase_ != RunPhase::kOrdered && run.since_ < aSentAt &&
               !run.stopRequested_) {
      if (run.phase_ != RunPhase::kInDoubt) {
        MarkInDoubt(aNow, task, run, "not listed");
      }
      // Listings continue until a stop may be sent again, so that each stop
      // follows a listing without the run.
      run.stopRequested_ = aNow >= run.nextStopAt_;
      run.stopBecauseUnlisted_ = run.stopRequested_;
    }
  }
}

} // namespace vanillahatch
