#include "gateway/job_gateway.h"

#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/rpc.h"
#include "vanillahatch/shell/scope_guard.h"

#include <algorithm>
#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace vanillahatch {

namespace asio = boost::asio;

namespace {

// The assumed leader is queried if it was not confirmed for this long: about
// half of `LeaderFinderOptions::maxConfirmationAge_`. Calls that it serves
// confirm it too. The interval is long because all gateways query the same
// leader.
constexpr Millis kConfirmInterval = Millis(700);
constexpr Millis kSearchInterval = Millis(100); // while no leader is confirmed
constexpr Millis kMembersTimeout = Millis(400);
// A healthy leader answers in tens of milliseconds.
constexpr Millis kAttemptTimeout = Millis(900);
constexpr Millis kRetryInterval = Millis(50);
// Part of the caller's timeout that is reserved for sending the reply.
constexpr Millis kReplyMargin = Millis(150);
// After this time without a leader, a call is rejected and may be retried.
constexpr Millis kNoLeaderTimeout = Millis(700);
constexpr uint32_t kRetryAfterMs = 1000;
// Limits the log lines that callers without a valid key cause.
constexpr Millis kUnauthorizedLogInterval = Millis(1000);

struct CallState
{
  grpc::ClientContext context_;
  v1::SubmitRequest submit_;
  v1::JobRequest request_;
  v1::MembersRequest membersRequest_;
  v1::MembersReply members_;
  v1::JobReply reply_;
};

// Whether a reply with `aStatus` excludes that an earlier attempt of the same
// call, whose outcome is unknown, has stored a change or will.
bool CoversEarlierAttempts(JobCallKind aKind, v1::JobCallStatus aStatus)
{
  switch (aKind) {
    case JobCallKind::kSubmit:
      return aStatus == v1::JOB_CALL_OK;
    case JobCallKind::kCancel:
      return aStatus == v1::JOB_CALL_OK || aStatus == v1::JOB_CALL_NO_JOB;
    case JobCallKind::kShow:
      break;
  }
  return true; // A read stores nothing.
}

// Calls `aStartCall` with a callback for the status of the RPC, and resumes on
// the caller's executor.
template<class Begin>
asio::awaitable<grpc::Status> AwaitStatus(Begin aStartCall)
{
  const auto executor = co_await asio::this_coro::executor;
  auto initiate = [executor, &aStartCall](auto aHandler) {
    auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
    aStartCall([handler, executor](grpc::Status aStatus) {
      asio::post(executor, [handler, status = std::move(aStatus)]() mutable {
        std::move (*handler)(std::move(status));
      });
    });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(grpc::Status)>(
    initiate, asio::use_awaitable);
}

} // namespace

JobGateway::JobGateway(asio::io_context& aIo,
                       JobGatewayOptions aOptions,
                       Metrics& aMetrics,
                       const Clock& aClock)
  : io_(aIo)
  , options_(std::move(aOptions))
  , metrics_(aMetrics)
  , clock_(aClock)
  , finder_({ .seeds_ = options_.seeds_ })
{
}

void JobGateway::Start()
{
  asio::co_spawn(
    io_, [this] { return TrackLeader(); }, asio::detached);
}

void JobGateway::Stop()
{
  isStopping_ = true;
  for (grpc::ClientContext* context : contexts_) {
    context->TryCancel();
  }
}

v1::JobService::Stub& JobGateway::StubFor(const std::string& aReplica)
{
  std::unique_ptr<v1::JobService::Stub>& stub = stubs_[aReplica];
  if (!stub) {
    stub = v1::JobService::NewStub(
      MakeChannel({ .address_ = aReplica, .port_ = options_.port_ }));
  }
  return *stub;
}

asio::awaitable<void> JobGateway::SleepFor(Millis aDuration)
{
  boost::system::error_code ignored;
  asio::steady_timer timer(io_, std::chrono::milliseconds(aDuration.Count()));
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void JobGateway::LogReadiness()
{
  const bool isReady = IsReady();
  if (isReady == lastLoggedReady_) {
    return;
  }
  lastLoggedReady_ = isReady;
  const Millis age = clock_.Now() - finder_.ConfirmedAt();
  if (isReady) {
    LogInfo(Event::kLeaderFound, { { "leader", finder_.Leader() } });
  } else {
    LogWarning(Event::kLeaderLost, { { "confirmed_ms_ago", age.Count() } });
  }
}

void JobGateway::LogUnauthorized(const JobCall& aCall)
{
  metrics_.Count("vh_calls_unauthorized_total");
  ++unauthorizedSinceLog_;
  const Millis now = clock_.Now();
  if (loggedUnauthorizedAt_ &&
      now - *loggedUnauthorizedAt_ < kUnauthorizedLogInterval) {
    return;
  }
  LogWarning(
    Event::kCallsUnauthorized,
    { { "calls", unauthorizedSinceLog_ }, { "latest", aCall.place_.path() } });
  loggedUnauthorizedAt_ = now;
  unauthorizedSinceLog_ = 0;
}

asio::awaitable<void> JobGateway::TrackLeader()
{
  while (!isStopping_) {
    const Millis sinceConfirmed = clock_.Now() - finder_.ConfirmedAt();
    if (finder_.Leader().empty() || sinceConfirmed >= kConfirmInterval) {
      co_await QueryMembers(finder_.NextReplicaToQuery());
    }
    LogReadiness();
    const bool hasFreshLeader = !finder_.Leader().empty() && IsReady();
    const Millis age = clock_.Now() - finder_.ConfirmedAt();
    co_await SleepFor(hasFreshLeader
                        ? std::max(kConfirmInterval - age, kSearchInterval)
                        : kSearchInterval);
  }
}

asio::awaitable<void> JobGateway::QueryMembers(std::string aReplica)
{
  auto call = std::make_shared<CallState>();
  SetDeadline(call->context_, kMembersTimeout);
  contexts_.insert(&call->context_);
  const ScopeGuard unregister([&] { contexts_.erase(&call->context_); });
  v1::JobService::Stub& stub = StubFor(aReplica);
  const grpc::Status status = co_await AwaitStatus([&](auto aOnStatus) {
    stub.async()->Members(&call->context_,
                          &call->membersRequest_,
                          &call->members_,
                          [call, aOnStatus](grpc::Status aStatus) {
                            aOnStatus(std::move(aStatus));
                          });
  });
  if (!status.ok()) {
    finder_.OnNoReply(aReplica);
    co_return;
  }
  finder_.OnMembersReply(
    clock_.Now(),
    aReplica,
    call->members_.leader(),
    call->members_.in_force(),
    { call->members_.members().begin(), call->members_.members().end() });
}

asio::awaitable<std::optional<v1::JobReply>> JobGateway::Attempt(
  const JobCall& aCall,
  const std::string& aReplica,
  Millis aTimeout)
{
  auto call = std::make_shared<CallState>();
  SetDeadline(call->context_, aTimeout);
  contexts_.insert(&call->context_);
  const ScopeGuard unregister([&] { contexts_.erase(&call->context_); });
  v1::JobService::Stub& stub = StubFor(aReplica);
  *call->request_.mutable_place() = aCall.place_;
  call->request_.set_key(aCall.key_.text_);
  call->request_.set_malformed_key(aCall.key_.isMalformed_);
  if (aCall.kind_ == JobCallKind::kSubmit) {
    *call->submit_.mutable_place() = aCall.place_;
    *call->submit_.mutable_spec() = aCall.spec_;
    call->submit_.set_key(aCall.key_.text_);
    call->submit_.set_malformed_key(aCall.key_.isMalformed_);
  }
  const grpc::Status status = co_await AwaitStatus([&](auto aOnStatus) {
    auto done = [call, aOnStatus](grpc::Status aStatus) {
      aOnStatus(std::move(aStatus));
    };
    switch (aCall.kind_) {
      case JobCallKind::kSubmit:
        stub.async()->Submit(
          &call->context_, &call->submit_, &call->reply_, done);
        return;
      case JobCallKind::kShow:
        stub.async()->Show(
          &call->context_, &call->request_, &call->reply_, done);
        return;
      case JobCallKind::kCancel:
        stub.async()->Cancel(
          &call->context_, &call->request_, &call->reply_, done);
        return;
    }
  });
  if (!status.ok()) {
    co_return std::nullopt;
  }
  co_return std::move(call->reply_);
}

asio::awaitable<v1::JobReply> JobGateway::Handle(JobCall aCall)
{
  ++callsInFlight_;
  const Millis startedAt = clock_.Now();
  const Millis deadline = startedAt + aCall.timeout_ - kReplyMargin;
  bool mayBeStored = false;
  uint32_t attempts = 0;
  std::string detail = "no leader is known";
  Millis withoutLeaderSince = startedAt;
  std::optional<v1::JobReply> result;
  while (!result && !isStopping_ && clock_.Now() < deadline) {
    const std::string leader = finder_.Leader();
    if (leader.empty()) {
      if (clock_.Now() - withoutLeaderSince > kNoLeaderTimeout) {
        break;
      }
      co_await SleepFor(kRetryInterval);
      continue;
    }
    ++attempts;
    const Millis remaining = deadline - clock_.Now();
    std::optional<v1::JobReply> reply =
      co_await Attempt(aCall, leader, std::min(remaining, kAttemptTimeout));
    if (!reply) {
      mayBeStored = true;
      detail = "the leader did not answer";
      finder_.OnNoReply(leader);
      withoutLeaderSince = clock_.Now();
    } else if (reply->status() == v1::JOB_CALL_UNKNOWN) {
      mayBeStored = true;
      detail = reply->detail();
      withoutLeaderSince = clock_.Now();
    } else if (reply->status() == v1::JOB_CALL_NOT_LEADER) {
      detail = reply->detail();
      finder_.OnHint(reply->leader() != leader ? reply->leader()
                                               : std::string());
      co_await SleepFor(kRetryInterval);
    } else {
      finder_.OnCallServed(clock_.Now(), leader);
      result = std::move(reply);
    }
  }
  --callsInFlight_;
  const Millis elapsed = clock_.Now() - startedAt;
  metrics_.Observe("vh_call_milliseconds",
                   static_cast<double>(elapsed.Count()));
  const auto lastReply = result ? result->status() : v1::JOB_CALL_UNSPECIFIED;
  if (result && mayBeStored &&
      !CoversEarlierAttempts(aCall.kind_, result->status())) {
    result->set_status(v1::JOB_CALL_UNKNOWN);
    metrics_.Count("vh_refusals_made_unknown_total");
  }
  if (!result) {
    result.emplace();
    result->set_status(mayBeStored ? v1::JOB_CALL_UNKNOWN
                                   : v1::JOB_CALL_REFUSED);
    result->set_retry_after_ms(kRetryAfterMs);
    result->set_detail(detail);
  }
  const bool isServed = result->status() == v1::JOB_CALL_OK ||
                        result->status() == v1::JOB_CALL_NO_JOB ||
                        result->status() == v1::JOB_CALL_NO_QUEUE;
  metrics_.Count(isServed ? "vh_calls_answered_total"
                          : "vh_calls_refused_total");
  if (isServed && aCall.kind_ == JobCallKind::kShow) {
    co_return std::move(*result);
  }
  if (result->status() == v1::JOB_CALL_UNAUTHORIZED) {
    LogUnauthorized(aCall);
    co_return std::move(*result);
  }
  if (isServed) {
    LogInfo(Event::kCallAnswered,
            { { "request", aCall.place_.path() },
              { "kind", static_cast<int>(aCall.kind_) },
              { "status", static_cast<int>(result->status()) },
              { "tries", attempts },
              { "may_be_stored", mayBeStored ? "yes" : "no" },
              { "timeout_ms", aCall.timeout_.Count() },
              { "ms", elapsed.Count() } });
  } else {
    const Millis age = clock_.Now() - finder_.ConfirmedAt();
    LogWarning(Event::kCallRefused,
               { { "request", aCall.place_.path() },
                 { "kind", static_cast<int>(aCall.kind_) },
                 { "status", static_cast<int>(result->status()) },
                 { "reason", result->detail() },
                 { "tries", attempts },
                 { "may_be_stored", mayBeStored ? "yes" : "no" },
                 { "last_reply", static_cast<int>(lastReply) },
                 { "leader_confirmed_ms_ago", age.Count() },
                 { "timeout_ms", aCall.timeout_.Count() },
                 { "ms", elapsed.Count() } });
  }
  co_return std::move(*result);
}

} // namespace vanillahatch
