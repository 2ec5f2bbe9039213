// Strategies by which the entries share the slots and connections of upstreams.
// Each entry knows only its own attempts; a strategy sets this entry's
// allowance on each upstream in the slot table and exchanges messages with
// other entries.
//
// - `MakeUncoordinatedSharing`: no messages; each entry is limited only by its
//   equal share of the connections. The baseline of the benchmarks.
// - `MakeBrokeredSharing`: one entry per service and data centre grants slots.
#pragma once

#include "vanillahatch/core/slot_broker.h"
#include "vanillahatch/core/slot_messages.h"
#include "vanillahatch/core/slot_table.h"

#include <functional>
#include <memory>
#include <vector>

namespace vanillahatch {

struct PeerEntry
{
  NodeName name_;
  DataCentreName dataCentre_;
};

struct OutgoingMessage
{
  NodeName to_;
  PeerMessage message_;
};

// The jobs of one service that wait for a slot at this entry.
struct SlotDemand
{
  uint32_t waiting_ = 0;
  uint32_t urgent_ = 0;    // urgent jobs among them
  Millis oldestArrivedAt_; // arrival of the job that has waited longest
};

class SlotSharing
{
public:
  virtual ~SlotSharing() = default;

  virtual void PutUpstream(const UpstreamFact& aFact, Millis aNow) = 0;
  virtual void RemoveUpstream(const InstanceName& aInstance) = 0;
  virtual void SetEjected(const InstanceName& aInstance, bool aEjected) = 0;
  virtual void SetDemand(const ServiceName& aService,
                         const SlotDemand& aDemand,
                         Millis aNow) = 0;
  // To be called after the slot table has counted the start or end.
  virtual void OnAttemptStarted(const InstanceName& aInstance) = 0;
  virtual void OnAttemptEnded(const InstanceName& aInstance, Millis aNow) = 0;
  virtual void HandleMessage(const NodeName& aFrom,
                             const PeerMessage& aMessage,
                             Millis aNow) = 0;
  // Services with an allowance raised since the last call.
  virtual std::vector<ServiceName> TakeRaisedServices() = 0;
  // Performs the work that is due and returns the messages to send.
  virtual std::vector<OutgoingMessage> Flush(Millis aNow) = 0;
  // The latest time for the next call of `Flush`.
  virtual Millis NextWake() const = 0;
};

// Each entry's equal share of an upstream's connections, at least one.
uint32_t ConnectionShare(uint32_t aConnections, size_t aEntries);

std::unique_ptr<SlotSharing> MakeUncoordinatedSharing(SlotTable& aTable,
                                                      size_t aEntries);

struct BrokeredSharingOptions
{
  NodeName self_;
  std::vector<PeerEntry> entries_; // all of the deployment, including this one
  // Must increase with each start of this process, as Unix time does.
  uint64_t startNumber_ = 1;
  std::function<std::unique_ptr<AllocationStrategy>()> makeAllocation_ =
    MakeOnDemandAllocation;
};

std::unique_ptr<SlotSharing> MakeBrokeredSharing(
  SlotTable& aTable,
  BrokeredSharingOptions aOptions);

} // namespace vanillahatch
