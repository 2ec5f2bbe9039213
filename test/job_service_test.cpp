#define BOOST_TEST_MODULE job_service
#include "scheduler/job_service_impl.h"

#include "vanillahatch/shell/rpc.h"
#include "vanillahatch/shell/system_clock.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <future>
#include <set>
#include <thread>

using namespace vanillahatch;
namespace fs = std::filesystem;

namespace {

constexpr const char* kSelf = "127.0.0.1";
constexpr const char* kHost = "h.example";
constexpr const char* kService = "drafts";
constexpr std::chrono::milliseconds kPollInterval(10);
constexpr std::chrono::milliseconds kTimeForFirstLook(100);
constexpr int kMaxTrials = 20;
constexpr size_t kMaxJobBytes = 100000;

struct TemporaryFolder
{
  TemporaryFolder()
  {
    std::string name = (fs::temp_directory_path() / "vh-jobs-XXXXXX").string();
    path_ = mkdtemp(name.data());
  }
  ~TemporaryFolder() { fs::remove_all(path_); }

  fs::path path_;
};

// Holds up the replica's thread until `Release`.
class HeldReplica
{
public:
  explicit HeldReplica(LogReplica& aReplica)
  {
    std::promise<void> held;
    aReplica.RunAt(
      Millis(),
      [&held, release = release_.get_future().share()] {
        held.set_value();
        release.wait();
      },
      [] {});
    held.get_future().wait();
  }

  void Release() { release_.set_value(); }

private:
  std::promise<void> release_;
};

// A scheduler of one replica.
class JobServiceFixture
{
public:
  JobServiceFixture()
    : replica_({ .self_ = kSelf,
                 .replicas_ = { kSelf },
                 .dataFolder_ = folder_.path_ / "log",
                 .sync_ = false },
               store_,
               clock_)
    , service_(
        store_,
        replica_,
        metrics_,
        clock_,
        [] {},
        kMaxJobBytes)
  {
    BOOST_REQUIRE(replica_.Start());
    grpc::ServerBuilder builder;
    builder.RegisterService(&service_);
    server_ = builder.BuildAndStart();
    BOOST_REQUIRE(server_);
    stub_ = v1::JobService::NewStub(server_->InProcessChannel({}));
    while (!replica_.IsLeader()) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  ~JobServiceFixture()
  {
    replica_.Stop();
    server_->Shutdown();
  }

  // Proposes a configuration with the queues "/1/", "/2/", ... up to `aCount`.
  // The name of each is its number, after `aNamePrefix`.
  void ProposeQueues(int aCount, const std::string& aNamePrefix = {})
  {
    v1::JobChanges changes;
    v1::FleetDocument& config = *changes.add_changes()->mutable_put_config();
    config.set_version(static_cast<uint64_t>(aCount));
    config.add_services()->set_name(kService);
    for (int i = 1; i <= aCount; ++i) {
      v1::QueueSpec& queue = *config.add_queues();
      queue.set_name(aNamePrefix + std::to_string(i));
      queue.set_host(kHost);
      queue.set_path_prefix("/" + std::to_string(i) + "/");
      queue.set_service(kService);
    }
    Propose(changes);
  }

  void ProposeJob(int aQueue, const std::string& aId)
  {
    v1::JobChanges changes;
    v1::AcceptJob& job = *changes.add_changes()->mutable_accept_job();
    job.set_id(aId);
    job.set_queue(std::to_string(aQueue));
    job.set_service(kService);
    Propose(changes);
  }

  v1::JobReply Submit(int aQueue,
                      const std::string& aId,
                      const std::string& aText = {})
  {
    grpc::ClientContext context;
    v1::SubmitRequest request;
    request.mutable_spec()->set_text(aText);
    *request.mutable_place() = PlaceOf(aQueue, aId);
    v1::JobReply reply;
    BOOST_TEST(stub_->Submit(&context, request, &reply).ok());
    return reply;
  }

  void ForgetJob(const std::string& aId)
  {
    v1::JobChanges changes;
    changes.add_changes()->mutable_cancel_job()->set_id(aId);
    changes.add_changes()->mutable_forget_job()->set_id(aId);
    Propose(changes);
  }

  v1::JobReply Show(int aQueue, const std::string& aId)
  {
    grpc::ClientContext context;
    v1::JobReply reply;
    BOOST_TEST(stub_->Show(&context, Request(aQueue, aId), &reply).ok());
    return reply;
  }

  v1::JobReply Cancel(int aQueue, const std::string& aId)
  {
    grpc::ClientContext context;
    v1::JobReply reply;
    BOOST_TEST(stub_->Cancel(&context, Request(aQueue, aId), &reply).ok());
    return reply;
  }

  // Calls while the queue with the next number is proposed but not yet applied;
  // again if the reply has the status of a call that came too late.
  v1::JobReply CallWhileAQueueAppears(
    int& aQueue,
    const std::function<v1::JobReply()>& aCall,
    v1::JobCallStatus aTooLate)
  {
    v1::JobReply reply;
    do {
      ++aQueue;
      HeldReplica held(replica_);
      ProposeQueues(aQueue);
      auto called = std::async(std::launch::async, aCall);
      std::this_thread::sleep_for(kTimeForFirstLook);
      held.Release();
      reply = called.get();
    } while (reply.status() == aTooLate && aQueue < kMaxTrials);
    return reply;
  }

  LogReplica& Replica() { return replica_; }

private:
  static v1::JobPlace PlaceOf(int aQueue, const std::string& aId)
  {
    v1::JobPlace place;
    place.set_host(kHost);
    place.set_path("/" + std::to_string(aQueue) + "/" + aId);
    return place;
  }

  static v1::JobRequest Request(int aQueue, const std::string& aId)
  {
    v1::JobRequest request;
    *request.mutable_place() = PlaceOf(aQueue, aId);
    return request;
  }

  void Propose(const v1::JobChanges& aChanges)
  {
    replica_.Propose(aChanges.SerializeAsString(),
                     [](const ProposalResult&) {});
  }

  TemporaryFolder folder_;
  const SystemClock clock_;
  Metrics metrics_;
  JobStoreReplica store_;
  LogReplica replica_;
  JobServiceImpl service_;
  std::unique_ptr<grpc::Server> server_;
  std::unique_ptr<v1::JobService::Stub> stub_;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(SubmissionToAQueueThatAppearsMeanwhileIsRefused,
                        JobServiceFixture)
{
  // OK: the call arrived after the configuration was applied.
  int queue = 0;
  const v1::JobReply reply = CallWhileAQueueAppears(
    queue, [&] { return Submit(queue, "a"); }, v1::JOB_CALL_OK);
  BOOST_TEST(reply.status() == v1::JOB_CALL_REFUSED);
  BOOST_TEST(Show(queue, "a").status() == v1::JOB_CALL_NO_JOB);
}

BOOST_FIXTURE_TEST_CASE(CancellationOfAJobThatAppearsMeanwhileCancelsIt,
                        JobServiceFixture)
{
  ProposeQueues(1);
  BOOST_TEST(Show(1, "none").status() == v1::JOB_CALL_NO_JOB);
  std::string id;
  while (id.size() < kMaxTrials) {
    id += 'a';
    HeldReplica held(Replica());
    ProposeJob(1, id);
    auto cancelled =
      std::async(std::launch::async, [&] { return Cancel(1, id); });
    std::this_thread::sleep_for(kTimeForFirstLook);
    held.Release();
    const v1::JobReply reply = cancelled.get();
    BOOST_TEST(reply.status() == v1::JOB_CALL_OK);
    BOOST_TEST(reply.phase() == v1::JOB_CANCELLED);
    BOOST_TEST(Show(1, id).phase() == v1::JOB_CANCELLED);
  }
}

// Guards against a job that runs although its cancelling was acknowledged: a
// gateway goes on with the submission of a client that has left.
BOOST_FIXTURE_TEST_CASE(SubmissionAfterItsAcknowledgedCancellationIsNotRun,
                        JobServiceFixture)
{
  ProposeQueues(1);
  BOOST_TEST(Show(1, "a").status() == v1::JOB_CALL_NO_JOB);
  BOOST_TEST(Cancel(1, "a").status() == v1::JOB_CALL_NO_JOB);
  BOOST_TEST(Show(1, "a").status() == v1::JOB_CALL_NO_JOB);
  BOOST_TEST(Submit(1, "a").status() == v1::JOB_CALL_OK);
  BOOST_TEST(Show(1, "a").phase() == v1::JOB_CANCELLED);
  BOOST_TEST(Submit(1, "b").status() == v1::JOB_CALL_OK);
  BOOST_TEST(Show(1, "b").phase() == v1::JOB_QUEUED);
}

BOOST_FIXTURE_TEST_CASE(JobBeyondTheBytesOfStoredJobsIsRefused,
                        JobServiceFixture)
{
  ProposeQueues(1);
  BOOST_TEST(Show(1, "none").status() == v1::JOB_CALL_NO_JOB);
  const std::string text(kMaxJobBytes / 2, 't');
  BOOST_TEST(Submit(1, "a", text).status() == v1::JOB_CALL_OK);
  BOOST_TEST(Submit(1, "b", text).status() == v1::JOB_CALL_OK);
  const v1::JobReply refusal = Submit(1, "c", text);
  BOOST_TEST(refusal.status() == v1::JOB_CALL_REFUSED);
  BOOST_TEST(refusal.retry_after_ms() > 0U);
  BOOST_TEST(Submit(1, "a", text).status() == v1::JOB_CALL_OK);
  ForgetJob("a");
  while (Show(1, "a").status() != v1::JOB_CALL_NO_JOB) {
    std::this_thread::sleep_for(kPollInterval);
  }
  BOOST_TEST(Submit(1, "c", text).status() == v1::JOB_CALL_OK);
}

BOOST_FIXTURE_TEST_CASE(LargeJobsLeaveRoomForSmallOnes, JobServiceFixture)
{
  ProposeQueues(1);
  BOOST_TEST(Show(1, "none").status() == v1::JOB_CALL_NO_JOB);
  const std::string text(kMaxJobBytes * 3 / 4, 't');
  BOOST_TEST(Submit(1, "a", text).status() == v1::JOB_CALL_OK);
  BOOST_TEST(Submit(1, "b", text).status() == v1::JOB_CALL_REFUSED);
  BOOST_TEST(Submit(1, "c", "t").status() == v1::JOB_CALL_OK);
}

// Such a cancellation is not in the log, so it must not be acknowledged.
BOOST_FIXTURE_TEST_CASE(CancellationInAQueueThatAppearsMeanwhileIsRefused,
                        JobServiceFixture)
{
  // No such job: the call arrived after the configuration was applied.
  int queue = 0;
  const v1::JobReply reply = CallWhileAQueueAppears(
    queue, [&] { return Cancel(queue, "a"); }, v1::JOB_CALL_NO_JOB);
  BOOST_TEST(reply.status() == v1::JOB_CALL_REFUSED);
}

// Failure: after its queue had got another name, a job was answered as unknown,
// was not counted, and could not be cancelled.
BOOST_FIXTURE_TEST_CASE(JobOfARenamedQueueIsAnsweredAsUnknown,
                        JobServiceFixture)
{
  ProposeQueues(1);
  BOOST_TEST(Show(1, "a").status() == v1::JOB_CALL_NO_JOB);
  BOOST_TEST(Submit(1, "a").status() == v1::JOB_CALL_OK);
  ProposeQueues(2, "renamed-");
  BOOST_TEST(Show(2, "a").status() == v1::JOB_CALL_NO_JOB);
  BOOST_TEST(Show(1, "a").status() == v1::JOB_CALL_OK);
  BOOST_TEST(Show(1, "").waiting() == 1U);
  BOOST_TEST(Submit(1, "a").status() == v1::JOB_CALL_OK);
  BOOST_TEST(Submit(2, "a").status() == v1::JOB_CALL_INVALID);
  BOOST_TEST(Cancel(1, "a").status() == v1::JOB_CALL_OK);
  BOOST_TEST(Show(1, "a").phase() == v1::JOB_CANCELLED);
}

// Failure: the submission that came second was answered as accepted, though the
// job is in the other queue only.
BOOST_FIXTURE_TEST_CASE(SubmissionsOfOneIdToTwoQueuesAreBothAccepted,
                        JobServiceFixture)
{
  ProposeQueues(2);
  BOOST_TEST(Show(1, "a").status() == v1::JOB_CALL_NO_JOB);
  HeldReplica held(Replica());
  auto first =
    std::async(std::launch::async, [this] { return Submit(1, "a"); });
  auto second =
    std::async(std::launch::async, [this] { return Submit(2, "a"); });
  std::this_thread::sleep_for(kTimeForFirstLook);
  held.Release();
  const std::set<v1::JobCallStatus> statuses = { first.get().status(),
                                                 second.get().status() };
  const std::set<v1::JobCallStatus> expected = { v1::JOB_CALL_OK,
                                                 v1::JOB_CALL_INVALID };
  BOOST_TEST((statuses == expected));
}
