// Decides which of the upstreams' announcements are passed on to the other
// entries, and in what form, so that the cost stays small with many upstreams.
//
// What is new (a first announcement, a new generation, changed properties, a
// departure) goes out whole at the next call of `TakeParcel`. Renewals of what
// the others know are only a number and a sequence, wait a moment to share a
// message, and are left out while another entry has passed a recent one on.
//
//   exchange.Hear(fact, now);                       // an upstream told us
//   if (auto parcel = exchange.TakeParcel(now)) {   // to every other entry
//   for (auto& fact : exchange.Open(parcel, now, unknown)) // from another
//
// A lease is never stretched on the way: what a parcel carries has lost the
// time that it spent waiting here.
#pragma once

#include "vanillahatch/core/upstream.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace vanillahatch {

// A hash of instance and generation: a renewal of an earlier generation never
// matches a later one.
enum class RenewalId : uint64_t
{
};

struct Renewal
{
  RenewalId id_{};
  uint64_t sequence_ = 0;
};

struct FactParcel
{
  std::vector<UpstreamFact> whole_;
  std::vector<Renewal> renewals_;
  Millis oldestAge_; // how long the oldest renewal has waited
};

class FactExchange
{
public:
  // Takes in what an upstream itself told this entry.
  void Hear(const UpstreamFact& aFact, Millis aNow);

  // What every other entry is to be sent now, if anything.
  std::optional<FactParcel> TakeParcel(Millis aNow);

  // The facts that another entry's parcel stands for. Renewals of upstreams
  // that were never seen whole are added to `aUnknown` for the answer.
  std::vector<UpstreamFact> Open(const FactParcel& aParcel,
                                 Millis aNow,
                                 std::vector<RenewalId>& aUnknown);

  // Another entry does not know these: the next parcel carries them whole.
  void SendWhole(std::span<const RenewalId> aIds, Millis aNow);

  // Drops upstreams not heard of for `kMemorySpan`.
  void Forget(Millis aNow);

  size_t Size() const { return known_.size(); }

  static RenewalId IdOf(const UpstreamFact& aFact);

  // How long renewals wait for others to share a message with.
  static constexpr Millis kRenewalWait = Millis(300);
  static constexpr Millis kMemorySpan = Seconds(600);

private:
  enum class Pending
  {
    kNothing,
    kRenewal,
    kWhole,
  };

  struct Known
  {
    UpstreamFact fact_;
    Millis touchedAt_; // when it was last heard of, from anyone
    Millis sharedAt_;  // when any entry last passed it on
    Millis pendingSince_;
    Pending pending_ = Pending::kNothing;
  };

  void Await(RenewalId aId, Known& aKnown, Pending aForm, Millis aNow);
  bool IsDue(Millis aNow) const;

  std::map<RenewalId, Known> known_;
  std::vector<RenewalId> waiting_; // in the order in which they came
  bool wholeWaits_ = false;
};

} // namespace vanillahatch
