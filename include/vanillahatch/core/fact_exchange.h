// Decides which announcements of upstreams an entry forwards to the other
// entries, and in which form, so that the traffic stays small with many
// upstreams.
//
// A first announcement, a new generation, changed properties and a departure
// are sent as a full fact in the next batch. A renewal of a fact that the
// others know is sent as an id and a sequence; it is delayed so that renewals
// share a message, and omitted if any entry has forwarded a recent one.
//
//   exchange.Receive(fact, now);                 // from an upstream
//   if (auto batch = exchange.TakeBatch(now)) {  // to every other entry
//   for (auto& fact : exchange.Apply(batch, now, unknown)) // from an entry
//
// Forwarding never extends a lease: the time that a fact waits here is deducted
// from its lease.
#pragma once

#include "vanillahatch/core/upstream.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace vanillahatch {

// A hash of instance and generation, so that a renewal of an earlier generation
// does not match a later one.
enum class RenewalId : uint64_t
{
};

struct Renewal
{
  RenewalId id_{};
  uint64_t sequence_ = 0;
};

// The facts and renewals of one message between entries.
struct FactBatch
{
  std::vector<UpstreamFact> full_;
  std::vector<Renewal> renewals_;
  Millis oldestAge_; // how long the oldest renewal has waited
};

class FactExchange
{
public:
  // Records an announcement that an upstream sent to this entry, and queues it
  // for the other entries if needed.
  void Receive(const UpstreamFact& aFact, Millis aNow);

  // Returns what is due to be sent to every other entry, if anything.
  std::optional<FactBatch> TakeBatch(Millis aNow);

  // Records another entry's batch and returns the new facts and the renewed
  // ones. Renewals of facts that are not stored are added to `aUnknown`, for
  // the reply.
  std::vector<UpstreamFact> Apply(const FactBatch& aBatch,
                                  Millis aNow,
                                  std::vector<RenewalId>& aUnknown);

  // Queues facts that another entry does not know, to be sent in full.
  void QueueFullFacts(std::span<const RenewalId> aIds, Millis aNow);

  // Removes facts that have not been announced for `kRetention`.
  void Prune(Millis aNow);

  size_t Size() const { return known_.size(); }

  static RenewalId IdOf(const UpstreamFact& aFact);

  // Delay of a renewal, so that others can share its message.
  static constexpr Millis kRenewalDelay = Millis(300);
  static constexpr Millis kRetention = Seconds(600);

private:
  // The form in which a fact waits to be sent, in ascending precedence.
  enum class Pending
  {
    kNothing,
    kRenewal,
    kFull,
  };

  struct KnownFact
  {
    UpstreamFact fact_;
    Millis lastReceivedAt_; // from the upstream or another entry
    Millis lastSharedAt_;   // by any entry
    Millis pendingSince_;
    Pending pending_ = Pending::kNothing;
  };

  void Enqueue(RenewalId aId, KnownFact& aKnown, Pending aForm, Millis aNow);
  bool IsDue(Millis aNow) const;

  std::map<RenewalId, KnownFact> known_;
  std::vector<RenewalId> pendingIds_; // in order of arrival
  bool fullPending_ = false;          // whether any pending fact is `kFull`
};

} // namespace vanillahatch
