// The machines of the fleet as the platform lists them, and the operations on
// them that are under way.
//
// The list is read rarely, so what our own operations and the reports of
// instances say since then goes before it.
#pragma once

#include "vanillahatch/core/jobs/orders.h"

#include <map>
#include <string>

namespace vanillahatch {

enum class MachineOpPhase
{
  kOrdered,  // under way to the platform
  kUnclear,  // not answered; it is sent again
  kAccepted, // the machine is away until its new instance reports
};

struct MachineOp
{
  MachineOrder order_;
  std::string fromPool_;
  InstanceKey former_; // that the operation ends; empty: none
  MachineOpPhase phase_ = MachineOpPhase::kOrdered;
  Millis since_;
  Millis orderedAt_;
};

struct MachineBookOptions
{
  // How long a machine is away at least. Until then no report and no list can
  // be news of its next life: reports are late at times, and lists lag.
  Millis leastMove_ = Millis(1200);
  Millis leastUpkeep_ = Millis(1600);
};

class MachineBook
{
public:
  explicit MachineBook(MachineBookOptions aOptions = {});

  // A list that was asked for at `aAskedAt`.
  void TakeList(Millis aAskedAt, std::vector<MachineView> aMachines);
  // The instance of a machine reported.
  void OnInstance(Millis aNow,
                  const std::string& aMachine,
                  const std::string& aPool,
                  const InstanceKey& aInstance);

  void Begin(Millis aNow,
             MachineOrder aOrder,
             std::string aFromPool,
             InstanceKey aFormer);
  MachineOp* FindOp(const std::string& aMachine);
  // The operation has ended or will not happen.
  void End(const std::string& aMachine);

  const std::map<std::string, MachineOp>& Ops() const { return ops_; }
  const std::map<std::string, MachineView>& Machines() const
  {
    return machines_;
  }
  bool IsListed() const { return listed_; }
  // Machines that are down for the upkeep of that wave, or may be.
  size_t InUpkeep(uint64_t aWave) const;

private:
  // True if what was known at `aAt` may tell of the machine's next life.
  bool MayBeBack(const MachineOp& aOp, Millis aAt) const;

  MachineBookOptions options_;
  std::map<std::string, MachineView> machines_;
  std::map<std::string, MachineOp> ops_;
  bool listed_ = false;
};

} // namespace vanillahatch
