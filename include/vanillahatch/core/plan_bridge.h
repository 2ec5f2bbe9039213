// Connects the replicated configuration and the planner: builds the planner's
// view from the replicated state and the observations of instances, and
// converts its steps into changes for the control log.
//
// The purpose of a step in progress is stored in the drain's reason, which is
// replicated, so that a new leader continues the step:
//
//   planner move loops begun
//   planner roll-out 3 started
#pragma once

#include "vanillahatch/core/planner.h"

#include "config.pb.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace vanillahatch {

// The last reports of the entries and the platform on one instance. Times are
// since the Unix epoch.
struct InstanceObservation
{
  InstanceName instance_;
  ServiceName service_; // as announced by the instance
  RackName rack_;
  WorkerName worker_;
  bool isReachable_ = true; // whether its data centre is reachable
  bool isLive_ = false;     // its announcements have not expired
  bool isStarting_ = false; // the platform is starting it
  bool failed_ = false;     // the platform gave up starting it
  uint32_t version_ = 0;
  uint32_t failedVersion_ = 0; // the last version that did not start
  Millis bootedAt_;
  Millis repairedAt_;   // end of its last unplanned outage
  Millis guardedUntil_; // no steps until then: its guard refused one
  GuardAnswer guard_ = GuardAnswer::kNone;
};

// Progress of a step that drained an instance.
enum class DrainPhase : uint8_t
{
  kBegun,
  kStarted, // the platform has the order to reboot or restart it
};

// The planner's step in progress, as stored in a drain's reason.
struct DrainReason
{
  Purpose purpose_ = Purpose::kNone;
  std::string target_; // the pool of a move, otherwise a version
  DrainPhase phase_ = DrainPhase::kBegun;

  std::string ToText() const;
  // Returns nothing if the planner did not write the reason.
  static std::optional<DrainReason> Parse(std::string_view aReason);
};

// Builds the planner's view. Omits instances that were never observed, since
// their racks are unknown, and instances of unknown pools.
FleetView BuildView(const v1::FleetState& aState,
                    std::span<const InstanceObservation> aObservations,
                    Millis aUnixNow);

// Converts a step into a change. Returns nothing for a hold.
std::optional<v1::Change> ToChange(const Step& aStep,
                                   const FleetView& aView,
                                   const v1::FleetState& aState,
                                   Millis aUnixNow);

} // namespace vanillahatch
