#include "vanillahatch/core/health_tracker.h"

#include <algorithm>
#include <array>

namespace vanillahatch {

std::string_view ToText(HealthState aState)
{
  static constexpr std::array<std::string_view, 4> kTexts = {
    "healthy",
    "probation",
    "last-resort",
    "ejected",
  };
  return kTexts.at(static_cast<size_t>(aState));
}

void HealthTracker::Add(const InstanceName& aInstance,
                        const ServiceName& aService)
{
  const auto [it, isNew] = records_.try_emplace(aInstance);
  if (!isNew) {
    return;
  }
  it->second.service_ = aService;
  ++pools_[aService].size_;
}

void HealthTracker::Remove(const InstanceName& aInstance)
{
  const auto it = records_.find(aInstance);
  if (it == records_.end()) {
    return;
  }
  const auto pool = pools_.find(it->second.service_);
  if (it->second.state_ == HealthState::kEjected) {
    --pool->second.ejected_;
    ejectionEnds_.erase({ it->second.ejectedUntil_, aInstance });
  }
  if (--pool->second.size_ == 0) {
    pools_.erase(pool);
  }
  records_.erase(it);
}

bool HealthTracker::RecordOutcome(const InstanceName& aInstance,
                                  AttemptOutcome aOutcome,
                                  Millis aNow)
{
  const auto it = records_.find(aInstance);
  if (it == records_.end() || it->second.state_ == HealthState::kEjected) {
    // The attempt began before the ejection, which accounts for its outcome.
    return false;
  }
  if (aOutcome == AttemptOutcome::kSuccess) {
    return RecordSuccess(it->second);
  }
  return RecordFailure(aInstance, it->second, aNow);
}

bool HealthTracker::RecordSuccess(Record& aRecord)
{
  aRecord.consecutiveFailures_ = 0;
  switch (aRecord.state_) {
    case HealthState::kProbation:
      aRecord.attemptLimit_ *= 2;
      if (aRecord.attemptLimit_ >= kProbationExitLimit) {
        aRecord.state_ = HealthState::kHealthy;
        aRecord.attemptLimit_ = kNoLimit;
        aRecord.nextEjection_ = kInitialEjection;
      }
      return true;
    case HealthState::kLastResort:
      aRecord.state_ = HealthState::kHealthy;
      return true;
    default:
      return false;
  }
}

bool HealthTracker::RecordFailure(const InstanceName& aInstance,
                                  Record& aRecord,
                                  Millis aNow)
{
  ++aRecord.consecutiveFailures_;
  const bool onProbation = aRecord.state_ == HealthState::kProbation;
  if (!onProbation && aRecord.consecutiveFailures_ < kFailuresToEject) {
    return false;
  }
  Pool& pool = pools_[aRecord.service_];
  if ((pool.ejected_ + 1) * 2 > pool.size_) {
    const bool changed = aRecord.state_ != HealthState::kLastResort;
    aRecord.state_ = HealthState::kLastResort;
    aRecord.attemptLimit_ = kNoLimit;
    return changed;
  }
  ++pool.ejected_;
  aRecord.state_ = HealthState::kEjected;
  aRecord.attemptLimit_ = 0;
  aRecord.ejectedUntil_ = aNow + WithJitter(aRecord.nextEjection_);
  aRecord.nextEjection_ = std::min(aRecord.nextEjection_ * 2, kMaxEjection);
  ejectionEnds_.insert({ aRecord.ejectedUntil_, aInstance });
  return true;
}

std::vector<InstanceName> HealthTracker::EndEjections(Millis aNow)
{
  std::vector<InstanceName> ended;
  while (!ejectionEnds_.empty() && ejectionEnds_.begin()->first <= aNow) {
    const InstanceName instance = ejectionEnds_.begin()->second;
    ejectionEnds_.erase(ejectionEnds_.begin());
    Record& record = records_.at(instance);
    --pools_[record.service_].ejected_;
    record.state_ = HealthState::kProbation;
    record.attemptLimit_ = 1;
    record.consecutiveFailures_ = 0;
    ended.push_back(instance);
  }
  return ended;
}

HealthState HealthTracker::State(const InstanceName& aInstance) const
{
  const auto it = records_.find(aInstance);
  return it != records_.end() ? it->second.state_ : HealthState::kHealthy;
}

bool HealthTracker::IsSuspect(const InstanceName& aInstance) const
{
  const auto it = records_.find(aInstance);
  return it != records_.end() &&
         (it->second.state_ == HealthState::kProbation ||
          it->second.consecutiveFailures_ > 0);
}

uint32_t HealthTracker::AttemptLimit(const InstanceName& aInstance) const
{
  const auto it = records_.find(aInstance);
  return it != records_.end() ? it->second.attemptLimit_ : kNoLimit;
}

Millis HealthTracker::NextEjectionEnd() const
{
  return ejectionEnds_.empty() ? Millis::Max() : ejectionEnds_.begin()->first;
}

// Returns 75 to 125 % of the duration, so that entries do not readmit an
// upstream at the same time.
Millis HealthTracker::WithJitter(Millis aDuration)
{
  const int64_t quarter = std::max<int64_t>(aDuration.Count() / 4, 1);
  std::uniform_int_distribution<int64_t> jitter(-quarter, quarter);
  return aDuration + Millis(jitter(random_));
}

} // namespace vanillahatch
