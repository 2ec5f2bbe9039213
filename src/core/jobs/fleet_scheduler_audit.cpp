// A slow sweep that checks what this replica remembers against the log.
//
// Rounds touch only what changed, so a run that slipped out of the views would
// be waited for forever. The sweep finds it within a second, reports it and
// puts it back into the ordinary course of things.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>

namespace vanillahatch {

namespace {

constexpr Millis kAuditEvery = Millis(500);

std::string TextOf(const TaskRef& aTask)
{
  return aTask.job_->id_ + '.' + std::to_string(aTask.occurrence_) + '.' +
         std::to_string(aTask.step_) + '.' + std::to_string(aTask.index_);
}

} // namespace

void FleetScheduler::Audit(Millis aNow)
{
  if (aNow - auditedAt_ < kAuditEvery) {
    return;
  }
  auditedAt_ = aNow;
  const std::map<TaskRef, uint32_t> before = std::exchange(suspects_, {});
  for (const auto& [key, instance] : store_.Instances()) {
    AuditInstance(*instance);
  }
  // Only what was missing at the last sweep too is a fault.
  for (const auto& [task, run] : suspects_) {
    const auto known = before.find(task);
    const Instance* instance = JobStore::TaskAt(task).instance_;
    if (known == before.end() || known->second != run || instance == nullptr) {
      continue;
    }
    InstanceView* view = FindView(instance->key_);
    if (view == nullptr) {
      continue;
    }
    trace_.onAudit_({ .task_ = TextOf(task),
                      .run_ = run,
                      .instance_ = instance->key_.id_,
                      .what_ = "logged run was not watched" });
    view->AddRun(task,
                 { .run_ = run, .phase_ = RunPhase::kInDoubt, .since_ = aNow });
  }
  AuditProposed();
}

// Runs that the log assigns to the instance and nobody watches.
void FleetScheduler::AuditInstance(const Instance& aInstance)
{
  InstanceView* view = FindView(aInstance.key_);
  if (view == nullptr || view->removalProposed_) {
    return;
  }
  const auto& watched = std::as_const(*view).Runs();
  for (const TaskRef& task : aInstance.assigned_) {
    const uint32_t run = JobStore::TaskAt(task).run_;
    const auto known = watched.find(task);
    if (known == watched.end() || known->second.run_ != run) {
      suspects_.emplace(task, run);
    }
  }
}

// Starts that no proposal under way names would keep their tasks waiting.
void FleetScheduler::AuditProposed()
{
  if (pending_.empty() && roundPending_.starts_.empty() && !proposed_.empty()) {
    trace_.onAudit_({ .task_ = TextOf(*proposed_.begin()),
                      .what_ = "start is neither proposed nor logged" });
    proposed_.clear();
  }
}

} // namespace vanillahatch
