#include "vanillahatch/core/fact_exchange.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace vanillahatch {

namespace {

// Number of times that renewals are forwarded within the duration of a lease,
// so that one lost message does not let it expire.
constexpr int64_t kRenewalsPerLease = 3;

// Whether the facts differ at most in generation, sequence and lease.
bool HasSameProperties(const UpstreamFact& aLeft, const UpstreamFact& aRight)
{
  const auto properties = [](const UpstreamFact& aFact) {
    return std::tie(aFact.service_,
                    aFact.endpoint_,
                    aFact.slots_,
                    aFact.connections_,
                    aFact.dataCentre_,
                    aFact.rack_,
                    aFact.worker_,
                    aFact.departed_);
  };
  return properties(aLeft) == properties(aRight);
}

// Deducts the age from the fact's lease.
UpstreamFact WithAgedLease(UpstreamFact aFact, Millis aAge)
{
  aFact.lease_ = std::max(Millis(0), aFact.lease_ - aAge);
  return aFact;
}

} // namespace

RenewalId FactExchange::IdOf(const UpstreamFact& aFact)
{
  const std::string& name = aFact.instance_.Str();
  return RenewalId(XXH64(name.data(), name.size(), aFact.generation_));
}

void FactExchange::Receive(const UpstreamFact& aFact, Millis aNow)
{
  const RenewalId id = IdOf(aFact);
  auto [it, isNew] = known_.try_emplace(id);
  KnownFact& known = it->second;
  if (!isNew && aFact.sequence_ <= known.fact_.sequence_) {
    return;
  }
  const bool needsFullFact = isNew || !HasSameProperties(aFact, known.fact_);
  known.fact_ = aFact;
  known.lastReceivedAt_ = aNow;
  if (needsFullFact) {
    Enqueue(id, known, Pending::kFull, aNow);
  } else if (aNow - known.lastSharedAt_ >= aFact.lease_ / kRenewalsPerLease) {
    Enqueue(id, known, Pending::kRenewal, aNow);
  }
}

std::optional<FactBatch> FactExchange::TakeBatch(Millis aNow)
{
  if (!IsDue(aNow)) {
    return std::nullopt;
  }
  FactBatch batch;
  for (const RenewalId id : std::exchange(pendingIds_, {})) {
    const auto it = known_.find(id);
    if (it == known_.end()) {
      continue;
    }
    KnownFact& known = it->second;
    const Millis age = aNow - known.pendingSince_;
    if (known.pending_ == Pending::kFull) {
      batch.full_.push_back(WithAgedLease(known.fact_, age));
    } else {
      batch.renewals_.push_back(
        Renewal{ .id_ = id, .sequence_ = known.fact_.sequence_ });
      batch.oldestAge_ = std::max(batch.oldestAge_, age);
    }
    known.pending_ = Pending::kNothing;
    known.lastSharedAt_ = aNow;
  }
  fullPending_ = false;
  return batch;
}

std::vector<UpstreamFact> FactExchange::Apply(const FactBatch& aBatch,
                                              Millis aNow,
                                              std::vector<RenewalId>& aUnknown)
{
  std::vector<UpstreamFact> facts;
  for (const UpstreamFact& fact : aBatch.full_) {
    auto [it, isNew] = known_.try_emplace(IdOf(fact));
    if (!isNew && fact.sequence_ <= it->second.fact_.sequence_) {
      continue;
    }
    it->second.fact_ = fact;
    it->second.lastReceivedAt_ = aNow;
    it->second.lastSharedAt_ = aNow;
    facts.push_back(fact);
  }
  for (const Renewal& renewal : aBatch.renewals_) {
    const auto it = known_.find(renewal.id_);
    if (it == known_.end()) {
      aUnknown.push_back(renewal.id_);
      continue;
    }
    KnownFact& known = it->second;
    if (renewal.sequence_ <= known.fact_.sequence_) {
      continue;
    }
    known.fact_.sequence_ = renewal.sequence_;
    known.lastReceivedAt_ = aNow;
    known.lastSharedAt_ = aNow;
    facts.push_back(WithAgedLease(known.fact_, aBatch.oldestAge_));
  }
  return facts;
}

void FactExchange::QueueFullFacts(std::span<const RenewalId> aIds, Millis aNow)
{
  for (const RenewalId id : aIds) {
    const auto it = known_.find(id);
    if (it != known_.end()) {
      Enqueue(id, it->second, Pending::kFull, aNow);
    }
  }
}

void FactExchange::Prune(Millis aNow)
{
  std::erase_if(known_, [aNow](const auto& aItem) {
    return aNow - aItem.second.lastReceivedAt_ >= kRetention;
  });
}

void FactExchange::Enqueue(RenewalId aId,
                           KnownFact& aKnown,
                           Pending aForm,
                           Millis aNow)
{
  // The age counts from the first announcement since the last message, so that
  // the lease sent is never too long.
  if (aKnown.pending_ == Pending::kNothing) {
    pendingIds_.push_back(aId);
    aKnown.pendingSince_ = aNow;
  }
  aKnown.pending_ = std::max(aKnown.pending_, aForm);
  fullPending_ = fullPending_ || aForm == Pending::kFull;
}

bool FactExchange::IsDue(Millis aNow) const
{
  if (fullPending_) {
    return true;
  }
  // Removed facts may remain in the list. They count as due, and `TakeBatch`
  // skips them.
  if (pendingIds_.empty()) {
    return false;
  }
  const auto oldest = known_.find(pendingIds_.front());
  return oldest == known_.end() ||
         aNow - oldest->second.pendingSince_ >= kRenewalDelay;
}

} // namespace vanillahatch
