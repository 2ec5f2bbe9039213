// Calls of customers at the replicas of a scheduler.
#define BOOST_TEST_MODULE customer_calls
#include "scheduler/job_service_impl.h"

#include "vanillahatch/shell/rpc.h"
#include "vanillahatch/shell/system_clock.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <filesystem>
#include <future>
#include <thread>

using namespace vanillahatch;
namespace fs = std::filesystem;

namespace {

constexpr const char* kHost = "h.example";
constexpr const char* kKeyedPath = "/keyed/";
constexpr const char* kAnonymousPath = "/anonymous/";
constexpr std::chrono::milliseconds kPollInterval(10);
constexpr std::chrono::seconds kMaxWait(20);
constexpr std::chrono::milliseconds kTimeForFirstLook(100);

using KeysByCustomer = std::map<std::string, std::vector<std::string>>;

bool WaitFor(const std::function<bool()>& aCondition)
{
  const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
  while (!aCondition() && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return aCondition();
}

struct TemporaryFolder
{
  TemporaryFolder()
  {
    std::string name = (fs::temp_directory_path() / "vh-keys-XXXXXX").string();
    path_ = mkdtemp(name.data());
  }
  ~TemporaryFolder() { fs::remove_all(path_); }

  fs::path path_;
};

// Holds up the replica's thread until it is destroyed.
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
  ~HeldReplica() { release_.set_value(); }
  HeldReplica(const HeldReplica&) = delete;
  HeldReplica& operator=(const HeldReplica&) = delete;

private:
  std::promise<void> release_;
};

// A configuration with a queue that needs keys and one that allows anonymous
// calls.
v1::FleetDocument MakeConfig(uint64_t aVersion, const KeysByCustomer& aKeys)
{
  v1::FleetDocument config;
  config.set_version(aVersion);
  config.set_checks_keys(true);
  config.add_services()->set_name("topups");
  for (const char* path : { kKeyedPath, kAnonymousPath }) {
    v1::QueueSpec& queue = *config.add_queues();
    queue.set_name(path);
    queue.set_host(kHost);
    queue.set_path_prefix(path);
    queue.set_service("topups");
    queue.set_allow_anonymous(path == kAnonymousPath);
  }
  for (const auto& [name, keys] : aKeys) {
    v1::CustomerSpec& customer = *config.add_customers();
    customer.set_name(name);
    for (const std::string& key : keys) {
      customer.add_keys(key);
    }
  }
  return config;
}

// One replica with its services. Its name is its address.
class Replica
{
public:
  Replica(std::string aName,
          std::vector<std::string> aNames,
          LogPeers::Resolver aResolver)
    : name_(std::move(aName))
    , log_({ .self_ = name_,
             .replicas_ = std::move(aNames),
             .resolver_ = std::move(aResolver),
             .dataFolder_ = folder_.path_ / "log",
             .sync_ = false },
           store_,
           clock_)
    , service_(store_, log_, metrics_, clock_, [] {})
  {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(
      name_ + ":0", grpc::InsecureServerCredentials(), &port_);
    builder.RegisterService(&service_);
    builder.RegisterService(&log_.Service());
    server_ = builder.BuildAndStart();
    BOOST_REQUIRE(server_);
    stub_ = v1::JobService::NewStub(server_->InProcessChannel({}));
  }

  ~Replica()
  {
    log_.Stop();
    server_->Shutdown();
  }
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  v1::JobReply Submit(const std::string& aPath,
                      const std::string& aKey,
                      const std::string& aText = {})
  {
    v1::SubmitRequest request;
    request.mutable_spec()->set_text(aText);
    request.mutable_place()->set_host(kHost);
    request.mutable_place()->set_path(aPath);
    request.set_key(aKey);
    grpc::ClientContext context;
    v1::JobReply reply;
    BOOST_TEST(stub_->Submit(&context, request, &reply).ok());
    return reply;
  }

  v1::JobReply Show(const std::string& aPath, const std::string& aKey)
  {
    grpc::ClientContext context;
    v1::JobReply reply;
    BOOST_TEST(stub_->Show(&context, Request(aPath, aKey), &reply).ok());
    return reply;
  }

  v1::JobReply Cancel(const std::string& aPath, const std::string& aKey)
  {
    grpc::ClientContext context;
    v1::JobReply reply;
    BOOST_TEST(stub_->Cancel(&context, Request(aPath, aKey), &reply).ok());
    return reply;
  }

  ProposalStatus Commit(const v1::JobChange& aChange)
  {
    v1::JobChanges changes;
    *changes.add_changes() = aChange;
    auto result = std::make_shared<std::promise<ProposalStatus>>();
    log_.Propose(changes.SerializeAsString(),
                 [result](const ProposalResult& aResult) {
                   result->set_value(aResult.status_);
                 });
    return result->get_future().get();
  }

  bool Configure(const v1::FleetDocument& aConfig)
  {
    v1::JobChange change;
    *change.mutable_put_config() = aConfig;
    return Commit(change) == ProposalStatus::kCommitted;
  }

  LogReplica& Log() { return log_; }
  const Metrics& Counts() const { return metrics_; }
  Endpoint Address() const
  {
    return { .address_ = name_, .port_ = static_cast<uint16_t>(port_) };
  }

private:
  static v1::JobRequest Request(const std::string& aPath,
                                const std::string& aKey)
  {
    v1::JobRequest request;
    request.mutable_place()->set_host(kHost);
    request.mutable_place()->set_path(aPath);
    request.set_key(aKey);
    return request;
  }

  TemporaryFolder folder_;
  const SystemClock clock_;
  Metrics metrics_;
  std::string name_;
  JobStoreReplica store_;
  LogReplica log_;
  JobServiceImpl service_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
  std::unique_ptr<v1::JobService::Stub> stub_;
};

class Scheduler
{
public:
  explicit Scheduler(int aReplicas)
  {
    std::vector<std::string> names;
    for (int i = 1; i <= aReplicas; ++i) {
      names.push_back("127.0.0." + std::to_string(i));
    }
    for (const std::string& name : names) {
      replicas_.emplace_back(name, names, [this](const std::string& aName) {
        const auto it = std::find_if(
          replicas_.begin(), replicas_.end(), [&](const Replica& aReplica) {
            return aReplica.Address().address_ == aName;
          });
        return it != replicas_.end() ? std::optional(it->Address())
                                     : std::nullopt;
      });
    }
    for (Replica& replica : replicas_) {
      BOOST_REQUIRE(replica.Log().Start());
    }
  }

  // The leader, other than `aExcept`.
  Replica& Leader(const Replica* aExcept = nullptr)
  {
    Replica* leader = nullptr;
    BOOST_REQUIRE(WaitFor([&] {
      const auto it = std::find_if(
        replicas_.begin(), replicas_.end(), [&](Replica& aReplica) {
          return &aReplica != aExcept && aReplica.Log().IsLeader();
        });
      leader = it != replicas_.end() ? &*it : nullptr;
      return leader != nullptr;
    }));
    return *leader;
  }

  std::deque<Replica>& Replicas() { return replicas_; }

private:
  std::deque<Replica> replicas_;
};

struct OneReplica
{
  OneReplica()
    : leader_(scheduler_.Leader())
  {
    BOOST_REQUIRE(leader_.Configure(
      MakeConfig(1, { { "kiosks", { "k1" } }, { "transit", { "t1" } } })));
  }

  Scheduler scheduler_{ 1 };
  Replica& leader_;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(CallWithoutAKnownKeyIsRefusedAndStoresNothing,
                        OneReplica)
{
  for (const char* key : { "", "unknown" }) {
    BOOST_TEST(leader_.Submit("/keyed/a", key).status() ==
               v1::JOB_CALL_UNAUTHORIZED);
    BOOST_TEST(leader_.Show("/keyed/a", key).status() ==
               v1::JOB_CALL_UNAUTHORIZED);
    BOOST_TEST(leader_.Show("/keyed/", key).status() ==
               v1::JOB_CALL_UNAUTHORIZED);
    BOOST_TEST(leader_.Cancel("/keyed/a", key).status() ==
               v1::JOB_CALL_UNAUTHORIZED);
  }
  BOOST_TEST(leader_.Show("/keyed/a", "k1").status() == v1::JOB_CALL_NO_JOB);
  BOOST_TEST(leader_.Show("/keyed/", "k1").waiting() == 0U);
  BOOST_TEST(leader_.Submit("/keyed/a", "k1").status() == v1::JOB_CALL_OK);
  BOOST_TEST(leader_.Show("/keyed/a", "k1").phase() == v1::JOB_QUEUED);
  BOOST_TEST(leader_.Counts().Render().find("vh_calls_unauthorized_total 8") !=
             std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(JobOfAnotherCustomerIsForbidden, OneReplica)
{
  BOOST_TEST(leader_.Submit("/keyed/a", "k1").status() == v1::JOB_CALL_OK);
  for (const v1::JobReply& reply :
       { leader_.Show("/keyed/a", "t1"), leader_.Cancel("/keyed/a", "t1") }) {
    BOOST_TEST(reply.status() == v1::JOB_CALL_FORBIDDEN);
    BOOST_TEST(reply.phase() == v1::JobReply().phase());
  }
  BOOST_TEST(leader_.Submit("/keyed/a", "t1").status() == v1::JOB_CALL_INVALID);
  BOOST_TEST(leader_.Submit("/anonymous/a", "").status() ==
             v1::JOB_CALL_INVALID);
  BOOST_TEST(leader_.Show("/keyed/a", "k1").phase() == v1::JOB_QUEUED);
  BOOST_TEST(leader_.Submit("/keyed/a", "k1").status() == v1::JOB_CALL_OK);
  BOOST_TEST(leader_.Cancel("/keyed/a", "k1").status() == v1::JOB_CALL_OK);
  BOOST_TEST(leader_.Show("/keyed/a", "k1").phase() == v1::JOB_CANCELLED);
}

// The reply to a cancellation that a job is gone promises that it starts no
// more.
BOOST_FIXTURE_TEST_CASE(OpenJobIsNotGoneForAnonymousCallsThatItsQueueNowAllows,
                        OneReplica)
{
  BOOST_TEST(leader_.Submit("/keyed/a", "k1").status() == v1::JOB_CALL_OK);
  v1::FleetDocument config = MakeConfig(2, { { "kiosks", { "k1" } } });
  for (v1::QueueSpec& queue : *config.mutable_queues()) {
    queue.set_allow_anonymous(true);
  }
  BOOST_REQUIRE(leader_.Configure(config));
  BOOST_TEST(leader_.Show("/keyed/a", "").status() == v1::JOB_CALL_FORBIDDEN);
  BOOST_TEST(leader_.Cancel("/keyed/a", "").status() == v1::JOB_CALL_FORBIDDEN);
  BOOST_TEST(leader_.Show("/keyed/a", "k1").phase() == v1::JOB_QUEUED);
  BOOST_TEST(leader_.Cancel("/keyed/a", "k1").phase() == v1::JOB_CANCELLED);
}

BOOST_FIXTURE_TEST_CASE(CancellationThatMeetsANewJobOfAnotherIsForbidden,
                        OneReplica)
{
  std::future<v1::JobReply> submission;
  std::future<v1::JobReply> cancellation;
  {
    const HeldReplica held(leader_.Log());
    submission = std::async(std::launch::async,
                            [&] { return leader_.Submit("/keyed/a", "k1"); });
    std::this_thread::sleep_for(kTimeForFirstLook);
    cancellation = std::async(std::launch::async,
                              [&] { return leader_.Cancel("/keyed/a", "t1"); });
    std::this_thread::sleep_for(kTimeForFirstLook);
  }
  BOOST_TEST(submission.get().status() == v1::JOB_CALL_OK);
  BOOST_TEST(cancellation.get().status() == v1::JOB_CALL_FORBIDDEN);
  BOOST_TEST(leader_.Show("/keyed/a", "k1").phase() == v1::JOB_QUEUED);
}

BOOST_FIXTURE_TEST_CASE(CancellationBeforeTheJobIsOnlyOfTheSameCustomer,
                        OneReplica)
{
  BOOST_TEST(leader_.Cancel("/keyed/a", "t1").status() == v1::JOB_CALL_NO_JOB);
  BOOST_TEST(leader_.Submit("/keyed/a", "k1").status() == v1::JOB_CALL_OK);
  BOOST_TEST(leader_.Show("/keyed/a", "k1").phase() == v1::JOB_QUEUED);
  BOOST_TEST(leader_.Cancel("/keyed/b", "k1").status() == v1::JOB_CALL_NO_JOB);
  BOOST_TEST(leader_.Submit("/keyed/b", "k1").status() == v1::JOB_CALL_OK);
  BOOST_TEST(leader_.Show("/keyed/b", "k1").phase() == v1::JOB_CANCELLED);
}

BOOST_FIXTURE_TEST_CASE(OneIdOfTwoCustomersAtOnceIsAcceptedForOne, OneReplica)
{
  std::future<v1::JobReply> firstCall;
  std::future<v1::JobReply> secondCall;
  {
    const HeldReplica held(leader_.Log());
    firstCall = std::async(std::launch::async,
                           [&] { return leader_.Submit("/keyed/a", "k1"); });
    secondCall = std::async(std::launch::async,
                            [&] { return leader_.Submit("/keyed/a", "t1"); });
    std::this_thread::sleep_for(kTimeForFirstLook);
  }
  const v1::JobReply first = firstCall.get();
  const v1::JobReply second = secondCall.get();
  const bool isFirst = first.status() == v1::JOB_CALL_OK;
  BOOST_TEST((isFirst ? second : first).status() == v1::JOB_CALL_INVALID);
  BOOST_TEST(leader_.Show("/keyed/a", isFirst ? "k1" : "t1").status() ==
             v1::JOB_CALL_OK);
  BOOST_TEST(leader_.Show("/keyed/a", isFirst ? "t1" : "k1").status() ==
             v1::JOB_CALL_FORBIDDEN);
}

BOOST_FIXTURE_TEST_CASE(JobIsReachedWithTheKeysThatItsCustomerHasNow,
                        OneReplica)
{
  BOOST_TEST(leader_.Submit("/keyed/a", "k1").status() == v1::JOB_CALL_OK);
  // The other customer gets the key that the first one had.
  BOOST_REQUIRE(leader_.Configure(
    MakeConfig(2, { { "kiosks", { "k2" } }, { "transit", { "k1" } } })));
  BOOST_TEST(leader_.Show("/keyed/a", "k1").status() == v1::JOB_CALL_FORBIDDEN);
  BOOST_TEST(leader_.Show("/keyed/a", "t1").status() ==
             v1::JOB_CALL_UNAUTHORIZED);
  BOOST_TEST(leader_.Show("/keyed/a", "k2").status() == v1::JOB_CALL_OK);
  BOOST_TEST(leader_.Cancel("/keyed/a", "k2").phase() == v1::JOB_CANCELLED);
}

BOOST_FIXTURE_TEST_CASE(AnonymousQueueRefusesAnUnknownKey, OneReplica)
{
  BOOST_TEST(leader_.Submit("/anonymous/a", "").status() == v1::JOB_CALL_OK);
  BOOST_REQUIRE(leader_.Configure(MakeConfig(2, { { "kiosks", { "k2" } } })));
  for (const char* key : { "unknown", "k1" }) {
    for (const char* path : { "/anonymous/a", "/anonymous/b" }) {
      BOOST_TEST(leader_.Submit(path, key).status() ==
                 v1::JOB_CALL_UNAUTHORIZED);
      BOOST_TEST(leader_.Show(path, key).status() == v1::JOB_CALL_UNAUTHORIZED);
      BOOST_TEST(leader_.Cancel(path, key).status() ==
                 v1::JOB_CALL_UNAUTHORIZED);
    }
  }
  BOOST_TEST(leader_.Show("/anonymous/a", "").phase() == v1::JOB_QUEUED);
  BOOST_TEST(leader_.Show("/anonymous/b", "").status() == v1::JOB_CALL_NO_JOB);
}

BOOST_FIXTURE_TEST_CASE(AnonymousJobIsReachedByEachCallerOfItsQueue, OneReplica)
{
  BOOST_TEST(leader_.Submit("/anonymous/a", "").status() == v1::JOB_CALL_OK);
  for (const char* key : { "", "k1", "t1" }) {
    BOOST_TEST(leader_.Show("/anonymous/a", key).status() == v1::JOB_CALL_OK);
  }
  BOOST_TEST(leader_.Cancel("/anonymous/a", "k1").phase() == v1::JOB_CANCELLED);
  BOOST_TEST(leader_.Submit("/anonymous/b", "k1").status() == v1::JOB_CALL_OK);
  BOOST_TEST(leader_.Show("/anonymous/b", "").status() ==
             v1::JOB_CALL_FORBIDDEN);
  BOOST_TEST(leader_.Cancel("/anonymous/b", "").status() ==
             v1::JOB_CALL_FORBIDDEN);
  BOOST_TEST(leader_.Show("/anonymous/b", "k1").phase() == v1::JOB_QUEUED);
}

// An earlier release stored the job, or the configuration had no customers.
BOOST_FIXTURE_TEST_CASE(JobOfNoCustomerIsReachedWithAnyKeyOfTheQueue,
                        OneReplica)
{
  v1::JobChange accept;
  accept.mutable_accept_job()->set_id("a");
  accept.mutable_accept_job()->set_queue(kKeyedPath);
  BOOST_REQUIRE(leader_.Commit(accept) == ProposalStatus::kCommitted);
  BOOST_TEST(leader_.Show("/keyed/a", "k1").status() == v1::JOB_CALL_OK);
  BOOST_TEST(leader_.Submit("/keyed/a", "t1").status() == v1::JOB_CALL_OK);
  BOOST_TEST(leader_.Show("/keyed/a", "").status() ==
             v1::JOB_CALL_UNAUTHORIZED);
  BOOST_TEST(leader_.Cancel("/keyed/a", "t1").phase() == v1::JOB_CANCELLED);
}

BOOST_FIXTURE_TEST_CASE(SpecificationThatDiffersFromAStoredJobIsNotAccepted,
                        OneReplica)
{
  BOOST_TEST(leader_.Submit("/anonymous/a", "", "first").status() ==
             v1::JOB_CALL_OK);
  BOOST_TEST(leader_.Submit("/anonymous/a", "k1", "second").status() ==
             v1::JOB_CALL_INVALID);
  BOOST_TEST(leader_.Submit("/anonymous/a", "k1", "first").status() ==
             v1::JOB_CALL_OK);
}

BOOST_FIXTURE_TEST_CASE(SpecificationThatAnAnonymousJobForestalledIsNotAccepted,
                        OneReplica)
{
  std::future<v1::JobReply> anonymous;
  std::future<v1::JobReply> customer;
  {
    const HeldReplica held(leader_.Log());
    anonymous = std::async(std::launch::async, [&] {
      return leader_.Submit("/anonymous/a", "", "first");
    });
    std::this_thread::sleep_for(kTimeForFirstLook);
    customer = std::async(std::launch::async, [&] {
      return leader_.Submit("/anonymous/a", "k1", "second");
    });
    std::this_thread::sleep_for(kTimeForFirstLook);
  }
  BOOST_TEST(anonymous.get().status() == v1::JOB_CALL_OK);
  BOOST_TEST(customer.get().status() == v1::JOB_CALL_INVALID);
}

// Guards a deployment that goes back to a configuration without customers.
BOOST_FIXTURE_TEST_CASE(JobIsReachedWithoutAKeyOnceKeysAreNotChecked,
                        OneReplica)
{
  BOOST_TEST(leader_.Submit("/keyed/a", "k1").status() == v1::JOB_CALL_OK);
  v1::FleetDocument config = MakeConfig(2, {});
  config.set_checks_keys(false);
  BOOST_REQUIRE(leader_.Configure(config));
  BOOST_TEST(leader_.Show("/keyed/a", "").phase() == v1::JOB_QUEUED);
  BOOST_TEST(leader_.Cancel("/keyed/a", "").phase() == v1::JOB_CANCELLED);
}

BOOST_FIXTURE_TEST_CASE(RevokedKeyIsRefusedAfterTheConfirmation, OneReplica)
{
  BOOST_TEST(leader_.Submit("/keyed/a", "k1").status() == v1::JOB_CALL_OK);
  BOOST_REQUIRE(leader_.Configure(MakeConfig(2, { { "kiosks", { "k2" } } })));
  BOOST_TEST(leader_.Submit("/keyed/b", "k1").status() ==
             v1::JOB_CALL_UNAUTHORIZED);
  BOOST_TEST(leader_.Submit("/keyed/a", "k1").status() ==
             v1::JOB_CALL_UNAUTHORIZED);
  BOOST_TEST(leader_.Show("/keyed/a", "k1").status() ==
             v1::JOB_CALL_UNAUTHORIZED);
  BOOST_TEST(leader_.Cancel("/keyed/a", "k1").status() ==
             v1::JOB_CALL_UNAUTHORIZED);
}

// The replaced leader does not know yet that it was replaced: its thread stands
// still, as that of a process that was frozen, while calls are served.
BOOST_AUTO_TEST_CASE(ReplacedLeaderNeitherServesARevokedKeyNorRefusesANewOne)
{
  Scheduler scheduler(3);
  Replica& former = scheduler.Leader();
  BOOST_REQUIRE(former.Configure(MakeConfig(1, { { "kiosks", { "k1" } } })));
  BOOST_REQUIRE(former.Submit("/keyed/a", "k1").status() == v1::JOB_CALL_OK);
  std::vector<std::future<v1::JobReply>> calls;
  {
    const HeldReplica held(former.Log());
    Replica& leader = scheduler.Leader(&former);
    BOOST_REQUIRE(leader.Configure(MakeConfig(2, { { "kiosks", { "k2" } } })));
    BOOST_REQUIRE(former.Log().IsLeader());
    for (const char* key : { "k1", "k2" }) {
      calls.push_back(std::async(std::launch::async, [&former, key] {
        return former.Show("/keyed/a", key);
      }));
      calls.push_back(std::async(std::launch::async, [&former, key] {
        return former.Submit("/keyed/a", key);
      }));
      calls.push_back(std::async(std::launch::async, [&former, key] {
        return former.Cancel("/keyed/a", key);
      }));
    }
    std::this_thread::sleep_for(kTimeForFirstLook);
  }
  for (std::future<v1::JobReply>& call : calls) {
    const v1::JobCallStatus status = call.get().status();
    BOOST_TEST(
      (status == v1::JOB_CALL_NOT_LEADER || status == v1::JOB_CALL_REFUSED));
  }
}

// A gateway would answer 504 to a call that has proposed nothing.
BOOST_AUTO_TEST_CASE(FailedRoundOfAReadIsNoUnknownOutcome)
{
  Scheduler scheduler(3);
  Replica& leader = scheduler.Leader();
  BOOST_REQUIRE(leader.Configure(MakeConfig(1, { { "kiosks", { "k1" } } })));
  for (Replica& replica : scheduler.Replicas()) {
    if (&replica != &leader) {
      replica.Log().Stop();
    }
  }
  BOOST_REQUIRE(leader.Log().IsLeader());
  const v1::JobReply reply = leader.Show("/keyed/a", "k1");
  BOOST_TEST(reply.status() == v1::JOB_CALL_NOT_LEADER);
  BOOST_TEST(reply.leader().empty());
}

BOOST_AUTO_TEST_CASE(FollowerDecidesAboutNoKey)
{
  Scheduler scheduler(3);
  Replica& leader = scheduler.Leader();
  BOOST_REQUIRE(leader.Configure(MakeConfig(1, { { "kiosks", { "k1" } } })));
  for (Replica& replica : scheduler.Replicas()) {
    if (&replica == &leader) {
      continue;
    }
    for (const char* key : { "k1", "unknown" }) {
      BOOST_TEST(replica.Submit("/keyed/a", key).status() ==
                 v1::JOB_CALL_NOT_LEADER);
      BOOST_TEST(replica.Show("/keyed/a", key).status() ==
                 v1::JOB_CALL_NOT_LEADER);
      BOOST_TEST(replica.Cancel("/keyed/a", key).status() ==
                 v1::JOB_CALL_NOT_LEADER);
    }
  }
}
