// What one entry knows of the upstreams: the latest fact each has announced,
// until it departs or its lease runs out.
//
// A deterministic state machine without I/O: the caller passes facts in with
// the time of their arrival. Facts reach an entry from the upstream itself or
// from another entry, in any order and any number of times.
#pragma once

#include "vanillahatch/core/upstream.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace vanillahatch {

class UpstreamDirectory
{
public:
  // Takes a fact in. Returns true if it was news: unknown instance, higher
  // generation, or higher sequence of the same generation. A departed
  // instance stays known until `kTombstoneSpan` has passed, so that a late
  // renewal of the same generation cannot bring it back.
  bool Apply(const UpstreamFact& aFact, Millis aNow);

  // Forgets upstreams whose lease has run out and old departures. Returns the
  // instances that ceased to be live by this call.
  std::vector<InstanceName> Expire(Millis aNow);

  // Live upstreams of a service; pointers hold until the next change.
  std::vector<const UpstreamFact*> Live(const ServiceName& aService,
                                        Millis aNow) const;

  const UpstreamFact* Find(const InstanceName& aInstance, Millis aNow) const;
  bool HasService(const ServiceName& aService) const;
  size_t LiveCount(Millis aNow) const;

  void ForEachLive(
    Millis aNow,
    const std::function<void(const UpstreamFact&)>& aVisit) const;

  static constexpr Millis kTombstoneSpan = Seconds(600);

private:
  struct Entry
  {
    UpstreamFact fact_;
    Millis expiresAt_;
    Millis forgetAt_;
  };

  static bool IsLive(const Entry& aEntry, Millis aNow);

  std::map<InstanceName, Entry> entries_;
  std::map<ServiceName, uint32_t> known_;
};

} // namespace vanillahatch
