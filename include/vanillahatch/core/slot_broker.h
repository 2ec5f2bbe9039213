// Allocates the slots of one pool's upstreams in one data centre to entries.
//
// A deterministic state machine that one entry runs for the pool. The entries
// report which slots they hold. No slot is granted twice: a granted slot counts
// as held until a report that acknowledges the grant no longer lists it. A new
// broker grants nothing until every live entry has reported or `kWarmUpTimeout`
// has passed, since it does not know which slots are held.
//
// An allocation strategy decides which entry gets the next slot:
// - on demand: immediately, to the entry with an urgent job or the longest
// wait;
// - fair share: periodic max-min fair shares of all slots by demand.
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

// The broker's record of one entry.
struct SlotHolder
{
  uint64_t reportSequence_ = 0;
  bool reported_ = false;        // has reported to this broker
  bool reportRequested_ = false; // this broker has requested its first report
  bool live_ = true;
  bool isLocal_ = false; // the entry is in the pool's data centre
  Millis lastContactAt_;
  uint32_t waiting_ = 0;   // waiting jobs
  uint32_t urgent_ = 0;    // urgent jobs among them
  Millis oldestArrivedAt_; // of the waiting jobs, on the broker's clock
  uint32_t idle_ = 0;      // held slots that no attempt uses
  uint32_t heldTotal_ = 0;
  std::map<InstanceName, uint32_t> held_;
  std::set<InstanceName> avoided_;

  struct Pending
  {
    uint64_t sequence_ = 0;
    InstanceName instance_;
    uint32_t slots_ = 0;
  };
  std::deque<Pending> pending_; // sent, but not acknowledged
  uint32_t pendingTotal_ = 0;   // slots in `pending_` and in `nextGrant_`

  SlotGrant nextGrant_; // the message being built
  SlotGrant lastGrant_; // the message sent last
  Millis lastSentAt_;

  // Slots of one upstream that it holds or has been granted.
  uint32_t SlotsOn(const InstanceName& aInstance) const;
  void AddGranted(const InstanceName& aInstance);
  // Waiting jobs for which it has neither an idle nor a granted slot.
  uint32_t UnmetDemand() const
  {
    const uint32_t covered = idle_ + pendingTotal_;
    return waiting_ > covered ? waiting_ - covered : 0;
  }
};

using SlotHolders = std::map<NodeName, SlotHolder>;

class SlotBroker;

class AllocationStrategy
{
public:
  virtual ~AllocationStrategy() = default;
  // Builds the next grant of each holder: slots by `GrantOne`, and the limits.
  virtual void Allocate(SlotBroker& aBroker, Millis aNow) = 0;
};

std::unique_ptr<AllocationStrategy> MakeOnDemandAllocation();
std::unique_ptr<AllocationStrategy> MakeFairShareAllocation();

struct SlotBrokerOptions
{
  SlotPool pool_;
  uint64_t term_ = 1; // increases with each broker of the pool
};

class SlotBroker
{
public:
  using Outgoing = std::vector<std::pair<NodeName, SlotGrant>>;

  SlotBroker(SlotBrokerOptions aOptions,
             std::unique_ptr<AllocationStrategy> aStrategy,
             Millis aNow);

  // No entry holds more than `aMaxPerEntry` of the upstream's slots.
  void SetUpstream(const InstanceName& aInstance,
                   uint32_t aSlots,
                   uint32_t aMaxPerEntry);
  void RemoveUpstream(const InstanceName& aInstance);
  // Adds or updates an entry. The slots of an entry that is not live stay
  // reserved for `kReservationTimeout` after the last contact with it.
  void SetEntry(const NodeName& aEntry, bool aLive, bool aIsLocal, Millis aNow);
  // Ignores a report that is older than the last one of the entry.
  void HandleReport(const NodeName& aFrom,
                    const SlotReport& aReport,
                    Millis aNow);
  // To be called at least every `kMaxTickInterval` while jobs wait.
  void Tick(Millis aNow);
  // Whether jobs wait at any entry.
  bool HasWaitingJobs() const;
  Outgoing TakeGrants() { return std::exchange(outgoing_, {}); }

  // For allocation strategies.
  SlotHolders& Holders() { return holders_; }
  uint32_t Capacity() const { return capacity_; }
  uint32_t FreeTotal() const { return freeTotal_; }
  // Grants a slot of the upstream with the most free slots; returns false if
  // no upstream has a free slot that the entry may hold.
  bool GrantOne(SlotHolder& aHolder);

  static constexpr Millis kMaxTickInterval = Millis(5);
  static constexpr Millis kWarmUpTimeout = Millis(500);
  static constexpr Millis kReservationTimeout = Seconds(2);

private:
  struct Upstream
  {
    uint32_t slots_ = 0;
    uint32_t maxPerEntry_ = 0;
    uint32_t outstanding_ = 0; // slots held or granted
    bool announced_ = false;   // false: only listed as held by an entry
  };

  void RunStrategy(Millis aNow);
  bool IsWarmingUp(Millis aNow) const;
  void AddOutstanding(const InstanceName& aInstance, int64_t aSlots);
  void ReleasePending(SlotHolder& aHolder, uint64_t aUpTo);
  void ReleaseSlots(SlotHolder& aHolder);
  // Sends the broker's term to entries, which report when they receive a new
  // term.
  void RequestReports(Millis aNow);
  void QueueGrants(Millis aNow);
  static uint32_t FreeSlots(const Upstream& aUpstream);
  void Index(const InstanceName& aInstance, const Upstream& aUpstream);
  void Unindex(const InstanceName& aInstance, const Upstream& aUpstream);

  SlotBrokerOptions options_;
  std::unique_ptr<AllocationStrategy> strategy_;
  Millis startedAt_;
  std::map<InstanceName, Upstream> upstreams_;
  std::set<std::pair<uint32_t, InstanceName>> byFreeSlots_;
  uint32_t capacity_ = 0; // slots of all announced upstreams
  uint32_t freeTotal_ = 0;
  SlotHolders holders_;
  uint64_t sequence_ = 0;
  Outgoing outgoing_;
};

} // namespace vanillahatch
