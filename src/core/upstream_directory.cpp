#include "vanillahatch/core/upstream_directory.h"

#include <tuple>

namespace vanillahatch {

bool UpstreamDirectory::Apply(const UpstreamFact& aFact, Millis aNow)
{
  auto [it, isNew] = entries_.try_emplace(aFact.instance_);
  Entry& entry = it->second;
  if (!isNew) {
    const auto stored =
      std::tie(entry.fact_.generation_, entry.fact_.sequence_);
    const auto received = std::tie(aFact.generation_, aFact.sequence_);
    if (received <= stored) {
      return false;
    }
    const bool sameGeneration = aFact.generation_ == entry.fact_.generation_;
    if (sameGeneration && entry.fact_.departed_) {
      return false;
    }
  }
  if (isNew) {
    ++instanceCounts_[aFact.service_];
  }
  entry.fact_ = aFact;
  entry.expiresAt_ = aNow + aFact.lease_;
  entry.removeAt_ = entry.expiresAt_ + kTombstoneSpan;
  return true;
}

std::vector<InstanceName> UpstreamDirectory::Expire(Millis aNow)
{
  std::vector<InstanceName> expired;
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& entry = it->second;
    if (!entry.fact_.departed_ && aNow >= entry.expiresAt_) {
      // An expired lease is a departure of this generation: a later renewal of
      // it is ignored.
      entry.fact_.departed_ = true;
      expired.push_back(it->first);
    }
    if (aNow >= entry.removeAt_) {
      --instanceCounts_[entry.fact_.service_];
      it = entries_.erase(it);
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
  for (const auto& [instance, entry] : entries_) {
    if (entry.fact_.service_ == aService && IsLive(entry, aNow)) {
      live.push_back(&entry.fact_);
    }
  }
  return live;
}

const UpstreamFact* UpstreamDirectory::Find(const InstanceName& aInstance,
                                            Millis aNow) const
{
  const auto it = entries_.find(aInstance);
  if (it == entries_.end() || !IsLive(it->second, aNow)) {
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
  for (const auto& [instance, entry] : entries_) {
    count += IsLive(entry, aNow) ? 1 : 0;
  }
  return count;
}

void UpstreamDirectory::ForEachLive(
  Millis aNow,
  const std::function<void(const UpstreamFact&)>& aVisit) const
{
  for (const auto& [instance, entry] : entries_) {
    if (IsLive(entry, aNow)) {
      aVisit(entry.fact_);
    }
  }
}

bool UpstreamDirectory::IsLive(const Entry& aEntry, Millis aNow)
{
  return !aEntry.fact_.departed_ && aNow < aEntry.expiresAt_;
}

} // namespace vanillahatch
