// Tracks the machines of the fleet, as the platform lists them, and the
// operations in flight on them.
//
// The list is requested rarely, so newer information from the leader's own
// operations and from reports of instances takes precedence over it.
#pragma once

#include "vanillahatch/core/jobs/orders.h"

#include <map>
#include <string>

namespace vanillahatch {

enum class MachineOpPhase
{
  kOrdered,      // the order is in flight to the platform
  kRetryPending, // no reply, or rate limited; the order is sent again
  kAccepted,     // the machine is unavailable until its new instance reports
};

// An operation that was ordered on a machine: a move or a maintenance.
struct MachineOp
{
  MachineOrder order_;
  std::string fromPool_;
  InstanceKey previousInstance_; // ended by the operation; empty: none
  MachineOpPhase phase_ = MachineOpPhase::kOrdered;
  Millis since_; // start of the phase; the delay of a retry counts from it
  Millis orderedAt_;

  // The pool of the machine after the operation.
  const std::string& DestinationPool() const
  {
    return order_.pool_.empty() ? fromPool_ : order_.pool_;
  }
};

struct MachineTrackerOptions
{
  // Minimum time that a machine is unavailable. Reports and lists from before
  // then describe its previous incarnation: both may arrive late.
  Millis minMoveTime_ = Millis(1200);
  Millis minMaintenanceTime_ = Millis(1600);
};

class MachineTracker
{
public:
  explicit MachineTracker(MachineTrackerOptions aOptions = {});

  // Processes a list that was requested at `aRequestedAt`.
  void HandleList(Millis aRequestedAt, std::vector<MachineView> aMachines);
  // Processes a report of the instance on a machine, received at `aNow`.
  void OnInstanceReport(Millis aNow,
                        const std::string& aMachine,
                        const std::string& aPool,
                        const InstanceKey& aInstance);

  // Records an operation that is being ordered; `aPreviousInstance` is the
  // instance that it ends.
  void BeginOp(Millis aNow,
               MachineOrder aOrder,
               std::string aFromPool,
               InstanceKey aPreviousInstance);
  // Null if no operation is recorded for the machine.
  MachineOp* FindOp(const std::string& aMachine);
  // Removes an operation that has ended or will not be executed.
  void EndOp(const std::string& aMachine);

  const std::map<std::string, MachineOp>& Ops() const { return ops_; }
  const std::map<std::string, MachineView>& Machines() const
  {
    return machines_;
  }
  // True once a list has been received.
  bool IsListed() const { return isListed_; }
  // Number of machines that are, or may be, down for maintenance of that wave.
  size_t CountInMaintenance(uint64_t aWave) const;

private:
  // True if information from `aAt` may describe the machine's next incarnation.
  bool MayBeAvailableAgain(const MachineOp& aOp, Millis aAt) const;

  MachineTrackerOptions options_;
  std::map<std::string, MachineView> machines_;
  std::map<std::string, MachineOp> ops_;
  // Latest report from each machine that the next list may be older than.
  std::map<std::string, Millis> reportedAt_;
  bool isListed_ = false;
};

} // namespace vanillahatch
