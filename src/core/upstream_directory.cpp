#include "vanillahatch/core/upstream_directory.h"

#include <tuple>

namespace vanillahatch {

bool UpstreamDirectory::Apply(const UpstreamFact& aFact, Millis aNow)
{
  auto [it, isNew] = records_.try_emplace(aFact.instance_);
  Record& record = it->second;
  if (!isNew) {
    const auto stored =
      std::tie(record.fact_.generation_, record.fact_.sequence_);
    const auto received = std::tie(aFact.generation_, aFact.sequence_);
    if (received <= stored) {
      return false;
    }
    const bool sameGeneration = aFact.generation_ == record.fact_.generation_;
    if (sameGeneration && record.fact_.departed_) {
      return false;
    }
  }
  if (!isNew) {
    --instanceCounts_[record.fact_.service_];
  }
  ++instanceCounts_[aFact.service_];
  record.fact_ = aFact;
  record.expiresAt_ = aNow + aFact.lease_;
  record.removeAt_ = record.expiresAt_ + kTombstoneSpan;
  return true;
}

std::vector<InstanceName> UpstreamDirectory::Expire(Millis aNow)
{
  std::vector<InstanceName> expired;
  for (auto it = records_.begin(); it != records_.end();) {
    Record& record = it->second;
    if (!record.fact_.departed_ && aNow >= record.expiresAt_) {
      // An expired lease is a departure of this generation: a later renewal of
      // it is ignored.
      record.fact_.departed_ = true;
      expired.push_back(it->first);
    }
    if (aNow >= record.removeAt_) {
      --instanceCounts_[record.fact_.service_];
      it = records_.erase(it);
    } else {
      ++it;
    }
  }
  return expired;
}

std::vector<const UpstreamFact*> UpstreamDirectory::Live(
  const ServiceName& aService,
  Millis aNow) const
{
  std::vector<const UpstreamFact*> live;
  for (const auto& [instance, record] : records_) {
    if (record.fact_.service_ == aService && IsLive(record, aNow)) {
      live.push_back(&record.fact_);
    }
  }
  return live;
}

const UpstreamFact* UpstreamDirectory::Find(const InstanceName& aInstance,
                                            Millis aNow) const
{
  const auto it = records_.find(aInstance);
  if (it == records_.end() || !IsLive(it->second, aNow)) {
    return nullptr;
  }
  return &it->second.fact_;
}

bool UpstreamDirectory::HasService(const ServiceName& aService) const
{
  const auto it = instanceCounts_.find(aService);
  return it != instanceCounts_.end() && it->second > 0;
}

size_t UpstreamDirectory::LiveCount(Millis aNow) const
{
  size_t count = 0;
  for (const auto& [instance, record] : records_) {
    count += IsLive(record, aNow) ? 1 : 0;
  }
  return count;
}

void UpstreamDirectory::ForEachLive(
  Millis aNow,
  const std::function<void(const UpstreamFact&)>& aVisit) const
{
  for (const auto& [instance, record] : records_) {
    if (IsLive(record, aNow)) {
      aVisit(record.fact_);
    }
  }
}

bool UpstreamDirectory::IsLive(const Record& aRecord, Millis aNow)
{
  return !aRecord.fact_.departed_ && aNow < aRecord.expiresAt_;
}

} // namespace vanillahatch
