#include "vanillahatch/core/slot_table.h"

#include <algorithm>

namespace vanillahatch {

namespace {

constexpr Millis kDefaultLatency = Millis(10); // until measured

// Penalties of a candidate; the lowest sum is chosen. The first two apply to a
// candidate in the data centre or rack of an upstream already tried.
constexpr uint32_t kSameDataCentrePenalty = 1;
constexpr uint32_t kSameRackPenalty = 2;
constexpr uint32_t kLastResortPenalty = 4;

} // namespace

SlotTable::SlotTable(DataCentreName aDataCentre,
                     std::unique_ptr<RoutingStrategy> aStrategy,
                     bool aRequireGrants)
  : dataCentre_(std::move(aDataCentre))
  , strategy_(std::move(aStrategy))
  , requireGrants_(aRequireGrants)
{
}

void SlotTable::Put(const UpstreamFact& aFact, Millis aExpiresAt)
{
  Record& record = FindOrAdd(aFact.instance_);
  if (aFact.departed_) {
    Withdraw(record);
    record.fact_ = aFact;
    return;
  }
  if (record.live_ && record.fact_.service_ == aFact.service_ &&
      record.fact_.dataCentre_ == aFact.dataCentre_) {
    record.fact_ = aFact;
    record.expiresAt_ = aExpiresAt;
    Reindex(record);
    return;
  }
  Withdraw(record);
  record.fact_ = aFact;
  record.expiresAt_ = aExpiresAt;
  record.live_ = true;
  ++services_[aFact.service_].live_;
  Reindex(record);
}

void SlotTable::Remove(const InstanceName& aInstance)
{
  const auto it = records_.find(aInstance);
  if (it == records_.end()) {
    return;
  }
  Withdraw(it->second);
  const bool hasSettings = it->second.draining_ || it->second.grant_;
  if (it->second.Used() == 0 && !hasSettings) {
    records_.erase(it);
  }
}

// Removes the upstream from the index; attempts in flight stay counted.
void SlotTable::Withdraw(Record& aRecord)
{
  if (!aRecord.live_) {
    return;
  }
  Unindex(aRecord);
  aRecord.live_ = false;
  --services_.at(aRecord.fact_.service_).live_;
}

SlotTable::Record& SlotTable::FindOrAdd(const InstanceName& aInstance)
{
  return records_[aInstance];
}

void SlotTable::SetAllowance(const InstanceName& aInstance, uint32_t aSlots)
{
  const auto it = records_.find(aInstance);
  if (it == records_.end()) {
    return;
  }
  Record& record = it->second;
  record.allowance_ = aSlots;
  Reindex(record);
}

void SlotTable::SetHealth(const InstanceName& aInstance,
                          HealthState aState,
                          uint32_t aLimit)
{
  const auto it = records_.find(aInstance);
  if (it == records_.end()) {
    return;
  }
  Record& record = it->second;
  record.health_ = aState;
  record.healthLimit_ = aLimit;
  Reindex(record);
}

void SlotTable::SetDraining(const InstanceName& aInstance, bool aDraining)
{
  Record& record = FindOrAdd(aInstance);
  record.draining_ = aDraining;
  Reindex(record);
}

void SlotTable::SetGrant(const Grant& aGrant)
{
  Record& record = FindOrAdd(aGrant.instance_);
  if (!record.grant_ || aGrant.epoch_ >= record.grant_->epoch_) {
    record.grant_ = aGrant;
    Reindex(record);
  }
}

void SlotTable::SetLatency(const DataCentreName& aDataCentre, Millis aRoundTrip)
{
  latencies_[aDataCentre] = aRoundTrip;
}

Millis SlotTable::Latency(const DataCentreName& aDataCentre) const
{
  if (aDataCentre == dataCentre_) {
    return Millis(0);
  }
  const auto it = latencies_.find(aDataCentre);
  return it != latencies_.end() ? it->second : kDefaultLatency;
}

uint32_t SlotTable::FreeSlots(const Record& aRecord) const
{
  uint32_t limit = std::min(aRecord.allowance_, aRecord.healthLimit_);
  if (requireGrants_) {
    const uint32_t granted =
      aRecord.grant_
        ? std::min(aRecord.grant_->slots_, aRecord.grant_->connections_)
        : 0;
    limit = std::min(limit, granted);
  }
  const uint32_t used = aRecord.Used();
  return limit > used ? limit - used : 0;
}

void SlotTable::Unindex(Record& aRecord)
{
  if (!aRecord.key_) {
    return;
  }
  Service& service = services_.at(aRecord.fact_.service_);
  service.indexes_.at(aRecord.fact_.dataCentre_).erase(*aRecord.key_);
  --service.usable_;
  aRecord.key_.reset();
}

void SlotTable::Reindex(Record& aRecord)
{
  Unindex(aRecord);
  if (!aRecord.live_ || aRecord.draining_ || FreeSlots(aRecord) == 0) {
    return;
  }
  aRecord.key_ = Key{ .rank_ = strategy_->Rank(aRecord), .id_ = nextId_++ };
  Service& service = services_[aRecord.fact_.service_];
  service.indexes_[aRecord.fact_.dataCentre_][*aRecord.key_] = &aRecord;
  ++service.usable_;
}

bool SlotTable::HasValidLeases(const Record& aRecord, Millis aNow) const
{
  const bool granted =
    !requireGrants_ || (aRecord.grant_ && aNow < aRecord.grant_->expiresAt_);
  return granted && aNow < aRecord.expiresAt_;
}

std::optional<SlotChoice> SlotTable::Choose(const SlotQuery& aQuery,
                                            Millis aNow)
{
  const auto service = services_.find(aQuery.service_);
  if (service == services_.end()) {
    return std::nullopt;
  }
  Best best;
  for (const DataCentreName& dataCentre :
       DataCentresByLatency(service->second)) {
    Scan(service->second.indexes_.at(dataCentre), aQuery, aNow, best);
    if (best.record_ != nullptr && best.penalty_ == 0) {
      break;
    }
  }
  if (best.record_ == nullptr) {
    return std::nullopt;
  }
  return SlotChoice{ .upstream_ = best.record_,
                     .candidates_ = service->second.usable_ };
}

std::vector<DataCentreName> SlotTable::DataCentresByLatency(
  const Service& aService) const
{
  std::vector<DataCentreName> dataCentres;
  for (const auto& [dataCentre, index] : aService.indexes_) {
    if (!index.empty()) {
      dataCentres.push_back(dataCentre);
    }
  }
  std::stable_sort(dataCentres.begin(),
                   dataCentres.end(),
                   [&](const auto& aLeft, const auto& aRight) {
                     return Latency(aLeft) < Latency(aRight);
                   });
  return dataCentres;
}

void SlotTable::Scan(Index& aIndex,
                     const SlotQuery& aQuery,
                     Millis aNow,
                     Best& aBest)
{
  size_t scanned = 0;
  for (auto it = aIndex.begin(); it != aIndex.end();) {
    Record& record = *(it++)->second;
    if (!HasValidLeases(record, aNow)) {
      // A renewal of the lease or the grant adds it to the index again.
      Unindex(record);
      continue;
    }
    if (++scanned > kMaxScanned) {
      return;
    }
    const bool tried = std::find(aQuery.tried_.begin(),
                                 aQuery.tried_.end(),
                                 record.fact_.instance_) != aQuery.tried_.end();
    const bool excludedOnProbation =
      !aQuery.repeatable_ && record.health_ == HealthState::kProbation;
    if (tried || excludedOnProbation) {
      continue;
    }
    const uint32_t penalty = Penalty(record, aQuery);
    if (aBest.record_ == nullptr || penalty < aBest.penalty_) {
      aBest = { .record_ = &record, .penalty_ = penalty };
    }
    if (aBest.penalty_ == 0) {
      return;
    }
  }
}

uint32_t SlotTable::Penalty(const Record& aRecord,
                            const SlotQuery& aQuery) const
{
  uint32_t penalty =
    aRecord.health_ == HealthState::kLastResort ? kLastResortPenalty : 0;
  for (const InstanceName& tried : aQuery.tried_) {
    const UpstreamSlots* other = Find(tried);
    if (other == nullptr ||
        other->fact_.dataCentre_ != aRecord.fact_.dataCentre_) {
      continue;
    }
    const bool sameRack = other->fact_.rack_ == aRecord.fact_.rack_;
    penalty |= kSameDataCentrePenalty | (sameRack ? kSameRackPenalty : 0);
  }
  return penalty;
}

void SlotTable::StartAttempt(const InstanceName& aInstance)
{
  Record& record = FindOrAdd(aInstance);
  ++record.inFlight_;
  record.lastChoiceIndex_ = ++choiceCount_;
  Reindex(record);
}

void SlotTable::EndAttempt(const InstanceName& aInstance)
{
  Record& record = FindOrAdd(aInstance);
  --record.inFlight_;
  Reindex(record);
}

void SlotTable::AbandonAttempt(const InstanceName& aInstance)
{
  Record& record = FindOrAdd(aInstance);
  --record.inFlight_;
  ++record.abandoned_;
}

void SlotTable::EndAbandonedAttempt(const InstanceName& aInstance)
{
  Record& record = FindOrAdd(aInstance);
  --record.abandoned_;
  Reindex(record);
}

const UpstreamSlots* SlotTable::Find(const InstanceName& aInstance) const
{
  const auto it = records_.find(aInstance);
  return it != records_.end() ? &it->second : nullptr;
}

uint32_t SlotTable::UsableCount(const ServiceName& aService) const
{
  const auto it = services_.find(aService);
  return it != services_.end() ? it->second.usable_ : 0;
}

uint32_t SlotTable::LiveCount(const ServiceName& aService) const
{
  const auto it = services_.find(aService);
  return it != services_.end() ? it->second.live_ : 0;
}

} // namespace vanillahatch
