// Messages between entries for sharing the slots of upstreams.
//
// Lost, repeated or late messages are harmless, because reports are absolute
// and grants are numbered: a report lists all slots that the entry holds and
// the sequence number of the last grant it has applied. The broker counts the
// slots of later grants as held too.
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

// The upstreams of one service in one data centre, which share a broker.
struct SlotPool
{
  ServiceName service_;
  DataCentreName dataCentre_;

  friend auto operator<=>(const SlotPool&, const SlotPool&) = default;
};

// An entry's state, sent to the broker of the pool.
struct SlotReport
{
  SlotPool pool_;
  uint64_t sequence_ = 0;     // increases with each report of the sender
  uint64_t term_ = 0;         // of the broker that sent the acknowledged grant
  uint64_t acknowledged_ = 0; // sequence number of the last applied grant
  uint32_t waiting_ = 0;      // jobs without a slot
  uint32_t urgent_ = 0;       // urgent jobs among them
  Millis oldestAge_;          // how long the oldest of them has waited
  uint32_t idle_ = 0;         // held slots that no attempt uses
  std::vector<InstanceSlots> held_;
  std::vector<InstanceName> avoided_; // ejected by the sender
};

// From the broker to an entry: new slots, and limits on those it holds.
struct SlotGrant
{
  SlotPool pool_;
  uint64_t term_ = 0;
  uint64_t sequence_ = 0;
  std::vector<InstanceSlots> added_;
  uint32_t keepIdle_ = 0;         // idle slots beyond this are returned
  uint32_t maxHeld_ = UINT32_MAX; // slots beyond this are returned once idle
  bool othersWait_ = false;       // jobs at other entries wait for a slot

  Millis othersOldestAge_; // how long the oldest of these jobs has waited
};

// Shows that the sender is live. Liveness decides where brokers run.
struct Heartbeat
{};

using PeerMessage = std::variant<Heartbeat, SlotReport, SlotGrant>;

} // namespace vanillahatch
