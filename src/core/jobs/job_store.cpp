#include "vanillahatch/core/jobs/job_store.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Enough for every id that is cancelled within the time that a submission may
// be on its way.
constexpr size_t kMaxCancelledEarly = 4000;
// What a job takes beside the bytes that were submitted.
constexpr size_t kJobOverheadBytes = 512;

size_t BytesOf(const Job& aJob)
{
  return kJobOverheadBytes + aJob.id_.size() + aJob.spec_.ByteSizeLong();
}

// The rest of a gang whose step is done stays assigned if the job is of a
// customer.
bool MayRun(const Step& aStep, bool aIsOfCustomer)
{
  return aStep.assigned_ > 0 ||
         (aIsOfCustomer && std::any_of(aStep.tasks_.begin(),
                                       aStep.tasks_.end(),
                                       [](const Task& aTask) {
                                         return aTask.instance_ != nullptr;
                                       }));
}

bool MayRun(const Job& aJob)
{
  const bool isOfCustomer = !aJob.customer_.empty();
  return std::any_of(
    aJob.occurrences_.begin(), aJob.occurrences_.end(), [&](const auto& aItem) {
      const std::vector<Step>& steps = aItem.second.steps_;
      return std::any_of(steps.begin(), steps.end(), [&](const Step& aStep) {
        return MayRun(aStep, isOfCustomer);
      });
    });
}

} // namespace

std::optional<std::string> OwnerNeededFor(const v1::CancelJob& aJob)
{
  return aJob.checked_owner() ? std::optional(aJob.customer()) : std::nullopt;
}

JobAddress AddressOf(const Job& aJob)
{
  return { .host_ = aJob.queueAddress_.host_,
           .path_ = aJob.queueAddress_.pathPrefix_ + aJob.id_ };
}

void JobStore::Apply(const v1::JobChanges& aChanges)
{
  for (const v1::JobChange& change : aChanges.changes()) {
    ApplyOne(change);
  }
}

void JobStore::ApplyOne(const v1::JobChange& aChange)
{
  switch (aChange.body_case()) {
    case v1::JobChange::kPutConfig:
      return PutConfig(aChange.put_config());
    case v1::JobChange::kAcceptJob:
      // It has another id if a queue with a longer prefix has been added.
      if (FindJobAt(aChange.accept_job().host(),
                    aChange.accept_job().path_prefix() +
                      aChange.accept_job().id()) == nullptr) {
        AcceptJob(aChange.accept_job());
      }
      return;
    case v1::JobChange::kCancelJob:
      return CancelJob(aChange.cancel_job());
    case v1::JobChange::kRunStart:
      return StartRun(aChange.run_start());
    case v1::JobChange::kRunEnd:
      return EndRun(aChange.run_end());
    case v1::JobChange::kPutInstance:
      return PutInstance(aChange.put_instance());
    case v1::JobChange::kInstanceGone:
      return RemoveInstance(aChange.instance_gone());
    case v1::JobChange::kStartWave:
      waves_.try_emplace(aChange.start_wave().wave(),
                         Wave{ .request_ = aChange.start_wave() });
      return;
    case v1::JobChange::kUpkeepBegun:
      if (const auto it = waves_.find(aChange.upkeep_begun().wave());
          it != waves_.end()) {
        it->second.startedMachines_.insert(aChange.upkeep_begun().machine());
      }
      return;
    case v1::JobChange::kForgetJob:
      return RemoveJob(aChange.forget_job());
    case v1::JobChange::kJobStarted:
      if (Job* job = FindJob(aChange.job_started().id())) {
        MarkStarted(*job);
      }
      return;
    case v1::JobChange::kFormerLeaseEnded:
      return EndFormerLease(aChange.former_lease_ended());
    case v1::JobChange::BODY_NOT_SET:
      return;
  }
}

JobAddress JobStore::AddressOfJob(const v1::CancelJob& aJob) const
{
  if (!aJob.path().empty()) {
    return { .host_ = aJob.host(), .path_ = aJob.path() };
  }
  QueueAddress queue = AddressOfQueue(aJob.queue());
  return { .host_ = std::move(queue.host_),
           .path_ = std::move(queue.pathPrefix_) + aJob.id() };
}

Job* JobStore::FindJob(const std::string& aId) const
{
  const auto it = jobs_.find(aId);
  return it != jobs_.end() ? it->second.get() : nullptr;
}

Job* JobStore::FindJobIn(const v1::QueueSpec& aQueue,
                         std::string_view aPath) const
{
  if (!aPath.starts_with(aQueue.path_prefix())) {
    return nullptr;
  }
  Job* job = FindJob(std::string(aPath.substr(aQueue.path_prefix().size())));
  const bool isOfQueue = job != nullptr &&
                         job->queueAddress_.host_ == aQueue.host() &&
                         job->queueAddress_.pathPrefix_ == aQueue.path_prefix();
  return isOfQueue ? job : nullptr;
}

Job* JobStore::FindJobAt(std::string_view aHost, std::string_view aPath) const
{
  const v1::QueueSpec* present = FindQueueFor(aHost, aPath);
  Job* job = present != nullptr ? FindJobIn(*present, aPath) : nullptr;
  const auto [first, last] = queuesByHost_.equal_range(aHost);
  for (auto it = first; it != last && job == nullptr; ++it) {
    job = FindJobIn(*it->second, aPath);
  }
  const std::string host(aHost);
  for (auto it = removedQueues_.lower_bound({ .host_ = host });
       it != removedQueues_.end() && it->first.host_ == host && job == nullptr;
       ++it) {
    job = FindJobIn(it->second, aPath);
  }
  return job;
}

std::vector<const Job*> JobStore::FinishedJobs() const
{
  std::vector<const Job*> settled;
  for (const auto& [id, job] : jobs_) {
    if (!job->IsOpen() && !MayRun(*job)) {
      settled.push_back(job.get());
    }
  }
  return settled;
}

v1::JobPhase JobStore::PhaseOf(const Job& aJob) const
{
  if (aJob.cancelled_) {
    return v1::JOB_CANCELLED;
  }
  if (aJob.failed_) {
    return v1::JOB_FAILED;
  }
  if (aJob.IsCompleted()) {
    return v1::JOB_COMPLETED;
  }
  return aJob.started_ ? v1::JOB_RUNNING : v1::JOB_QUEUED;
}

uint64_t JobStore::CountWaitingJobs(const QueueAddress& aQueue) const
{
  const auto it = waitingByQueue_.find(aQueue);
  return it != waitingByQueue_.end() ? it->second : 0;
}

void JobStore::AcceptJob(const v1::AcceptJob& aJob)
{
  auto [it, isNew] = jobs_.try_emplace(aJob.id());
  if (!isNew) {
    return; // duplicate submission of the same job
  }
  it->second = std::make_unique<Job>();
  Job& job = *it->second;
  job.id_ = aJob.id();
  job.queue_ = aJob.queue();
  job.queueAddress_ = AddressOfQueue(aJob);
  job.queueSpec_ = FindQueueOf(job);
  job.service_ = aJob.service();
  job.customer_ = aJob.customer();
  job.spec_ = aJob.spec();
  job.submittedUnixMs_ = aJob.submitted_unix_ms();
  job.acceptanceIndex_ = nextAcceptanceIndex_++;
  jobBytes_ += BytesOf(job);
  if (TakeCancelledEarly(job)) {
    job.cancelled_ = true;
    return;
  }
  openJobs_.emplace(job.acceptanceIndex_, &job);
  ++waitingByQueue_[job.queueAddress_];
}

void JobStore::CloseJob(Job& aJob)
{
  openJobs_.erase(aJob.acceptanceIndex_);
  if (!aJob.started_) {
    --waitingByQueue_[aJob.queueAddress_];
  }
}

void JobStore::MarkStarted(Job& aJob)
{
  if (!aJob.started_ && aJob.IsOpen()) {
    aJob.started_ = true;
    --waitingByQueue_[aJob.queueAddress_];
  }
}

void JobStore::CancelJob(const v1::CancelJob& aJob)
{
  const bool hasAddress = !aJob.path().empty() || !aJob.queue().empty();
  Job* job = FindJob(aJob.id());
  if (hasAddress) {
    JobAddress address = AddressOfJob(aJob);
    const bool isThere = job != nullptr && AddressOf(*job) == address;
    job = isThere ? job : FindJobAt(address.host_, address.path_);
    if (job == nullptr) {
      RecordCancelledEarly(
        { .job_ = std::move(address), .customer_ = OwnerNeededFor(aJob) });
    }
  }
  const bool mayCancel =
    job != nullptr && (!aJob.checked_owner() || job->customer_.empty() ||
                       job->customer_ == aJob.customer());
  if (mayCancel && job->IsOpen()) {
    CloseJob(*job);
    ++interruptedJobCount_;
    job->cancelled_ = true;
  }
}

void JobStore::RecordCancelledEarly(EarlyCancellation aCancellation)
{
  if (cancelledEarlySet_.insert(aCancellation).second) {
    cancelledEarly_.push_back(std::move(aCancellation));
  }
  if (cancelledEarly_.size() > kMaxCancelledEarly) {
    cancelledEarlySet_.erase(cancelledEarly_.front());
    cancelledEarly_.pop_front();
  }
}

bool JobStore::TakeCancelledEarly(const Job& aJob)
{
  const EarlyCancellation ofCustomer{ .job_ = AddressOf(aJob),
                                      .customer_ = aJob.customer_ };
  const EarlyCancellation ofAny{ .job_ = ofCustomer.job_ };
  const size_t count =
    cancelledEarlySet_.erase(ofCustomer) + cancelledEarlySet_.erase(ofAny);
  if (count > 0) {
    std::erase(cancelledEarly_, ofCustomer);
    std::erase(cancelledEarly_, ofAny);
  }
  return count > 0;
}

Occurrence* JobStore::FindOccurrence(Job& aJob, uint32_t aNumber)
{
  const auto it = aJob.occurrences_.find(aNumber);
  return it != aJob.occurrences_.end() ? &it->second : nullptr;
}

Occurrence& JobStore::EnsureOccurrence(Job& aJob, uint32_t aNumber)
{
  auto [it, isNew] = aJob.occurrences_.try_emplace(aNumber);
  Occurrence& occurrence = it->second;
  if (isNew) {
    occurrence.steps_.resize(aJob.spec_.steps_size());
    for (int i = 0; i < aJob.spec_.steps_size(); ++i) {
      const uint32_t count = aJob.spec_.steps(i).task_count();
      occurrence.steps_[i].tasks_.resize(count);
      occurrence.steps_[i].pending_ = count;
    }
  }
  return occurrence;
}

Task& JobStore::TaskAt(const TaskRef& aTask)
{
  return aTask.job_->occurrences_.at(aTask.occurrence_)
    .steps_[aTask.step_]
    .tasks_[aTask.index_];
}

const v1::StepSpec& JobStore::SpecOf(const TaskRef& aTask)
{
  return aTask.job_->spec_.steps(static_cast<int>(aTask.step_));
}

v1::TaskName JobStore::NameOf(const TaskRef& aTask)
{
  v1::TaskName name;
  name.set_job(aTask.job_->id_);
  name.set_occurrence(aTask.occurrence_);
  name.set_step(aTask.step_);
  name.set_index(aTask.index_);
  return name;
}

std::optional<TaskRef> JobStore::FindTask(const v1::TaskName& aName) const
{
  Job* job = FindJob(aName.job());
  Occurrence* occurrence =
    job != nullptr ? FindOccurrence(*job, aName.occurrence()) : nullptr;
  if (occurrence == nullptr || aName.step() >= occurrence->steps_.size() ||
      aName.index() >= occurrence->steps_[aName.step()].tasks_.size()) {
    return std::nullopt;
  }
  return TaskRef{ .job_ = job,
                  .occurrence_ = aName.occurrence(),
                  .step_ = aName.step(),
                  .index_ = aName.index() };
}

bool JobStore::IsStepReady(const Job& aJob,
                           const Occurrence* aOccurrence,
                           uint32_t aStep)
{
  const auto& after = aJob.spec_.steps(static_cast<int>(aStep)).after_steps();
  return std::all_of(after.begin(), after.end(), [&](uint32_t aEarlier) {
    return aOccurrence != nullptr && aOccurrence->steps_[aEarlier].IsDone();
  });
}

std::optional<TaskRef> JobStore::FindOrCreateTask(const v1::TaskName& aName)
{
  Job* job = FindJob(aName.job());
  if (job != nullptr && aName.occurrence() < job->OccurrenceCount()) {
    EnsureOccurrence(*job, aName.occurrence());
  }
  return FindTask(aName);
}

void JobStore::StartRun(const v1::RunStart& aStart)
{
  const std::optional<TaskRef> ref = FindOrCreateTask(aStart.task());
  Instance* instance = FindInstance(ToKey(aStart.instance()));
  if (!ref || instance == nullptr || !ref->job_->IsOpen()) {
    return;
  }
  Task& task = TaskAt(*ref);
  // Ignores a start from an outdated decision: the task is assigned already, or
  // the run number has been used.
  if (task.phase_ != TaskPhase::kPending || aStart.run() <= task.run_) {
    return;
  }
  Step& step = ref->job_->occurrences_.at(ref->occurrence_).steps_[ref->step_];
  --step.pending_;
  ++step.assigned_;
  task.phase_ = TaskPhase::kAssigned;
  task.run_ = aStart.run();
  task.instance_ = instance;
  instance->assigned_.insert(*ref);
}

void JobStore::EndRun(const v1::RunEnd& aEnd)
{
  Instance* instance = FindInstance(ToKey(aEnd.instance()));
  if (instance != nullptr) {
    v1::InstanceRecord& record = instance->record_;
    record.set_end_cursor(std::max(record.end_cursor(), aEnd.end_number()));
  }
  const std::optional<TaskRef> ref = FindTask(aEnd.task());
  if (!ref) {
    return;
  }
  // Any other end may be of a run whose start was refused or not sent.
  const bool hasBegun =
    aEnd.end_number() != 0 || aEnd.outcome() != v1::RUN_STOPPED;
  if (hasBegun) {
    MarkStarted(*ref->job_);
  }
  const Task& task = TaskAt(*ref);
  const bool isCurrent = task.phase_ == TaskPhase::kAssigned &&
                         task.run_ == aEnd.run() && task.instance_ == instance;
  // The instance was removed as unreachable after the run had ended there: the
  // task is done and must not run again.
  const bool wasRemoved = task.phase_ == TaskPhase::kPending &&
                          task.run_ == aEnd.run() &&
                          aEnd.outcome() == v1::RUN_DONE;
  // Another incarnation took the task over after the run had ended.
  const bool wasReplaced = task.phase_ == TaskPhase::kAssigned &&
                           task.run_ == aEnd.run() &&
                           aEnd.outcome() == v1::RUN_DONE &&
                           task.instance_->key_.id_ == aEnd.instance().id();
  const bool isRestOfGang = task.phase_ == TaskPhase::kDone &&
                            task.run_ == aEnd.run() && instance != nullptr &&
                            task.instance_ == instance;
  if (isRestOfGang) {
    Unassign(*ref);
  } else if (isCurrent || wasReplaced) {
    FinishRun(*ref, aEnd.outcome(), aEnd.checkpoint());
  } else if (wasRemoved && !SpecOf(*ref).lasting()) {
    --ref->job_->occurrences_.at(ref->occurrence_).steps_[ref->step_].pending_;
    FinishTask(*ref);
  }
}

void JobStore::FinishRun(const TaskRef& aTask,
                         v1::RunOutcome aOutcome,
                         const std::string& aCheckpoint)
{
  Task& task = TaskAt(aTask);
  Step& step =
    aTask.job_->occurrences_.at(aTask.occurrence_).steps_[aTask.step_];
  Unassign(aTask);
  --step.assigned_;
  if (!aCheckpoint.empty()) {
    task.checkpoint_ = aCheckpoint;
  }
  const bool isLongRunning = SpecOf(aTask).lasting();
  if (aOutcome == v1::RUN_DONE && !isLongRunning) {
    FinishTask(aTask);
    return;
  }
  task.phase_ = TaskPhase::kPending;
  ++step.pending_;
  if (aOutcome == v1::RUN_FAILED && !isLongRunning) {
    CountFailure(aTask);
  }
}

void JobStore::Unassign(const TaskRef& aTask)
{
  Task& task = TaskAt(aTask);
  task.instance_->assigned_.erase(aTask);
  task.instance_ = nullptr;
}

void JobStore::CountFailure(const TaskRef& aTask)
{
  Step& step =
    aTask.job_->occurrences_.at(aTask.occurrence_).steps_[aTask.step_];
  const uint32_t ownFailures = ++TaskAt(aTask).failures_;
  ++step.gangFailures_;
  const uint32_t failures =
    SpecOf(aTask).gang() ? step.gangFailures_ : ownFailures;
  Job& job = *aTask.job_;
  if (failures >= MaxAttempts(job) && job.IsOpen()) {
    CloseJob(job);
    ++interruptedJobCount_;
    job.failed_ = true;
  }
}

void JobStore::FinishTask(const TaskRef& aTask)
{
  Job& job = *aTask.job_;
  Occurrence& occurrence = job.occurrences_.at(aTask.occurrence_);
  Step& step = occurrence.steps_[aTask.step_];
  // The end of one task of a gang ends all of its tasks.
  const bool isGang = SpecOf(aTask).gang();
  for (uint32_t i = 0; i < step.tasks_.size(); ++i) {
    Task& task = step.tasks_[i];
    if ((!isGang && i != aTask.index_) || task.phase_ == TaskPhase::kDone) {
      continue;
    }
    if (task.phase_ == TaskPhase::kPending && i != aTask.index_) {
      --step.pending_;
    } else if (task.phase_ == TaskPhase::kAssigned &&
               task.instance_ != nullptr) {
      --step.assigned_;
      // The runs of the others count against a customer's cap until they end.
      if (job.customer_.empty()) {
        TaskRef other = aTask;
        other.index_ = i;
        Unassign(other);
      }
    }
    task.phase_ = TaskPhase::kDone;
    task.checkpoint_.clear();
    ++step.done_;
  }
  if (!step.IsDone()) {
    return;
  }
  ++occurrence.stepsDone_;
  if (!occurrence.IsDone()) {
    return;
  }
  ++job.occurrencesDone_;
  if (job.IsCompleted() && openJobs_.contains(job.acceptanceIndex_)) {
    CloseJob(job);
    interruptedJobCount_ += isGang ? 1 : 0;
  }
}

void JobStore::RemoveJob(const v1::ForgetJob& aJob)
{
  const auto it = jobs_.find(aJob.id());
  if (it == jobs_.end() || it->second->IsOpen()) {
    return;
  }
  for (auto& [key, instance] : instances_) {
    std::erase_if(instance->assigned_, [&](const TaskRef& aTask) {
      return aTask.job_ == it->second.get();
    });
  }
  jobBytes_ -= BytesOf(*it->second);
  jobs_.erase(it);
}

} // namespace vanillahatch
