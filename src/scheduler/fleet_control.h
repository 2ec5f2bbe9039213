// Serves the requests of operators and instances to the control plane, as typed
// calls. The leader serves them; any other replica replies kNotLeader with the
// leader's name, except to a report that changes nothing (see `Report`).
//
// Must be used on the thread of the FleetDriver's io_context only.
#pragma once

#include "scheduler/fleet_driver.h"
#include "scheduler/job_store_replica.h"
#include "vanillahatch/core/jobs/report_changes.h"

#include <boost/asio/awaitable.hpp>

namespace vanillahatch {

enum class ControlStatus
{
  kOk,
  kNotLeader,   // `leader_` names the leader, if it is known
  kUnavailable, // no quorum, or overloaded; the outcome may be unknown
  kNotFound,
  kRetryLater,  // not done yet; the call has to be repeated
  kImplausible, // no instance can have sent the report; without effect
};

struct ControlReply
{
  ControlStatus status_ = ControlStatus::kUnavailable;
  std::string leader_; // name of the leader; empty if unknown
  // To a report: name of the replica to send the next reports to.
  std::string reportTo_;
  std::string document_;     // to GetConfig
  bool isCompleted_ = false; // to GetWave
};

class FleetControl
{
public:
  // `aSelfName` is this replica's name.
  FleetControl(JobStoreReplica& aStore,
               LogReplica& aReplica,
               FleetDriver& aDriver,
               const Clock& aClock,
               std::string aSelfName);

  boost::asio::awaitable<ControlReply> PutConfig(v1::FleetDocument aConfig);
  // Replies with the latest configuration, exactly as it was sent.
  boost::asio::awaitable<ControlReply> GetConfig();
  boost::asio::awaitable<ControlReply> StartWave(v1::StartWave aWave);
  boost::asio::awaitable<ControlReply> GetWave(uint64_t aWave);
  // Handles an instance's report of its state.
  boost::asio::awaitable<ControlReply> Report(InstanceReport aReport);
  // Records that an instance ends. Its tasks are stopped first.
  boost::asio::awaitable<ControlReply> Leave(InstanceKey aInstance);

private:
  // Commits the changes. If there are none, confirms that this replica has
  // applied all changes acknowledged before.
  boost::asio::awaitable<ControlReply> Commit(v1::JobChanges aChanges);

  // Stops the tasks on an instance that leaves. Returns false if some have not
  // ended when the caller has to get a reply.
  boost::asio::awaitable<bool> AwaitEndOfTasks(const InstanceKey& aInstance);

  // Name of the replica that should receive the reports of the instance.
  std::string ReplicaForReportsOf(const std::string& aInstance) const;

  JobStoreReplica& store_;
  LogReplica& replica_;
  FleetDriver& driver_;
  const Clock& clock_;
  const std::string selfName_;
  ContradictionTracker contradictions_;
};

} // namespace vanillahatch
