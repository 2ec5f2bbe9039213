// Decides which task runs on which instance, while this replica leads.
//
// A deterministic state machine: events and time in, actions out. It reads the
// replicated `JobStore` and changes it only through proposals; every start is
// in the log before its order leaves, so that a later leader knows where each
// run may be. It is made anew at each change of leader, and takes over the
// runs that the log names by listing every instance under its own fencing
// token.
//
//   FleetScheduler scheduler(store, { .fencingToken_ = term }, now);
//   scheduler.Tick(now);
//   for (SchedulerAction& action : scheduler.Take()) { ... }
//   scheduler.OnCommitted(now, number);          // of a Proposal
//   scheduler.OnListing(now, key, sentAt, result, listing);
#pragma once

#include "vanillahatch/core/jobs/advice_cache.h"
#include "vanillahatch/core/jobs/demand.h"
#include "vanillahatch/core/jobs/instance_view.h"
#include "vanillahatch/core/jobs/job_order.h"
#include "vanillahatch/core/jobs/machine_tracker.h"
#include "vanillahatch/core/jobs/pool_balancer.h"
#include "vanillahatch/core/jobs/run_times.h"

#include <functional>
#include <unordered_map>

namespace vanillahatch {

struct FleetSchedulerOptions
{
  uint64_t fencingToken_ = 0; // higher than any earlier leader's
  // Of everything that runs on an instance. Bridges a change of leader; work
  // on an instance that cannot be reached is started again only after it.
  Millis lease_ = Seconds(5);
  // How long a start may be under way; a later one is refused by its
  // instance.
  Millis startWithin_ = Millis(1500);
  // A finished job's state is shown for so long.
  Millis showFinishedFor_ = Seconds(120);
  // How long a new leader gives no orders for machines. Where nobody checks
  // fencing tokens, those of its predecessor must all have arrived first.
  Millis operateAfter_;
  PoolBalancerOptions pools_;
  MachineTrackerOptions machines_;
};

// A fault of our own bookkeeping. Whatever it says, it must never happen.
struct AuditFinding
{
  std::string task_; // as text; empty if it is not about one
  uint32_t run_ = 0;
  std::string instance_; // id
  std::string_view what_;
};

// Tells a leader that is slow from a fleet that is full.
struct DispatchLoad
{
  Millis delay_; // of a task, beside its run; see RunTimes
  // Steps that wait for room, by what their jobs can still reach.
  size_t inTime_ = 0;
  size_t late_ = 0;
  size_t overdue_ = 0;
};

// For logs and metrics.
struct SchedulerTrace
{
  std::function<void(const StartOrder&)> onStart_;
  std::function<void(const TaskRef&, const EndedTask&, const InstanceKey&)>
    onEnd_;
  std::function<void(const InstanceKey&, std::string_view)> onInstance_;
  std::function<void(const TaskRef&, uint32_t, std::string_view)> onDoubt_;
  std::function<void(const MachineOrder&, std::string_view)> onMachine_;
  // About once a second.
  std::function<void(const PoolLoad&)> onPool_;
  std::function<void(const DispatchLoad&)> onDispatch_;
  // What this replica remembers differed from the log, and was put right.
  std::function<void(const AuditFinding&)> onAudit_;
};

class FleetScheduler
{
public:
  FleetScheduler(JobStore& aStore,
                 FleetSchedulerOptions aOptions,
                 SchedulerTrace aTrace,
                 Millis aNow);

  // `aUnixNow` is the time of day, for work that is due at a time.
  void Tick(Millis aNow, Millis aUnixNow);
  // What is to be done by now. What goes into the log is collected and comes
  // with the next `Tick`.
  std::vector<SchedulerAction> Take();

  // The proposal of that number is in the log and applied.
  void OnCommitted(Millis aNow, uint64_t aNumber);
  // An instance's own report, after its record was put into the store.
  void OnReport(Millis aNow, const InstanceKey& aKey, Millis aClock);
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

  // Empty if the platform did not answer.
  void OnMachines(Millis aAskedAt, std::vector<MachineView> aMachines);
  void OnMachineAnswer(Millis aNow,
                       const MachineOrder& aOrder,
                       MachineOrderStatus aStatus);
  bool IsWaveCompleted(uint64_t aWave) const;

  const std::map<InstanceKey, InstanceView>& Views() const { return views_; }
  const RunTimes& Times() const { return times_; }
  // True once an instance has seen a higher fencing token than ours: another
  // replica leads.
  bool IsDeposed() const { return deposed_; }

private:
  // One run as a proposal names it: its task may have a later run by the time
  // that the proposal is in the log.
  struct ProposedRun
  {
    InstanceKey instance_;
    TaskRef task_;
    uint32_t run_ = 0;
  };
  struct Pending
  {
    std::vector<ProposedRun> starts_;
    std::vector<ProposedRun> ends_;
  };
  // Ready tasks of one step that wait for room.
  struct Candidate
  {
    TaskRef first_;
    JobUrgency urgency_;
    std::string_view service_; // of the step's queue; in the store
    Resources need_;           // of each task
    Millis expectedRun_;       // of each task
    bool needsAdvice_ = false;
  };

  // What the order of a job depends on.
  struct Arrival
  {
    Millis at_;
    Millis objective_;
    StepChain remaining_;
    uint32_t stepsDone_ = 0; // for which the chain holds
  };
  // The usable instances of one service in this round.
  struct Room
  {
    std::vector<InstanceView*> views_;
    // Needs that found no room in this round; larger ones will not either.
    std::vector<Resources> refused_;

    bool IsHopeless(const Resources& aNeed) const;
  };

  // Work of one service that waits for room.
  struct Waiting
  {
    double cores_ = 0;
    double coreMillis_ = 0;
    // Tasks that last wait for machines with nothing on them: what is left on
    // the others was not enough. Those of one step may have to be apart.
    double lastingCores_ = 0;
    uint32_t mostApart_ = 0;
  };

  // fleet_scheduler.cpp
  // First thing in each event that looks at a view: the log may have removed
  // its instance since the last one.
  void SyncViews(Millis aNow);
  void SyncView(Millis aNow, const InstanceKey& aKey);
  void AddToIndex(InstanceView& aView);
  void RemoveFromIndex(const InstanceView& aView);
  void RenewLeases(Millis aNow);
  void WatchLapses(Millis aNow);
  void StopUnwanted(Millis aNow);
  void ForgetFinished(Millis aNow);
  void FinishEnd(const ProposedRun& aEnd);
  void OrderStart(Millis aNow, const ProposedRun& aStart);

  // fleet_scheduler_audit.cpp
  void Audit(Millis aNow);
  void AuditInstance(const Instance& aInstance);
  void AuditProposed();
  uint64_t Propose(v1::JobChanges aChanges, Pending aPending);
  OrderTarget TargetOf(const InstanceView& aView) const;
  const RunSummary& SummaryOf(const InstanceView& aView) const;
  InstanceView* FindView(const InstanceKey& aKey);
  enum class GoneFor
  {
    kNow,  // it could not be reached, and may report again
    kGood, // this incarnation is over
  };
  void ProposeGone(InstanceView& aView, GoneFor aFor, std::string_view aReason);

  // fleet_scheduler_runs.cpp
  void TakeEnds(Millis aNow,
                InstanceView& aView,
                std::optional<Millis> aClock,
                const InstanceListing& aListing);
  void LearnFrom(Millis aNow,
                 const TaskRef& aTask,
                 const RunView& aRun,
                 std::optional<Millis> aEndClock);
  void TakeRunning(Millis aNow,
                   InstanceView& aView,
                   const InstanceListing& aListing);
  void Pace(InstanceView& aView);
  void FindLost(Millis aNow, InstanceView& aView, Millis aSentAt);
  void EndWithoutRun(InstanceView& aView, const TaskRef& aTask, uint32_t aRun);
  void SendStop(Millis aNow,
                InstanceView& aView,
                const TaskRef& aTask,
                const v1::TaskName& aName,
                uint32_t aRun);
  void Doubt(Millis aNow,
             const TaskRef& aTask,
             RunView& aRun,
             std::string_view aReason);

  // fleet_scheduler_placing.cpp
  void PlaceTasks(Millis aNow);
  // Ranks what waits; a long backlog only so often.
  void RankBacklog(Millis aNow);
  void CollectFrom(Millis aNow,
                   Job& aJob,
                   uint32_t aOccurrence,
                   std::vector<Candidate>& aOut);
  // The job is seen for the first time.
  void NoteArrival(Millis aNow, const Job& aJob);
  StepChain RemainingChain(const Job& aJob,
                           const Occurrence* aOccurrence) const;
  // How long a task of the step takes room, with the time that its order and
  // the news of its end are under way.
  Millis ExpectOccupied(const Job& aJob, const v1::StepSpec& aStep) const;
  void MeasureRooms(Millis aNow);
  JobUrgency UrgencyOf(Millis aNow,
                       const Job& aJob,
                       const Occurrence* aOccurrence);
  // Null if no instance has room; `aRack` empty: any.
  InstanceView* Choose(Millis aNow,
                       Room& aRoom,
                       const Candidate& aCandidate,
                       const TaskRef& aTask,
                       std::string_view aRack);
  // No instance with a ticket had room for the step.
  void AskAdvisor(Millis aNow, const Candidate& aCandidate, const Room& aRoom);
  // Place what they can of the step, and note what waits.
  void PlaceStep(Millis aNow, const Candidate& aCandidate, Room& aRoom);
  void PlaceGang(Millis aNow, const Candidate& aCandidate, Room& aRoom);
  void ProposeStart(Millis aNow,
                    InstanceView& aView,
                    const TaskRef& aTask,
                    uint32_t aRun);
  void NoteWaiting(const Candidate& aCandidate, uint32_t aTasks);

  // fleet_scheduler_upkeep.cpp and fleet_scheduler_pools.cpp
  void AskForMachines(Millis aNow);
  InstanceView* FindOnMachine(const std::string& aMachine);
  void Operate(Millis aNow,
               MachineOrder aOrder,
               std::string aFromPool,
               std::string_view aReason);
  void RepeatUnclear(Millis aNow);
  bool MayOperate(Millis aNow) const;
  std::vector<PoolLoad> MeasurePools(Millis aNow);
  void FollowPools(Millis aNow);
  DispatchLoad MeasureDispatch() const;
  bool IsAtWork(Millis aNow, const TaskRef& aTask);
  // False if too many others of its step are away.
  bool MayInterrupt(Millis aNow, const TaskRef& aTask);
  void Evacuate(Millis aNow, InstanceView& aView);
  void Consolidate(Millis aNow);
  static bool FitElsewhere(const InstanceView& aView,
                           std::span<InstanceView* const> aHosts);
  void ServeWave(Millis aNow, const Wave& aWave);
  void ServeWaves(Millis aNow);

  JobStore& store_;
  FleetSchedulerOptions options_;
  SchedulerTrace trace_;
  const Millis ledSince_;
  std::map<InstanceKey, InstanceView> views_;
  // Into `views_`, for rounds that look at each.
  std::vector<InstanceView*> eachView_;
  std::map<std::string, std::vector<InstanceView*>, std::less<>> ofService_;
  // Into `views_`, by machine. The former instance of a machine may be held
  // for a moment beside the present one.
  std::unordered_multimap<std::string, InstanceView*> onMachine_;
  std::map<uint64_t, Pending> pending_;
  std::set<TaskRef> proposed_; // starts on their way into the log
  uint64_t nextNumber_ = 1;
  RunTimes times_;
  // Of open jobs, by their order of acceptance.
  std::unordered_map<uint64_t, Arrival> arrivals_;
  // When finished jobs were first seen so, by their order of acceptance.
  std::unordered_map<uint64_t, Millis> settledAt_;
  Millis lookedForSettledAt_;
  uint64_t syncedChanges_ = 0; // of the store's instances
  uint64_t firstOwnOrder_ = 0; // jobs from here on arrived under this leader
  std::map<std::string, Demand> demands_; // by service
  Resources machineShape_;                // the largest seen
  std::vector<Candidate> backlog_;        // in order
  Millis rankedAt_;
  uint64_t rankedConfig_ = 0; // version
  // By service, in this round.
  std::map<std::string, Waiting, std::less<>> waiting_;
  std::map<std::string, Room, std::less<>> rooms_;
  AdviceCache advice_;
  MachineTracker machines_;
  std::map<std::string, Millis> refusedUntil_; // by machine
  bool listUnderWay_ = false;
  Millis listAskedAt_;
  Millis followedAt_;
  Millis servedWavesAt_;
  Millis watchedLapsesAt_;
  Millis poolsTracedAt_;
  Millis unixNow_;
  size_t startsOfRound_ = 0;
  Millis consolidatedAt_;
  Millis auditedAt_;
  // By task: what the last audit found and this one looks for again. A change
  // that is on its way from the log thread is no fault.
  std::map<TaskRef, uint32_t> suspects_;
  std::vector<SchedulerAction> actions_;
  v1::JobChanges round_; // changes of the present event
  Pending roundPending_;
  bool deposed_ = false;
};

} // namespace vanillahatch
