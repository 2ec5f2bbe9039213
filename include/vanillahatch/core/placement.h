// Places tasks on workers under leases.
//
// A deterministic state machine: the caller passes events in with the time and
// carries out the actions that come back. A task runs on one worker at a time:
// it is placed again only after the worker said that it ended or after its
// lease has run out, by which the worker stops it without being told.
//
//   Placement placement(options);
//   placement.AddWorker(worker);
//   placement.Submit(task, now);
//   for (const PlacementAction& action : placement.Decide(now)) { ... }
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/ids.h"
#include "vanillahatch/core/task_size.h"

#include <map>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace vanillahatch {

using TaskName = Name<struct TaskTag>;
using TaskKind = Name<struct TaskKindTag>; // tasks of a kind are alike in size
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
  TaskKind kind_; // also what is spread over racks
  Resources declared_;
  bool urgent_ = false;
  bool canCheckpoint_ = false;
};

// Measured on a worker at `sampledAt_`, which may lie well before its arrival.
struct TaskUse
{
  TaskName task_;
  Resources use_;
};
struct WorkerReport
{
  WorkerName worker_;
  Millis sampledAt_;
  std::vector<TaskUse> tasks_;
};

enum class TaskEnd : uint8_t
{
  kSucceeded,
  kFailed,
  kStopped, // as it was told to
};

enum class PlacementActionKind : uint8_t
{
  kStart,      // the task on the worker, under a lease
  kCheckpoint, // the task saves its progress; a stop follows when it must
  kThrottle,   // the task gets no more processor time than it reserved
  kStop,       // the task ends and is placed again later
  kRefuse,     // the task will never be run; the reason says why
  kQuarantine, // the worker gets no tasks any more
};

enum class PlacementReason : uint8_t
{
  kPlaced,
  kUrgent,         // room is made for an urgent task
  kMemoryPressure, // the worker's memory runs out
  kCpuPressure,    // the worker's processors are overcommitted
  kNeverFits,      // larger than any worker
  kOverQuota,      // larger than its team's whole quota
  kFailsEverywhere,
  kDuplicate, // a task of that name is known
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
  uint64_t attempt_ = 0; // of the task; a late word on an older one is void
  Resources reserved_;   // of a start
  Millis leaseUntil_;    // of a start
};

struct PlacementOptions
{
  Millis lease_ = Seconds(10);        // renewed by each report of the task
  Millis guardRetry_ = Seconds(60);   // after a guard refused a stop
  uint32_t failuresToQuarantine_ = 5; // in a row, of at least two kinds
  uint32_t quarantinePercent_ = 10;   // of the workers at most, at least one
  uint32_t workersToGiveUp_ = 3;      // on which a task failed
  int64_t checkpointPercent_ = 85;    // of a worker's memory in use
  int64_t stopPercent_ = 95;
};

class Placement
{
public:
  explicit Placement(PlacementOptions aOptions = {})
    : options_(aOptions)
  {
  }

  void AddWorker(const WorkerSpec& aWorker);
  // No quota was set: the team may use everything.
  void SetQuota(const TeamName& aTeam, const Resources& aQuota);

  void Submit(const TaskSpec& aTask, Millis aNow);
  // A word on an attempt that is not the task's current one is ignored.
  void End(const TaskName& aTask, uint64_t aAttempt, TaskEnd aEnd);
  void Cancel(const TaskName& aTask);
  void Report(const WorkerReport& aReport, Millis aNow);
  // The guard of the task's worker did not consent to stop it.
  void RefuseStop(const TaskName& aTask, Millis aNow);
  // After a repair.
  void EndQuarantine(const WorkerName& aWorker);

  // What follows from all events so far and from the time.
  std::vector<PlacementAction> Decide(Millis aNow);

  size_t WaitingCount() const { return waiting_.size(); }
  size_t RunningCount() const { return running_; }
  bool IsQuarantined(const WorkerName& aWorker) const;

private:
  struct Task
  {
    TaskSpec spec_;
    Millis submittedAt_;
    uint64_t order_ = 0;
    uint64_t attempt_ = 0;
    WorkerName worker_; // empty: waiting
    Resources reserved_;
    Resources use_;  // as last reported
    Resources peak_; // of this attempt
    Millis leaseUntil_;
    Millis toldAt_ = Millis(INT64_MIN / 2); // last checkpoint or throttle
    Millis keepUntil_;                      // its worker's guard refused a stop
    bool isStopping_ = false;
    bool isCheckpointed_ = false;
    bool isCancelled_ = false;
    std::set<WorkerName> failedOn_;
  };
  struct Worker
  {
    WorkerSpec spec_;
    Resources free_; // what is not reserved
    std::set<TaskName> tasks_;
    uint32_t failures_ = 0; // since the last success
    std::set<TaskKind> failedKinds_;
    bool isQuarantined_ = false;
  };
  // Urgent tasks first, then in order of arrival.
  struct WaitKey
  {
    bool isPatient_ = false;
    uint64_t order_ = 0;
    friend auto operator<=>(const WaitKey&, const WaitKey&) = default;
  };

  static WaitKey KeyOf(const Task& aTask);
  void ExpireLeases(Millis aNow);
  void Free(Task& aTask);
  void Forget(const TaskName& aTask);
  void NoteFailure(Task& aTask);
  void PlaceWaiting(Millis aNow);
  bool FitsQuota(const Task& aTask, const Resources& aSize) const;
  bool RefuseImpossible(const Task& aTask);
  Worker* ChooseWorker(const Task& aTask, const Resources& aSize);
  void Start(Task& aTask, Worker& aWorker, const Resources& aSize, Millis aNow);
  void MakeRoom(const Task& aTask, const Resources& aSize, Millis aNow);
  std::vector<Task*> Victims(const Worker& aWorker, Millis aNow);
  void RelievePressure(Worker& aWorker, Millis aSampledAt, Millis aNow);
  void Act(PlacementActionKind aKind,
           PlacementReason aReason,
           const Task& aTask);
  void Stop(Task& aTask, PlacementReason aReason);

  PlacementOptions options_;
  std::map<WorkerName, Worker> workers_;
  std::map<TaskName, Task> tasks_;
  std::map<WaitKey, TaskName> waiting_;
  std::map<TaskKind, TaskSize> sizes_;
  std::map<TeamName, Resources> quotas_;
  std::map<TeamName, Resources> used_;
  std::map<std::pair<TaskKind, RackName>, uint32_t> inRack_;
  Resources largest_; // part by part, of any one worker
  uint64_t order_ = 0;
  size_t running_ = 0;
  std::vector<PlacementAction> actions_;
};

} // namespace vanillahatch
