// Between the replicated configuration and the planner: builds the planner's
// view from the state and from what was observed, and turns its steps into
// changes for the control log.
//
// What a started step is for is written into the drain's reason, which is
// replicated, so that a new leader continues it:
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

// What the entries and the platform last said of one instance. Instants count
// from the Unix epoch.
struct InstanceObservation
{
  InstanceName instance_;
  ServiceName service_; // as it announces itself
  RackName rack_;
  WorkerName worker_;
  bool isReachable_ = true; // its data centre is
  bool isLive_ = false;     // its announcements hold
  bool isStarting_ = false; // the platform starts it and has not given up
  bool failed_ = false;     // the platform gave up starting it
  uint32_t version_ = 0;
  uint32_t failedVersion_ = 0; // the last one that did not start
  Millis bootedAt_;
  Millis repairedAt_;   // end of its last outage that was not planned
  Millis guardedUntil_; // its guard refused a step until then
  GuardAnswer guard_ = GuardAnswer::kNone;
};

// How far a step that drained an instance has come.
enum class DrainPhase : uint8_t
{
  kBegun,
  kStarted, // the platform was told to reboot or restart it
};

struct DrainNote
{
  Purpose purpose_ = Purpose::kNone;
  std::string target_; // a pool for a move, else a version
  DrainPhase phase_ = DrainPhase::kBegun;

  std::string ToText() const;
  // Nothing if the planner did not write the reason.
  static std::optional<DrainNote> Parse(std::string_view aReason);
};

// Instances that were never observed are left out: nothing is known of the
// rack they stand in. Memberships of unknown pools are left out as well.
FleetView BuildView(const v1::FleetState& aState,
                    std::span<const InstanceObservation> aObservations,
                    Millis aUnixNow);

// The change that a step is, or nothing for a hold.
std::optional<v1::Change> ToChange(const Step& aStep,
                                   const FleetView& aView,
                                   const v1::FleetState& aState,
                                   Millis aUnixNow);

} // namespace vanillahatch
