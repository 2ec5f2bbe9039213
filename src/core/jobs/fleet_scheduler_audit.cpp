// Periodic check of the scheduler's state against the log.
//
// Rounds process only what changed, so a run that is missing from the views
// would be waited for forever. The audit finds it within a second, reports it
// and adds it to its view as a run in doubt.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>

namespace vanillahatch {

namespace {

constexpr Millis kAuditInterval = Millis(500);

std::string TextOf(const TaskRef& aTask)
{
  return aTask.job_->id_ + '.' + std::to_string(aTask.occurrence_) + '.' +
         std::to_string(aTask.step_) + '.' + std::to_string(aTask.index_);
}

} // namespace

void FleetScheduler::Audit(Millis aNow)
{
  if (aNow - auditedAt_ < kAuditInterval) {
    return;
  }
  auditedAt_ = aNow;
  const std::map<TaskRef, uint32_t> previous =
    std::exchange(unwatchedRuns_, {});
  for (const auto& [key, instance] : store_.Instances()) {
    AuditInstance(*instance);
  }
  // A run that two audits in a row find missing is reported.
  for (const auto& [task, run] : unwatchedRuns_) {
    const auto known = previous.find(task);
    const Instance* instance = JobStore::TaskAt(task).instance_;
    if (known == previous.end() || known->second != run ||
        instance == nullptr) {
      continue;
    }
    InstanceView* view = FindView(instance->key_);
    if (view == nullptr) {
      continue;
    }
    trace_.onAudit_(
      { .task_ = TextOf(task),
        .run_ = run,
        .instance_ = instance->key_.id_,
        .description_ =
          "run in the log is missing from the view of its instance" });
    view->AddRun(task,
                 { .run_ = run, .phase_ = RunPhase::kInDoubt, .since_ = aNow });
  }
  AuditProposedStarts();
  AuditLedger();
}

// Collects runs that the log assigns to the instance and its view lacks.
void FleetScheduler::AuditInstance(const Instance& aInstance)
{
  InstanceView* view = FindView(aInstance.key_);
  if (view == nullptr || view->removalProposed_) {
    return;
  }
  const auto& watchedRuns = std::as_const(*view).Runs();
  for (const TaskRef& task : aInstance.assigned_) {
    const uint32_t run = JobStore::TaskAt(task).run_;
    const auto known = watchedRuns.find(task);
    if (known == watchedRuns.end() || known->second.run_ != run) {
      unwatchedRuns_.emplace(task, run);
    }
  }
}

// A start that no uncommitted proposal contains would keep its task waiting
// forever.
void FleetScheduler::AuditProposedStarts()
{
  if (pendingProposals_.empty() && nextPending_.starts_.empty() &&
      !proposedStarts_.empty()) {
    trace_.onAudit_(
      { .task_ = TextOf(*proposedStarts_.begin()),
        .description_ = "proposed start is in no uncommitted proposal" });
    proposedStarts_.clear();
  }
}

// A charge that is never released would hold back its customer's tasks forever.
void FleetScheduler::AuditLedger()
{
  if (!ledger_.HasCustomers()) {
    return;
  }
  CustomerLedger recount = ledger_.WithoutCharges();
  for (const InstanceView* view : allViews_) {
    view->Recount(recount);
  }
  for (std::string& customer : ledger_.CorrectBy(recount)) {
    trace_.onAudit_(
      { .customer_ = std::move(customer),
        .description_ = "charges of a customer differ from its runs" });
  }
}

} // namespace vanillahatch
