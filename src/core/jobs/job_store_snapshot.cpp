// Serialization of the job store.
#include "vanillahatch/core/jobs/job_store.h"

#include <algorithm>

namespace vanillahatch {

namespace {

bool IsInitial(const Task& aTask)
{
  return aTask.phase_ == TaskPhase::kPending && aTask.run_ == 0;
}

} // namespace

void JobStore::WriteJob(const Job& aJob, v1::JobState& aState) const
{
  aState.mutable_accepted()->set_id(aJob.id_);
  aState.mutable_accepted()->set_queue(aJob.queue_);
  aState.mutable_accepted()->set_host(aJob.queueAddress_.host_);
  aState.mutable_accepted()->set_path_prefix(aJob.queueAddress_.pathPrefix_);
  aState.mutable_accepted()->set_service(aJob.service_);
  aState.mutable_accepted()->set_customer(aJob.customer_);
  *aState.mutable_accepted()->mutable_spec() = aJob.spec_;
  aState.mutable_accepted()->set_submitted_unix_ms(aJob.submittedUnixMs_);
  aState.set_cancelled(aJob.cancelled_);
  aState.set_failed(aJob.failed_);
  aState.set_not_started(!aJob.started_);
  for (const auto& [number, occurrence] : aJob.occurrences_) {
    for (size_t i = 0; i < occurrence.steps_.size(); ++i) {
      v1::StepState& step = *aState.add_steps();
      step.set_occurrence(number);
      step.set_step(static_cast<uint32_t>(i));
      const std::vector<Task>& tasks = occurrence.steps_[i].tasks_;
      for (size_t k = 0; k < tasks.size(); ++k) {
        if (IsInitial(tasks[k])) {
          continue;
        }
        v1::TaskState& task = *step.add_tasks();
        task.set_index(static_cast<uint32_t>(k));
        task.set_run(tasks[k].run_);
        task.set_failures(tasks[k].failures_);
        task.set_phase(static_cast<uint32_t>(tasks[k].phase_));
        task.set_checkpoint(tasks[k].checkpoint_);
        if (tasks[k].instance_ != nullptr) {
          *task.mutable_instance() = ToMessage(tasks[k].instance_->key_);
        }
      }
    }
  }
}

std::string JobStore::Snapshot() const
{
  v1::JobStoreSnapshot snapshot;
  *snapshot.mutable_config() = config_;
  for (const auto& [address, queue] : removedQueues_) {
    *snapshot.add_removed_queues() = queue;
  }
  for (const auto& [name, customer] : removedCustomers_) {
    *snapshot.add_removed_customers() = customer;
  }
  std::vector<const Job*> jobs;
  jobs.reserve(jobs_.size());
  for (const auto& [id, job] : jobs_) {
    jobs.push_back(job.get());
  }
  // The order of acceptance is stored as the position in the list.
  std::sort(jobs.begin(), jobs.end(), [](const Job* aLeft, const Job* aRight) {
    return aLeft->acceptanceIndex_ < aRight->acceptanceIndex_;
  });
  for (const Job* job : jobs) {
    WriteJob(*job, *snapshot.add_jobs());
  }
  for (const auto& [key, instance] : instances_) {
    *snapshot.add_instances() = instance->record_;
    if (instance->mayHoldFormerLease_) {
      *snapshot.add_former_leases() = ToMessage(key);
    }
  }
  snapshot.set_lists_former_leases(true);
  for (const auto& [number, wave] : waves_) {
    v1::WaveState& state = *snapshot.add_waves();
    *state.mutable_wave() = wave.request_;
    for (const std::string& machine : wave.startedMachines_) {
      state.add_begun(machine);
    }
  }
  for (const InstanceKey& key : departed_) {
    *snapshot.add_departed() = ToMessage(key);
  }
  for (const EarlyCancellation& cancellation : cancelledEarly_) {
    v1::CancelJob& cancelled = *snapshot.add_cancelled_early();
    cancelled.set_host(cancellation.job_.host_);
    cancelled.set_path(cancellation.job_.path_);
    cancelled.set_checked_owner(cancellation.customer_.has_value());
    cancelled.set_customer(cancellation.customer_.value_or(""));
  }
  return snapshot.SerializeAsString();
}

bool JobStore::ReadJob(const v1::JobState& aState)
{
  AcceptJob(aState.accepted());
  Job& job = *FindJob(aState.accepted().id());
  for (const v1::StepState& state : aState.steps()) {
    Occurrence& occurrence = EnsureOccurrence(job, state.occurrence());
    if (state.step() >= occurrence.steps_.size()) {
      return false;
    }
    Step& step = occurrence.steps_[state.step()];
    for (const v1::TaskState& saved : state.tasks()) {
      if (saved.index() >= step.tasks_.size()) {
        return false;
      }
      Task& task = step.tasks_[saved.index()];
      task.run_ = saved.run();
      task.failures_ = saved.failures();
      task.phase_ = static_cast<TaskPhase>(saved.phase());
      task.checkpoint_ = saved.checkpoint();
      step.gangFailures_ += saved.failures();
      --step.pending_;
      if (task.run_ > 0 && !aState.not_started()) {
        MarkStarted(job);
      }
      task.instance_ =
        saved.has_instance() ? FindInstance(ToKey(saved.instance())) : nullptr;
      if (task.phase_ == TaskPhase::kDone) {
        ++step.done_;
      } else if (task.phase_ == TaskPhase::kPending) {
        ++step.pending_;
      } else {
        ++step.assigned_;
        if (task.instance_ == nullptr) {
          return false;
        }
      }
      if (task.instance_ != nullptr) {
        task.instance_->assigned_.insert({ .job_ = &job,
                                           .occurrence_ = state.occurrence(),
                                           .step_ = state.step(),
                                           .index_ = saved.index() });
      }
    }
    occurrence.stepsDone_ += step.IsDone() ? 1 : 0;
  }
  for (const auto& [number, occurrence] : job.occurrences_) {
    job.occurrencesDone_ += occurrence.IsDone() ? 1 : 0;
  }
  if (aState.cancelled() || aState.failed() || job.IsCompleted()) {
    CloseJob(job);
    job.cancelled_ = aState.cancelled();
    job.failed_ = aState.failed();
  }
  return true;
}

void JobStore::RestoreFormerLeases(const v1::JobStoreSnapshot& aSnapshot)
{
  for (auto& [key, instance] : instances_) {
    instance->mayHoldFormerLease_ =
      !aSnapshot.lists_former_leases() && HasEarlierIncarnation(key);
  }
  for (const v1::InstanceKey& key : aSnapshot.former_leases()) {
    if (Instance* instance = FindInstance(ToKey(key))) {
      instance->mayHoldFormerLease_ = true;
    }
  }
}

bool JobStore::Restore(const std::string& aBytes)
{
  v1::JobStoreSnapshot snapshot;
  if (!snapshot.ParseFromString(aBytes)) {
    return false;
  }
  JobStore fresh;
  fresh.config_ = snapshot.config();
  fresh.IndexConfig();
  for (const v1::QueueSpec& queue : snapshot.removed_queues()) {
    fresh.removedQueues_.insert_or_assign(AddressOf(queue), queue);
  }
  for (const v1::CustomerSpec& customer : snapshot.removed_customers()) {
    fresh.removedCustomers_.insert_or_assign(customer.name(), customer);
  }
  for (const v1::InstanceRecord& record : snapshot.instances()) {
    fresh.PutInstance(record);
  }
  for (const v1::JobState& job : snapshot.jobs()) {
    if (!fresh.ReadJob(job)) {
      return false;
    }
  }
  for (const v1::WaveState& state : snapshot.waves()) {
    Wave& wave = fresh.waves_[state.wave().wave()];
    wave.request_ = state.wave();
    wave.startedMachines_.insert(state.begun().begin(), state.begun().end());
  }
  for (const v1::InstanceKey& key : snapshot.departed()) {
    fresh.RecordDeparted(ToKey(key));
  }
  fresh.RestoreFormerLeases(snapshot);
  for (const v1::CancelJob& job : snapshot.cancelled_early()) {
    fresh.RecordCancelledEarly(
      { .job_ = fresh.AddressOfJob(job), .customer_ = OwnerNeededFor(job) });
  }
  fresh.instanceChangeCount_ = instanceChangeCount_ + 1;
  fresh.changedInstances_.clear(); // the changed instances are unknown
  *this = std::move(fresh);
  IndexConfig();
  ResolveQueuesOfJobs();
  return true;
}

} // namespace vanillahatch
