// The latest fact that each upstream has announced to one entry, until the
// upstream departs or its lease expires.
//
// A deterministic state machine without I/O: the caller passes each fact with
// the time of its arrival. Facts come from the upstream itself or from another
// entry, in any order and with duplicates.
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
  // Stores a fact. Returns false if it is outdated: it must be of an unknown
  // instance, of a higher generation, or of the same generation with a higher
  // sequence. The record of a departed instance is kept for `kTombstoneSpan`
  // after its lease, so that a delayed renewal of the same generation does not
  // make it live again.
  bool Apply(const UpstreamFact& aFact, Millis aNow);

  // Marks upstreams whose lease has expired as departed and removes those past
  // `kTombstoneSpan`. Returns the instances that this call marked.
  std::vector<InstanceName> Expire(Millis aNow);

  // Live upstreams of a service. `Apply` and `Expire` invalidate the pointers.
  std::vector<const UpstreamFact*> Live(const ServiceName& aService,
                                        Millis aNow) const;

  // The instance's fact, or null if it is unknown or not live.
  const UpstreamFact* Find(const InstanceName& aInstance, Millis aNow) const;
  // Whether any upstream of the service is stored, live or departed.
  bool HasService(const ServiceName& aService) const;
  size_t LiveCount(Millis aNow) const;

  void ForEachLive(
    Millis aNow,
    const std::function<void(const UpstreamFact&)>& aVisit) const;

  static constexpr Millis kTombstoneSpan = Seconds(600);

private:
  struct Record
  {
    UpstreamFact fact_;
    Millis expiresAt_;
    Millis removeAt_;
  };

  static bool IsLive(const Record& aRecord, Millis aNow);

  std::map<InstanceName, Record> records_;
  std::map<ServiceName, uint32_t> instanceCounts_; // sizes of `records_`
};

} // namespace vanillahatch
