// The observed state of upstreams: ejects those that fail or stall their jobs,
// and lets them back in slowly. What an upstream announces of itself and what
// the planner drains are kept elsewhere.
//
// Hysteresis: `kFailuresToEject` failures in a row eject; the way back is a
// probation of one job at a time, whose limit doubles with each success. A
// failure during probation ejects again, for twice as long.
//
// Floor: at most half of a pool is ejected by this entry, so that a correlated
// wave never leaves nothing. An upstream that the floor keeps is marked
// `kLastResort` and used when no better one has room.
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
  kFailure, // broken, or answered with a server error
  kStall,   // no answer although nearly all jobs are done in less
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
  // Returns whether the state or the limit changed.
  bool Note(const InstanceName& aInstance,
            AttemptOutcome aOutcome,
            Millis aNow);
  // Instances whose ejection has ended by now; they are on probation.
  std::vector<InstanceName> EndEjections(Millis aNow);

  HealthState State(const InstanceName& aInstance) const;
  // Whether it is on probation or failed the last attempt that ended.
  bool IsSuspect(const InstanceName& aInstance) const;
  // How many attempts this entry may have on it: 0 if ejected.
  uint32_t Limit(const InstanceName& aInstance) const;
  // When the next ejection ends, or Millis::Max().
  Millis NextChange() const;

  static constexpr uint32_t kFailuresToEject = 3; // in a row
  static constexpr Millis kFirstEjection = Seconds(1);
  static constexpr Millis kLongestEjection = Seconds(30);
  static constexpr uint32_t kNoLimit = std::numeric_limits<uint32_t>::max();
  static constexpr uint32_t kProbationEndsAt = 8; // attempts at a time

private:
  struct Record
  {
    ServiceName service_;
    HealthState state_ = HealthState::kHealthy;
    uint32_t failures_ = 0; // in a row
    uint32_t limit_ = kNoLimit;
    Millis ejection_ = kFirstEjection; // length of the next ejection
    Millis endsAt_;
  };

  struct Pool
  {
    uint32_t size_ = 0;
    uint32_t ejected_ = 0;
  };

  bool NoteSuccess(Record& aRecord);
  bool NoteFailure(const InstanceName& aInstance, Record& aRecord, Millis aNow);
  Millis Jittered(Millis aSpan);

  std::unordered_map<InstanceName, Record> records_;
  std::unordered_map<ServiceName, Pool> pools_;
  std::set<std::pair<Millis, InstanceName>> ends_;
  std::mt19937_64 random_;
};

} // namespace vanillahatch
