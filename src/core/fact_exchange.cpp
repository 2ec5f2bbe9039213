#include "vanillahatch/core/fact_exchange.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace vanillahatch {

namespace {

// A renewal is passed on at least this often in the span of a lease, so that
// one lost message does not end it.
constexpr int64_t kRenewalsPerLease = 3;

bool IsSameButSequence(const UpstreamFact& aLeft, const UpstreamFact& aRight)
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

UpstreamFact Aged(UpstreamFact aFact, Millis aAge)
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

void FactExchange::Hear(const UpstreamFact& aFact, Millis aNow)
{
  const RenewalId id = IdOf(aFact);
  auto [it, isNew] = known_.try_emplace(id);
  Known& known = it->second;
  if (!isNew && aFact.sequence_ <= known.fact_.sequence_) {
    return;
  }
  const bool isNews = isNew || !IsSameButSequence(aFact, known.fact_);
  known.fact_ = aFact;
  known.touchedAt_ = aNow;
  if (isNews) {
    Await(id, known, Pending::kWhole, aNow);
  } else if (aNow - known.sharedAt_ >= aFact.lease_ / kRenewalsPerLease) {
    Await(id, known, Pending::kRenewal, aNow);
  }
}

std::optional<FactParcel> FactExchange::TakeParcel(Millis aNow)
{
  if (!IsDue(aNow)) {
    return std::nullopt;
  }
  FactParcel parcel;
  for (const RenewalId id : std::exchange(waiting_, {})) {
    const auto it = known_.find(id);
    if (it == known_.end()) {
      continue;
    }
    Known& known = it->second;
    const Millis age = aNow - known.pendingSince_;
    if (known.pending_ == Pending::kWhole) {
      parcel.whole_.push_back(Aged(known.fact_, age));
    } else {
      parcel.renewals_.push_back(
        Renewal{ .id_ = id, .sequence_ = known.fact_.sequence_ });
      parcel.oldestAge_ = std::max(parcel.oldestAge_, age);
    }
    known.pending_ = Pending::kNothing;
    known.sharedAt_ = aNow;
  }
  wholeWaits_ = false;
  return parcel;
}

std::vector<UpstreamFact> FactExchange::Open(const FactParcel& aParcel,
                                             Millis aNow,
                                             std::vector<RenewalId>& aUnknown)
{
  std::vector<UpstreamFact> facts;
  for (const UpstreamFact& fact : aParcel.whole_) {
    auto [it, isNew] = known_.try_emplace(IdOf(fact));
    if (!isNew && fact.sequence_ <= it->second.fact_.sequence_) {
      continue;
    }
    it->second.fact_ = fact;
    it->second.touchedAt_ = aNow;
    it->second.sharedAt_ = aNow;
    facts.push_back(fact);
  }
  for (const Renewal& renewal : aParcel.renewals_) {
    const auto it = known_.find(renewal.id_);
    if (it == known_.end()) {
      aUnknown.push_back(renewal.id_);
      continue;
    }
    Known& known = it->second;
    if (renewal.sequence_ <= known.fact_.sequence_) {
      continue;
    }
    known.fact_.sequence_ = renewal.sequence_;
    known.touchedAt_ = aNow;
    known.sharedAt_ = aNow;
    facts.push_back(Aged(known.fact_, aParcel.oldestAge_));
  }
  return facts;
}

void FactExchange::SendWhole(std::span<const RenewalId> aIds, Millis aNow)
{
  for (const RenewalId id : aIds) {
    const auto it = known_.find(id);
    if (it != known_.end()) {
      Await(id, it->second, Pending::kWhole, aNow);
    }
  }
}

void FactExchange::Forget(Millis aNow)
{
  std::erase_if(known_, [aNow](const auto& aItem) {
    return aNow - aItem.second.touchedAt_ >= kMemorySpan;
  });
}

void FactExchange::Await(RenewalId aId,
                         Known& aKnown,
                         Pending aForm,
                         Millis aNow)
{
  // The lease counts from when the newest of a waiting fact was heard.
  if (aKnown.pending_ == Pending::kNothing) {
    waiting_.push_back(aId);
    aKnown.pendingSince_ = aNow;
  }
  aKnown.pending_ = std::max(aKnown.pending_, aForm);
  wholeWaits_ = wholeWaits_ || aForm == Pending::kWhole;
}

bool FactExchange::IsDue(Millis aNow) const
{
  if (wholeWaits_) {
    return true;
  }
  // Forgotten upstreams may still be listed; they count as due and are passed
  // over when the parcel is packed.
  if (waiting_.empty()) {
    return false;
  }
  const auto oldest = known_.find(waiting_.front());
  return oldest == known_.end() ||
         aNow - oldest->second.pendingSince_ >= kRenewalWait;
}

} // namespace vanillahatch
