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

// The believed leader is asked this often whether it still leads: about half of
// the time that it is believed in. Calls that it serves count as answers. A
// fleet's gateways ask the one leader, so each asks rarely.
constexpr Millis kWatchEvery = Millis(700);
constexpr Millis kSearchEvery = Millis(100);
constexpr Millis kMembersTimeout = Millis(400);
// A leader that is alive answers in tens of milliseconds.
constexpr Millis kAttemptTimeout = Millis(900);
constexpr Millis kRetryGap = Millis(50);
// Kept back from the caller's patience for the way back.
constexpr Millis kAnswerMargin = Millis(150);
// A caller is told to come back rather than kept while no leader is known.
constexpr Millis kWaitForLeader = Millis(700);
constexpr uint32_t kRetryAfterMs = 1000;

struct CallState
{
  grpc::ClientContext context_;
  v1::SubmitRequest submit_;
  v1::JobRequest request_;
  v1::MembersRequest membersRequest_;
  v1::MembersReply members_;
  v1::JobReply reply_;
};

// Runs `aBegin` with a callback and resumes on the caller's executor.
template<class Begin>
asio::awaitable<grpc::Status> AwaitCall(Begin aBegin)
{
  const auto executor = co_await asio::this_coro::executor;
  auto initiate = [executor, &aBegin](auto aHandler) {
    auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
    aBegin([handler, executor](grpc::Status aStatus) {
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
    io_, [this] { return WatchLeader(); }, asio::detached);
}

void JobGateway::Stop()
{
  stopping_ = true;
  for (grpc::ClientContext* context : contexts_) {
    context->TryCancel();
  }
}

v1::JobService::Stub& JobGateway::StubOf(const std::string& aReplica)
{
  std::unique_ptr<v1::JobService::Stub>& stub = stubs_[aReplica];
  if (!stub) {
    stub = v1::JobService::NewStub(
      MakeChannel({ .address_ = aReplica, .port_ = options_.port_ }));
  }
  return *stub;
}

asio::awaitable<void> JobGateway::Pause(Millis aSpan)
{
  boost::system::error_code ignored;
  asio::steady_timer timer(io_, std::chrono::milliseconds(aSpan.Count()));
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void JobGateway::LogReadiness()
{
  const bool isReady = IsReady();
  if (isReady == wasReady_) {
    return;
  }
  wasReady_ = isReady;
  const Millis age = clock_.Now() - finder_.ConfirmedAt();
  if (isReady) {
    LogInfo(Event::kLeaderFound, { { "leader", finder_.Leader() } });
  } else {
    LogWarning(Event::kLeaderLost, { { "confirmed_ms_ago", age.Count() } });
  }
}

asio::awaitable<void> JobGateway::WatchLeader()
{
  while (!stopping_) {
    const Millis sinceConfirmed = clock_.Now() - finder_.ConfirmedAt();
    if (finder_.Leader().empty() || sinceConfirmed >= kWatchEvery) {
      co_await AskMembers(finder_.NextToAsk());
    }
    LogReadiness();
    const bool isKnown = !finder_.Leader().empty() && IsReady();
    const Millis age = clock_.Now() - finder_.ConfirmedAt();
    co_await Pause(isKnown ? std::max(kWatchEvery - age, kSearchEvery)
                           : kSearchEvery);
  }
}

asio::awaitable<void> JobGateway::AskMembers(std::string aReplica)
{
  auto call = std::make_shared<CallState>();
  SetDeadline(call->context_, kMembersTimeout);
  contexts_.insert(&call->context_);
  const ScopeGuard ended([&] { contexts_.erase(&call->context_); });
  v1::JobService::Stub& stub = StubOf(aReplica);
  const grpc::Status status = co_await AwaitCall([&](auto aDone) {
    stub.async()->Members(
      &call->context_,
      &call->membersRequest_,
      &call->members_,
      [call, aDone](grpc::Status aStatus) { aDone(std::move(aStatus)); });
  });
  if (!status.ok()) {
    finder_.OnSilence(aReplica);
    co_return;
  }
  finder_.OnAnswer(
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
  const ScopeGuard ended([&] { contexts_.erase(&call->context_); });
  v1::JobService::Stub& stub = StubOf(aReplica);
  *call->request_.mutable_place() = aCall.place_;
  if (aCall.kind_ == JobCallKind::kSubmit) {
    *call->submit_.mutable_place() = aCall.place_;
    *call->submit_.mutable_spec() = aCall.spec_;
  }
  const grpc::Status status = co_await AwaitCall([&](auto aDone) {
    auto done = [call, aDone](grpc::Status aStatus) {
      aDone(std::move(aStatus));
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
  ++underWay_;
  const Millis begunAt = clock_.Now();
  const Millis until = begunAt + aCall.waitsFor_ - kAnswerMargin;
  bool mayBeStored = false;
  uint32_t tries = 0;
  std::string detail = "no leader is known";
  Millis withoutLeaderSince = begunAt;
  std::optional<v1::JobReply> answer;
  while (!answer && !stopping_ && clock_.Now() < until) {
    const std::string leader = finder_.Leader();
    if (leader.empty()) {
      if (clock_.Now() - withoutLeaderSince > kWaitForLeader) {
        break;
      }
      co_await Pause(kRetryGap);
      continue;
    }
    ++tries;
    const Millis left = until - clock_.Now();
    std::optional<v1::JobReply> reply =
      co_await Attempt(aCall, leader, std::min(left, kAttemptTimeout));
    if (!reply) {
      mayBeStored = true;
      detail = "the leader did not answer";
      finder_.OnSilence(leader);
      withoutLeaderSince = clock_.Now();
    } else if (reply->status() == v1::JOB_CALL_UNKNOWN) {
      mayBeStored = true;
      detail = reply->detail();
      withoutLeaderSince = clock_.Now();
    } else if (reply->status() == v1::JOB_CALL_NOT_LEADER) {
      detail = reply->detail();
      finder_.OnHint(reply->leader() != leader ? reply->leader()
                                               : std::string());
      co_await Pause(kRetryGap);
    } else {
      finder_.OnServed(clock_.Now(), leader);
      answer = std::move(reply);
    }
  }
  --underWay_;
  const Millis took = clock_.Now() - begunAt;
  metrics_.Observe("vh_call_milliseconds", static_cast<double>(took.Count()));
  if (!answer) {
    answer.emplace();
    answer->set_status(mayBeStored ? v1::JOB_CALL_UNKNOWN
                                   : v1::JOB_CALL_REFUSED);
    answer->set_retry_after_ms(kRetryAfterMs);
    answer->set_detail(detail);
  }
  const bool isServed = answer->status() == v1::JOB_CALL_OK ||
                        answer->status() == v1::JOB_CALL_NO_JOB ||
                        answer->status() == v1::JOB_CALL_NO_QUEUE;
  metrics_.Count(isServed ? "vh_calls_answered_total"
                          : "vh_calls_refused_total");
  if (isServed && aCall.kind_ == JobCallKind::kShow) {
    co_return std::move(*answer);
  }
  if (isServed) {
    LogInfo(Event::kCallAnswered,
            { { "request", aCall.place_.path() },
              { "kind", static_cast<int>(aCall.kind_) },
              { "status", static_cast<int>(answer->status()) },
              { "ms", took.Count() } });
  } else {
    const Millis age = clock_.Now() - finder_.ConfirmedAt();
    LogWarning(Event::kCallRefused,
               { { "request", aCall.place_.path() },
                 { "kind", static_cast<int>(aCall.kind_) },
                 { "status", static_cast<int>(answer->status()) },
                 { "reason", answer->detail() },
                 { "tries", tries },
                 { "leader_confirmed_ms_ago", age.Count() },
                 { "ms", took.Count() } });
  }
  co_return std::move(*answer);
}

} // namespace vanillahatch
