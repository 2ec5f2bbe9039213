#include "entry/entry_process.h"

#include "entry/announce_api.h"
#include "entry/job_api.h"
#include "vanillahatch/core/member_limits.h"
#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/rpc.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <csignal>

namespace vanillahatch {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr size_t kEventRingSize = 16384;
constexpr Millis kFactFlushInterval = Millis(20);
constexpr Millis kMemberLimitsInterval = Millis(500);
constexpr Millis kStopPollInterval = Millis(20);
// Within this time the load balancer notices that this entry is not ready.
constexpr Millis kNotReadyTime = Millis(1500);
constexpr std::string_view kJobsPath = "/v1/jobs/";
// Within this time a started entry has received every upstream's announcement
// that the other entries know.
constexpr Millis kDiscoveryTime = Seconds(2);
constexpr Millis kForwardTimeout = Seconds(1);
constexpr Millis kStaleConnectionInterval = Seconds(1);
// Limit of how far a caller's clock may be ahead of this entry's.
constexpr Millis kMaxClockSkew = Seconds(300);

asio::awaitable<void> Sleep(Millis aDuration)
{
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::milliseconds(aDuration.Count()));
  co_await timer.async_wait(asio::use_awaitable);
}

std::vector<PeerEntry> MakePeers(const Settings& aSettings)
{
  std::vector<PeerEntry> peers;
  for (const EntrySettings& entry : aSettings.entries_) {
    peers.push_back({ .name_ = entry.name_, .dataCentre_ = entry.dataCentre_ });
  }
  return peers;
}

std::string_view ToText(PublicJobState aState)
{
  static constexpr std::array<std::string_view, 5> kTexts = {
    "waiting", "running", "answered", "refused", "unknown",
  };
  return kTexts.at(static_cast<size_t>(aState));
}

uint64_t ToInteger(JobNumber aNumber)
{
  return static_cast<uint64_t>(aNumber);
}

} // namespace

EntryProcess::EntryProcess(const Settings& aSettings,
                           const EntrySettings& aSelf,
                           Token aUpstreamToken)
  : settings_(aSettings)
  , self_(aSelf)
  , upstreamToken_(std::move(aUpstreamToken))
  , startId_(std::to_string(clock_.UnixNow().Count()))
  , httpServer_(
      io_,
      { .endpoint_ = aSelf.http_, .limits_ = aSettings.limits_ },
      [this](HttpRequest aRequest) { return HandleHttp(std::move(aRequest)); })
  , events_(kEventRingSize)
  , core_({ .dataCentre_ = aSelf.dataCentre_, .requireGrants_ = true },
          MakeLeastInFlight(),
          [&](SlotTable& aTable) {
            return MakeBrokeredSharing(aTable,
                                       { .self_ = aSelf.name_,
                                         .entries_ = MakePeers(aSettings),
                                         .startNumber_ = static_cast<uint64_t>(
                                           clock_.UnixNow().Count()) });
          })
  , ledgerClient_(aSettings.ledgers_)
  , factSender_(aSelf.name_, aSettings.entries_, factExchange_, clock_)
  , slotClient_(aSelf.name_,
                aSettings.entries_,
                clock_,
                [this](const DataCentreName& aDataCentre, Millis aRoundTrip) {
                  events_.TryPush(LatencyMeasured{ .dataCentre_ = aDataCentre,
                                                   .roundTrip_ = aRoundTrip });
                })
  , peerService_(
      factExchange_,
      clock_,
      [this](const UpstreamFact& aFact) {
        events_.Push(FactArrived{ .fact_ = aFact, .fromPeer_ = true });
      },
      [this](const v1::SlotBatch& aBatch) {
        // A later message makes up for a lost one, so a full ring may drop it.
        for (PeerMessage& message : FromWire(aBatch)) {
          events_.TryPush(PeerMessageArrived{ .from_ = NodeName(aBatch.entry()),
                                              .message_ = std::move(message) });
        }
      })
{
}

EntryProcess::~EntryProcess() = default;

int EntryProcess::Run()
{
  rpcServer_ = StartServer(self_.rpc_, peerService_);
  if (!rpcServer_) {
    return 1;
  }
  controlClient_ = std::make_unique<ControlClient>(
    self_, settings_.controls_, [this](const v1::FleetState& aState) {
      PushDrainChanges(aState);
    });
  grantClient_ = std::make_unique<GrantClient>(
    settings_, self_, startId_, [this](const std::vector<Grant>& aGrants) {
      return events_.TryPush(GrantsArrived{ .grants_ = aGrants });
    });
  startedAt_ = clock_.Now();
  httpServer_.Start();
  decisionThread_ = std::thread([this] { DecisionLoop(); });
  asio::co_spawn(io_, CloseStaleConnections(), asio::detached);
  asio::co_spawn(io_, WatchMemberLimits(), asio::detached);
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.async_wait([this](boost::system::error_code aError, int) {
    if (!aError) {
      asio::co_spawn(io_, Stop(), asio::detached);
    }
  });
  LogInfo(Event::kProcessStarted,
          { { "node", self_.name_.View() },
            { "data_centre", self_.dataCentre_.View() } });
  io_.run();
  events_.Close();
  decisionThread_.join();
  controlClient_.reset();
  grantClient_.reset();
  rpcServer_->Shutdown();
  LogInfo(Event::kProcessStopped, { { "node", self_.name_.View() } });
  return 0;
}

asio::awaitable<void> EntryProcess::Stop()
{
  LogInfo(Event::kProcessStopping, { { "pending", pendingJobs_.Size() } });
  stopping_ = true;
  // Requests are served until the load balancer has noticed that this entry is
  // not ready; each response asks the caller to close the connection.
  const Millis deadline = clock_.Now() + settings_.limits_.stopGrace_;
  httpServer_.BeginDrain();
  co_await Sleep(kNotReadyTime);
  httpServer_.StopAccepting();
  events_.Push(StopRequested{});
  while (pendingJobs_.Size() > 0 && clock_.Now() < deadline) {
    co_await Sleep(kStopPollInterval);
  }
  while (httpServer_.OpenConnections() > 0 && clock_.Now() < deadline) {
    co_await Sleep(kStopPollInterval);
  }
  while (ledgerClient_.OperationCount() > 0 && clock_.Now() < deadline) {
    co_await Sleep(kStopPollInterval);
  }
  io_.stop();
}

asio::awaitable<void> EntryProcess::CloseStaleConnections()
{
  for (;;) {
    co_await Sleep(kStaleConnectionInterval);
    httpClient_.CloseStale();
  }
}

EntryProcess::AwaitableResponse EntryProcess::HandleHttp(HttpRequest aRequest)
{
  const std::string target(aRequest.target());
  if (target.starts_with("/v1/services/") &&
      aRequest.method() == http::verb::post) {
    co_return co_await HandleJob(std::move(aRequest));
  }
  const bool isJobMethod = aRequest.method() == http::verb::delete_ ||
                           aRequest.method() == http::verb::get;
  if (target.starts_with(kJobsPath) && isJobMethod) {
    std::string publicId = target.substr(kJobsPath.size());
    co_return co_await HandleJobId(std::move(aRequest), std::move(publicId));
  }
  co_return HandleImmediate(aRequest, target);
}

HttpResponse EntryProcess::HandleImmediate(const HttpRequest& aRequest,
                                           const std::string& aTarget)
{
  if (aTarget == "/v1/announce" && aRequest.method() == http::verb::post) {
    return HandleAnnouncement(aRequest);
  }
  if (aTarget == "/metrics") {
    controlClient_->Report(metrics_);
    grantClient_->Report(metrics_);
    HttpResponse response = MakeJson(200, metrics_.Render());
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    return response;
  }
  if (aTarget == "/healthz") {
    return MakeJson(200, "{\"ok\":true}");
  }
  if (aTarget == "/readyz") {
    return HandleReady();
  }
  return MakeProblem(404, "no-such-path", "no", aTarget);
}

EntryProcess::AwaitableResponse EntryProcess::HandleJob(HttpRequest aRequest)
{
  metrics_.Count("vh_jobs_arrived_total");
  // A job that is not repeatable may have run: another entry may have
  // dispatched an earlier request with the same key.
  const bool isRepeatable = aRequest["Vh-Repeatable"] != "no";
  Result<JobRequest, MalformedJob> parsed =
    ParseJob(aRequest, settings_.limits_, clock_.Now());
  if (parsed && parsed.value().issuedAt_ > clock_.UnixNow() + kMaxClockSkew) {
    parsed = failure(MalformedJob{ .field_ = "Vh-Issued-At",
                                   .detail_ = "lies in the future" });
  }
  if (!parsed) {
    LogWarning(Event::kRequestMalformed,
               { { "field", parsed.error().field_ } });
    co_return MakeProblem(400,
                          "malformed-request",
                          isRepeatable ? "no" : "unknown",
                          parsed.error().field_ + " " + parsed.error().detail_);
  }
  auto job = std::make_shared<PendingJob>();
  job->request_ = std::move(parsed).value();
  job->request_.number_ = JobNumber(nextJobNumber_++);
  job->publicId_ = PublicId(job->request_.number_);
  job->httpRequest_ = std::move(aRequest);
  job->wake_ = std::make_shared<asio::steady_timer>(
    io_, asio::steady_timer::time_point::max());
  EntryEvent arrived = JobArrived{ .request_ = job->request_ };
  if (!events_.TryPush(std::move(arrived))) {
    LogWarning(Event::kOverloaded, { { "ring", "entry-events" } });
    co_return MakeRefusal({ .code_ = RefusalCode::kQueueFull,
                            .executionStatus_ = isRepeatable
                                                  ? ExecutionStatus::kNotRun
                                                  : ExecutionStatus::kUnknown,
                            .retryAfter_ = Seconds(1),
                            .detail_ = "this entry is overloaded" });
  }
  pendingJobs_.Add(job);
  boost::system::error_code waitError;
  co_await job->wake_->async_wait(
    asio::redirect_error(asio::use_awaitable, waitError));
  HttpResponse response = std::move(*job->response_);
  response.set("Vh-Job", job->publicId_);
  metrics_.Observe(
    "vh_job_milliseconds",
    static_cast<double>((clock_.Now() - job->request_.arrivedAt_).Count()));
  co_return response;
}

EntryProcess::AwaitableResponse EntryProcess::HandleJobId(HttpRequest aRequest,
                                                          std::string aPublicId)
{
  // "{entry}.{start}.{number}"; names of entries may contain dots.
  const size_t numberDot = aPublicId.rfind('.');
  const size_t startDot = numberDot != std::string::npos && numberDot > 0
                            ? aPublicId.rfind('.', numberDot - 1)
                            : std::string::npos;
  if (startDot == std::string::npos) {
    co_return MakeProblem(404, "no-such-job", "unknown", "not a job's id");
  }
  const NodeName owner(std::string_view(aPublicId).substr(0, startDot));
  if (owner != self_.name_) {
    const auto entry = std::find_if(
      settings_.entries_.begin(),
      settings_.entries_.end(),
      [&](const EntrySettings& aEntry) { return aEntry.name_ == owner; });
    if (entry == settings_.entries_.end() ||
        !aRequest["Vh-Forwarded"].empty()) {
      co_return MakeProblem(404, "no-such-job", "unknown", "no such entry");
    }
    co_return co_await Forward(std::move(aRequest), *entry);
  }
  uint64_t number = 0;
  std::from_chars(aPublicId.data() + numberDot + 1,
                  aPublicId.data() + aPublicId.size(),
                  number);
  if (aPublicId != PublicId(JobNumber(number)) || number >= nextJobNumber_) {
    co_return MakeProblem(
      404, "no-such-job", "unknown", "not of this start of the entry");
  }
  co_return aRequest.method() == http::verb::get
    ? GetJobState(JobNumber(number))
    : CancelJob(JobNumber(number));
}

EntryProcess::AwaitableResponse EntryProcess::Forward(
  HttpRequest aRequest,
  const EntrySettings& aEntry)
{
  aRequest.set("Vh-Forwarded", self_.name_.View());
  aRequest.keep_alive(true);
  aRequest.prepare_payload();
  ExchangeResult result = co_await httpClient_.Exchange(
    aEntry.http_, std::move(aRequest), kForwardTimeout);
  if (result.status_ != ExchangeStatus::kAnswered) {
    co_return MakeProblem(
      503, "entry-unreachable", "unknown", "the job's entry does not answer");
  }
  co_return std::move(*result.response_);
}

HttpResponse EntryProcess::CancelJob(JobNumber aNumber)
{
  EntryEvent cancelled = JobCancelled{ .job_ = aNumber };
  if (!events_.TryPush(std::move(cancelled))) {
    LogWarning(Event::kOverloaded, { { "ring", "entry-events" } });
    return MakeProblem(
      503, "overloaded", "unknown", "the cancellation was not taken");
  }
  return MakeJson(202, "{\"cancel\":\"accepted\"}");
}

HttpResponse EntryProcess::GetJobState(JobNumber aNumber) const
{
  const std::string_view state = ToText(pendingJobs_.StateOf(aNumber));
  return MakeJson(200, "{\"state\":\"" + std::string(state) + "\"}");
}

HttpResponse EntryProcess::HandleAnnouncement(const HttpRequest& aRequest)
{
  if (!upstreamToken_.Accepts(aRequest[http::field::authorization])) {
    LogWarning(Event::kTokenRefused, { { "path", "/v1/announce" } });
    return MakeProblem(401, "unauthorized", "no", "wrong or missing token");
  }
  Result<UpstreamFact, MalformedAnnouncement> fact =
    ParseAnnouncement(aRequest.body());
  if (!fact) {
    LogWarning(Event::kRequestMalformed, { { "field", fact.error().field_ } });
    return MakeProblem(400,
                       "malformed-request",
                       "no",
                       fact.error().field_ + " " + fact.error().detail_);
  }
  events_.Push(FactArrived{ .fact_ = fact.value(), .fromPeer_ = false });
  return MakeJson(200, "{\"ok\":true}");
}

HttpResponse EntryProcess::HandleReady() const
{
  if (stopping_) {
    return MakeProblem(503, "stopping", "no", "planned stop");
  }
  if (!controlClient_->Ready()) {
    return MakeProblem(
      503, "starting", "no", "the latest configuration is not known yet");
  }
  if (clock_.Now() < startedAt_ + kDiscoveryTime) {
    return MakeProblem(
      503, "starting", "no", "not all upstreams may be known yet");
  }
  return MakeJson(200, "{\"ready\":true," + controlClient_->StatusJson() + "}");
}

asio::awaitable<void> EntryProcess::RunAttempt(Dispatch aDispatch)
{
  const std::shared_ptr<PendingJob> job = pendingJobs_.Find(aDispatch.job_);
  AttemptEnded ended{ .job_ = aDispatch.job_,
                      .attempt_ = aDispatch.attempt_,
                      .result_ = AttemptResult::kNotSent };
  if (!job) {
    events_.Push(std::move(ended));
    co_return;
  }
  job->state_ = PublicJobState::kRunning;
  HttpRequest request = MakeUpstreamRequest(job->httpRequest_, job->publicId_);
  auto abort = std::make_shared<ExchangeAbort>();
  exchangesInFlight_[aDispatch.attempt_] = abort;
  ExchangeResult result = co_await httpClient_.Exchange(aDispatch.endpoint_,
                                                        std::move(request),
                                                        aDispatch.timeLeft_,
                                                        abort,
                                                        aDispatch.sendBy_);
  exchangesInFlight_.erase(aDispatch.attempt_);
  if (result.status_ == ExchangeStatus::kAnswered) {
    ended.result_ = AttemptResult::kAnswered;
    ended.httpStatus_ = result.response_->result_int();
    if (!abort->Aborted()) {
      job->answers_[aDispatch.attempt_] = std::move(*result.response_);
    }
  } else {
    ended.result_ = result.status_ == ExchangeStatus::kNotSent
                      ? AttemptResult::kNotSent
                      : AttemptResult::kUnknown;
    LogWarning(Event::kAttemptFailed,
               { { "job", job->publicId_ },
                 { "instance", aDispatch.instance_.View() },
                 { "detail", result.detail_ } });
  }
  events_.Push(std::move(ended));
}

void EntryProcess::DecisionLoop()
{
  Millis nextFlush = clock_.Now() + kFactFlushInterval;
  for (;;) {
    const Millis wake = std::min(core_.NextWake(), nextFlush);
    const Millis wait = std::max(wake - clock_.Now(), Millis(0));
    std::optional<EntryEvent> event = events_.PopFor(wait);
    if (!event && events_.IsClosed()) {
      return;
    }
    const Millis now = clock_.Now();
    if (event) {
      HandleEvent(*event, now);
      UpdateGrantClient(*event, now);
    }
    if (now >= core_.NextWake()) {
      HandleEvent(TimerTick{}, now);
    }
    if (now >= nextFlush) {
      nextFlush = now + kFactFlushInterval;
      factSender_.Flush();
    }
  }
}

void EntryProcess::HandleEvent(const EntryEvent& aEvent, Millis aNow)
{
  for (EntryAction& action : core_.Handle(aEvent, aNow)) {
    Perform(std::move(action));
  }
}

void EntryProcess::PushDrainChanges(const v1::FleetState& aState)
{
  std::set<std::string> draining;
  for (const v1::Membership& membership : aState.memberships()) {
    if (membership.draining()) {
      draining.insert(membership.instance());
    }
  }
  const auto pushChanges = [&](const std::set<std::string>& aInstances,
                               const std::set<std::string>& aExcluded,
                               bool aDraining) {
    for (const std::string& instance : aInstances) {
      if (!aExcluded.contains(instance)) {
        events_.Push(DrainChanged{ .instance_ = InstanceName(instance),
                                   .draining_ = aDraining });
      }
    }
  };
  pushChanges(draining, drainingInstances_, true);
  pushChanges(drainingInstances_, draining, false);
  drainingInstances_ = std::move(draining);
}

asio::awaitable<void> EntryProcess::WatchMemberLimits()
{
  std::vector<MemberLimit> current;
  for (;;) {
    const auto state = controlClient_->State();
    std::vector<MemberLimit> limits = EffectiveMemberLimits(
      state ? *state : v1::FleetState(), clock_.UnixNow());
    if (limits != current) {
      current = limits;
      events_.Push(MemberLimitsChanged{ .limits_ = std::move(limits) });
    }
    co_await Sleep(kMemberLimitsInterval);
  }
}

void EntryProcess::UpdateGrantClient(const EntryEvent& aEvent, Millis aNow)
{
  if (const auto* const fact = std::get_if<FactArrived>(&aEvent)) {
    const InstanceName& instance = fact->fact_.instance_;
    const UpstreamFact* known = core_.Directory().Find(instance, aNow);
    if (known != nullptr) {
      grantClient_->PutUpstream(*known);
    } else {
      grantClient_->RemoveUpstream(instance);
    }
  } else if (const auto* const ended = std::get_if<AttemptEnded>(&aEvent)) {
    const auto it = attemptInstances_.find(ended->attempt_);
    if (it != attemptInstances_.end()) {
      grantClient_->OnAttemptEnded(it->second);
      attemptInstances_.erase(it);
    }
  } else if (std::holds_alternative<GrantsArrived>(aEvent)) {
    grantClient_->OnGrantsApplied();
  }
}

void EntryProcess::Perform(EntryAction aAction)
{
  std::visit(
    [this](auto& aTypedAction) { PerformAction(std::move(aTypedAction)); },
    aAction);
}

void EntryProcess::PerformAction(const StartClaim& aAction)
{
  ledgerClient_.Claim(
    { .key_ = aAction.key_.Str(),
      .claimant_ = Claimant(aAction.job_),
      .issuedAt_ = aAction.issuedAt_,
      .deadline_ = aAction.deadline_ },
    [this, job = aAction.job_](KeyClaimResult aResult,
                               const v1::RecordedOutcome& aOutcome) {
      LogInfo(
        Event::kClaimDecided,
        { { "job", PublicId(job) }, { "verdict", static_cast<int>(aResult) } });
      if (aResult != KeyClaimResult::kRecorded) {
        events_.Push(ClaimEnded{ .job_ = job, .result_ = aResult });
        return;
      }
      asio::post(io_, [this, job, aOutcome] {
        recordedOutcomes_[job] = aOutcome;
        events_.Push(
          ClaimEnded{ .job_ = job, .result_ = KeyClaimResult::kRecorded });
      });
    });
}

void EntryProcess::PerformAction(Dispatch aAction)
{
  attemptInstances_[aAction.attempt_] = aAction.instance_;
  grantClient_->OnAttemptStarted(aAction.instance_);
  LogInfo(Event::kRouteChosen,
          { { "job", PublicId(aAction.job_) },
            { "attempt", static_cast<uint64_t>(aAction.attempt_) },
            { "candidates", aAction.candidates_ },
            { "choice", aAction.instance_.View() },
            { "reason", aAction.reason_ } });
  ledgerClient_.MarkDispatched(Claimant(aAction.job_));
  asio::co_spawn(io_, RunAttempt(std::move(aAction)), asio::detached);
}

void EntryProcess::PerformAction(const AbandonAttempt& aAction)
{
  LogInfo(Event::kLateAnswerDiscarded,
          { { "job", PublicId(aAction.job_) },
            { "attempt", static_cast<uint64_t>(aAction.attempt_) } });
  asio::post(io_, [this, attempt = aAction.attempt_] {
    const auto exchange = exchangesInFlight_.find(attempt);
    if (exchange != exchangesInFlight_.end()) {
      exchange->second->Abort();
    }
  });
}

void EntryProcess::PerformAction(const Answer& aAction)
{
  metrics_.Count("vh_jobs_answered_total");
  LogInfo(Event::kJobAnswered,
          { { "job", PublicId(aAction.job_) },
            { "from_record", aAction.fromRecord_ ? 1 : 0 } });
  asio::post(io_, [this, aAction] {
    const std::shared_ptr<PendingJob> job = pendingJobs_.Find(aAction.job_);
    if (!job) {
      recordedOutcomes_.erase(aAction.job_);
      return;
    }
    if (!aAction.fromRecord_) {
      HttpResponse answer = std::move(job->answers_[aAction.attempt_]);
      pendingJobs_.Complete(aAction.job_, std::move(answer));
      return;
    }
    const v1::RecordedOutcome outcome =
      std::move(recordedOutcomes_[aAction.job_]);
    recordedOutcomes_.erase(aAction.job_);
    if (outcome.body_omitted()) {
      pendingJobs_.Complete(
        aAction.job_,
        MakeProblem(409,
                    "answer-not-kept",
                    "unknown",
                    "the job ran and answered " +
                      std::to_string(outcome.http_status()) +
                      "; the answer was too large to keep"));
      return;
    }
    HttpResponse response = MakeJson(outcome.http_status(), outcome.body());
    response.set(http::field::content_type, outcome.content_type());
    response.set("Vh-From-Record", "yes");
    pendingJobs_.Complete(aAction.job_, std::move(response));
  });
}

void EntryProcess::PerformAction(const Refuse& aAction)
{
  metrics_.Count("vh_jobs_refused_total");
  LogInfo(Event::kJobRefused,
          { { "job", PublicId(aAction.job_) },
            { "code", ToText(aAction.refusal_.code_) },
            { "ran",
              aAction.refusal_.executionStatus_ == ExecutionStatus::kNotRun
                ? "no"
                : "unknown" },
            { "reason", aAction.refusal_.detail_ } });
  ledgerClient_.Release(Claimant(aAction.job_),
                        aAction.refusal_.executionStatus_ ==
                          ExecutionStatus::kNotRun);
  asio::post(io_, [this, aAction] {
    pendingJobs_.Complete(
      aAction.job_, MakeRefusal(aAction.refusal_), PublicJobState::kRefused);
  });
}

void EntryProcess::PerformAction(const RecordOutcome& aAction)
{
  asio::post(io_, [this, aAction] {
    const std::shared_ptr<PendingJob> job = pendingJobs_.Find(aAction.job_);
    if (!job) {
      return;
    }
    ledgerClient_.Record(Claimant(aAction.job_),
                         MakeOutcome(job->answers_[aAction.attempt_]));
  });
}

void EntryProcess::PerformAction(const ShareFact& aAction)
{
  if (aAction.fact_.departed_) {
    LogInfo(Event::kUpstreamDeparted,
            { { "instance", aAction.fact_.instance_.View() } });
  } else if (aAction.fact_.sequence_ == 1) {
    LogInfo(Event::kUpstreamAnnounced,
            { { "instance", aAction.fact_.instance_.View() },
              { "service", aAction.fact_.service_.View() } });
  }
  factExchange_.Receive(aAction.fact_, clock_.Now());
}

void EntryProcess::PerformAction(const UpstreamRemoved& aAction)
{
  grantClient_->RemoveUpstream(aAction.instance_);
  LogWarning(Event::kUpstreamExpired,
             { { "instance", aAction.instance_.View() } });
}

void EntryProcess::PerformAction(const HealthChanged& aAction)
{
  metrics_.Count("vh_health_changes_total");
  LogWarning(Event::kHealthChanged,
             { { "instance", aAction.instance_.View() },
               { "state", ToText(aAction.state_) } });
}

void EntryProcess::PerformAction(const SendToPeer& aAction)
{
  slotClient_.Send(aAction.to_, aAction.message_);
}

std::string EntryProcess::PublicId(JobNumber aNumber) const
{
  return self_.name_.Str() + "." + startId_ + "." +
         std::to_string(ToInteger(aNumber));
}

std::string EntryProcess::Claimant(JobNumber aNumber) const
{
  return PublicId(aNumber);
}

} // namespace vanillahatch
