// Chooses the entry that runs the slot broker of each pool. Every entry
// computes the choice on its own, from the entries that are live.
//
// The live entries of the pool's data centre, or all live entries if it has
// none, are ranked by a hash of the pool and the entry's name (rendezvous
// hashing). This spreads the brokers over the entries, and the failure of an
// entry moves only the brokers that it ran. An entry without contact for
// `kLivenessTimeout` counts as failed, so a pool is without a broker for at
// most about that long.
#pragma once

#include "vanillahatch/core/slot_sharing.h"

#include <map>
#include <span>

namespace vanillahatch {

class BrokerPlacement
{
public:
  BrokerPlacement(NodeName aSelf, std::span<const PeerEntry> aEntries);

  // Treats all entries as live at the start.
  void Start(Millis aNow);
  // Records a message of the entry.
  void RecordContact(const NodeName& aEntry, Millis aNow);
  // Recomputes which entries are live; returns whether any has changed.
  bool UpdateLiveness(Millis aNow);

  bool IsLive(const NodeName& aEntry) const;
  NodeName BrokerOf(const SlotPool& aPool) const;
  bool InDataCentre(const NodeName& aEntry,
                    const DataCentreName& aDataCentre) const;
  uint32_t CountEntriesIn(const DataCentreName& aDataCentre) const;
  std::span<const PeerEntry> Entries() const { return entries_; }

  static constexpr Millis kHeartbeatInterval = Millis(300);
  static constexpr Millis kLivenessTimeout = Millis(1000);

private:
  struct State
  {
    Millis lastContactAt_;
    bool live_ = true;
  };

  NodeName self_;
  std::vector<PeerEntry> entries_;
  std::map<NodeName, State> states_;
};

} // namespace vanillahatch
