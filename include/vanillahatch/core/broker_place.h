// Where the broker of each pool stands: a rule that every entry works out for
// itself from the entries it has heard lately.
//
// The live entries of the pool's data centre, or all live ones if it has none,
// are ranked by a hash of pool and name, so that the places are spread and a
// death moves only the dead entry's own pools. An entry that was not heard for
// `kLease` loses its places; that is the longest gap.
#pragma once

#include "vanillahatch/core/slot_sharing.h"

#include <map>
#include <span>

namespace vanillahatch {

class BrokerPlace
{
public:
  BrokerPlace(NodeName aSelf, std::span<const PeerEntry> aEntries);

  // All entries count as heard at the start.
  void Start(Millis aNow);
  void Heard(const NodeName& aEntry, Millis aNow);
  // Returns whether the set of live entries changed.
  bool Update(Millis aNow);

  bool IsLive(const NodeName& aEntry) const;
  NodeName BrokerOf(const SlotPool& aPool) const;
  bool InDataCentre(const NodeName& aEntry,
                    const DataCentreName& aDataCentre) const;
  uint32_t EntriesIn(const DataCentreName& aDataCentre) const;
  std::span<const PeerEntry> Entries() const { return entries_; }

  static constexpr Millis kBeat = Millis(300);
  static constexpr Millis kLease = Millis(1000);

private:
  struct State
  {
    Millis heardAt_;
    bool live_ = true;
  };

  NodeName self_;
  std::vector<PeerEntry> entries_;
  std::map<NodeName, State> states_;
};

} // namespace vanillahatch
