#include "vanillahatch/core/upstream_directory.h"

#include <tuple>

namespace vanillahatch {

bool UpstreamDirectory::Apply(const UpstreamFact& aFact, Millis aNow)
{
  auto [it, isNew] = entries_.try_emplace(aFact.instance_);
  Entry& entry = it->second;
  if (!isNew) {
    const auto held = std::tie(entry.fact_.generation_, entry.fact_.sequence_);
    const auto told = std::tie(aFact.generation_, aFact.sequence_);
    if (told <= held) {
      return false;
    }
    const bool sameStart = aFact.generation_ == entry.fact_.generation_;
    if (sameStart && entry.fact_.departed_) {
      return false;
    }
  }
  if (isNew) {
    ++known_[aFact.service_];
  }
  entry.fact_ = aFact;
  entry.expiresAt_ = aNow + aFact.lease_;
  entry.forgetAt_ = entry.expiresAt_ + kTombstoneSpan;
  return true;
}

std::vector<InstanceName> UpstreamDirectory::Expire(Millis aNow)
{
  std::vector<InstanceName> gone;
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& entry = it->second;
    if (!entry.fact_.departed_ && aNow >= entry.expiresAt_) {
      // Silence is a departure of this generation.
      entry.fact_.departed_ = true;
      gone.push_back(it->first);
    }
    if (aNow >= entry.forgetAt_) {
      --known_[entry.fact_.service_];
      it = entries_.erase(it);
    } else {
      ++it;
    }
  }
  return gone;
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
  const auto it = known_.find(aService);
  return it != known_.end() && it->second > 0;
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
