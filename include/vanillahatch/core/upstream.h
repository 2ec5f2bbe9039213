// An upstream as it announced itself.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/ids.h"

#include <cstdint>
#include <string>

namespace vanillahatch {

struct Endpoint
{
  std::string address_; // an IP number
  uint16_t port_ = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// The generation grows with each start of the upstream and the sequence with
// each renewal; a fact with a lower pair than one already seen is late.
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
  bool departed_ = false;
  Millis lease_; // how long the fact holds after it was taken in
};

} // namespace vanillahatch
