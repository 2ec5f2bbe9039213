// Measures the latency of claims on the ledger over real gRPC and real files in
// one process. Compares it with one round trip and one sync of the same run,
// with a ledger of one replica and with a sync per claim, and measures the gap
// when a replica stops or becomes unresponsive. The folder decides which disk
// is measured.
//
//   claims_bench --folder build/claims-bench --seed 1
#include "entry/ledger_client.h"
#include "ledger/ledger_service.h"
#include "vanillahatch/shell/rpc.h"
#include "vanillahatch/shell/system_clock.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>

using namespace vanillahatch;
namespace po = boost::program_options;

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

struct BenchOptions
{
  std::string folder_ = "claims-bench";
  uint64_t seed_ = 1;
  size_t claims_ = 400;
  size_t concurrency_ = 64;
};

struct Quantiles
{
  double p50_ = 0;
  double p99_ = 0;
  double max_ = 0;
};

double MillisecondsSince(SteadyTime aStart)
{
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - aStart)
    .count();
}

Quantiles ComputeQuantiles(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  const auto at = [&](double aShare) {
    return aValues[static_cast<size_t>(
      aShare * static_cast<double>(aValues.size() - 1))];
  };
  return { .p50_ = at(0.5), .p99_ = at(0.99), .max_ = aValues.back() };
}

uint16_t FreePort()
{
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(
    io, { boost::asio::ip::address_v4::loopback(), 0 });
  return acceptor.local_endpoint().port();
}

// Forwards votes to the replica, or leaves them unanswered as an unresponsive
// replica would.
class UnresponsiveService : public v1::LedgerService::CallbackService
{
public:
  explicit UnresponsiveService(LedgerReplica& aReplica)
    : service_(aReplica)
  {
  }

  grpc::ServerUnaryReactor* Vote(grpc::CallbackServerContext* aContext,
                                 const v1::VoteRequest* aRequest,
                                 v1::VoteReply* aReply) override
  {
    if (!isUnresponsive_) {
      return service_.Vote(aContext, aRequest, aReply);
    }
    // `Release` answers it, after the caller's timeout.
    grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
    std::lock_guard lock(mutex_);
    unanswered_.push_back(reactor);
    return reactor;
  }

  grpc::ServerUnaryReactor* Copy(grpc::CallbackServerContext* aContext,
                                 const v1::CopyRequest* aRequest,
                                 v1::CopyReply* aReply) override
  {
    return service_.Copy(aContext, aRequest, aReply);
  }

  void StopResponding() { isUnresponsive_ = true; }

  void Release()
  {
    std::lock_guard lock(mutex_);
    for (grpc::ServerUnaryReactor* reactor : unanswered_) {
      reactor->Finish({ grpc::StatusCode::UNAVAILABLE, "mute" });
    }
    unanswered_.clear();
  }

private:
  LedgerService service_;
  std::atomic<bool> isUnresponsive_ = false;
  std::mutex mutex_;
  std::vector<grpc::ServerUnaryReactor*> unanswered_;
};

struct Node
{
  std::unique_ptr<LedgerReplica> replica_;
  std::unique_ptr<UnresponsiveService> service_;
  std::unique_ptr<grpc::Server> server_;

  void Stop()
  {
    if (server_) {
      service_->Release();
      server_->Shutdown(std::chrono::system_clock::now());
      server_.reset();
    }
  }
  ~Node() { Stop(); }
};

class Ledger
{
public:
  Ledger(const BenchOptions& aOptions, uint32_t aReplicas, size_t aMaxBatch)
    : random_(aOptions.seed_)
  {
    std::filesystem::remove_all(aOptions.folder_);
    for (uint32_t i = 0; i < aReplicas; ++i) {
      const std::filesystem::path folder =
        std::filesystem::path(aOptions.folder_) / std::to_string(i);
      std::filesystem::create_directories(folder);
      std::ofstream(folder / LedgerReplica::kBootstrapFile) << "";
      Node& node = nodes_.emplace_back();
      node.replica_ = std::make_unique<LedgerReplica>(LedgerReplicaOptions{
        .register_ = { .replicaIndex_ = i, .replicaCount_ = aReplicas },
        .folder_ = folder,
        .maxBatch_ = aMaxBatch });
      node.service_ = std::make_unique<UnresponsiveService>(*node.replica_);
      LedgerSettings settings;
      settings.rpc_ = { .address_ = "127.0.0.1", .port_ = FreePort() };
      node.server_ = StartServer(settings.rpc_, *node.service_);
      settings_.push_back(settings);
    }
    client_ = std::make_unique<LedgerClient>(settings_);
    probe_ = v1::LedgerService::NewStub(MakeChannel(settings_.front().rpc_));
    RoundTrip();
    Serial(20); // warms up connections and caches
  }

  // Makes one claim after another; returns the latencies.
  std::vector<double> Serial(size_t aClaims)
  {
    std::vector<double> latencies;
    for (size_t i = 0; i < aClaims; ++i) {
      const SteadyTime start = std::chrono::steady_clock::now();
      Claim();
      WaitForClaims(1);
      latencies.push_back(MillisecondsSince(start));
    }
    return latencies;
  }

  // Keeps `aWidth` claims in flight; returns latencies and claims per second.
  std::vector<double> Concurrent(size_t aClaims,
                                 size_t aWidth,
                                 double& aPerSecond)
  {
    latencies_.clear();
    const SteadyTime start = std::chrono::steady_clock::now();
    size_t started = 0;
    while (started < aClaims) {
      std::unique_lock lock(mutex_);
      ended_.wait(lock, [&] { return started - latencies_.size() < aWidth; });
      lock.unlock();
      Claim();
      ++started;
    }
    WaitForClaims(aClaims);
    aPerSecond = static_cast<double>(aClaims) * 1000 / MillisecondsSince(start);
    return latencies_;
  }

  // Starts a claim every 5 ms for two seconds; runs `aFault` after one second.
  std::vector<double> Paced(const std::function<void()>& aFault)
  {
    constexpr int kClaims = 400;
    latencies_.clear();
    std::thread fault([&] {
      std::this_thread::sleep_for(std::chrono::seconds(1));
      aFault();
    });
    for (int i = 0; i < kClaims; ++i) {
      Claim();
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    WaitForClaims(kClaims);
    fault.join();
    return latencies_;
  }

  // Sends an empty request, which needs no sync, to the first replica.
  double RoundTrip()
  {
    grpc::ClientContext context;
    v1::CopyRequest request;
    request.set_replica(1);
    v1::CopyReply reply;
    const SteadyTime start = std::chrono::steady_clock::now();
    probe_->Copy(&context, request, &reply);
    return MillisecondsSince(start);
  }

  Node& At(size_t aIndex) { return nodes_[aIndex]; }
  size_t Ungranted() const { return ungranted_; }

private:
  void Claim()
  {
    const std::string number = std::to_string(nextNumber_++);
    const SteadyTime start = std::chrono::steady_clock::now();
    const SystemClock clock;
    client_->Claim({ .key_ = "member-" + std::to_string(random_() % 100) +
                             "/invoice-" + number,
                     .claimant_ = "north-entry-1.1764825393000." + number,
                     .issuedAt_ = clock.UnixNow(),
                     .deadline_ = clock.Now() + Seconds(30) },
                   [this, start](KeyClaimResult aResult, const auto&) {
                     std::lock_guard lock(mutex_);
                     latencies_.push_back(MillisecondsSince(start));
                     ungranted_ += aResult == KeyClaimResult::kGranted ? 0 : 1;
                     ended_.notify_all();
                   });
  }

  void WaitForClaims(size_t aCount)
  {
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [&] { return latencies_.size() >= aCount; });
    if (aCount == 1) {
      latencies_.clear();
    }
  }

  std::mt19937_64 random_;
  std::deque<Node> nodes_;
  std::vector<LedgerSettings> settings_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::vector<double> latencies_;
  size_t ungranted_ = 0;
  uint64_t nextNumber_ = 0;
  std::unique_ptr<v1::LedgerService::Stub> probe_;
  std::unique_ptr<LedgerClient> client_; // destroyed first
};

// Appends and syncs single records with the product's own store.
class SyncProbe
{
public:
  explicit SyncProbe(const std::filesystem::path& aFolder)
    : store_({ .folder_ = aFolder })
  {
    (void)store_.Load();
    (void)store_.Create();
  }

  double Sync()
  {
    const SteadyTime start = std::chrono::steady_clock::now();
    (void)store_.Append(std::string(120, 'x'));
    (void)store_.Sync();
    return MillisecondsSince(start);
  }

private:
  FileStore store_;
};

void PrintRow(const std::string& aName,
              const Quantiles& aValues,
              double aBaselineP50,
              double aBaselineP99)
{
  std::printf("%-44s %8.2f %8.2f %8.2f %7.2f %7.2f\n",
              aName.c_str(),
              aValues.p50_,
              aValues.p99_,
              aValues.max_,
              aValues.p50_ / aBaselineP50,
              aValues.p99_ / aBaselineP99);
}

size_t ResidentBytes()
{
  std::ifstream in("/proc/self/statm");
  size_t total = 0;
  size_t resident = 0;
  in >> total >> resident;
  return resident * 4096;
}

// Measures the bytes that a claim and its recorded outcome take in memory, in
// the snapshot and in the log of one replica.
void MeasureKeySize()
{
  constexpr size_t kKeys = 40'000;
  ClaimRegister member({ .replicaCount_ = 3, .maxBytes_ = 1U << 30U });
  member.Bootstrap();
  const size_t before = ResidentBytes();
  size_t logBytes = 0;
  for (size_t i = 0; i < kKeys; ++i) {
    const std::string number = std::to_string(i);
    v1::VoteRequest request;
    request.set_key("member-" + std::to_string(i % 100) + "/invoice-" + number);
    request.set_issued_at_unix_ms(SystemClock().UnixNow().Count());
    request.mutable_ballot();
    request.mutable_value()->set_phase(v1::CLAIM_HELD);
    request.mutable_value()->set_claimant("north-entry-1.1764825393000." +
                                          number);
    logBytes += member.Vote(request).record_.size();
    request.mutable_ballot()->set_round(1);
    request.mutable_ballot()->set_proposer(request.value().claimant());
    request.mutable_value()->set_phase(v1::CLAIM_RECORDED);
    v1::RecordedOutcome& outcome = *request.mutable_value()->mutable_outcome();
    outcome.set_http_status(200);
    outcome.set_content_type("application/json");
    outcome.set_body(std::string(64, 'x'));
    v1::VoteRequest prepare = request;
    prepare.clear_value();
    logBytes += member.Vote(prepare).record_.size();
    logBytes += member.Vote(request).record_.size();
  }
  const size_t resident = ResidentBytes() - before;
  const auto perKey = [&](size_t aBytes) { return aBytes / kKeys; };
  std::printf("bytes per key with a 64-byte answer: resident %zu, counted %zu, "
              "snapshot %zu, log %zu\n",
              perKey(resident),
              perKey(member.Bytes()),
              perKey(member.Snapshot().size()),
              perKey(logBytes));
}

void Run(const BenchOptions& aOptions)
{
  MeasureKeySize();
  std::printf("seed %lu, %zu claims, %zu at a time, loopback\n",
              static_cast<unsigned long>(aOptions.seed_),
              aOptions.claims_,
              aOptions.concurrency_);
  std::printf("%-44s %8s %8s %8s %7s %7s\n",
              "milliseconds",
              "p50",
              "p99",
              "most",
              "x p50",
              "x p99");
  constexpr size_t kLargeBatch = 256;
  Ledger three(aOptions, 3, kLargeBatch);
  SyncProbe probe(std::filesystem::path(aOptions.folder_) / "syncs");
  // Alternates, so that all three see the same state of disk and machine.
  std::vector<double> trips;
  std::vector<double> syncs;
  std::vector<double> claims;
  for (size_t i = 0; i < aOptions.claims_; ++i) {
    trips.push_back(three.RoundTrip());
    syncs.push_back(probe.Sync());
    claims.push_back(three.Serial(1).front());
  }
  const Quantiles trip = ComputeQuantiles(trips);
  const Quantiles sync = ComputeQuantiles(syncs);
  const double baselineP50 = trip.p50_ + sync.p50_;
  const double baselineP99 = trip.p99_ + sync.p99_;
  const auto print = [&](const std::string& aName,
                         const std::vector<double>& aLatencies) {
    PrintRow(aName, ComputeQuantiles(aLatencies), baselineP50, baselineP99);
  };
  PrintRow("one round trip", trip, baselineP50, baselineP99);
  PrintRow("one sync", sync, baselineP50, baselineP99);
  print("claim, 3 replicas", claims);
  double perSecond = 0;
  const size_t many = aOptions.claims_ * 10;
  print("claim, 3 replicas, concurrent",
        three.Concurrent(many, aOptions.concurrency_, perSecond));
  std::printf("%-44s %8.0f a second\n", "", perSecond);
  print("a replica dies after 1 s", three.Paced([&] { three.At(1).Stop(); }));
  print("claim, 1 of 3 replicas dead", three.Serial(aOptions.claims_));
  std::printf("not granted %zu\n", three.Ungranted());

  Ledger unresponsive(aOptions, 3, kLargeBatch);
  print("a replica falls silent after 1 s", unresponsive.Paced([&] {
    unresponsive.At(1).service_->StopResponding();
  }));
  print("claim, 1 of 3 replicas silent", unresponsive.Serial(100));
  unresponsive.At(1).Stop();

  Ledger one(aOptions, 1, kLargeBatch);
  print("baseline: 1 replica", one.Serial(aOptions.claims_));

  Ledger serial(aOptions, 3, 1);
  print("baseline: a sync per claim, concurrent",
        serial.Concurrent(many, aOptions.concurrency_, perSecond));
  std::printf("%-44s %8.0f a second\n", "", perSecond);
  std::printf("not granted %zu\n",
              unresponsive.Ungranted() + one.Ungranted() + serial.Ungranted());
}

} // namespace

int main(int aArgc, char** aArgv)
{
  BenchOptions options;
  po::options_description described("claims_bench options");
  described.add_options()                                             //
    ("folder", po::value(&options.folder_), "where the files go")     //
    ("seed", po::value(&options.seed_), "of the keys")                //
    ("claims", po::value(&options.claims_), "claims per measurement") //
    ("concurrency", po::value(&options.concurrency_), "claims at once");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aArgc, aArgv, described), values);
    po::notify(values);
    Run(options);
    std::filesystem::remove_all(options.folder_);
  } catch (const std::exception& fault) {
    std::cerr << "claims_bench: " << fault.what() << "\n" << described;
    return 2;
  }
  return 0;
}
