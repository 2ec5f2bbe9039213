// Runs the scheduler while this replica leads: feeds it events, carries out
// its actions, and logs each decision. Lives on the thread of its io_context.
#pragma once

#include "scheduler/job_store_host.h"
#include "scheduler/order_lanes.h"
#include "scheduler/ports.h"
#include "vanillahatch/core/jobs/fleet_scheduler.h"
#include "vanillahatch/shell/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace vanillahatch {

struct FleetDriverOptions
{
  Millis lease_ = Seconds(5);
  Millis finishedJobRetention_ = Seconds(120);
  Millis machineOrderDelay_; // see FleetSchedulerOptions
  MachineTrackerOptions machines_;
};

class FleetDriver
{
public:
  FleetDriver(boost::asio::io_context& aIo,
              JobStoreHost& aStore,
              LogReplica& aReplica,
              InstancePort& aInstances,
              MachinePort& aMachines,
              AdvisorPort& aAdvisor,
              Metrics& aMetrics,
              const Clock& aClock,
              FleetDriverOptions aOptions);

  void Start();
  // Something may have to be decided; the next round comes at once.
  void Wake();
  // After a change of leadership, from any thread.
  void OnLeadership();

  // An instance's own report, after what it changes is in the log.
  void OnReport(const InstanceKey& aKey, Millis aClock);
  bool IsWaveCompleted(uint64_t aWave);

private:
  boost::asio::awaitable<void> RunRounds();
  void CheckLeadership();
  void CloseIdleConnections();
  // Calls `aEvent` with the scheduler and carries out what it decides.
  template<class SchedulerEvent>
  void Feed(SchedulerEvent aEvent);
  void Perform(std::vector<SchedulerAction> aActions);
  void Perform(StartOrder aOrder);
  void TakeStart(const StartOrder& aOrder,
                 const OrderResult& aResult,
                 uint64_t aGeneration);
  void Perform(const StopOrder& aOrder);
  void TakeStop(const StopOrder& aOrder,
                const OrderResult& aResult,
                uint64_t aGeneration);
  void Perform(HoldOrder aOrder);
  void Perform(PaceOrder aOrder);
  void Perform(MachineOrder aOrder);
  void Perform(MachineListOrder aOrder);
  void Perform(AdviceOrder aOrder);
  void Perform(const Proposal& aProposal);
  SchedulerTrace MakeTrace();

  boost::asio::io_context& io_;
  JobStoreHost& store_;
  LogReplica& replica_;
  InstancePort& instances_;
  MachinePort& machines_;
  AdvisorPort& advisor_;
  Metrics& metrics_;
  const Clock& clock_;
  FleetDriverOptions options_;
  boost::asio::steady_timer timer_;
  bool woken_ = false;
  Millis closedIdleAt_;
  std::unique_ptr<FleetScheduler> scheduler_;
  uint64_t term_ = 0;        // of the scheduler
  uint64_t deposedTerm_ = 0; // in which an instance refused our token
  // Grows with each scheduler, so that answers to an earlier one are dropped.
  uint64_t generation_ = 0;
  OrderLanes lanes_;
};

} // namespace vanillahatch
