// How the entries share the slots and connections of upstreams that none of
// them sees whole. A strategy sets this entry's allowance on each upstream in
// the slot table and exchanges messages with the other entries.
//
// - `MakeUncoordinatedSharing`: no exchange; each entry uses its equal share of
//   the connections. The baseline.
// - `MakeBrokered`: one entry per service and data centre hands out slots.
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

// The jobs of one service that wait at this entry.
struct SlotDemand
{
  uint32_t waiting_ = 0;
  uint32_t urgent_ = 0;
  Millis oldestArrivedAt_; // of the one that has waited longest
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
  // An attempt has taken a slot, or given one back.
  virtual void Begun(const InstanceName& aInstance) = 0;
  virtual void Ended(const InstanceName& aInstance, Millis aNow) = 0;
  virtual void Take(const NodeName& aFrom,
                    const PeerMessage& aMessage,
                    Millis aNow) = 0;
  // Services whose allowances have grown since the last call.
  virtual std::vector<ServiceName> TakeRaised() = 0;
  // Does what is due and returns what is to be sent.
  virtual std::vector<OutgoingMessage> Flush(Millis aNow) = 0;
  // When `Flush` must be called next at the latest.
  virtual Millis NextWake() const = 0;
};

// Each entry's part of an upstream's connections, never less than one.
uint32_t ConnectionShare(uint32_t aConnections, size_t aEntries);

std::unique_ptr<SlotSharing> MakeUncoordinatedSharing(SlotTable& aTable,
                                                      size_t aEntries);

struct BrokeredOptions
{
  NodeName self_;
  std::vector<PeerEntry> entries_; // all of the deployment, with this one
  // Higher at each start of this process, such as its time of day.
  uint64_t startNumber_ = 1;
  std::function<std::unique_ptr<AllotmentStrategy>()> makeAllotment_ =
    MakeTicketAllotment;
};

std::unique_ptr<SlotSharing> MakeBrokered(SlotTable& aTable,
                                          BrokeredOptions aOptions);

} // namespace vanillahatch
