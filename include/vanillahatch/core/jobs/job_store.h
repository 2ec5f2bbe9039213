// The replicated state of the job scheduler: the fleet's configuration, the
// accepted jobs with their tasks, the instances, and the waves of upkeep.
//
// A deterministic state machine: `Apply` takes committed changes in log order
// and is the only way to alter it. Decisions read it and propose changes.
//
//   JobStore store;
//   store.Apply(changes);             // on every replica
//   for (const Job* job : store.OpenJobs()) { ... }
//
// Not safe for use by several threads at once; see JobStoreReplica.
#pragma once

#include "jobs.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace vanillahatch {

// One incarnation of an instance.
struct InstanceKey
{
  std::string id_;
  int64_t bornUnixMs_ = 0;

  friend auto operator<=>(const InstanceKey&, const InstanceKey&) = default;
};

InstanceKey ToKey(const v1::InstanceKey& aKey);
InstanceKey ToKey(const v1::InstanceRecord& aRecord);
v1::InstanceKey ToMessage(const InstanceKey& aKey);

struct Job;
struct Instance;

// One task within the store; valid while its job is held.
struct TaskRef
{
  Job* job_ = nullptr;
  uint32_t occurrence_ = 0;
  uint32_t step_ = 0;
  uint32_t index_ = 0;

  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

enum class TaskPhase : uint8_t
{
  kPending,
  kAssigned, // a run may exist on `instance_`
  kDone,
};

struct Task
{
  TaskPhase phase_ = TaskPhase::kPending;
  uint32_t run_ = 0; // of the latest start; 0: never started
  uint32_t failures_ = 0;
  Instance* instance_ = nullptr; // while assigned
  std::string checkpoint_;
};

struct Step
{
  std::vector<Task> tasks_;
  uint32_t pending_ = 0;
  uint32_t assigned_ = 0;
  uint32_t done_ = 0;
  uint32_t gangFailures_ = 0;

  bool IsDone() const { return done_ == tasks_.size(); }
};

// One time that the steps of a job run.
struct Occurrence
{
  std::vector<Step> steps_;
  uint32_t stepsDone_ = 0;

  bool IsDone() const { return stepsDone_ == steps_.size(); }
};

struct Job
{
  std::string id_;
  std::string queue_;
  std::string service_; // for when the queue has been removed
  v1::JobSpec spec_;
  uint64_t order_ = 0; // of acceptance
  bool cancelled_ = false;
  bool failed_ = false;
  bool started_ = false; // a task was started at least once
  std::map<uint32_t, Occurrence> occurrences_;
  uint32_t occurrencesDone_ = 0;

  uint32_t OccurrenceCount() const
  {
    return spec_.repeat_count() > 0 ? spec_.repeat_count() : 1;
  }
  bool IsCompleted() const { return occurrencesDone_ == OccurrenceCount(); }
  bool IsOpen() const { return !cancelled_ && !failed_ && !IsCompleted(); }
};

struct Instance
{
  v1::InstanceRecord record_;
  InstanceKey key_;
  // Differs when the incarnation was removed and put again.
  uint64_t serial_ = 0;
  std::set<TaskRef> assigned_;
};

struct Wave
{
  v1::StartWave order_;
  std::set<std::string> begun_; // machines
};

class JobStore
{
public:
  void Apply(const v1::JobChanges& aChanges);

  const v1::FleetDocument& Config() const { return config_; }
  // Null if the configuration has no such queue.
  const v1::QueueSpec* FindQueue(std::string_view aName) const;
  // The queue of the longest prefix of `aPath` on `aHost`.
  const v1::QueueSpec* FindQueueFor(std::string_view aHost,
                                    std::string_view aPath) const;
  const v1::ServiceSpec* FindService(std::string_view aName) const;

  Job* FindJob(const std::string& aId) const;
  v1::JobPhase PhaseOf(const Job& aJob) const;
  // Jobs that are neither complete, failed nor cancelled, oldest first.
  const std::map<uint64_t, Job*>& OpenJobs() const { return open_; }
  size_t JobCount() const { return jobs_.size(); }
  // Jobs that are closed and of which nothing may run any more.
  std::vector<const Job*> SettledJobs() const;
  // Open jobs of the queue of which no task has started.
  uint64_t WaitingJobs(std::string_view aQueue) const;
  // Whose instances run the job's tasks.
  const std::string& ServiceOf(const Job& aJob) const;
  // Runs of the task that may end as failed; its queue's limit, or the limit
  // that was in force when its queue was removed.
  uint32_t MaxAttempts(const Job& aJob) const;

  const std::map<InstanceKey, std::unique_ptr<Instance>>& Instances() const
  {
    return instances_;
  }
  Instance* FindInstance(const InstanceKey& aKey) const;
  // All incarnations of that id, and all that are held to be on that machine.
  std::vector<const Instance*> InstancesOf(const std::string& aId) const;
  std::vector<const Instance*> InstancesOn(const std::string& aMachine) const;
  // True if that incarnation is known to be over.
  bool HasDeparted(const InstanceKey& aKey) const;
  // Grows whenever an instance is put, changed or removed.
  uint64_t InstanceChanges() const { return instanceChanges_; }
  // Which those were since it was `aSince`, or nothing if that is too long ago.
  std::optional<std::vector<InstanceKey>> InstancesChangedSince(
    uint64_t aSince) const;
  // Grows whenever a job closes, for whatever reason.
  uint64_t JobClosings() const { return jobClosings_; }
  const std::map<uint64_t, Wave>& Waves() const { return waves_; }

  // Null if that occurrence has not begun.
  static Occurrence* FindOccurrence(Job& aJob, uint32_t aNumber);
  // Nothing if the store has no such task.
  std::optional<TaskRef> FindTask(const v1::TaskName& aName) const;
  static Task& At(const TaskRef& aTask);
  static const v1::StepSpec& SpecOf(const TaskRef& aTask);
  static v1::TaskName NameOf(const TaskRef& aTask);
  // True if all steps that this one comes after have ended.
  static bool IsStepReady(const Job& aJob,
                          const Occurrence* aOccurrence,
                          uint32_t aStep);

  std::string Snapshot() const;
  bool Restore(const std::string& aBytes);

private:
  void ApplyOne(const v1::JobChange& aChange);
  void PutConfig(const v1::FleetDocument& aConfig);
  void IndexQueues();
  void Accept(const v1::AcceptJob& aJob);
  void Cancel(const v1::CancelJob& aJob);
  void Start(const v1::RunStart& aStart);
  void End(const v1::RunEnd& aEnd);
  void FinishRun(const TaskRef& aTask,
                 v1::RunOutcome aOutcome,
                 const std::string& aCheckpoint);
  void CountFailure(const TaskRef& aTask);
  void FinishTask(const TaskRef& aTask);
  void PutInstance(const v1::InstanceRecord& aRecord);
  void RemoveInstance(const v1::InstanceGone& aGone);
  void RememberDeparted(const InstanceKey& aKey);
  void ForgetMachineOf(const Instance& aInstance);
  void NoteInstanceChange(const InstanceKey& aKey);
  void Forget(const v1::ForgetJob& aJob);
  void MarkStarted(Job& aJob);
  void Close(Job& aJob);
  Occurrence& EnsureOccurrence(Job& aJob, uint32_t aNumber);
  std::optional<TaskRef> ResolveOrBegin(const v1::TaskName& aName);
  void WriteJob(const Job& aJob, v1::JobState& aState) const;
  bool ReadJob(const v1::JobState& aState);

  v1::FleetDocument config_;
  // Into `config_`, whose queues can be hundreds.
  std::unordered_map<std::string_view, const v1::QueueSpec*> queues_; // by name
  std::unordered_multimap<std::string_view, const v1::QueueSpec*> queuesOfHost_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<uint64_t, Job*> open_;
  std::map<std::string, uint64_t, std::less<>> waiting_; // by queue
  std::map<InstanceKey, std::unique_ptr<Instance>> instances_;
  std::unordered_multimap<std::string, const Instance*> onMachine_;
  std::map<uint64_t, Wave> waves_;
  std::deque<InstanceKey> departed_; // the latest ones
  std::set<InstanceKey> isDeparted_; // the same
  uint64_t instanceChanges_ = 0;
  std::deque<InstanceKey> changedInstances_; // of the latest changes
  uint64_t jobClosings_ = 0;
  uint64_t nextOrder_ = 1;
};

} // namespace vanillahatch
