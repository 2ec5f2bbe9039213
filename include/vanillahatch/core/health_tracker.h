// Tracks the health of upstreams by the outcomes of this entry's attempts.
// Ejects upstreams that fail or stall jobs and readmits them gradually. Does
// not cover departures that upstreams announce or drains by the planner.
//
// Hysteresis: `kFailuresToEject` consecutive failures eject an upstream. After
// the ejection it is on probation, with one attempt at a time at first; each
// success doubles that limit. A failure on probation ejects it again, for twice
// as long.
//
// Floor: this entry ejects at most half of a pool, so that correlated failures
// leave upstreams to use. An upstream that would be ejected beyond that is
// marked `kLastResort` and used when no better one has free capacity.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/ids.h"

#include <cstdint>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace vanillahatch {

enum class AttemptOutcome : uint8_t
{
  kSuccess,
  kFailure, // no whole answer, or a server error
  kStall,   // runs for longer than nearly all jobs do
};

enum class HealthState : uint8_t
{
  kHealthy,
  kProbation,
  kLastResort,
  kEjected,
};

std::string_view ToText(HealthState aState);

class HealthTracker
{
public:
  explicit HealthTracker(uint64_t aSeed)
    : random_(aSeed)
  {
  }

  void Add(const InstanceName& aInstance, const ServiceName& aService);
  void Remove(const InstanceName& aInstance);
  // Returns whether the state or the attempt limit changed.
  bool RecordOutcome(const InstanceName& aInstance,
                     AttemptOutcome aOutcome,
                     Millis aNow);
  // Puts the instances whose ejection has ended on probation and returns them.
  std::vector<InstanceName> EndEjections(Millis aNow);

  HealthState State(const InstanceName& aInstance) const;
  // Whether it is on probation or its last recorded outcome was a failure or a
  // stall.
  bool IsSuspect(const InstanceName& aInstance) const;
  // Maximum number of concurrent attempts by this entry: 0 if ejected.
  uint32_t AttemptLimit(const InstanceName& aInstance) const;
  // When the next ejection ends, or Millis::Max() if none is in force.
  Millis NextEjectionEnd() const;

  static constexpr uint32_t kFailuresToEject = 3; // consecutive
  static constexpr Millis kInitialEjection = Seconds(1);
  static constexpr Millis kMaxEjection = Seconds(30);
  static constexpr uint32_t kNoLimit = std::numeric_limits<uint32_t>::max();
  static constexpr uint32_t kProbationExitLimit = 8; // attempts

private:
  struct Record
  {
    ServiceName service_;
    HealthState state_ = HealthState::kHealthy;
    uint32_t consecutiveFailures_ = 0;
    uint32_t attemptLimit_ = kNoLimit;
    Millis nextEjection_ = kInitialEjection;
    Millis ejectedUntil_;
  };

  struct Pool
  {
    uint32_t size_ = 0;
    uint32_t ejected_ = 0;
  };

  bool RecordSuccess(Record& aRecord);
  bool RecordFailure(const InstanceName& aInstance,
                     Record& aRecord,
                     Millis aNow);
  Millis WithJitter(Millis aDuration);

  std::unordered_map<InstanceName, Record> records_;
  std::unordered_map<ServiceName, Pool> pools_;
  std::set<std::pair<Millis, InstanceName>> ejectionEnds_; // of `kEjected` ones
  std::mt19937_64 random_;
};

} // namespace vanillahatch
