// Decides which task runs on which instance while this replica leads.
//
// A deterministic state machine: it takes events and the time and returns
// actions. It reads the replicated `JobStore` and changes it only through
// proposals. Each start is committed to the log before its order is sent, so
// that a later leader knows where each run may be. A new scheduler is created
// at each change of leader; it takes over the runs in the log by listing every
// instance under its own fencing token.
//
//   FleetScheduler scheduler(store, { .fencingToken_ = term }, now);
//   scheduler.Tick(now, unixNow);
//   for (SchedulerAction& action : scheduler.TakeActions()) { ... }
//   scheduler.OnCommitted(now, number);          // of a Proposal
//   scheduler.OnListing(now, order, sentAt, result, listing);
#pragma once

#include "vanillahatch/core/jobs/advice_cache.h"
#include "vanillahatch/core/jobs/demand_forecaster.h"
#include "vanillahatch/core/jobs/instance_view.h"
#include "vanillahatch/core/jobs/job_order.h"
#include "vanillahatch/core/jobs/machine_tracker.h"
#include "vanillahatch/core/jobs/near_placement.h"
#include "vanillahatch/core/jobs/pool_balancer.h"
#include "vanillahatch/core/jobs/service_capacity.h"
#include "vanillahatch/core/jobs/task_run_time_estimator.h"
#include "vanillahatch/core/sharing/customer_ledger.h"
#include "vanillahatch/core/sharing/fair_backlog.h"

#include <array>
#include <functional>
#include <span>
#include <unordered_map>

namespace vanillahatch {

struct FleetSchedulerOptions
{
  uint64_t fencingToken_ = 0; // higher than any earlier leader's
  // Length of the lease under which an instance runs its tasks. It must outlast
  // a change of leader; tasks of an unreachable instance are started elsewhere
  // only after it has expired.
  Millis lease_ = Seconds(5);
  // The longest lease that an instance accepts. A deadline on the clock of an
  // incarnation may give the next one a lease of this length.
  Millis longestLease_ = Seconds(10);
  // How long a former leader may still hold the leader lease, and so grant
  // leases on instances, after this one has taken over.
  Millis formerLeaderLease_;
  // How long a start may be in flight; the instance refuses one that arrives
  // later.
  Millis startTimeout_ = Millis(1500);
  // How long the state of a finished job can be queried.
  Millis finishedJobRetention_ = Seconds(120);
  // How long a new leader sends no machine orders. Where the platform does not
  // check fencing tokens, all orders of the former leader must arrive first.
  Millis machineOrderDelay_;
  // How many times as long a task runs away from its data, or the tasks of a
  // gang for one rack on several.
  double remoteRackFactor_ = 1.0;
  NearWaitRule nearWaitRule_ = &WaitForNearPlace;
  PoolBalancerOptions pools_;
  MachineTrackerOptions machines_;
};

// An inconsistency between the scheduler's state and the log. Each finding is a
// bug.
struct AuditFinding
{
  std::string task_; // as text; empty if the finding concerns no task
  uint32_t run_ = 0;
  std::string instance_; // id
  std::string customer_; // empty if the finding concerns no customer
  std::string_view description_;
};

// Shows whether a slow leader or a full fleet delays tasks.
struct DispatchLoad
{
  Millis delay_; // of a task, without its run time; see TaskRunTimeEstimator
  // Number of steps that wait for free capacity, by the urgency of their jobs.
  size_t inTime_ = 0;
  size_t late_ = 0;
  size_t overdue_ = 0;
};

// A step whose tasks wait, or waited, for places in a rack while there was free
// capacity elsewhere.
struct NearWaitReport
{
  TaskRef firstTask_;
  std::string_view rack_; // empty: any rack that takes the whole gang
  bool isEnded_ = false;  // the rest is known only then
  Millis waited_;
  uint32_t endedNear_ = 0; // tasks that got a place in the rack
  uint32_t endedFar_ = 0;
};

// Callbacks for logs and metrics; all must be set.
struct SchedulerTrace
{
  std::function<void(const StartOrder&)> onStart_;
  std::function<void(const TaskRef&, const EndedTask&, const InstanceKey&)>
    onEnd_;
  std::function<void(const InstanceKey&, std::string_view)> onInstance_;
  std::function<void(const TaskRef&, uint32_t, std::string_view)> onInDoubt_;
  // A committed start was not sent, because the leader lease had expired or the
  // instance leaves.
  std::function<void(const TaskRef&, uint32_t)> onStartWithheld_;
  std::function<void(const NearWaitReport&)> onNearWait_;
  // A step is held by its customer's cap and cannot start below it. Called once
  // for each job.
  std::function<void(const TaskRef&)> onStepBeyondCap_;
  std::function<void(const MachineOrder&, std::string_view)> onMachine_;
  // These are called about once a second.
  std::function<void(const PoolLoad&)> onPool_;
  std::function<void(const DispatchLoad&)> onDispatch_;
  std::function<void(const CustomerLoad&)> onCustomer_;
  // The state of this replica differed from the log and was corrected.
  std::function<void(const AuditFinding&)> onAudit_;
};

class FleetScheduler
{
public:
  FleetScheduler(JobStore& aStore,
                 FleetSchedulerOptions aOptions,
                 SchedulerTrace aTrace,
                 Millis aNow);

  // Must be called before each event. Leases on instances are granted only
  // before `aExpiresAt`, because a successor gives up an unreachable instance
  // as soon as the leases granted until then have expired.
  void SetLeaderLeaseExpiry(Millis aExpiresAt)
  {
    leaderLeaseExpiresAt_ = aExpiresAt;
  }

  // `aUnixNow`: time since the Unix epoch, for work that is due at a set time.
  void Tick(Millis aNow, Millis aUnixNow);
  // Returns the actions to perform and clears them. Changes for the log are
  // collected and returned as one `Proposal` after the next `Tick`.
  std::vector<SchedulerAction> TakeActions();

  // The proposal with that number was committed and applied to the store.
  void OnCommitted(Millis aNow, uint64_t aNumber);
  // The instance leaves: stops its runs, regardless of availability budgets.
  void OnLeave(Millis aNow, const InstanceKey& aKey);
  void OnStart(Millis aNow,
               const StartOrder& aOrder,
               const OrderResult& aResult);
  void OnStop(Millis aNow, const StopOrder& aOrder, const OrderResult& aResult);
  void OnPace(const PaceOrder& aOrder, const OrderResult& aResult);
  void OnListing(Millis aNow,
                 const HoldOrder& aOrder,
                 Millis aSentAt,
                 const OrderResult& aResult,
                 const InstanceListing& aListing);

  void OnAdvice(Millis aNow,
                const AdviceOrder& aOrder,
                const AdviceReply& aReply);

  // `aMachines` is empty if the platform did not reply.
  void OnMachines(Millis aRequestedAt, std::vector<MachineView> aMachines);
  void OnMachineOrderResult(Millis aNow,
                            const MachineOrder& aOrder,
                            MachineOrderStatus aStatus);
  bool IsWaveCompleted(uint64_t aWave) const;

  const std::map<InstanceKey, InstanceView>& Views() const { return views_; }
  const TaskRunTimeEstimator& RunTimes() const { return runTimes_; }
  // True once an instance has refused the fencing token as outdated: another
  // replica leads.
  bool IsDeposed() const { return deposed_; }

private:
  // A run named in a proposal. Its task may have a later run by the time the
  // proposal is committed.
  struct ProposedRun
  {
    InstanceKey instance_;
    TaskRef task_;
    uint32_t run_ = 0;
  };
  // Runs whose state changes once a proposal is committed.
  struct PendingProposal
  {
    std::vector<ProposedRun> starts_;
    std::vector<ProposedRun> ends_;
  };
  // A step whose tasks are ready and wait for free capacity.
  struct Candidate
  {
    TaskRef firstTask_;
    JobUrgency urgency_;
    std::string_view service_; // of the step's queue; owned by the store
    Resources need_;           // of each task
    Millis expectedOccupancy_; // of each task; see EstimateOccupancy
    CustomerId customer_ = kNoCustomer;
    Resources declaredNeed_; // of each task; counts against the cap
    bool needsAdvice_ = false;
  };

  // Time since the job was submitted, also under an earlier leader.
  Millis AgeOf(const Job& aJob) const;
  // Inputs to the urgency of an open job.
  struct Arrival
  {
    Millis arrivedAt_;
    Millis objective_; // time from arrival within which the job is in time
    CriticalPath remaining_;
    uint32_t stepsDone_ = 0; // when `remaining_` was computed
    bool isBeyondCapReported_ = false;
  };
  // The instances of one service that can take work in this round.
  struct UsableInstances
  {
    std::vector<InstanceView*> views_;
    // Needs for which no instance has free capacity in this round. Larger needs
    // are not tried.
    std::vector<Resources> refusedNeeds_;

    bool IsKnownNotToFit(const Resources& aNeed) const;
  };

  // What one round found out about places in racks.
  struct NearRound
  {
    struct PlacesKey
    {
      std::string service_;
      std::string rack_;
      std::string label_;
      std::array<int64_t, 3> need_;

      friend auto operator<=>(const PlacesKey&, const PlacesKey&) = default;
    };

    Millis at_;
    std::map<PlacesKey, RackPlaces> places_;
    // Processor need of the tasks that wait, by service and rack.
    std::map<std::string, int64_t> waitingMilliCpus_;
    std::map<std::string, bool> isCapacityShort_; // by service
  };

  // Work of one service that waits for free capacity.
  struct WaitingWork
  {
    // Cores that the tasks need, without long-running ones.
    double cores_ = 0;
    double coreMillis_ = 0; // `cores_` times the expected time of occupancy
    // Long-running tasks wait for empty machines: the free capacity of the
    // others was not enough. `max_per_instance` of a step may require several.
    double longRunningCores_ = 0;
    uint32_t minInstances_ = 0;
  };

  // fleet_scheduler_views.cpp
  // Must come first in each event that uses a view: the log may have removed
  // the instance since the last event.
  void SyncViews(Millis aNow);
  void SyncView(Millis aNow, const InstanceKey& aKey);
  // Returns whether there are any.
  bool AddInheritedRuns(Millis aNow, InstanceView& aView);
  void AddToIndex(InstanceView& aView);
  void RemoveFromIndex(const InstanceView& aView);

  // fleet_scheduler.cpp
  void PollInstances(Millis aNow);
  bool MayGrantLeases(Millis aNow) const
  {
    return aNow < leaderLeaseExpiresAt_;
  }
  bool HasLostInstance(Millis aNow, const InstanceView& aView) const;
  bool HasSuccessorInContact(const InstanceView& aView) const;
  void RemoveUnreachable(Millis aNow);
  // Records in the log that the lease of an earlier incarnation has ended, so
  // that a later leader does not wait for it.
  void EndFormerLease(Millis aNow, InstanceView& aView);
  void SendRequestedStops(Millis aNow);
  void RemoveFinishedJobs(Millis aNow);
  void RemoveEndedRun(const ProposedRun& aEnd);
  void SendStart(Millis aNow, const ProposedRun& aStart);

  // fleet_scheduler_audit.cpp
  void Audit(Millis aNow);
  void AuditInstance(const Instance& aInstance);
  void AuditProposedStarts();
  void AuditLedger();
  uint64_t Propose(v1::JobChanges aChanges, PendingProposal aPending);
  // For an order that is decided now and expires.
  OrderTarget TargetOf(Millis aNow, const InstanceView& aView) const;
  const RunSummary& SummaryOf(const InstanceView& aView) const;
  InstanceView* FindView(const InstanceKey& aKey);
  enum class RemovalKind
  {
    kUnreachable, // the incarnation may report again
    kFinal,       // the incarnation has ended
  };
  void ProposeRemoval(InstanceView& aView,
                      RemovalKind aKind,
                      std::string_view aReason);
  // Removes an instance without runs that has probably ended.
  void RemoveIdle(InstanceView& aView, std::string_view aReason);

  // fleet_scheduler_runs.cpp
  void ProcessEnded(Millis aNow,
                    InstanceView& aView,
                    std::optional<Millis> aClock,
                    const InstanceListing& aListing);
  void RecordRunTime(Millis aNow,
                     const TaskRef& aTask,
                     const RunView& aRun,
                     std::optional<Millis> aEndClock);
  void MarkReplaced(InstanceView& aView);
  void OnOtherInstanceReplied(Millis aNow,
                              InstanceView& aView,
                              const Endpoint& aEndpoint);
  static void SetUnresponsive(Millis aNow, InstanceView& aView);
  void ProcessRunning(Millis aNow,
                      InstanceView& aView,
                      const InstanceListing& aListing);
  void SendPaceChanges(Millis aNow, InstanceView& aView);
  void CheckUnlistedRuns(Millis aNow, InstanceView& aView, Millis aSentAt);
  void ProposeStopped(InstanceView& aView, const TaskRef& aTask, uint32_t aRun);
  // A run of the job has begun.
  void OnRunBegun(Millis aNow, const Job& aJob);
  void ProposeStartedJobs(Millis aNow);
  void SendStop(Millis aNow,
                InstanceView& aView,
                const TaskRef& aTask,
                const v1::TaskName& aName,
                uint32_t aRun);
  void MarkInDoubt(Millis aNow,
                   const TaskRef& aTask,
                   RunView& aRun,
                   std::string_view aReason);

  // fleet_scheduler_backlog.cpp
  // Collects and sorts the waiting steps; the longer the backlog, the less
  // often.
  void RankBacklog(Millis aNow);
  void CollectCandidates(Millis aNow,
                         Job& aJob,
                         uint32_t aOccurrence,
                         std::vector<Candidate>& aOut);
  // Called once for each job, when it is first ranked.
  void RecordArrival(Millis aNow, const Job& aJob);
  CriticalPath RemainingPath(const Job& aJob,
                             const Occurrence* aOccurrence) const;
  // How long a task of the step occupies capacity: its run time and the time
  // that its start order and its end are in flight.
  Millis EstimateOccupancy(const Job& aJob, const v1::StepSpec& aStep) const;
  JobUrgency UrgencyOf(Millis aNow,
                       const Job& aJob,
                       const Occurrence* aOccurrence);

  // fleet_scheduler_sharing.cpp
  void RefreshLedger();
  void MeasureServices();
  // Determines the order among customers in the ranked backlog.
  void AssignFairBacklog();
  // Calls `PlaceCandidate` for each candidate.
  void PlaceFairly(Millis aNow);
  uint32_t CountUnplaced(const TaskRef& aFirstTask) const;
  // True if the cap keeps the next start of the step back: of a gang all tasks,
  // else one. Records how many tasks are held.
  bool IsHeldByCap(const Candidate& aCandidate);
  void ReportStepBeyondCap(const Candidate& aCandidate, uint32_t aTasks);

  // fleet_scheduler_placement.cpp
  void PlaceTasks(Millis aNow);
  // Starts at most `aMaxStarts` tasks, or a gang. Returns true if more of the
  // step might start.
  bool PlaceCandidate(Millis aNow,
                      const Candidate& aCandidate,
                      size_t aMaxStarts);
  void CollectUsableInstances(Millis aNow);
  // Capacity that an instance must have free for a task of that need: on
  // instances with long-running tasks some is kept free of other work.
  static Resources RequiredCapacity(const InstanceView& aView,
                                    const Resources& aNeed,
                                    bool aIsLongRunning);
  // Returns null if no instance is suitable; an empty `aRack` means any rack.
  InstanceView* ChooseInstance(Millis aNow,
                               UsableInstances& aUsable,
                               const Candidate& aCandidate,
                               const TaskRef& aTask,
                               std::string_view aRack);
  // Requests tickets for the step, unless it needs none or the advice cache
  // allows no call.
  void RequestAdvice(Millis aNow,
                     const Candidate& aCandidate,
                     const UsableInstances& aUsable);
  // Place as many tasks of the step as possible, of a gang all or none; record
  // the rest as waiting.
  bool PlaceStep(Millis aNow,
                 const Candidate& aCandidate,
                 UsableInstances& aUsable,
                 size_t aMaxStarts);
  void PlaceGang(Millis aNow,
                 const Candidate& aCandidate,
                 UsableInstances& aUsable);
  void ProposeStart(Millis aNow,
                    InstanceView& aView,
                    const TaskRef& aTask,
                    uint32_t aRun);
  void RecordWaiting(const Candidate& aCandidate, uint32_t aTasks);

  // fleet_scheduler_near.cpp
  // True if tasks of the step may wait for a place near their data.
  bool MayWaitForNearPlace(const Candidate& aCandidate) const;
  // Called when there is a place elsewhere but none in one of the racks. If the
  // tasks wait, they count as ahead of those that ask later in the round.
  bool WaitsForRack(Millis aNow,
                    const Candidate& aCandidate,
                    const UsableInstances& aUsable,
                    std::span<const std::string> aRacks,
                    uint32_t aTasks);
  std::optional<Millis> ExpectPlaces(Millis aNow,
                                     const Candidate& aCandidate,
                                     const UsableInstances& aUsable,
                                     const std::string& aRack,
                                     uint32_t aTasks);
  // True if more work waits for the service than its free capacity takes.
  bool IsCapacityShort(const Candidate& aCandidate,
                       const UsableInstances& aUsable);
  void BeginNearRound(Millis aNow);
  // Called once a round for a step that started tasks or that waits.
  void RecordNearRound(Millis aNow,
                       const Candidate& aCandidate,
                       const NearWaits::Round& aRound);
  // Called after `ProposeStart`.
  void RecordPlacement(Millis aNow,
                       InstanceView& aView,
                       const TaskRef& aTask,
                       uint32_t aRun,
                       bool aIsFar);

  // fleet_scheduler_maintenance.cpp and fleet_scheduler_pools.cpp
  void RequestMachineList(Millis aNow);
  InstanceView* FindOnMachine(const std::string& aMachine);
  void SendMachineOrder(Millis aNow,
                        MachineOrder aOrder,
                        std::string aFromPool,
                        std::string_view aReason);
  // The platform accepted the order. It may have been carried out before, by
  // an earlier leader as well.
  void OnMachineOrderAccepted(Millis aNow,
                              const MachineOrder& aOrder,
                              MachineOp& aOp);
  void ResendUnansweredOrders(Millis aNow);
  bool MayOrderMachines(Millis aNow) const;
  std::vector<PoolLoad> MeasurePools(Millis aNow);
  void RebalancePools(Millis aNow);
  DispatchLoad MeasureDispatch() const;
  bool IsRunning(Millis aNow, const TaskRef& aTask);
  // True if the task has no run, and none is proposed.
  bool IsWaiting(const TaskRef& aTask) const;
  // False if too many other tasks of the step are unavailable.
  bool MayInterrupt(Millis aNow, const TaskRef& aTask);
  void Evacuate(Millis aNow, InstanceView& aView);
  void ConsolidateLongRunning(Millis aNow);
  void MeasureServiceCapacities(Millis aNow);
  // True if the service of the instance goes on without it.
  bool CanSpare(Millis aNow, const InstanceView& aView);
  // True if another machine was requested in vain, before or after the
  // evacuation of the instance began.
  static bool IsReplacementOverdue(Millis aNow, const InstanceView& aView);
  bool HasOtherOperation(const InstanceView& aView) const;
  // Lets the pools be balanced as if the instance were out of service.
  void RequestReplacement(Millis aNow, InstanceView& aView);
  void ReviewEvacuations(Millis aNow);
  void StartEvacuations(Millis aNow,
                        std::vector<InstanceView*> aBusy,
                        size_t aMaxEvacuating);
  void AdvanceWave(Millis aNow, const Wave& aWave);
  void AdvanceWaves(Millis aNow);

  JobStore& store_;
  FleetSchedulerOptions options_;
  SchedulerTrace trace_;
  const Millis leaderSince_;
  // What the runs in `views_` are charged to.
  CustomerLedger ledger_;
  uint64_t ledgerConfigVersion_ = 0;
  Millis leaderLeaseExpiresAt_; // zero: not held
  std::map<InstanceKey, InstanceView> views_;
  // Pointers into `views_`, for fast iteration and search.
  std::vector<InstanceView*> allViews_;
  std::unordered_map<InstanceKey, InstanceView*, InstanceKeyHash> viewsByKey_;
  std::map<std::string, std::vector<InstanceView*>, std::less<>>
    viewsByService_;
  // Pointers into `views_`. For a short time a machine may have both its former
  // and its present instance.
  std::unordered_multimap<std::string, InstanceView*> viewsByMachine_;
  std::map<uint64_t, PendingProposal> pendingProposals_; // by number
  std::set<TaskRef> proposedStarts_;                     // not yet committed
  uint64_t nextProposal_ = 1;
  TaskRunTimeEstimator runTimes_;
  // Arrivals of open jobs, by their acceptance index.
  std::unordered_map<uint64_t, Arrival> arrivals_;
  // When each finished job was first found finished, by acceptance index.
  std::unordered_map<uint64_t, Millis> finishedAt_;
  Millis finishedCheckedAt_;
  uint64_t syncedInstanceChanges_ = 0; // version of the store's instances
  // Acceptance index from which on jobs arrived under this leader.
  uint64_t firstOwnAcceptanceIndex_ = 0;
  std::map<std::string, DemandForecaster> demandForecasters_; // by service
  Resources machineCapacity_;      // of the machine with the most cores
  std::vector<Candidate> backlog_; // most urgent first
  FairBacklog fairBacklog_;        // of `backlog_`
  Millis rankedAt_;
  uint64_t rankedConfigVersion_ = 0;
  // Of this round, by service.
  std::map<std::string, WaitingWork, std::less<>> waitingWork_;
  std::map<std::string, UsableInstances, std::less<>> usableInstances_;
  AdviceCache advice_;
  NearWaits nearWaits_;
  NearRound nearRound_;
  MachineTracker machines_;
  // During a check of the waves, by service.
  std::map<std::string, ServiceCapacity, std::less<>> serviceCapacities_;
  // A machine whose order was refused gets none until then; by machine.
  std::map<std::string, Millis> avoidMachineUntil_;
  bool machineListInFlight_ = false;
  Millis machineListRequestedAt_;
  Millis poolsRebalancedAt_;
  Millis wavesAdvancedAt_;
  Millis unreachableCheckedAt_;
  Millis poolsTracedAt_;
  Millis unixNow_;
  size_t startsInRound_ = 0;
  Millis consolidatedAt_;
  Millis auditedAt_;
  // Runs that the latest audit found in the log but not in a view: run number
  // by task. Only a run that two audits find is a bug, since a commit may be in
  // flight from the log thread.
  std::map<TaskRef, uint32_t> unwatchedRuns_;
  // Ids of jobs with a run that has begun, which the log may not show yet.
  std::set<std::string> startedJobs_;
  Millis firstStartedAt_; // of `startedJobs_`
  std::vector<SchedulerAction> actions_;
  v1::JobChanges nextChanges_; // for the next proposal
  PendingProposal nextPending_;
  bool deposed_ = false; // a later leader exists
};

} // namespace vanillahatch
