// What entries tell each other to share the slots of upstreams.
//
// Both messages are absolute or numbered, so that a lost, repeated or late one
// does no harm: a report gives all that the entry holds and the number of the
// last grant it has taken in; what was granted later counts as still held.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/ids.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace vanillahatch {

struct InstanceSlots
{
  InstanceName instance_;
  uint32_t slots_ = 0;
};

// The upstreams of one service in one data centre share one broker.
struct SlotPool
{
  ServiceName service_;
  DataCentreName dataCentre_;

  friend auto operator<=>(const SlotPool&, const SlotPool&) = default;
};

// From an entry to the broker.
struct SlotReport
{
  SlotPool pool_;
  uint64_t sequence_ = 0;     // grows with each report of the sender
  uint64_t term_ = 0;         // of the broker whose grants are acknowledged
  uint64_t acknowledged_ = 0; // the last grant taken in
  uint32_t waiting_ = 0;      // jobs without a slot
  uint32_t urgent_ = 0;       // of these
  Millis oldestAge_;          // the longest wait among them
  uint32_t idle_ = 0;         // held slots without an attempt
  std::vector<InstanceSlots> held_;
  std::vector<InstanceName> avoided_; // ejected by the sender
};

// From the broker to an entry.
struct SlotGrant
{
  SlotPool pool_;
  uint64_t term_ = 0;
  uint64_t sequence_ = 0;
  std::vector<InstanceSlots> added_;
  uint32_t keepIdle_ = 0;         // idle slots above this are given back
  uint32_t maxHeld_ = UINT32_MAX; // as are slots above this
  bool othersWait_ = false;       // without a slot, at other entries

  Millis othersOldestAge_; // the longest wait among them
};

// Says that the sender lives; the places of brokers follow from it.
struct Heartbeat
{};

using PeerMessage = std::variant<Heartbeat, SlotReport, SlotGrant>;

} // namespace vanillahatch
