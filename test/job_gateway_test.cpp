#define BOOST_TEST_MODULE job_gateway
#include "gateway/job_gateway.h"

#include "platform/job_messages.h"
#include "vanillahatch/shell/system_clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <mutex>
#include <thread>

using namespace vanillahatch;
namespace asio = boost::asio;

namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr const char* kOtherLoopback = "127.0.0.2"; // of the same leader
constexpr std::chrono::milliseconds kTimeUntilFailure(300);
constexpr std::chrono::milliseconds kPollInterval(5);

// One reply of the leader; without a status the RPC fails.
using Step = std::optional<v1::JobCallStatus>;

// A leader that replies to job calls as a test has planned.
class FakeLeader : public v1::JobService::CallbackService
{
public:
  explicit FakeLeader(std::deque<Step> aSteps)
    : steps_(std::move(aSteps))
  {
  }

  grpc::ServerUnaryReactor* Submit(grpc::CallbackServerContext* aContext,
                                   const v1::SubmitRequest* /*aRequest*/,
                                   v1::JobReply* aReply) override
  {
    return Reply(aContext, *aReply);
  }

  grpc::ServerUnaryReactor* Show(grpc::CallbackServerContext* aContext,
                                 const v1::JobRequest* /*aRequest*/,
                                 v1::JobReply* aReply) override
  {
    return Reply(aContext, *aReply);
  }

  grpc::ServerUnaryReactor* Cancel(grpc::CallbackServerContext* aContext,
                                   const v1::JobRequest* /*aRequest*/,
                                   v1::JobReply* aReply) override
  {
    return Reply(aContext, *aReply);
  }

  grpc::ServerUnaryReactor* Members(grpc::CallbackServerContext* aContext,
                                    const v1::MembersRequest* /*aRequest*/,
                                    v1::MembersReply* aReply) override
  {
    grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
    aReply->set_leader(kLoopback);
    aReply->set_in_force(true);
    aReply->add_members(kLoopback);
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  size_t StepsLeft()
  {
    const std::lock_guard lock(mutex_);
    return steps_.size();
  }

private:
  grpc::ServerUnaryReactor* Reply(grpc::CallbackServerContext* aContext,
                                  v1::JobReply& aReply)
  {
    grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
    const Step step = TakeStep();
    if (step) {
      aReply.set_status(*step);
      if (*step == v1::JOB_CALL_NOT_LEADER) {
        aReply.set_leader(kOtherLoopback);
      }
      reactor->Finish(grpc::Status::OK);
    } else {
      // The gateway must look for the leader again before it gives the call up.
      std::this_thread::sleep_for(kTimeUntilFailure);
      reactor->Finish({ grpc::StatusCode::UNAVAILABLE, "no reply" });
    }
    return reactor;
  }

  Step TakeStep()
  {
    const std::lock_guard lock(mutex_);
    if (steps_.empty()) {
      return std::nullopt;
    }
    const Step step = steps_.front();
    steps_.pop_front();
    return step;
  }

  std::mutex mutex_; // guards steps_
  std::deque<Step> steps_;
};

// A gateway whose leader answers attempts with `aSteps`.
class Deployment
{
public:
  Deployment(std::deque<Step> aSteps, Metrics& aMetrics)
    : leader_(std::move(aSteps))
  {
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(
      "0.0.0.0:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&leader_);
    server_ = builder.BuildAndStart();
    BOOST_REQUIRE(server_);
    JobGatewayOptions options{ .seeds_ = { kLoopback },
                               .port_ = static_cast<uint16_t>(port) };
    gateway_.emplace(io_, std::move(options), aMetrics, clock_);
    gateway_->Start();
  }

  // Returns the status of a call. The leader's steps must last as long as it.
  v1::JobCallStatus Call(JobCallKind aKind)
  {
    v1::JobReply reply;
    asio::co_spawn(
      io_,
      [&]() -> asio::awaitable<void> {
        // Not a temporary: GCC copies nested aggregates of one bitwise here.
        JobCall call{ .kind_ = aKind, .timeout_ = Seconds(5) };
        reply = co_await gateway_->Handle(std::move(call));
        gateway_->Stop();
      },
      asio::detached);
    io_.run();
    BOOST_TEST(leader_.StepsLeft() == 0U);
    return reply.status();
  }

  // Stops the gateway once the leader has received the last planned attempt.
  void StopDuringLastAttempt()
  {
    asio::co_spawn(
      io_,
      [this]() -> asio::awaitable<void> {
        asio::steady_timer timer(io_);
        while (leader_.StepsLeft() > 0) {
          timer.expires_after(kPollInterval);
          co_await timer.async_wait(asio::use_awaitable);
        }
        gateway_->Stop();
      },
      asio::detached);
  }

private:
  FakeLeader leader_;
  std::unique_ptr<grpc::Server> server_;
  asio::io_context io_;
  const SystemClock clock_;
  std::optional<JobGateway> gateway_;
};

// Returns the status of a call whose attempts the leader answers with `aSteps`.
v1::JobCallStatus Call(JobCallKind aKind,
                       std::deque<Step> aSteps,
                       Metrics& aMetrics)
{
  return Deployment(std::move(aSteps), aMetrics).Call(aKind);
}

v1::JobCallStatus Call(JobCallKind aKind, std::deque<Step> aSteps)
{
  Metrics metrics;
  return Call(aKind, std::move(aSteps), metrics);
}

} // namespace

BOOST_AUTO_TEST_CASE(RefusalAfterAnAttemptWithoutReplyIsUnknown)
{
  for (const JobCallKind kind :
       { JobCallKind::kSubmit, JobCallKind::kCancel }) {
    BOOST_TEST(Call(kind, { std::nullopt, v1::JOB_CALL_REFUSED }) ==
               v1::JOB_CALL_UNKNOWN);
  }
}

BOOST_AUTO_TEST_CASE(RefusalAfterAnAttemptOfUnknownOutcomeIsUnknown)
{
  BOOST_TEST(Call(JobCallKind::kSubmit,
                  { v1::JOB_CALL_UNKNOWN, v1::JOB_CALL_REFUSED }) ==
             v1::JOB_CALL_UNKNOWN);
}

BOOST_AUTO_TEST_CASE(MissingQueueAfterAnAttemptWithoutReplyIsUnknown)
{
  for (const JobCallKind kind :
       { JobCallKind::kSubmit, JobCallKind::kCancel }) {
    BOOST_TEST(Call(kind, { std::nullopt, v1::JOB_CALL_NO_QUEUE }) ==
               v1::JOB_CALL_UNKNOWN);
  }
}

BOOST_AUTO_TEST_CASE(InvalidJobAfterAnAttemptWithoutReplyIsUnknown)
{
  BOOST_TEST(
    Call(JobCallKind::kSubmit, { std::nullopt, v1::JOB_CALL_INVALID }) ==
    v1::JOB_CALL_UNKNOWN);
}

BOOST_AUTO_TEST_CASE(UnauthorizedCallAfterAnAttemptWithoutReplyIsUnknown)
{
  for (const JobCallKind kind :
       { JobCallKind::kSubmit, JobCallKind::kCancel }) {
    BOOST_TEST(Call(kind, { std::nullopt, v1::JOB_CALL_UNAUTHORIZED }) ==
               v1::JOB_CALL_UNKNOWN);
  }
  BOOST_TEST(
    Call(JobCallKind::kShow, { std::nullopt, v1::JOB_CALL_UNAUTHORIZED }) ==
    v1::JOB_CALL_UNAUTHORIZED);
}

BOOST_AUTO_TEST_CASE(MissingJobAfterASubmissionWithoutReplyIsUnknown)
{
  BOOST_TEST(
    Call(JobCallKind::kSubmit, { std::nullopt, v1::JOB_CALL_NO_JOB }) ==
    v1::JOB_CALL_UNKNOWN);
}

BOOST_AUTO_TEST_CASE(UncertaintyOutlastsAnAttemptAtAnotherReplica)
{
  BOOST_TEST(Call(JobCallKind::kSubmit,
                  { v1::JOB_CALL_UNKNOWN,
                    v1::JOB_CALL_NOT_LEADER,
                    v1::JOB_CALL_REFUSED }) == v1::JOB_CALL_UNKNOWN);
}

BOOST_AUTO_TEST_CASE(MissingJobAfterACancellationWithoutReplyIsDefinite)
{
  BOOST_TEST(
    Call(JobCallKind::kCancel, { std::nullopt, v1::JOB_CALL_NO_JOB }) ==
    v1::JOB_CALL_NO_JOB);
}

BOOST_AUTO_TEST_CASE(RefusalOfTheOnlyAttemptStaysARefusal)
{
  BOOST_TEST(Call(JobCallKind::kSubmit, { v1::JOB_CALL_REFUSED }) ==
             v1::JOB_CALL_REFUSED);
}

BOOST_AUTO_TEST_CASE(StatusOfTheOnlyAttemptIsReturned)
{
  for (const v1::JobCallStatus status :
       { v1::JOB_CALL_NO_QUEUE, v1::JOB_CALL_INVALID }) {
    BOOST_TEST(Call(JobCallKind::kSubmit, { status }) == status);
  }
}

BOOST_AUTO_TEST_CASE(ForbiddenCancellationAfterOneWithoutReplyIsUnknown)
{
  BOOST_TEST(Call(JobCallKind::kCancel, { v1::JOB_CALL_FORBIDDEN }) ==
             v1::JOB_CALL_FORBIDDEN);
  BOOST_TEST(
    Call(JobCallKind::kCancel, { std::nullopt, v1::JOB_CALL_FORBIDDEN }) ==
    v1::JOB_CALL_UNKNOWN);
  BOOST_TEST(
    Call(JobCallKind::kShow, { std::nullopt, v1::JOB_CALL_FORBIDDEN }) ==
    v1::JOB_CALL_FORBIDDEN);
}

BOOST_AUTO_TEST_CASE(RefusalAfterAnAttemptAtAnotherReplicaStaysARefusal)
{
  BOOST_TEST(Call(JobCallKind::kSubmit,
                  { v1::JOB_CALL_NOT_LEADER, v1::JOB_CALL_REFUSED }) ==
             v1::JOB_CALL_REFUSED);
}

BOOST_AUTO_TEST_CASE(AcceptanceAfterAnAttemptWithoutReplyIsKnown)
{
  BOOST_TEST(Call(JobCallKind::kSubmit, { std::nullopt, v1::JOB_CALL_OK }) ==
             v1::JOB_CALL_OK);
}

BOOST_AUTO_TEST_CASE(RefusalOfAReadStaysARefusal)
{
  BOOST_TEST(Call(JobCallKind::kShow, { std::nullopt, v1::JOB_CALL_REFUSED }) ==
             v1::JOB_CALL_REFUSED);
}

BOOST_AUTO_TEST_CASE(CallInFlightWhenTheGatewayStopsIsUnknown)
{
  Metrics metrics;
  Deployment deployment({ std::nullopt }, metrics);
  deployment.StopDuringLastAttempt();
  BOOST_TEST(deployment.Call(JobCallKind::kSubmit) == v1::JOB_CALL_UNKNOWN);
}

BOOST_AUTO_TEST_CASE(RefusalsMadeUnknownAreCounted)
{
  const std::string kCounter = "vh_refusals_made_unknown_total 1";
  Metrics metrics;
  Call(JobCallKind::kSubmit, { v1::JOB_CALL_REFUSED }, metrics);
  BOOST_TEST(metrics.Render().find(kCounter) == std::string::npos);
  Call(JobCallKind::kSubmit,
       { v1::JOB_CALL_UNKNOWN, v1::JOB_CALL_REFUSED },
       metrics);
  BOOST_TEST(metrics.Render().find(kCounter) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ReplyOfAnUnrecognizedStatusDoesNotPromiseThatNothingRan)
{
  constexpr auto kLaterStatus = static_cast<v1::JobCallStatus>(99);
  for (const v1::JobCallStatus status :
       { v1::JOB_CALL_UNSPECIFIED, kLaterStatus }) {
    v1::JobReply reply;
    reply.set_status(status);
    BOOST_TEST(platform::EncodeReply(reply).result_int() == 504U);
  }
}
