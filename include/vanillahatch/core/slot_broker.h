// Hands out the slots of one pool's upstreams in one data centre to entries.
//
// A deterministic state machine that one entry runs for the pool. It knows what
// every entry holds from the reports, and grants no slot twice: what it granted
// counts as held until a report that acknowledges the grant says otherwise. A
// new broker learns what is in flight in the same way, and grants nothing until
// every live entry has reported or `kWarmUp` has passed.
//
// Who gets the next slot is an allotment strategy:
// - tickets: the entry whose next job is urgent or has waited longest, at once;
// - shares: max-min fair shares of all slots by demand, renewed periodically.
#pragma once

#include "vanillahatch/core/slot_messages.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace vanillahatch {

// What the broker knows of one entry.
struct SlotHolder
{
  uint64_t reportSequence_ = 0;
  bool reported_ = false; // to this broker
  bool asked_ = false;    // by this broker, for its first report
  bool live_ = true;
  bool near_ = false; // in the pool's data centre
  Millis heardAt_;
  uint32_t waiting_ = 0;
  uint32_t urgent_ = 0;
  Millis oldestAt_; // arrival of its oldest job, on the broker's clock
  uint32_t idle_ = 0;
  uint32_t heldTotal_ = 0;
  std::map<InstanceName, uint32_t> held_;
  std::set<InstanceName> avoided_;

  struct Pending
  {
    uint64_t sequence_ = 0;
    InstanceName instance_;
    uint32_t slots_ = 0;
  };
  std::deque<Pending> pending_; // granted, not acknowledged
  uint32_t pendingTotal_ = 0;

  SlotGrant next_; // the message under construction
  SlotGrant last_; // the terms that were sent last
  Millis lastSentAt_;

  // Slots of one upstream that it holds or was granted.
  uint32_t Holds(const InstanceName& aInstance) const;
  void AddGranted(const InstanceName& aInstance);
  uint32_t Unmet() const
  {
    const uint32_t covered = idle_ + pendingTotal_;
    return waiting_ > covered ? waiting_ - covered : 0;
  }
};

using SlotHolders = std::map<NodeName, SlotHolder>;

class SlotBroker;

class AllotmentStrategy
{
public:
  virtual ~AllotmentStrategy() = default;
  virtual void Allot(SlotBroker& aBroker, Millis aNow) = 0;
};

std::unique_ptr<AllotmentStrategy> MakeTicketAllotment();
std::unique_ptr<AllotmentStrategy> MakeShareAllotment();

struct SlotBrokerOptions
{
  SlotPool pool_;
  uint64_t term_ = 1; // higher than any earlier broker's of the pool
};

class SlotBroker
{
public:
  using Outgoing = std::vector<std::pair<NodeName, SlotGrant>>;

  SlotBroker(SlotBrokerOptions aOptions,
             std::unique_ptr<AllotmentStrategy> aStrategy,
             Millis aNow);

  // No entry gets more than `aMostPerEntry` of the upstream's slots.
  void SetUpstream(const InstanceName& aInstance,
                   uint32_t aSlots,
                   uint32_t aMostPerEntry);
  void RemoveUpstream(const InstanceName& aInstance);
  // An entry that may hold slots; a dead one's are reserved for `kReserve`.
  void SetEntry(const NodeName& aEntry, bool aLive, bool aNear, Millis aNow);
  void Take(const NodeName& aFrom, const SlotReport& aReport, Millis aNow);
  // Call at least every `kTick`.
  void Tick(Millis aNow);
  // Whether jobs wait anywhere, so that the next tick matters soon.
  bool Busy() const;
  Outgoing TakeGrants() { return std::exchange(out_, {}); }

  // For allotment strategies.
  SlotHolders& Holders() { return holders_; }
  uint32_t Capacity() const { return capacity_; }
  uint32_t FreeTotal() const { return freeTotal_; }
  // Grants one slot of the upstream with the most free ones; false if none.
  bool GrantOne(SlotHolder& aHolder);

  static constexpr Millis kTick = Millis(5);
  static constexpr Millis kWarmUp = Millis(500);
  static constexpr Millis kReserve = Seconds(2);

private:
  struct Upstream
  {
    uint32_t slots_ = 0;
    uint32_t mostPerEntry_ = 0;
    uint32_t outstanding_ = 0;
    bool known_ = false; // announced; else only held by someone
  };

  void Run(Millis aNow);
  bool WarmingUp(Millis aNow) const;
  void Add(const InstanceName& aInstance, int64_t aSlots);
  void DropPending(SlotHolder& aHolder, uint64_t aUpTo);
  void DropHolder(SlotHolder& aHolder);
  // A new broker makes itself known, so that every entry reports at once.
  void AskForReports(Millis aNow);
  void Flush(Millis aNow);
  static uint32_t Free(const Upstream& aUpstream);
  void Index(const InstanceName& aInstance, const Upstream& aUpstream);
  void Unindex(const InstanceName& aInstance, const Upstream& aUpstream);

  SlotBrokerOptions options_;
  std::unique_ptr<AllotmentStrategy> strategy_;
  Millis startedAt_;
  std::map<InstanceName, Upstream> upstreams_;
  std::set<std::pair<uint32_t, InstanceName>> byFree_;
  uint32_t capacity_ = 0;
  uint32_t freeTotal_ = 0;
  SlotHolders holders_;
  uint64_t sequence_ = 0;
  Outgoing out_;
};

} // namespace vanillahatch
