// Runs the scheduler while this replica leads: passes it events, performs its
// actions, and logs each decision.
//
//   FleetDriver driver(io, store, replica, ...);
//   driver.Start();
//
// A failed proposal or lost leadership ends the scheduler; the next one starts
// from the store. Unless noted, functions must be called on the thread of the
// io_context.
#pragma once

#include "scheduler/job_store_replica.h"
#include "scheduler/order_queues.h"
#include "scheduler/ports.h"
#include "vanillahatch/core/jobs/fleet_scheduler.h"
#include "vanillahatch/shell/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace vanillahatch {

struct FleetDriverOptions
{
  Millis lease_ = Seconds(5);         // of the runs on an instance
  Millis longestLease_ = Seconds(10); // see FleetSchedulerOptions
  Millis formerLeaderLease_;          // see FleetSchedulerOptions
  Millis finishedJobRetention_ = Seconds(120);
  Millis machineOrderDelay_;      // see FleetSchedulerOptions
  double remoteRackFactor_ = 1.0; // see FleetSchedulerOptions
  MachineTrackerOptions machines_;
};

class FleetDriver
{
public:
  FleetDriver(boost::asio::io_context& aIo,
              JobStoreReplica& aStore,
              LogReplica& aReplica,
              InstancePort& aInstances,
              MachinePort& aMachines,
              AdvisorPort& aAdvisor,
              Metrics& aMetrics,
              const Clock& aClock,
              FleetDriverOptions aOptions);

  // Starts the scheduling rounds.
  void Start();
  // Requests a scheduling round as soon as possible.
  void Wake();
  // Must be called after a change of leadership. Thread-safe.
  void OnLeadershipChange();

  // Stops the runs on an instance that leaves.
  void OnLeave(const InstanceKey& aKey);
  bool IsWaveCompleted(uint64_t aWave);

private:
  boost::asio::awaitable<void> RunRounds();
  void CheckLeadership();
  // Passes the expiry of the leader lease to the scheduler, and logs when the
  // lease is lost or regained.
  void UpdateLeaderLease(Millis aNow);
  void CloseIdleConnections();
  // Calls `aHandleEvent` with the scheduler, if there is one, and performs the
  // actions that result.
  template<class EventHandler>
  void ProcessEvent(EventHandler aHandleEvent);
  void Perform(std::vector<SchedulerAction> aActions);
  void Perform(StartOrder aOrder);
  void HandleStartResult(const StartOrder& aOrder,
                         const OrderResult& aResult,
                         uint64_t aGeneration);
  void Perform(const StopOrder& aOrder);
  void HandleStopResult(const StopOrder& aOrder,
                        const OrderResult& aResult,
                        uint64_t aGeneration);
  void Perform(HoldOrder aOrder);
  void Perform(const PaceOrder& aOrder);
  void HandlePaceResult(const PaceOrder& aOrder,
                        const OrderResult& aResult,
                        uint64_t aGeneration);
  void Perform(MachineOrder aOrder);
  void Perform(MachineListOrder aOrder);
  void Perform(AdviceOrder aOrder);
  void Perform(const Proposal& aProposal);
  SchedulerTrace MakeTrace();

  boost::asio::io_context& io_;
  JobStoreReplica& store_;
  LogReplica& replica_;
  InstancePort& instances_;
  MachinePort& machines_;
  AdvisorPort& advisor_;
  Metrics& metrics_;
  const Clock& clock_;
  FleetDriverOptions options_;
  boost::asio::steady_timer timer_;
  bool isWoken_ = false;
  Millis lastClosedIdleAt_;
  std::unique_ptr<FleetScheduler> scheduler_;
  uint64_t term_ = 0;        // of the scheduler; 0: there is none
  uint64_t deposedTerm_ = 0; // in which an instance refused the fencing token
  // Incremented with each scheduler, so that replies to an earlier one are
  // dropped.
  uint64_t schedulerGeneration_ = 0;
  bool holdsLeaderLease_ = false; // at the latest event of this scheduler
  Millis leaderLeaseHeldUntil_;   // its latest known expiry
  OrderQueues orderQueues_;
};

} // namespace vanillahatch
