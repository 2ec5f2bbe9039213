// What answers and listings of instances say of their runs.
#include "vanillahatch/core/jobs/fleet_scheduler.h"
#include "vanillahatch/core/jobs/pacing.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// After which an instance that refused or failed orders is tried again.
constexpr Millis kAvoidAfterRefusal = Millis(500);
constexpr Millis kAvoidAfterSilence = Seconds(1);
// Instances that fail what they start in a row are left out for longer.
constexpr uint32_t kSuspiciousFailures = 3;
constexpr Millis kAvoidAfterFailures = Seconds(3);
// Between listings while an instance does not answer.
constexpr Millis kListingRetry = Millis(200);
constexpr Millis kListingGap = Millis(30);
// A listing with this many ends may leave out others.
constexpr size_t kMostEndsListed = 500;
constexpr uint32_t kAtWork = 100; // percent

// An answer to an order shows the instance's clock, and that it is there.
void NoteAnswer(Millis aNow, InstanceView& aView, const OrderResult& aResult)
{
  if (aResult.clock_) {
    aView.Lease().Observe(*aResult.clock_, aNow);
    aView.lastReplyAt_ = aNow;
  }
}

} // namespace

void FleetScheduler::Doubt(Millis aNow,
                           const TaskRef& aTask,
                           RunView& aRun,
                           std::string_view aReason)
{
  aRun.phase_ = RunPhase::kInDoubt;
  aRun.since_ = aNow;
  trace_.onDoubt_(aTask, aRun.run_, aReason);
}

// The run never existed, or is known to exist no more.
void FleetScheduler::EndWithoutRun(InstanceView& aView,
                                   const TaskRef& aTask,
                                   uint32_t aRun)
{
  RunView* run = aView.FindRun(aTask, aRun);
  if (run == nullptr || run->endProposed_) {
    return;
  }
  run->endProposed_ = true;
  roundPending_.ends_.push_back(
    { .instance_ = aView.StoredInstance().key_, .task_ = aTask, .run_ = aRun });
  v1::RunEnd& end = *round_.add_changes()->mutable_run_end();
  *end.mutable_task() = JobStore::NameOf(aTask);
  end.set_run(aRun);
  *end.mutable_instance() = ToMessage(aView.StoredInstance().key_);
  end.set_outcome(v1::RUN_STOPPED);
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
  NoteAnswer(aNow, *view, aResult);
  RunView* run = view->FindRun(aOrder.ref_, aOrder.run_);
  if (run == nullptr) {
    return;
  }
  const bool isOpen = run->phase_ == RunPhase::kOrdered;
  switch (aResult.status_) {
    case OrderStatus::kAccepted:
      run->acceptedClock_ = aResult.clock_;
      if (isOpen) {
        run->phase_ = RunPhase::kStarted;
        run->since_ = aNow;
      }
      return;
    case OrderStatus::kFenced:
      deposed_ = true;
      return;
    case OrderStatus::kOtherIncarnation:
      ProposeGone(*view, GoneFor::kGood, "another incarnation answers");
      return;
    case OrderStatus::kUnknown:
      view->avoidUntil_ = aNow + kAvoidAfterSilence;
      if (isOpen) {
        Doubt(aNow, aOrder.ref_, *run, "start not answered");
      }
      return;
    case OrderStatus::kNotSent:
      view->avoidUntil_ = aNow + kAvoidAfterSilence;
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
  if (isOpen) {
    EndWithoutRun(*view, aOrder.ref_, aOrder.run_);
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
  NoteAnswer(aNow, *view, aResult);
  deposed_ = deposed_ || aResult.status_ == OrderStatus::kFenced;
  if (aResult.status_ == OrderStatus::kOtherIncarnation) {
    ProposeGone(*view, GoneFor::kGood, "another incarnation answers");
    return;
  }
  if (RunView* run = view->FindRun(aOrder.ref_, aOrder.run_)) {
    run->stopInFlight_ = false;
    if (aResult.status_ == OrderStatus::kAccepted) {
      run->stoppedAt_ = aNow;
    } else if (run->stopBecauseUnlisted_) {
      // A fresh listing decides whether the stop is still wanted.
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
  const bool isOther =
    aResult.status_ == OrderStatus::kOtherIncarnation ||
    (aResult.status_ == OrderStatus::kAccepted &&
     aListing.startedUnixMs_ != 0 &&
     aListing.startedUnixMs_ != aOrder.target_.instance_.startedUnixMs_);
  if (isOther) {
    ProposeGone(*view, GoneFor::kGood, "another incarnation answers");
    return;
  }
  if (aResult.status_ != OrderStatus::kAccepted) {
    view->isUnresponsive_ = true;
    view->nextHoldAt_ = aNow + kListingRetry;
    view->confirmedCursor_ = 0;
    view->avoidUntil_ = aNow + kAvoidAfterSilence;
    return;
  }
  if (!view->contacted_) {
    view->contacted_ = true;
    trace_.onInstance_(aOrder.target_.instance_, "in contact");
  }
  view->isUnresponsive_ = false;
  view->lastReplyAt_ = aNow;
  view->nextHoldAt_ = aNow + kListingGap;
  if (aResult.clock_) {
    view->Lease().Observe(*aResult.clock_, aNow);
  }
  ++view->listings_;
  TakeEnds(aNow, *view, aResult.clock_, aListing);
  TakeRunning(aNow, *view, aListing);
  if (aListing.ended_.size() < kMostEndsListed) {
    FindLost(aNow, *view, aSentAt);
  }
  Pace(*view);
}

void FleetScheduler::Pace(InstanceView& aView)
{
  for (const PaceChange& change : PaceFillers(aView)) {
    RunView& run = *aView.FindRun(change.task_, change.run_);
    run.orderedPercent_ = change.percent_;
    run.paceInFlight_ = true;
    actions_.push_back(PaceOrder{ .target_ = TargetOf(aView),
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
    // Not known to be slowed: the next listing decides afresh.
    run->orderedPercent_ = 100;
  }
}

// Run times are those between answers of the instance, on its own clock: what
// orders and answers take on their way is ours. Runs of an earlier leader are
// not measured.
void FleetScheduler::LearnFrom(Millis aNow,
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
  const Millis ran = *aEndClock - *aRun.acceptedClock_;
  times_.Learn(aTask.job_->queue_, JobStore::SpecOf(aTask), ran);
  times_.LearnDelay(aNow - *aRun.placedAt_ - ran);
}

void FleetScheduler::TakeEnds(Millis aNow,
                              InstanceView& aView,
                              std::optional<Millis> aClock,
                              const InstanceListing& aListing)
{
  for (const EndedTask& ended : aListing.ended_) {
    if (ended.number_ <= aView.proposedCursor_) {
      continue;
    }
    aView.proposedCursor_ = ended.number_;
    v1::RunEnd& end = *round_.add_changes()->mutable_run_end();
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
    // A start that takes this room goes into the log after the end.
    aView.ReleaseCapacityOf(*run);
    roundPending_.ends_.push_back({ .instance_ = aView.StoredInstance().key_,
                                    .task_ = *ref,
                                    .run_ = ended.run_ });
    if (ended.outcome_ == v1::RUN_DONE) {
      aView.failuresInRow_ = 0;
      LearnFrom(aNow, *ref, *run, aClock);
    } else if (ended.outcome_ == v1::RUN_FAILED &&
               ++aView.failuresInRow_ >= kSuspiciousFailures) {
      aView.avoidUntil_ = aNow + kAvoidAfterFailures;
      trace_.onInstance_(aView.StoredInstance().key_, "fails what it starts");
    }
  }
}

void FleetScheduler::TakeRunning(Millis aNow,
                                 InstanceView& aView,
                                 const InstanceListing& aListing)
{
  for (const RunningTask& running : aListing.running_) {
    const std::optional<TaskRef> ref = store_.FindTask(running.task_);
    RunView* run = ref ? aView.FindRun(*ref, running.run_) : nullptr;
    if (run == nullptr) {
      // Of an earlier leader or an earlier life of the task: nobody waits
      // for it.
      SendStop(
        aNow, aView, ref.value_or(TaskRef{}), running.task_, running.run_);
      continue;
    }
    run->lastListing_ = aView.listings_;
    if (run->phase_ != RunPhase::kListed) {
      run->phase_ = RunPhase::kListed;
      run->since_ = aNow;
    }
    // A start that was carried out late: the run is wanted after all, and its
    // step may have no budget left for a stop.
    if (run->stopBecauseUnlisted_ && !run->stopInFlight_ && !run->stoppedAt_) {
      run->stopBecauseUnlisted_ = false;
      run->stopRequested_ = false;
    }
    run->percent_ = running.percent_;
    run->load_ = running.load_;
    const bool isAtWork = running.percent_ == kAtWork;
    if (!isAtWork) {
      run->runningSince_.reset();
    } else if (!run->runningSince_) {
      run->runningSince_ = aNow;
    }
  }
}

// Runs that should be there and are in neither list.
void FleetScheduler::FindLost(Millis aNow, InstanceView& aView, Millis aSentAt)
{
  for (auto& [task, run] : aView.Runs()) {
    const bool isMissing = run.phase_ != RunPhase::kProposed &&
                           !run.endProposed_ &&
                           run.lastListing_ != aView.listings_;
    if (!isMissing) {
      continue;
    }
    if (run.stoppedAt_ && *run.stoppedAt_ < aSentAt) {
      EndWithoutRun(aView, task, run.run_);
    } else if (run.phase_ != RunPhase::kOrdered && run.since_ < aSentAt &&
               !run.stopRequested_) {
      if (run.phase_ != RunPhase::kInDoubt) {
        Doubt(aNow, task, run, "not listed");
      }
      // Until a stop may be sent again the instance is listed again and again,
      // so that each stop follows a listing without the run.
      run.stopRequested_ = aNow >= run.nextStopAt_;
      run.stopBecauseUnlisted_ = run.stopRequested_;
    }
  }
}

} // namespace vanillahatch
