// The state that an upstream announces.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/ids.h"

#include <cstdint>
#include <string>

namespace vanillahatch {

struct Endpoint
{
  std::string address_; // numeric IP address
  uint16_t port_ = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// One announcement of an upstream: its properties and a lease on them.
//
// The generation increases with each start of the upstream and the sequence
// with each renewal. A fact whose (generation, sequence) is not higher than the
// latest one received is outdated.
struct UpstreamFact
{
  InstanceName instance_;
  ServiceName service_;
  Endpoint endpoint_;
  uint32_t slots_ = 0;
  uint32_t connections_ = 0;
  DataCentreName dataCentre_;
  RackName rack_;
  WorkerName worker_;
  uint64_t generation_ = 0;
  uint64_t sequence_ = 0;
  bool departed_ = false; // leaves: takes no new jobs
  Millis lease_; // duration for which the fact is valid from its receipt
};

} // namespace vanillahatch
