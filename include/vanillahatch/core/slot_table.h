// The upstreams as one entry sees them at a decision: which have a slot that
// this entry may use now, indexed so that a choice costs O(log n).
//
// Four sources bound the attempts on an upstream, and the least one counts:
// the allowance that the sharing between entries gives, the grant, the limit
// by observed health, and the planner's drain. An abandoned attempt goes on
// occupying its slot until it is told to be over.
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

// What an attempt needs of its upstream.
struct SlotQuery
{
  ServiceName service_;
  std::span<const InstanceName> tried_; // never chosen again
  bool repeatable_ = true;              // else none on probation
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

  // Takes a new or renewed upstream in; its lease ends at `aExpiresAt`.
  void Put(const UpstreamFact& aFact, Millis aExpiresAt);
  void Remove(const InstanceName& aInstance);
  void SetAllowance(const InstanceName& aInstance, uint32_t aSlots);
  void SetHealth(const InstanceName& aInstance,
                 HealthState aState,
                 uint32_t aLimit);
  void SetDraining(const InstanceName& aInstance, bool aDraining);
  void SetGrant(const Grant& aGrant);
  // Round trip to a data centre; the nearer ones are chosen first.
  void SetLatency(const DataCentreName& aDataCentre, Millis aRoundTrip);

  // The best upstream, or nothing if none has a slot for this attempt.
  std::optional<SlotChoice> Choose(const SlotQuery& aQuery, Millis aNow);

  void Begin(const InstanceName& aInstance);   // an attempt takes a slot
  void End(const InstanceName& aInstance);     // and gives it back
  void Abandon(const InstanceName& aInstance); // given up, slot still taken
  void EndAbandoned(const InstanceName& aInstance);

  const UpstreamSlots* Find(const InstanceName& aInstance) const;
  // Live upstreams of a service, with a slot or without.
  uint32_t UsableCount(const ServiceName& aService) const;
  uint32_t LiveCount(const ServiceName& aService) const;
  Millis Latency(const DataCentreName& aDataCentre) const;
  const DataCentreName& OwnDataCentre() const { return dataCentre_; }

private:
  struct Key
  {
    uint64_t rank_ = 0;
    uint64_t id_ = 0; // equal ranks are used in turn
    friend auto operator<=>(const Key&, const Key&) = default;
  };

  struct Record : UpstreamSlots
  {
    std::optional<Key> key_; // where the index holds it
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

  Record& Get(const InstanceName& aInstance);
  uint32_t Free(const Record& aRecord) const;
  void Reindex(Record& aRecord);
  void Unindex(Record& aRecord);
  void Retire(Record& aRecord);
  bool InForce(const Record& aRecord, Millis aNow) const;
  std::vector<DataCentreName> ByLatency(const Service& aService) const;
  void Scan(Index& aIndex, const SlotQuery& aQuery, Millis aNow, Best& aBest);
  uint32_t Penalty(const Record& aRecord, const SlotQuery& aQuery) const;

  // Candidates looked at in one data centre before the best of them is taken.
  static constexpr size_t kMostScanned = 16;

  DataCentreName dataCentre_;
  std::unique_ptr<RoutingStrategy> strategy_;
  bool requireGrants_;
  std::unordered_map<InstanceName, Record> records_;
  std::unordered_map<ServiceName, Service> services_;
  std::map<DataCentreName, Millis> latencies_;
  uint64_t nextId_ = 1;
  uint64_t picks_ = 0;
};

} // namespace vanillahatch
