// Takes clients' calls to the replica that leads and brings its answers back.
//
// Every call may be repeated, since jobs are known by the ids that clients
// choose, so a call without an answer is sent again, to a new leader if there
// is one, as long as its caller waits.
#pragma once

#include "gateway/leader_finder.h"
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
  v1::JobSpec spec_; // of a submission
  Millis waitsFor_;  // how long the caller waits
};

struct JobGatewayOptions
{
  std::vector<std::string> seeds_; // names of replicas
  uint16_t port_ = 0;              // on which every replica listens
};

class JobGateway
{
public:
  JobGateway(boost::asio::io_context& aIo,
             JobGatewayOptions aOptions,
             Metrics& aMetrics,
             const Clock& aClock);

  void Start();
  boost::asio::awaitable<v1::JobReply> Handle(JobCall aCall);
  void SetSeeds(std::vector<std::string> aSeeds)
  {
    finder_.SetSeeds(std::move(aSeeds));
  }
  // Cancels what is under way; no further call is begun. The io_context must
  // run on until `HasStopped`.
  void Stop();
  bool HasStopped() const { return stopping_ && contexts_.empty(); }
  bool IsReady() const { return finder_.IsReady(clock_.Now()); }
  size_t UnderWay() const { return underWay_; }

private:
  v1::JobService::Stub& StubOf(const std::string& aReplica);
  boost::asio::awaitable<void> WatchLeader();
  boost::asio::awaitable<void> AskMembers(std::string aReplica);
  boost::asio::awaitable<std::optional<v1::JobReply>>
  Attempt(const JobCall& aCall, const std::string& aReplica, Millis aTimeout);
  boost::asio::awaitable<void> Pause(Millis aSpan);
  void LogReadiness();

  boost::asio::io_context& io_;
  JobGatewayOptions options_;
  Metrics& metrics_;
  const Clock& clock_;
  LeaderFinder finder_;
  std::map<std::string, std::unique_ptr<v1::JobService::Stub>> stubs_;
  std::set<grpc::ClientContext*> contexts_; // of calls under way
  bool stopping_ = false;
  bool wasReady_ = false;
  size_t underWay_ = 0;
};

} // namespace vanillahatch
