// Forwards clients' job calls to the scheduler replica that leads.
//
// Every call is idempotent, because clients choose the ids of jobs. A call
// without a reply is therefore sent again, to a new leader if there is one,
// until the caller's timeout.
//
//   JobGateway gateway(io, { .seeds_ = ..., .port_ = ... }, metrics, clock);
//   gateway.Start();
//   const v1::JobReply reply = co_await gateway.Handle(call);
//
// A gateway knows neither queues nor keys: the leader decides about them in the
// configuration that is in force.
//
// JOB_CALL_UNKNOWN: the change may or may not be stored. JOB_CALL_REFUSED: no
// replica served the call, and no attempt has stored anything. The caller may
// retry after either.
#pragma once

#include "gateway/leader_finder.h"
#include "vanillahatch/core/customers/customer_directory.h"
#include "vanillahatch/shell/metrics.h"

#include "jobs.grpc.pb.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace vanillahatch {

enum class JobCallKind
{
  kSubmit,
  kShow,
  kCancel,
};

struct JobCall
{
  JobCallKind kind_ = JobCallKind::kShow;
  v1::JobPlace place_;
  v1::JobSpec spec_; // for kSubmit only
  CallKey key_;
  Millis timeout_; // the caller waits at most this long
};

struct JobGatewayOptions
{
  std::vector<std::string> seeds_; // names of replicas known in advance
  uint16_t port_ = 0;              // every replica listens on it
};

class JobGateway
{
public:
  JobGateway(boost::asio::io_context& aIo,
             JobGatewayOptions aOptions,
             Metrics& aMetrics,
             const Clock& aClock);

  // Starts to track the leader.
  void Start();
  boost::asio::awaitable<v1::JobReply> Handle(JobCall aCall);
  // Replaces `JobGatewayOptions::seeds_` after the settings changed.
  void SetSeeds(std::vector<std::string> aSeeds)
  {
    finder_.SetSeeds(std::move(aSeeds));
  }
  // Cancels the calls in flight; no further call is started. The io_context
  // must run until `HasStopped`.
  void Stop();
  bool HasStopped() const { return isStopping_ && contexts_.empty(); }
  bool IsReady() const { return finder_.IsReady(clock_.Now()); }
  size_t CallsInFlight() const { return callsInFlight_; }

private:
  v1::JobService::Stub& StubFor(const std::string& aReplica);
  boost::asio::awaitable<void> TrackLeader();
  boost::asio::awaitable<void> QueryMembers(std::string aReplica);
  boost::asio::awaitable<std::optional<v1::JobReply>>
  Attempt(const JobCall& aCall, const std::string& aReplica, Millis aTimeout);
  boost::asio::awaitable<void> SleepFor(Millis aDuration);
  void LogReadiness();
  void LogUnauthorized(const JobCall& aCall);

  boost::asio::io_context& io_;
  JobGatewayOptions options_;
  Metrics& metrics_;
  const Clock& clock_;
  LeaderFinder finder_;
  std::map<std::string, std::unique_ptr<v1::JobService::Stub>> stubs_;
  std::set<grpc::ClientContext*> contexts_; // of RPCs in flight
  bool isStopping_ = false;
  bool lastLoggedReady_ = false;
  size_t callsInFlight_ = 0;
  uint64_t unauthorizedSinceLog_ = 0;
  std::optional<Millis> loggedUnauthorizedAt_;
};

} // namespace vanillahatch
