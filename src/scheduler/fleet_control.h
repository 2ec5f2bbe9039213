// What operators and instances ask of the control plane, as typed calls. Each
// answers on the replica that leads; any other says who does.
#pragma once

#include "scheduler/fleet_driver.h"
#include "scheduler/job_store_host.h"

#include <boost/asio/awaitable.hpp>

namespace vanillahatch {

enum class ControlStatus
{
  kOk,
  kNotLeader,   // `leader_` may know
  kUnavailable, // no quorum, or overloaded; the outcome may not be known
  kNotFound,
};

struct ControlReply
{
  ControlStatus status_ = ControlStatus::kUnavailable;
  std::string leader_; // name of the replica that leads
  // To a report: name of the replica that takes the next ones.
  std::string reportTo_;
  std::string document_;
  bool isCompleted_ = false;
};

class FleetControl
{
public:
  // `aSelf` is this replica's name.
  FleetControl(JobStoreHost& aStore,
               LogReplica& aReplica,
               FleetDriver& aDriver,
               std::string aSelf);

  boost::asio::awaitable<ControlReply> PutConfig(v1::FleetDocument aConfig);
  // The newest configuration, exactly as it was sent.
  boost::asio::awaitable<ControlReply> GetConfig();
  boost::asio::awaitable<ControlReply> StartWave(v1::StartWave aWave);
  boost::asio::awaitable<ControlReply> GetWave(uint64_t aWave);
  boost::asio::awaitable<ControlReply> Report(InstanceReport aReport,
                                              Millis aClock);
  boost::asio::awaitable<ControlReply> Leave(std::string aInstance);

private:
  // Commits the changes; with none, confirms that everything that was
  // acknowledged before is applied here.
  boost::asio::awaitable<ControlReply> Commit(v1::JobChanges aChanges);

  std::string ReporterFor(const std::string& aInstance) const;

  JobStoreHost& store_;
  LogReplica& replica_;
  FleetDriver& driver_;
  const std::string self_;
  // Sequence of the latest report of each incarnation.
  std::map<InstanceKey, uint64_t> sequences_;
};

} // namespace vanillahatch
