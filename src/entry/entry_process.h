// The process of one entry. The network thread serves HTTP, the decision thread
// runs `EntryCore`, and gRPC has threads of its own; they pass events to the
// decision thread through a bounded ring.
#pragma once

#include "entry/control_client.h"
#include "entry/grant_client.h"
#include "entry/ledger_client.h"
#include "entry/peer_rpc.h"
#include "entry/pending_jobs.h"
#include "entry/slot_client.h"
#include "vanillahatch/core/bounded_ring.h"
#include "vanillahatch/core/entry_core.h"
#include "vanillahatch/shell/http_client.h"
#include "vanillahatch/shell/http_server.h"
#include "vanillahatch/shell/metrics.h"
#include "vanillahatch/shell/system_clock.h"
#include "vanillahatch/shell/token.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <set>
#include <thread>

namespace vanillahatch {

class EntryProcess
{
public:
  EntryProcess(const Settings& aSettings,
               const EntrySettings& aSelf,
               Token aUpstreamToken);
  ~EntryProcess();

  // Runs until a planned stop (SIGTERM or SIGINT) has finished. Returns 0, or 1
  // if the RPC server can't be started.
  int Run();

private:
  using AwaitableResponse = boost::asio::awaitable<HttpResponse>;

  AwaitableResponse HandleHttp(HttpRequest aRequest);
  // Handles requests that need no waiting.
  HttpResponse HandleImmediate(const HttpRequest& aRequest,
                               const std::string& aTarget);
  AwaitableResponse HandleJob(HttpRequest aRequest);
  // Handles `GET` and `DELETE` of /v1/jobs/{id}; forwards them to the entry
  // that the id names.
  AwaitableResponse HandleJobId(HttpRequest aRequest, std::string aPublicId);
  AwaitableResponse Forward(HttpRequest aRequest, const EntrySettings& aEntry);
  // The response is the same for a job that has ended, which stays unchanged.
  HttpResponse CancelJob(JobNumber aNumber);
  HttpResponse GetJobState(JobNumber aNumber) const;
  HttpResponse HandleAnnouncement(const HttpRequest& aRequest);
  HttpResponse HandleReady() const;
  // Sends the job to the upstream and reports the result to the decision
  // thread.
  boost::asio::awaitable<void> RunAttempt(Dispatch aDispatch);
  boost::asio::awaitable<void> Stop();
  boost::asio::awaitable<void> CloseStaleConnections();

  void DecisionLoop();
  void HandleEvent(const EntryEvent& aEvent, Millis aNow);
  // Reports starts and ends of drains to the decision thread.
  void PushDrainChanges(const v1::FleetState& aState);
  // Reports the members' limits to the decision thread whenever they change,
  // also when exceptions start and end.
  boost::asio::awaitable<void> WatchMemberLimits();
  // Notifies `grantClient_` of upstreams, attempts that ended and applied
  // grants.
  void UpdateGrantClient(const EntryEvent& aEvent, Millis aNow);
  void Perform(EntryAction aAction);
  void PerformAction(const StartClaim& aAction);
  void PerformAction(Dispatch aAction);
  void PerformAction(const AbandonAttempt& aAction);
  void PerformAction(const Answer& aAction);
  void PerformAction(const Refuse& aAction);
  void PerformAction(const RecordOutcome& aAction);
  void PerformAction(const ShareFact& aAction);
  void PerformAction(const UpstreamRemoved& aAction);
  void PerformAction(const HealthChanged& aAction);
  void PerformAction(const SendToPeer& aAction);

  std::string PublicId(JobNumber aNumber) const;
  std::string Claimant(JobNumber aNumber) const;

  Settings settings_;
  EntrySettings self_;
  Token upstreamToken_;
  SystemClock clock_;
  Metrics metrics_;
  Millis startedAt_;
  // Unix time of the start in ms. Distinguishes this run of the process from
  // earlier ones, in job ids and as the session of grants.
  std::string startId_;

  boost::asio::io_context io_{ 1 };
  boost::asio::signal_set signals_{ io_ };
  HttpServer httpServer_;
  HttpClient httpClient_;
  PendingJobs pendingJobs_;
  // HTTP exchanges with upstreams; used on the network thread.
  std::map<AttemptNumber, std::shared_ptr<ExchangeAbort>> exchangesInFlight_;
  // Outcomes from the ledger, for `Answer`; used on the network thread.
  std::map<JobNumber, v1::RecordedOutcome> recordedOutcomes_;
  uint64_t nextJobNumber_ = 1;
  std::atomic<bool> stopping_ = false;

  BoundedRing<EntryEvent> events_;
  EntryCore core_;
  std::thread decisionThread_;

  LedgerClient ledgerClient_;
  SharedFactExchange factExchange_;
  FactSender factSender_;
  SlotClient slotClient_;
  PeerService peerService_;
  std::unique_ptr<grpc::Server> rpcServer_;
  std::unique_ptr<ControlClient> controlClient_;
  std::unique_ptr<GrantClient> grantClient_;
  // Instances of the attempts in flight; used on the decision thread.
  std::map<AttemptNumber, InstanceName> attemptInstances_;
  // Draining instances as of the last applied revision; used on the thread of
  // `controlClient_`.
  std::set<std::string> drainingInstances_;
};

} // namespace vanillahatch
