// The planner's input: the replicated state of each instance (pool, epoch and
// current step) and its observed state (drained, healthy, down, cut off).
//
// Racks, data centres and pools are identified by index, so that a planning
// step does no lookups by name. The indices must be dense and start at zero.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/ids.h"
#include "vanillahatch/core/pool_contract.h"

#include <cstdint>
#include <vector>

namespace vanillahatch {

enum class InstanceIndex : uint32_t
{
};
enum class PoolIndex : uint32_t
{
};
enum class RackIndex : uint32_t
{
};
enum class DataCentreIndex : uint32_t
{
};
enum class Version : uint32_t
{
};

template<class Index>
constexpr size_t At(Index aIndex)
{
  return static_cast<size_t>(aIndex);
}

enum class InstanceState : uint8_t
{
  kJoining,     // assigned to its pool, not yet observed serving there
  kServing,     // serves its pool
  kDraining,    // takes no new work; see `Purpose`
  kMaintenance, // being rebooted or restarted
  kDown,        // stopped announcing itself without a planned step
  kCutOff,      // its data centre is unreachable; it may serve there
};

// Why an instance was taken out of service.
enum class Purpose : uint8_t
{
  kNone,
  kMove,     // to the pool `target_`
  kPeriodic, // reboot, due once per maintenance period
  kRollOut,  // restart with the pool's target version
  kRollBack, // restart with the previous version after a failure
};

// The reply of the guard of an instance's worker to the step that drained it.
enum class GuardAnswer : uint8_t
{
  kNone,
  kConsents,
  kRefuses,
};

struct InstanceView
{
  InstanceName name_;
  PoolIndex pool_{};
  RackIndex rack_{};
  DataCentreIndex dataCentre_{};
  InstanceState state_ = InstanceState::kServing;

  // Replicated with each applied step.
  uint64_t epoch_ = 1; // of its membership
  uint64_t step_ = 0;  // steps applied so far; makes change ids unique
  Purpose purpose_ = Purpose::kNone;
  PoolIndex target_{};      // of a move
  Version version_{};       // it runs or was last ordered to run
  Version failedVersion_{}; // did not become healthy with it; 0: none
  Millis lastMaintained_;   // end of its last reboot
  Millis holdUntil_; // no new step before this, after its guard refused one

  // Observed.
  bool drained_ = false; // no grant outstanding and nothing in flight
  bool healthy_ = false; // after maintenance: serves in `version_`
  bool failed_ = false;  // after maintenance: not healthy in time
  GuardAnswer guard_ = GuardAnswer::kNone;
  bool isPending_ = false;                    // a proposed step is undecided
  bool isRequested_ = false;                  // operators requested maintenance
  Millis repairedAt_ = Millis(INT64_MIN / 2); // end of last unplanned outage
};

struct PoolView
{
  PoolContract contract_;
  Version version_{};         // target version of its instances
  Version previousVersion_{}; // used if `version_` fails
  Millis maintenancePeriod_;  // 0: the planner's default
};

struct FleetView
{
  std::vector<PoolView> pools_;
  std::vector<InstanceView> instances_;
  uint32_t rackCount_ = 0;
  uint32_t dataCentreCount_ = 0;
};

// Whether an instance counts against its pool's availability budget.
constexpr bool IsUnavailable(InstanceState aState)
{
  switch (aState) {
    case InstanceState::kDraining:
    case InstanceState::kMaintenance:
    case InstanceState::kDown:
    case InstanceState::kCutOff:
      return true;
    case InstanceState::kJoining:
    case InstanceState::kServing:
      return false;
  }
  return false;
}

} // namespace vanillahatch
