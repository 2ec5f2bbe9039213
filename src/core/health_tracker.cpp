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
    ends_.erase({ it->second.endsAt_, aInstance });
  }
  if (--pool->second.size_ == 0) {
    pools_.erase(pool);
  }
  records_.erase(it);
}

bool HealthTracker::Note(const InstanceName& aInstance,
                         AttemptOutcome aOutcome,
                         Millis aNow)
{
  const auto it = records_.find(aInstance);
  if (it == records_.end() || it->second.state_ == HealthState::kEjected) {
    // Attempts begun before the ejection tell nothing new.
    return false;
  }
  if (aOutcome == AttemptOutcome::kSuccess) {
    return NoteSuccess(it->second);
  }
  return NoteFailure(aInstance, it->second, aNow);
}

bool HealthTracker::NoteSuccess(Record& aRecord)
{
  aRecord.failures_ = 0;
  switch (aRecord.state_) {
    case HealthState::kProbation:
      aRecord.limit_ *= 2;
      if (aRecord.limit_ >= kProbationEndsAt) {
        aRecord.state_ = HealthState::kHealthy;
        aRecord.limit_ = kNoLimit;
        aRecord.ejection_ = kFirstEjection;
      }
      return true;
    case HealthState::kLastResort:
      aRecord.state_ = HealthState::kHealthy;
      return true;
    default:
      return false;
  }
}

bool HealthTracker::NoteFailure(const InstanceName& aInstance,
                                Record& aRecord,
                                Millis aNow)
{
  ++aRecord.failures_;
  const bool onProbation = aRecord.state_ == HealthState::kProbation;
  if (!onProbation && aRecord.failures_ < kFailuresToEject) {
    return false;
  }
  Pool& pool = pools_[aRecord.service_];
  if ((pool.ejected_ + 1) * 2 > pool.size_) {
    const bool changed = aRecord.state_ != HealthState::kLastResort;
    aRecord.state_ = HealthState::kLastResort;
    aRecord.limit_ = kNoLimit;
    return changed;
  }
  ++pool.ejected_;
  aRecord.state_ = HealthState::kEjected;
  aRecord.limit_ = 0;
  aRecord.endsAt_ = aNow + Jittered(aRecord.ejection_);
  aRecord.ejection_ = std::min(aRecord.ejection_ * 2, kLongestEjection);
  ends_.insert({ aRecord.endsAt_, aInstance });
  return true;
}

std::vector<InstanceName> HealthTracker::EndEjections(Millis aNow)
{
  std::vector<InstanceName> ended;
  while (!ends_.empty() && ends_.begin()->first <= aNow) {
    const InstanceName instance = ends_.begin()->second;
    ends_.erase(ends_.begin());
    Record& record = records_.at(instance);
    --pools_[record.service_].ejected_;
    record.state_ = HealthState::kProbation;
    record.limit_ = 1;
    record.failures_ = 0;
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
          it->second.failures_ > 0);
}

uint32_t HealthTracker::Limit(const InstanceName& aInstance) const
{
  const auto it = records_.find(aInstance);
  return it != records_.end() ? it->second.limit_ : kNoLimit;
}

Millis HealthTracker::NextChange() const
{
  return ends_.empty() ? Millis::Max() : ends_.begin()->first;
}

// Between three quarters and five quarters of the span, so that entries do not
// let an upstream back in all at once.
Millis HealthTracker::Jittered(Millis aSpan)
{
  const int64_t quarter = std::max<int64_t>(aSpan.Count() / 4, 1);
  std::uniform_int_distribution<int64_t> spread(-quarter, quarter);
  return aSpan + Millis(spread(random_));
}

} // namespace vanillahatch
