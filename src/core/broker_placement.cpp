#include "vanillahatch/core/broker_placement.h"

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

BrokerPlacement::BrokerPlacement(NodeName aSelf,
                                 std::span<const PeerEntry> aEntries)
  : self_(std::move(aSelf))
  , entries_(aEntries.begin(), aEntries.end())
{
}

void BrokerPlacement::Start(Millis aNow)
{
  for (const PeerEntry& entry : entries_) {
    states_[entry.name_] = { .lastContactAt_ = aNow, .live_ = true };
  }
}

void BrokerPlacement::RecordContact(const NodeName& aEntry, Millis aNow)
{
  const auto it = states_.find(aEntry);
  if (it != states_.end()) {
    it->second.lastContactAt_ = aNow;
  }
}

bool BrokerPlacement::UpdateLiveness(Millis aNow)
{
  bool changed = false;
  for (auto& [name, state] : states_) {
    const bool live =
      name == self_ || aNow - state.lastContactAt_ < kLivenessTimeout;
    changed |= live != state.live_;
    state.live_ = live;
  }
  return changed;
}

bool BrokerPlacement::IsLive(const NodeName& aEntry) const
{
  const auto it = states_.find(aEntry);
  return it != states_.end() && it->second.live_;
}

NodeName BrokerPlacement::BrokerOf(const SlotPool& aPool) const
{
  const PeerEntry* best = nullptr;
  auto rankOf = [&](const PeerEntry& aEntry) {
    const bool isLocal = aEntry.dataCentre_ == aPool.dataCentre_;
    return std::pair(isLocal, Rank(aPool, aEntry.name_));
  };
  for (const PeerEntry& entry : entries_) {
    const bool ranksHigher = best == nullptr || rankOf(entry) > rankOf(*best);
    if (IsLive(entry.name_) && ranksHigher) {
      best = &entry;
    }
  }
  return best != nullptr ? best->name_ : self_;
}

bool BrokerPlacement::InDataCentre(const NodeName& aEntry,
                                   const DataCentreName& aDataCentre) const
{
  return std::any_of(
    entries_.begin(), entries_.end(), [&](const PeerEntry& aPeer) {
      return aPeer.name_ == aEntry && aPeer.dataCentre_ == aDataCentre;
    });
}

uint32_t BrokerPlacement::CountEntriesIn(
  const DataCentreName& aDataCentre) const
{
  return static_cast<uint32_t>(std::count_if(
    entries_.begin(), entries_.end(), [&](const PeerEntry& aPeer) {
      return aPeer.dataCentre_ == aDataCentre;
    }));
}

} // namespace vanillahatch
