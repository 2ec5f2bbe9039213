// The upstreams known to one entry, indexed by routing rank, so that choosing
// one with a free slot takes O(log n).
//
// The attempts on an upstream are bounded by the lowest of these limits: the
// allowance from the slot sharing between entries, the grant, and the limit
// from observed health. A draining upstream is not chosen. An abandoned attempt
// occupies its slot until `EndAbandonedAttempt`.
#pragma once

#include "vanillahatch/core/grant.h"
#include "vanillahatch/core/health_tracker.h"
#include "vanillahatch/core/routing_strategy.h"
#include "vanillahatch/core/upstream.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace vanillahatch {

// The requirements of an attempt on its upstream.
struct SlotQuery
{
  ServiceName service_;
  std::span<const InstanceName> tried_; // never chosen again
  bool repeatable_ = true;              // false excludes upstreams on probation
};

struct SlotChoice
{
  const UpstreamSlots* upstream_ = nullptr;
  uint32_t candidates_ = 0; // upstreams with a usable slot
};

class SlotTable
{
public:
  SlotTable(DataCentreName aDataCentre,
            std::unique_ptr<RoutingStrategy> aStrategy,
            bool aRequireGrants);

  // Adds or renews an upstream, whose lease expires at `aExpiresAt`.
  void Put(const UpstreamFact& aFact, Millis aExpiresAt);
  void Remove(const InstanceName& aInstance);
  void SetAllowance(const InstanceName& aInstance, uint32_t aSlots);
  void SetHealth(const InstanceName& aInstance,
                 HealthState aState,
                 uint32_t aLimit);
  void SetDraining(const InstanceName& aInstance, bool aDraining);
  void SetGrant(const Grant& aGrant);
  // Sets the round-trip time; data centres with a lower one are preferred.
  void SetLatency(const DataCentreName& aDataCentre, Millis aRoundTrip);

  // Returns the best upstream, or nothing if none has a slot for the attempt.
  std::optional<SlotChoice> Choose(const SlotQuery& aQuery, Millis aNow);

  void StartAttempt(const InstanceName& aInstance); // takes a slot
  void EndAttempt(const InstanceName& aInstance);   // frees the slot
  // The entry no longer waits for the attempt, which occupies its slot until
  // `EndAbandonedAttempt`.
  void AbandonAttempt(const InstanceName& aInstance);
  void EndAbandonedAttempt(const InstanceName& aInstance);

  const UpstreamSlots* Find(const InstanceName& aInstance) const;
  // Live upstreams of a service with a free slot that this entry may use.
  uint32_t UsableCount(const ServiceName& aService) const;
  // Live upstreams of a service, with or without a free slot.
  uint32_t LiveCount(const ServiceName& aService) const;
  Millis Latency(const DataCentreName& aDataCentre) const;
  const DataCentreName& OwnDataCentre() const { return dataCentre_; }

private:
  struct Key
  {
    uint64_t rank_ = 0;
    uint64_t id_ = 0; // upstreams of equal rank are chosen in turn
    friend auto operator<=>(const Key&, const Key&) = default;
  };

  struct Record : UpstreamSlots
  {
    std::optional<Key> key_; // in the index; empty if not indexed
  };

  using Index = std::map<Key, Record*>;

  struct Service
  {
    std::map<DataCentreName, Index> indexes_;
    uint32_t live_ = 0;
    uint32_t usable_ = 0;
  };

  struct Best
  {
    Record* record_ = nullptr;
    uint32_t penalty_ = 0;
  };

  Record& FindOrAdd(const InstanceName& aInstance);
  uint32_t FreeSlots(const Record& aRecord) const;
  void Reindex(Record& aRecord);
  void Unindex(Record& aRecord);
  void Withdraw(Record& aRecord);
  bool HasValidLeases(const Record& aRecord, Millis aNow) const;
  std::vector<DataCentreName> DataCentresByLatency(
    const Service& aService) const;
  void Scan(Index& aIndex, const SlotQuery& aQuery, Millis aNow, Best& aBest);
  uint32_t Penalty(const Record& aRecord, const SlotQuery& aQuery) const;

  // Maximum number of candidates that `Choose` examines per data centre.
  static constexpr size_t kMaxScanned = 16;

  DataCentreName dataCentre_;
  std::unique_ptr<RoutingStrategy> strategy_;
  bool requireGrants_;
  std::unordered_map<InstanceName, Record> records_;
  std::unordered_map<ServiceName, Service> services_;
  std::map<DataCentreName, Millis> latencies_;
  uint64_t nextId_ = 1;
  uint64_t choiceCount_ = 0;
};

} // namespace vanillahatch
