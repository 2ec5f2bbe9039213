// A grant: a lease by which an entry may route to one upstream instance.
//
// The grantor of the instance's data centre issues each entry a grant on
// (instance, pool, epoch) with a share of the instance's slots and
// connections. An entry that holds no unexpired grant dispatches nothing to
// the instance, so that a move between pools is safe once every grant of the
// old epoch has expired or its revocation was acknowledged.
//
// Safety needs a bound on the rates of the clocks, none on their offset: the
// holder counts the lease from when it sent the request, the grantor from when
// it replied, which is later.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/ids.h"

#include <cstdint>

namespace vanillahatch {

struct Grant
{
  InstanceName instance_;
  PoolName pool_;
  uint64_t epoch_ = 0;
  uint32_t slots_ = 0;       // the holder's share of the instance's slots
  uint32_t connections_ = 0; // the holder's share of its connections
  Millis expiresAt_;         // monotonic, on the holder's clock
};

} // namespace vanillahatch
