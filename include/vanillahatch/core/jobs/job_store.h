// The replicated state of the job scheduler: the fleet's configuration, the
// accepted jobs with their tasks, the instances, and the maintenance waves.
//
// A deterministic state machine: `Apply` processes committed changes in log
// order. Except for `Restore`, it is the only way to modify the state; the
// scheduler reads the state and proposes changes.
//
//   JobStore store;
//   store.Apply(changes);             // on every replica
//   for (const auto& [index, job] : store.OpenJobs()) { ... }
//
// Not thread-safe; see JobStoreReplica.
#pragma once

#include "vanillahatch/core/customers/customer_directory.h"

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

// Identifies one incarnation of an instance.
struct InstanceKey
{
  std::string id_;
  int64_t startedUnixMs_ = 0;

  friend auto operator<=>(const InstanceKey&, const InstanceKey&) = default;
};

struct InstanceKeyHash
{
  size_t operator()(const InstanceKey& aKey) const
  {
    return std::hash<std::string>()(aKey.id_) ^
           std::hash<int64_t>()(aKey.startedUnixMs_);
  }
};

InstanceKey ToKey(const v1::InstanceKey& aKey);
InstanceKey ToKey(const v1::InstanceRecord& aRecord);
v1::InstanceKey ToMessage(const InstanceKey& aKey);

// Where callers reach a queue. It identifies the queue: versions of the
// configuration may give it another name, and its name to another queue.
struct QueueAddress
{
  std::string host_;
  std::string pathPrefix_;

  friend auto operator<=>(const QueueAddress&, const QueueAddress&) = default;
};

QueueAddress AddressOf(const v1::QueueSpec& aQueue);

// The customer whose job alone the cancellation holds for; unset: for each job.
std::optional<std::string> OwnerNeededFor(const v1::CancelJob& aJob);

// Where callers reach a job, which may not be stored.
struct JobAddress
{
  std::string host_;
  std::string path_;

  friend auto operator<=>(const JobAddress&, const JobAddress&) = default;
};

// A cancellation of a job that is not stored; see `JobStore::CancelJob`.
struct EarlyCancellation
{
  JobAddress job_;
  // Of the job that it holds for, empty: of no customer; unset: of any job.
  std::optional<std::string> customer_;

  friend auto operator<=>(const EarlyCancellation&,
                          const EarlyCancellation&) = default;
};

struct Job;
struct Instance;

// Refers to one task within the store; valid until its job is removed.
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
  uint32_t run_ = 0; // number of the latest run; 0: never started
  uint32_t failures_ = 0;
  // Set while assigned. Of customers' gangs also while the step is done and a
  // run of this task may go on.
  Instance* instance_ = nullptr;
  std::string checkpoint_;
};

struct Step
{
  std::vector<Task> tasks_;
  // Numbers of tasks in each phase.
  uint32_t pending_ = 0;
  uint32_t assigned_ = 0;
  uint32_t done_ = 0;
  uint32_t gangFailures_ = 0; // failed runs of all tasks

  bool IsDone() const { return done_ == tasks_.size(); }
};

// One execution of all steps of a job; a repeated job has several.
struct Occurrence
{
  std::vector<Step> steps_;
  uint32_t stepsDone_ = 0;

  bool IsDone() const { return stepsDone_ == steps_.size(); }
};

struct Job
{
  std::string id_;
  std::string queue_; // name of the queue at acceptance
  QueueAddress queueAddress_;
  // The queue as it was last configured, also if it has been removed. Owned by
  // the store; null if the queue is not known.
  const v1::QueueSpec* queueSpec_ = nullptr;
  std::string service_;         // used if the queue is not known
  int64_t submittedUnixMs_ = 0; // 0: unknown
  std::string customer_;        // name; empty: of no customer
  v1::JobSpec spec_;
  uint64_t acceptanceIndex_ = 0; // position in the sequence of acceptance
  bool cancelled_ = false;
  bool failed_ = false;
  bool started_ = false; // a run of a task has begun on its instance
  std::map<uint32_t, Occurrence> occurrences_;
  uint32_t occurrencesDone_ = 0;

  uint32_t OccurrenceCount() const
  {
    return spec_.repeat_count() > 0 ? spec_.repeat_count() : 1;
  }
  bool IsCompleted() const { return occurrencesDone_ == OccurrenceCount(); }
  bool IsOpen() const { return !cancelled_ && !failed_ && !IsCompleted(); }
};

JobAddress AddressOf(const Job& aJob);

struct Instance
{
  v1::InstanceRecord record_;
  InstanceKey key_;
  // Unique per stored record: differs if the incarnation is removed and added
  // again.
  uint64_t serial_ = 0;
  // An order for an earlier incarnation with the same id may have reached it,
  // with a deadline on a clock that is not its own.
  bool mayHoldFormerLease_ = false;
  std::set<TaskRef> assigned_;
};

// A maintenance wave: an order to maintain a set of machines.
struct Wave
{
  v1::StartWave request_;
  std::set<std::string> startedMachines_; // their maintenance has started
};

class JobStore
{
public:
  // Ignores changes that do not fit the state, such as the start of a task that
  // is already assigned.
  void Apply(const v1::JobChanges& aChanges);

  const v1::FleetDocument& Config() const { return config_; }
  // Null if the configuration has no such queue.
  const v1::QueueSpec* FindQueue(std::string_view aName) const;
  // The address of a queue that is configured or has been removed. If none has
  // the name, an address that no caller can reach.
  QueueAddress AddressOfQueue(const std::string& aName) const;
  // The job's queue as it was last configured, also if it has been removed.
  // Null if it is not known.
  static const v1::QueueSpec* QueueOf(const Job& aJob)
  {
    return aJob.queueSpec_;
  }
  // The queue on `aHost` with the longest prefix of `aPath`; null if none.
  const v1::QueueSpec* FindQueueFor(std::string_view aHost,
                                    std::string_view aPath) const;
  const v1::ServiceSpec* FindService(std::string_view aName) const;
  // The customer as it was last configured, also if it has been removed while
  // jobs are of it. Null if it is not known.
  const v1::CustomerSpec* FindCustomer(std::string_view aName) const;
  // Of the configuration, which other replicas may have replaced.
  const CustomerDirectory& Customers() const { return customers_; }

  Job* FindJob(const std::string& aId) const;
  // The job that was submitted there. Its queue may have been renamed or
  // removed since, or another one may have a longer prefix of the path.
  Job* FindJobAt(std::string_view aHost, std::string_view aPath) const;
  v1::JobPhase PhaseOf(const Job& aJob) const;
  // Jobs that are neither completed, failed nor cancelled, by acceptance index.
  const std::map<uint64_t, Job*>& OpenJobs() const { return openJobs_; }
  size_t JobCount() const { return jobs_.size(); }
  // Of all stored jobs, as they were accepted, with a fixed overhead each.
  size_t JobBytes() const { return jobBytes_; }
  // Closed jobs without any task that may still run, as far as the log shows.
  std::vector<const Job*> FinishedJobs() const;
  // Number of open jobs of the queue of which no run is known to have begun.
  uint64_t CountWaitingJobs(const QueueAddress& aQueue) const;
  // The service whose instances run the job's tasks.
  const std::string& ServiceOf(const Job& aJob) const;
  // Number of failed runs of a task at which the job fails.
  uint32_t MaxAttempts(const Job& aJob) const;

  const std::map<InstanceKey, std::unique_ptr<Instance>>& Instances() const
  {
    return instances_;
  }
  Instance* FindInstance(const InstanceKey& aKey) const;
  // All incarnations with that id, or with a record that names that machine.
  std::vector<const Instance*> FindInstancesById(const std::string& aId) const;
  std::vector<const Instance*> FindInstancesOnMachine(
    const std::string& aMachine) const;
  // True if the incarnation is known to have ended.
  bool HasDeparted(const InstanceKey& aKey) const;
  // True if an earlier incarnation with the same id is stored or has departed.
  bool HasEarlierIncarnation(const InstanceKey& aKey) const;
  // Counts every addition, change and removal of an instance.
  uint64_t InstanceChangeCount() const { return instanceChangeCount_; }
  // The instances changed since `InstanceChangeCount` was `aSince`, or
  // `nullopt` if those are no longer recorded.
  std::optional<std::vector<InstanceKey>> InstancesChangedSince(
    uint64_t aSince) const;
  // Counts jobs that closed while runs of them may exist: cancelled, failed, or
  // completed by the first end in a gang.
  uint64_t InterruptedJobCount() const { return interruptedJobCount_; }
  const std::map<uint64_t, Wave>& Waves() const { return waves_; }

  // Null if the occurrence has not started.
  static Occurrence* FindOccurrence(Job& aJob, uint32_t aNumber);
  // `nullopt` if the store has no such task.
  std::optional<TaskRef> FindTask(const v1::TaskName& aName) const;
  static Task& TaskAt(const TaskRef& aTask);
  static const v1::StepSpec& SpecOf(const TaskRef& aTask);
  static v1::TaskName NameOf(const TaskRef& aTask);
  // True if all steps that this step depends on are done.
  static bool IsStepReady(const Job& aJob,
                          const Occurrence* aOccurrence,
                          uint32_t aStep);

  // The whole state, serialized.
  std::string Snapshot() const;
  // Replaces the state. Returns false and changes nothing if `aBytes` is
  // invalid.
  bool Restore(const std::string& aBytes);

private:
  void ApplyOne(const v1::JobChange& aChange);
  void PutConfig(const v1::FleetDocument& aConfig);
  // Keeps the queues that `aNext` removes, and forgets earlier ones that no job
  // is in.
  void UpdateRemovedQueues(const v1::FleetDocument& aNext);
  // Keeps the customers that `aNext` removes, without their keys, and forgets
  // earlier ones that no job is of.
  void UpdateRemovedCustomers(const v1::FleetDocument& aNext);
  // Has to follow each change of the configuration.
  void IndexConfig();
  // Finds the queue of each job. Has to follow each change of the queues.
  void ResolveQueuesOfJobs();
  const v1::QueueSpec* FindQueueOf(const Job& aJob) const;
  void AcceptJob(const v1::AcceptJob& aJob);
  Job* FindJobIn(const v1::QueueSpec& aQueue, std::string_view aPath) const;
  QueueAddress AddressOfQueue(const v1::AcceptJob& aJob) const;
  JobAddress AddressOfJob(const v1::CancelJob& aJob) const;
  void CancelJob(const v1::CancelJob& aJob);
  void RecordCancelledEarly(EarlyCancellation aCancellation);
  // Returns whether the job was cancelled before it was accepted.
  bool TakeCancelledEarly(const Job& aJob);
  void StartRun(const v1::RunStart& aStart);
  void EndRun(const v1::RunEnd& aEnd);
  void FinishRun(const TaskRef& aTask,
                 v1::RunOutcome aOutcome,
                 const std::string& aCheckpoint);
  // No run of the task may exist on its instance any more.
  static void Unassign(const TaskRef& aTask);
  void CountFailure(const TaskRef& aTask);
  void FinishTask(const TaskRef& aTask);
  void PutInstance(const v1::InstanceRecord& aRecord);
  void RemoveInstance(const v1::InstanceGone& aGone);
  void EndFormerLease(const v1::FormerLeaseEnded& aEnded);
  void RestoreFormerLeases(const v1::JobStoreSnapshot& aSnapshot);
  // Null if the store has no later incarnation with the same id.
  Instance* FindNextIncarnation(const InstanceKey& aKey) const;
  void RecordDeparted(const InstanceKey& aKey);
  void RemoveFromMachineIndex(const Instance& aInstance);
  void RecordInstanceChange(const InstanceKey& aKey);
  void RemoveJob(const v1::ForgetJob& aJob);
  void MarkStarted(Job& aJob);
  void CloseJob(Job& aJob);
  Occurrence& EnsureOccurrence(Job& aJob, uint32_t aNumber);
  std::optional<TaskRef> FindOrCreateTask(const v1::TaskName& aName);
  void WriteJob(const Job& aJob, v1::JobState& aState) const;
  bool ReadJob(const v1::JobState& aState);

  v1::FleetDocument config_;
  // Index of the queues in `config_`, which may have hundreds.
  std::unordered_map<std::string_view, const v1::QueueSpec*> queuesByName_;
  std::map<QueueAddress, const v1::QueueSpec*> queuesByAddress_;
  std::unordered_multimap<std::string_view, const v1::QueueSpec*> queuesByHost_;
  // Queues that the configuration lacks, as they were last configured.
  std::map<QueueAddress, v1::QueueSpec> removedQueues_;
  CustomerDirectory customers_; // of `config_`
  std::unordered_map<std::string_view, const v1::CustomerSpec*>
    customersByName_; // of `config_`
  // Customers that the configuration lacks, as they were last configured.
  std::map<std::string, v1::CustomerSpec, std::less<>> removedCustomers_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_; // by id
  size_t jobBytes_ = 0;
  std::map<uint64_t, Job*> openJobs_; // by acceptance index
  std::map<QueueAddress, uint64_t> waitingByQueue_;
  std::map<InstanceKey, std::unique_ptr<Instance>> instances_;
  std::unordered_multimap<std::string, const Instance*> instancesByMachine_;
  std::map<uint64_t, Wave> waves_;
  // The latest ended incarnations, oldest first, and the same as a set.
  std::deque<InstanceKey> departed_;
  std::set<InstanceKey> departedSet_;
  // The latest jobs that were cancelled before they were accepted, oldest
  // first, and the same as a set.
  std::deque<EarlyCancellation> cancelledEarly_;
  std::set<EarlyCancellation> cancelledEarlySet_;
  uint64_t instanceChangeCount_ = 0;
  std::deque<InstanceKey> changedInstances_; // latest changes, oldest first
  uint64_t interruptedJobCount_ = 0;
  uint64_t nextAcceptanceIndex_ = 1;
};

} // namespace vanillahatch
