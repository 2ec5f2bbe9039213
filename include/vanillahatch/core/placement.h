// Places tasks on workers under leases.
//
// A deterministic state machine: the caller passes in events and the time and
// carries out the returned actions. A task runs on one worker at a time: it is
// placed again only after the worker reported its end, or after its lease has
// expired, at which the worker stops it on its own.
//
//   Placement placement(options);
//   placement.AddWorker(worker);
//   placement.Submit(task, now);
//   for (const PlacementAction& action : placement.Decide(now)) { ... }
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/ids.h"
#include "vanillahatch/core/task_size_estimator.h"

#include <map>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace vanillahatch {

using TaskName = Name<struct TaskTag>;
using TaskKind = Name<struct TaskKindTag>; // tasks of a kind have similar sizes
using TeamName = Name<struct TeamTag>;

struct WorkerSpec
{
  WorkerName name_;
  RackName rack_;
  Resources capacity_;
};

struct TaskSpec
{
  TaskName name_;
  TeamName team_;
  TaskKind kind_; // tasks of a kind are spread over racks
  Resources declared_;
  bool urgent_ = false;
  bool canCheckpoint_ = false;
};

// Resources that a task was using when its worker sampled it.
struct TaskUse
{
  TaskName task_;
  Resources use_;
};
struct WorkerReport
{
  WorkerName worker_;
  Millis sampledAt_; // the report may arrive much later
  std::vector<TaskUse> tasks_;
};

enum class TaskEnd : uint8_t
{
  kSucceeded,
  kFailed,
  kStopped, // by an order or because the lease expired
};

enum class PlacementActionKind : uint8_t
{
  kStart,      // start the task on the worker, under a lease
  kCheckpoint, // save the task's progress; a stop may follow
  kThrottle,   // limit the task to the processor time it reserved
  kStop,       // stop the task; unless cancelled, it is placed again later
  kRefuse,     // the task will never run; see the reason
  kQuarantine, // the worker gets no more tasks
};

enum class PlacementReason : uint8_t
{
  kPlaced,
  kUrgent,         // preempted by an urgent task
  kMemoryPressure, // the worker is running out of memory
  kCpuPressure,    // the worker's processors are overcommitted
  kNeverFits,      // larger than any worker
  kOverQuota,      // larger than its team's quota
  kFailsEverywhere,
  kDuplicate, // a task of that name exists
  kWorkerFailsTasks,
};

std::string_view NameOf(PlacementActionKind aKind);
std::string_view NameOf(PlacementReason aReason);

struct PlacementAction
{
  PlacementActionKind kind_;
  PlacementReason reason_;
  TaskName task_;
  WorkerName worker_;
  uint64_t attempt_ = 0; // of the task; reports on older attempts are ignored
  Resources reserved_;   // for a start
  Millis leaseUntil_;    // for a start
};

struct PlacementOptions
{
  Millis lease_ = Seconds(10);      // renewed by each report of the task
  Millis guardRetry_ = Seconds(60); // minimum wait after a guard refused a stop
  uint32_t failuresToQuarantine_ = 5; // consecutive, of at least two kinds
  uint32_t quarantinePercent_ = 10;   // of the workers, at least one
  uint32_t maxFailedWorkers_ = 3;  // a task that failed on so many is refused
  int64_t checkpointPercent_ = 85; // of the worker's memory
  int64_t stopPercent_ = 95;       // of the worker's memory
};

class Placement
{
public:
  explicit Placement(PlacementOptions aOptions = {})
    : options_(aOptions)
  {
  }

  void AddWorker(const WorkerSpec& aWorker);
  // A team without a quota is not limited.
  void SetQuota(const TeamName& aTeam, const Resources& aQuota);

  void Submit(const TaskSpec& aTask, Millis aNow);
  // Ignored unless the attempt is the task's current one.
  void End(const TaskName& aTask, uint64_t aAttempt, TaskEnd aEnd);
  void Cancel(const TaskName& aTask);
  void Report(const WorkerReport& aReport, Millis aNow);
  // The guard of the task's worker refused to stop it.
  void RefuseStop(const TaskName& aTask, Millis aNow);
  // To be called after a repair.
  void EndQuarantine(const WorkerName& aWorker);

  // Returns the actions that follow from all events so far and from the time.
  std::vector<PlacementAction> Decide(Millis aNow);

  size_t WaitingCount() const { return waiting_.size(); }
  size_t RunningCount() const { return running_; }
  bool IsQuarantined(const WorkerName& aWorker) const;

private:
  struct Task
  {
    TaskSpec spec_;
    Millis submittedAt_;
    uint64_t submissionIndex_ = 0;
    uint64_t attempt_ = 0;
    WorkerName worker_; // empty: waiting
    Resources reserved_;
    Resources use_;  // as last reported
    Resources peak_; // of this attempt
    Millis leaseUntil_;
    Millis lastOrderAt_ = Millis(INT64_MIN / 2); // checkpoint or throttle
    Millis protectedUntil_; // not stopped until then: the guard refused a stop
    bool isStopping_ = false;
    bool isCheckpointed_ = false;
    bool isCancelled_ = false;
    std::set<WorkerName> failedOn_;
  };
  struct Worker
  {
    WorkerSpec spec_;
    Resources free_; // not reserved
    std::set<TaskName> tasks_;
    uint32_t failures_ = 0; // since the last success
    std::set<TaskKind> failedKinds_;
    bool isQuarantined_ = false;
  };
  // Urgent tasks first, then in order of submission.
  struct WaitKey
  {
    bool isOrdinary_ = false;
    uint64_t submissionIndex_ = 0;
    friend auto operator<=>(const WaitKey&, const WaitKey&) = default;
  };

  static WaitKey KeyOf(const Task& aTask);
  void ExpireLeases(Millis aNow);
  void Release(Task& aTask);
  void Remove(const TaskName& aTask);
  void RecordFailure(Task& aTask);
  void PlaceWaiting(Millis aNow);
  bool FitsQuota(const Task& aTask, const Resources& aSize) const;
  bool RefuseImpossible(const Task& aTask);
  Worker* ChooseWorker(const Task& aTask, const Resources& aSize);
  void Start(Task& aTask, Worker& aWorker, const Resources& aSize, Millis aNow);
  void Preempt(const Task& aTask, const Resources& aSize, Millis aNow);
  std::vector<Task*> Victims(const Worker& aWorker, Millis aNow);
  void RelievePressure(Worker& aWorker, Millis aSampledAt, Millis aNow);
  void AddAction(PlacementActionKind aKind,
                 PlacementReason aReason,
                 const Task& aTask);
  void Stop(Task& aTask, PlacementReason aReason);

  PlacementOptions options_;
  std::map<WorkerName, Worker> workers_;
  std::map<TaskName, Task> tasks_;
  std::map<WaitKey, TaskName> waiting_;
  std::map<TaskKind, TaskSizeEstimator> sizes_;
  std::map<TeamName, Resources> quotas_;
  std::map<TeamName, Resources> usedByTeam_;
  std::map<std::pair<TaskKind, RackName>, uint32_t> runningInRack_;
  Resources largestCapacity_; // maximum of each resource over all workers
  uint64_t submissionIndex_ = 0;
  size_t running_ = 0;
  std::vector<PlacementAction> actions_;
};

} // namespace vanillahatch
