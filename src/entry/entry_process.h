// One running entry: the network thread (HTTP), the decision thread (the
// core), and gRPC's threads, joined by a bounded ring of events.
#pragma once

#include "entry/control_link.h"
#include "entry/grant_link.h"
#include "entry/ledger_link.h"
#include "entry/peer_link.h"
#include "entry/pending_jobs.h"
#include "entry/slot_link.h"
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

  // Runs until a planned stop has finished. Returns the exit code.
  int Run();

private:
  using Awaited = boost::asio::awaitable<HttpResponse>;

  Awaited HandleHttp(HttpRequest aRequest);
  HttpResponse HandlePlain(const HttpRequest& aRequest,
                           const std::string& aTarget);
  Awaited HandleJob(HttpRequest aRequest);
  // `GET` and `DELETE` of /v1/jobs/{id}, forwarded to the entry in the id.
  Awaited HandleJobId(HttpRequest aRequest, std::string aPublicId);
  Awaited Forward(HttpRequest aRequest, const EntrySettings& aEntry);
  HttpResponse CancelJob(JobNumber aNumber);
  HttpResponse ShowJob(JobNumber aNumber) const;
  HttpResponse HandleAnnouncement(const HttpRequest& aRequest);
  HttpResponse HandleReady() const;
  boost::asio::awaitable<void> Attempt(Dispatch aDispatch);
  boost::asio::awaitable<void> Stop();
  boost::asio::awaitable<void> CloseStaleConnections();

  void DecisionLoop();
  void Decide(const EntryEvent& aEvent, Millis aNow);
  void ApplyState(const v1::FleetState& aState);
  // Passes the members' limits on whenever they change, as exceptions begin
  // and end.
  boost::asio::awaitable<void> WatchLimits();
  void TellGrants(const EntryEvent& aEvent, Millis aNow);
  void Perform(EntryAction aAction);
  void Do(const StartClaim& aAction);
  void Do(Dispatch aAction);
  void Do(const AbandonAttempt& aAction);
  void Do(const Answer& aAction);
  void Do(const Refuse& aAction);
  void Do(const RecordOutcome& aAction);
  void Do(const ShareFact& aAction);
  void Do(const UpstreamRemoved& aAction);
  void Do(const HealthChanged& aAction);
  void Do(const SendToPeer& aAction);

  std::string PublicId(JobNumber aNumber) const;
  std::string Claimant(JobNumber aNumber) const;

  Settings settings_;
  EntrySettings self_;
  Token upstreamToken_;
  SystemClock clock_;
  Metrics metrics_;
  Millis startedAt_;
  std::string startId_; // tells this run of the process from earlier ones

  boost::asio::io_context io_{ 1 };
  boost::asio::signal_set signals_{ io_ };
  HttpServer server_;
  HttpClient client_;
  PendingJobs pending_;
  // Exchanges under way, by attempt; used on the network thread.
  std::map<AttemptNumber, std::shared_ptr<ExchangeAbort>> exchanges_;
  std::map<JobNumber, v1::RecordedOutcome> recorded_; // network thread
  uint64_t nextJob_ = 1;
  std::atomic<bool> stopping_ = false;

  BoundedRing<EntryEvent> events_;
  EntryCore core_;
  std::thread decisions_;

  LedgerLink ledger_;
  SharedFacts sharedFacts_;
  PeerLink peers_;
  SlotLink slotLink_;
  PeerService peerService_;
  std::unique_ptr<grpc::Server> rpcServer_;
  std::unique_ptr<ControlLink> control_;
  std::unique_ptr<GrantLink> grants_;
  // Instances of the attempts under way; decision thread.
  std::map<AttemptNumber, InstanceName> attempts_;
  std::set<std::string> draining_; // as last applied; control link's thread
};

} // namespace vanillahatch
