#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include "vanillahatch/core/jobs/pacing.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Much shorter than a lease.
constexpr Millis kUnreachableCheckInterval = Millis(100);
// The lower bound of an idle instance's clock loses 2% of the elapsed time. It
// is read again before a start could be past its deadline when it is sent.
constexpr Millis kClockReadInterval = Seconds(20);
// How long a listing waits for an end; the platform allows 2,000 ms.
constexpr Millis kLongPollTimeout = Millis(1500);
// Interval between searches for finished jobs that can be removed.
constexpr Millis kFinishedCheckInterval = Seconds(5);
// Delay before a stop without a reply is sent again.
constexpr Millis kStopRetryDelay = Millis(300);
// The same for an instance whose best-effort tasks are paced, as the listed
// figures cover the last half second, and while leases cannot be renewed.
constexpr Millis kShortPollTimeout = Millis(250);

// Returns the checkpoint that the task resumes from. All tasks of a gang resume
// from the same one.
const std::string& CheckpointOf(const TaskRef& aTask)
{
  const Task& own = JobStore::TaskAt(aTask);
  if (!JobStore::SpecOf(aTask).gang()) {
    return own.checkpoint_;
  }
  const Step& step =
    aTask.job_->occurrences_.at(aTask.occurrence_).steps_[aTask.step_];
  const auto saved =
    std::find_if(step.tasks_.begin(), step.tasks_.end(), [](const Task& aTask) {
      return !aTask.checkpoint_.empty();
    });
  return saved != step.tasks_.end() ? saved->checkpoint_ : own.checkpoint_;
}

// Returns how long the next listing of the instance may wait for an end.
Millis ListingWait(const InstanceView& aView, const RunSummary& aRuns)
{
  const bool mayRun = aView.HasRuns() || aView.HasUnassignedRuns();
  if (!mayRun || !aView.contacted_ || aView.isUnresponsive_ ||
      aRuns.needsListing_) {
    return {};
  }
  return NeedsPacing(aView) ? kShortPollTimeout : kLongPollTimeout;
}

} // namespace

FleetScheduler::FleetScheduler(JobStore& aStore,
                               FleetSchedulerOptions aOptions,
                               SchedulerTrace aTrace,
                               Millis aNow)
  : store_(aStore)
  , options_(aOptions)
  , trace_(std::move(aTrace))
  , leaderSince_(aNow)
  , ledger_(
      [this](std::string_view aName) { return store_.FindCustomer(aName); })
  , machines_(options_.machines_)
{
  if (!store_.OpenJobs().empty()) {
    firstOwnAcceptanceIndex_ = store_.OpenJobs().rbegin()->first + 1;
  }
  SyncViews(aNow);
}

InstanceView* FleetScheduler::FindView(const InstanceKey& aKey)
{
  const auto it = viewsByKey_.find(aKey);
  return it != viewsByKey_.end() ? it->second : nullptr;
}

const RunSummary& FleetScheduler::SummaryOf(const InstanceView& aView) const
{
  return aView.Summary(store_.InterruptedJobCount());
}

OrderTarget FleetScheduler::TargetOf(Millis aNow,
                                     const InstanceView& aView) const
{
  return { .instance_ = aView.StoredInstance().key_,
           .endpoint_ = { .address_ = aView.StoredRecord().address(),
                          .port_ = static_cast<uint16_t>(
                            aView.StoredRecord().port()) },
           .fencingToken_ = options_.fencingToken_,
           .sendBy_ = aNow + kMaxOrderDelay };
}

uint64_t FleetScheduler::Propose(v1::JobChanges aChanges,
                                 PendingProposal aPending)
{
  const uint64_t number = nextProposal_++;
  pendingProposals_.emplace(number, std::move(aPending));
  actions_.push_back(
    Proposal{ .number_ = number, .changes_ = std::move(aChanges) });
  return number;
}

std::vector<SchedulerAction> FleetScheduler::TakeActions()
{
  return std::exchange(actions_, {});
}

void FleetScheduler::Tick(Millis aNow, Millis aUnixNow)
{
  if (deposed_) {
    return; // Another replica leads; orders of this one would be refused.
  }
  unixNow_ = aUnixNow;
  SyncViews(aNow);
  RemoveUnreachable(aNow);
  AdvanceWaves(aNow);
  SendRequestedStops(aNow);
  PlaceTasks(aNow);
  RebalancePools(aNow);
  ResendUnansweredOrders(aNow);
  RequestMachineList(aNow);
  RemoveFinishedJobs(aNow);
  Audit(aNow);
  PollInstances(aNow);
  ProposeStartedJobs(aNow);
  if (nextChanges_.changes_size() > 0) {
    Propose(std::exchange(nextChanges_, {}), std::exchange(nextPending_, {}));
  }
}

void FleetScheduler::ProposeRemoval(InstanceView& aView,
                                    RemovalKind aKind,
                                    std::string_view aReason)
{
  if (aView.removalProposed_) {
    return;
  }
  aView.removalProposed_ = true;
  v1::InstanceGone& gone = *nextChanges_.add_changes()->mutable_instance_gone();
  *gone.mutable_key() = ToMessage(aView.StoredInstance().key_);
  gone.set_final(aKind == RemovalKind::kFinal);
  trace_.onInstance_(aView.StoredInstance().key_, aReason);
}

// It may report again, unless it drains: a late report from before that would
// make it usable.
void FleetScheduler::RemoveIdle(InstanceView& aView, std::string_view aReason)
{
  ProposeRemoval(aView,
                 aView.StoredRecord().draining() ? RemovalKind::kFinal
                                                 : RemovalKind::kUnreachable,
                 aReason);
}

// True once no task can run on the instance any more and it does not reply.
bool FleetScheduler::HasLostInstance(Millis aNow,
                                     const InstanceView& aView) const
{
  if (aView.isReplaced_) {
    const InstanceLease ofNextIncarnation(options_.longestLease_,
                                          aView.lastGrantAt_ + kMaxOrderDelay);
    return ofNextIncarnation.HasExpired(aNow);
  }
  const bool isUnresponsive = aNow - aView.lastReplyAt_ > options_.lease_;
  const Millis unresponsiveSince =
    std::max(aView.lastReplyAt_, aView.busySince_);
  const bool mayRun = aView.HasRuns() || aView.HasUnassignedRuns();
  const bool isUnreachable =
    mayRun && aNow - unresponsiveSince > options_.lease_;
  const bool isNeverContacted = !mayRun && isUnresponsive && !aView.contacted_;
  return (isUnreachable || isNeverContacted) && aView.Lease().HasExpired(aNow);
}

// True if the next instance of the same machine has replied and this one has
// no runs or does not reply. A report of the next one alone proves nothing:
// another program may have sent it.
bool FleetScheduler::HasSuccessorInContact(const InstanceView& aView) const
{
  if (aView.HasRuns() && !aView.isUnresponsive_) {
    return false;
  }
  const InstanceKey& key = aView.StoredInstance().key_;
  const auto [first, last] =
    viewsByMachine_.equal_range(aView.StoredRecord().machine());
  return std::any_of(first, last, [&](const auto& aItem) {
    const InstanceView& other = *aItem.second;
    const InstanceKey& otherKey = other.StoredInstance().key_;
    return other.contacted_ && !other.isUnresponsive_ &&
           otherKey.id_ != key.id_ &&
           otherKey.startedUnixMs_ > key.startedUnixMs_;
  });
}

// Removes instances that are lost, so that their tasks start elsewhere.
void FleetScheduler::RemoveUnreachable(Millis aNow)
{
  if (aNow - unreachableCheckedAt_ < kUnreachableCheckInterval) {
    return;
  }
  unreachableCheckedAt_ = aNow;
  for (InstanceView* each : allViews_) {
    InstanceView& view = *each;
    if (view.StoredInstance().mayHoldFormerLease_ &&
        !view.formerLeaseEndProposed_) {
      EndFormerLease(aNow, view);
    }
    if (!view.StoredRecord().machine().empty() && HasSuccessorInContact(view)) {
      ProposeRemoval(
        view, RemovalKind::kFinal, "the next instance of its machine replied");
    } else if (HasLostInstance(aNow, view)) {
      ProposeRemoval(
        view, RemovalKind::kUnreachable, "lease expired while unreachable");
    }
  }
}

// Orders may reach it in place of an earlier incarnation as long as that one is
// stored.
void FleetScheduler::EndFormerLease(Millis aNow, InstanceView& aView)
{
  const InstanceKey& key = aView.StoredInstance().key_;
  const bool isEarlierStored =
    store_.FindInstancesById(key.id_).front()->key_ != key;
  if (isEarlierStored) {
    aView.Lease().ExpectUnknownLease(options_.longestLease_,
                                     aNow + kMaxOrderDelay);
  } else if (aView.Lease().HaveEarlierGrantsExpired(aNow)) {
    aView.formerLeaseEndProposed_ = true;
    *nextChanges_.add_changes()->mutable_former_lease_ended()->mutable_key() =
      ToMessage(key);
    trace_.onInstance_(key, "no lease of its former incarnation is left");
  }
}

// Requests listings. Each renews the lease of an instance that runs tasks.
void FleetScheduler::PollInstances(Millis aNow)
{
  for (InstanceView* each : allViews_) {
    InstanceView& view = *each;
    const uint64_t cursor = view.StoredRecord().end_cursor();
    const bool hasRuns = view.HasRuns();
    if (hasRuns) {
      view.lastBusyAt_ = aNow;
    }
    const bool hasNewEnds = cursor > view.confirmedCursor_;
    const bool hasUncommittedEnds = view.proposedCursor_ > cursor;
    const bool isClockStale =
      view.Lease().IsClockKnown() &&
      aNow - view.Lease().ObservedAt() > kClockReadInterval;
    const bool needsListing = hasRuns || hasNewEnds || !view.contacted_ ||
                              isClockStale || view.HasUnassignedRuns();
    if (!needsListing) {
      continue;
    }
    const RunSummary& runs = SummaryOf(view);
    // Without the leader lease the poll is short, so that the lease of the
    // instance is renewed soon after that one is regained.
    const Millis wait = MayGrantLeases(aNow) ? ListingWait(view, runs)
                                             : std::min(ListingWait(view, runs),
                                                        kShortPollTimeout);
    // While a long poll is in flight, an open question is answered by a listing
    // without a wait.
    const bool isInFlight = wait > Millis() || !runs.needsListing_
                              ? view.holdInFlight_ || view.pollInFlight_
                              : view.pollInFlight_;
    if (isInFlight || hasUncommittedEnds || aNow < view.nextHoldAt_) {
      continue;
    }
    HoldOrder order{ .target_ = TargetOf(aNow, view), .wait_ = wait };
    // Ends are confirmed only while replies show that this incarnation runs:
    // the next one would take the cursor as one of its own.
    if (view.contacted_ && !view.isUnresponsive_) {
      order.endCursor_ = hasNewEnds ? cursor : 0;
      view.confirmedCursor_ = cursor;
    }
    // An instance that does not reply may still receive orders: renewing its
    // lease would keep its tasks from being started elsewhere.
    const bool renewsLease = view.Lease().IsClockKnown() && hasRuns &&
                             !view.isUnresponsive_ && MayGrantLeases(aNow);
    if (renewsLease) {
      const Millis deadline = view.Lease().ClockAt(aNow) + options_.lease_;
      view.Lease().Extend(deadline);
      view.lastGrantAt_ = aNow;
      order.deadline_ = deadline;
    }
    (wait > Millis() ? view.holdInFlight_ : view.pollInFlight_) = true;
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
    run->nextStopAt_ = aNow + kStopRetryDelay;
    keepsBudget = run->stopRespectsBudget_ && aTask.job_->IsOpen();
  }
  StopOrder order{ .target_ = TargetOf(aNow, aView),
                   .ref_ = aTask,
                   .task_ = aName,
                   .run_ = aRun,
                   .expires_ = keepsBudget };
  if (!order.expires_) {
    order.target_.sendBy_.reset();
  }
  actions_.push_back(std::move(order));
}

// Sends due stops, and requests stops for runs whose jobs have closed.
void FleetScheduler::SendRequestedStops(Millis aNow)
{
  for (InstanceView* each : allViews_) {
    InstanceView& view = *each;
    if (!view.HasRuns() || !view.contacted_ ||
        !SummaryOf(view).hasRunsToStop_) {
      continue;
    }
    for (auto& [task, run] : view.Runs()) {
      const bool isLogged = run.phase_ != RunPhase::kProposed;
      if (isLogged && !run.stopRequested_ && !task.job_->IsOpen()) {
        run.stopRequested_ = true;
      }
      const bool isDue = run.stopRequested_ && isLogged && !run.stopInFlight_ &&
                         !run.stoppedAt_ && !run.endProposed_ &&
                         aNow >= run.nextStopAt_;
      // Checked again at each attempt: another task of the step may have been
      // lost since the last one failed.
      const bool isAllowed = !run.stopRespectsBudget_ || !task.job_->IsOpen() ||
                             MayInterrupt(aNow, task);
      if (isDue && isAllowed) {
        SendStop(aNow, view, task, JobStore::NameOf(task), run.run_);
      }
    }
  }
}

// The retention counts from when this leader first found the job finished: a
// change of leader extends it and never shortens it.
void FleetScheduler::RemoveFinishedJobs(Millis aNow)
{
  if (aNow - finishedCheckedAt_ < kFinishedCheckInterval) {
    return;
  }
  finishedCheckedAt_ = aNow;
  std::unordered_map<uint64_t, Millis> finishedAt;
  for (const Job* job : store_.FinishedJobs()) {
    const auto known = finishedAt_.find(job->acceptanceIndex_);
    const Millis since = known != finishedAt_.end() ? known->second : aNow;
    if (aNow - since <
        options_.finishedJobRetention_ + kFinishedCheckInterval) {
      finishedAt.emplace(job->acceptanceIndex_, since);
    } else {
      nextChanges_.add_changes()->mutable_forget_job()->set_id(job->id_);
    }
  }
  finishedAt_ = std::move(finishedAt);
}

void FleetScheduler::OnLeave(Millis aNow, const InstanceKey& aKey)
{
  SyncViews(aNow);
  InstanceView* view = FindView(aKey);
  if (view == nullptr) {
    return;
  }
  view->isLeaving_ = true;
  for (auto& [task, run] : view->Runs()) {
    run.stopRequested_ = true;
    run.stopRespectsBudget_ = false;
    run.stopBecauseUnlisted_ = false;
  }
}

void FleetScheduler::OnCommitted(Millis aNow, uint64_t aNumber)
{
  const auto it = pendingProposals_.find(aNumber);
  if (it == pendingProposals_.end()) {
    return;
  }
  const PendingProposal pending = std::move(it->second);
  pendingProposals_.erase(it);
  SyncViews(aNow);
  for (const ProposedRun& end : pending.ends_) {
    RemoveEndedRun(end);
  }
  for (const ProposedRun& start : pending.starts_) {
    SendStart(aNow, start);
  }
}

// The store applies an end before `OnCommitted` is called. The next run of the
// task may have been assigned to the same instance in between, so only the run
// that has ended is removed.
void FleetScheduler::RemoveEndedRun(const ProposedRun& aEnd)
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

void FleetScheduler::SendStart(Millis aNow, const ProposedRun& aStart)
{
  proposedStarts_.erase(aStart.task_);
  InstanceView* view = FindView(aStart.instance_);
  RunView* run =
    view != nullptr ? view->FindRun(aStart.task_, aStart.run_) : nullptr;
  if (run == nullptr) {
    return;
  }
  const bool isAssigned =
    view->StoredInstance().assigned_.contains(aStart.task_) &&
    JobStore::TaskAt(aStart.task_).run_ == aStart.run_;
  if (!isAssigned) {
    view->RemoveRun(aStart.task_);
    return;
  }
  if (view->removalProposed_) {
    return; // Its tasks may be placed elsewhere; a start here would run twice.
  }
  if (!MayGrantLeases(aNow) || view->isLeaving_) {
    trace_.onStartWithheld_(aStart.task_, aStart.run_);
    ProposeStopped(*view, aStart.task_, aStart.run_);
    return;
  }
  const Millis clock = view->Lease().ClockAt(aNow);
  StartOrder order{ .target_ = TargetOf(aNow, *view),
                    .ref_ = aStart.task_,
                    .task_ = JobStore::NameOf(aStart.task_),
                    .run_ = aStart.run_,
                    .text_ = aStart.task_.job_->spec_.text(),
                    .checkpoint_ = CheckpointOf(aStart.task_),
                    .deadline_ = clock + options_.startTimeout_ };
  const std::string* ticket =
    advice_.TicketFor(aNow, ToAdviceStep(aStart.task_), aStart.instance_);
  order.ticket_ = ticket != nullptr ? *ticket : std::string();
  view->Lease().Extend(order.deadline_);
  view->lastGrantAt_ = aNow;
  run->phase_ = RunPhase::kOrdered;
  run->since_ = aNow;
  trace_.onStart_(order);
  actions_.push_back(std::move(order));
}

} // namespace vanillahatch
