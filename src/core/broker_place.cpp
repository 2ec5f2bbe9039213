#include "vanillahatch/core/broker_place.h"

#include <algorithm>
#include <xxhash.h>

namespace vanillahatch {

namespace {

uint64_t Rank(const SlotPool& aPool, const NodeName& aEntry)
{
  const std::string text =
    aPool.service_.Str() + '\n' + aPool.dataCentre_.Str() + '\n' + aEntry.Str();
  return XXH64(text.data(), text.size(), 0);
}

} // namespace

BrokerPlace::BrokerPlace(NodeName aSelf, std::span<const PeerEntry> aEntries)
  : self_(std::move(aSelf))
  , entries_(aEntries.begin(), aEntries.end())
{
}

void BrokerPlace::Start(Millis aNow)
{
  for (const PeerEntry& entry : entries_) {
    states_[entry.name_] = { .heardAt_ = aNow, .live_ = true };
  }
}

void BrokerPlace::Heard(const NodeName& aEntry, Millis aNow)
{
  const auto it = states_.find(aEntry);
  if (it != states_.end()) {
    it->second.heardAt_ = aNow;
  }
}

bool BrokerPlace::Update(Millis aNow)
{
  bool changed = false;
  for (auto& [name, state] : states_) {
    const bool live = name == self_ || aNow - state.heardAt_ < kLease;
    changed |= live != state.live_;
    state.live_ = live;
  }
  return changed;
}

bool BrokerPlace::IsLive(const NodeName& aEntry) const
{
  const auto it = states_.find(aEntry);
  return it != states_.end() && it->second.live_;
}

NodeName BrokerPlace::BrokerOf(const SlotPool& aPool) const
{
  const PeerEntry* best = nullptr;
  auto order = [&](const PeerEntry& aEntry) {
    const bool near = aEntry.dataCentre_ == aPool.dataCentre_;
    return std::pair(near, Rank(aPool, aEntry.name_));
  };
  for (const PeerEntry& entry : entries_) {
    const bool better = best == nullptr || order(entry) > order(*best);
    if (IsLive(entry.name_) && better) {
      best = &entry;
    }
  }
  return best != nullptr ? best->name_ : self_;
}

bool BrokerPlace::InDataCentre(const NodeName& aEntry,
                               const DataCentreName& aDataCentre) const
{
  return std::any_of(
    entries_.begin(), entries_.end(), [&](const PeerEntry& aOne) {
      return aOne.name_ == aEntry && aOne.dataCentre_ == aDataCentre;
    });
}

uint32_t BrokerPlace::EntriesIn(const DataCentreName& aDataCentre) const
{
  return static_cast<uint32_t>(
    std::count_if(entries_.begin(), entries_.end(), [&](const PeerEntry& aOne) {
      return aOne.dataCentre_ == aDataCentre;
    }));
}

} // namespace vanillahatch
