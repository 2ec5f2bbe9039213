// Measures the time that an entry spends on the decisions for one job (arrival,
// choice of the upstream, answer) at growing numbers of upstreams, and fits a
// slope. The baseline of the same run is a scan over all upstreams of the
// service.
//
//   decision_bench [JOBS]
#include "vanillahatch/core/entry_core.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

using namespace vanillahatch;

namespace {

constexpr std::array<uint32_t, 5> kSizes = { 50, 200, 800, 1600, 3700 };
constexpr uint32_t kInstancesPerPool = 29; // 3,700 in 129 pools
constexpr uint32_t kInFlight = 20;         // jobs running at any time
constexpr uint32_t kRounds = 5;
const DataCentreName kDataCentre("north");

ServiceName MakeServiceName(uint32_t aNumber)
{
  return ServiceName("service-" + std::to_string(aNumber));
}

UpstreamFact MakeFact(uint32_t aNumber, uint32_t aServices)
{
  const std::string name = std::to_string(aNumber);
  return UpstreamFact{ .instance_ = InstanceName("instance-" + name),
                       .service_ = MakeServiceName(aNumber % aServices),
                       .endpoint_ = { .address_ = "127.0.0.1", .port_ = 80 },
                       .slots_ = 8,
                       .connections_ = 64,
                       .dataCentre_ = kDataCentre,
                       .rack_ = RackName("rack-" + name),
                       .generation_ = 1,
                       .sequence_ = 1,
                       .lease_ = Seconds(3600) };
}

// Sends jobs to all services in turn and keeps a few in flight.
class Load
{
public:
  Load(uint32_t aUpstreams, uint32_t aServices)
    : services_(aServices)
    , core_(
        { .dataCentre_ = kDataCentre },
        MakeLeastInFlight(),
        [](SlotTable& aTable) { return MakeUncoordinatedSharing(aTable, 1); })
  {
    for (uint32_t i = 0; i < aUpstreams; ++i) {
      core_.Handle(FactArrived{ .fact_ = MakeFact(i, aServices) }, Millis(0));
    }
  }

  // Runs `aJobs` jobs; returns microseconds per job.
  double Run(uint32_t aJobs)
  {
    const auto start = std::chrono::steady_clock::now();
    for (uint32_t i = 0; i < aJobs; ++i) {
      Send();
      if (running_.size() > kInFlight) {
        Answer();
      }
    }
    const std::chrono::duration<double, std::micro> span =
      std::chrono::steady_clock::now() - start;
    return span.count() / aJobs;
  }

private:
  void Send()
  {
    ++number_;
    now_ = Millis(static_cast<int64_t>(number_ / 10));
    JobRequest request{ .number_ = JobNumber(number_),
                        .service_ = MakeServiceName(number_ % services_),
                        .member_ = MemberName("member"),
                        .arrivedAt_ = now_,
                        .deadline_ = now_ + Seconds(60) };
    RecordDispatches(
      core_.Handle(JobArrived{ .request_ = std::move(request) }, now_));
  }

  void Answer()
  {
    const Dispatch dispatch = running_.front();
    running_.erase(running_.begin());
    RecordDispatches(
      core_.Handle(AttemptEnded{ .job_ = dispatch.job_,
                                 .attempt_ = dispatch.attempt_,
                                 .result_ = AttemptResult::kAnswered,
                                 .httpStatus_ = 200 },
                   now_));
  }

  void RecordDispatches(const std::vector<EntryAction>& aActions)
  {
    for (const EntryAction& action : aActions) {
      if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
        running_.push_back(*dispatch);
      }
    }
  }

  uint32_t services_;
  EntryCore core_;
  uint64_t number_ = 0;
  Millis now_;
  std::vector<Dispatch> running_;
};

// The baseline: lists all live upstreams, then scans them. Returns microseconds
// per job, or -1 if a job found no upstream.
double RunScan(uint32_t aUpstreams, uint32_t aServices, uint32_t aJobs)
{
  UpstreamDirectory directory;
  for (uint32_t i = 0; i < aUpstreams; ++i) {
    directory.Apply(MakeFact(i, aServices), Millis(0));
  }
  size_t chosen = 0;
  const auto start = std::chrono::steady_clock::now();
  for (uint32_t i = 0; i < aJobs; ++i) {
    const auto live = directory.Live(MakeServiceName(i % aServices), Millis(1));
    const auto best =
      std::min_element(live.begin(), live.end(), [](auto* aL, auto* aR) {
        return aL->slots_ < aR->slots_;
      });
    chosen += best != live.end() ? 1 : 0;
  }
  const std::chrono::duration<double, std::micro> span =
    std::chrono::steady_clock::now() - start;
  return chosen == aJobs ? span.count() / aJobs : -1;
}

void PrintTable(bool aOnePool, uint32_t aJobs)
{
  std::printf("\n%s\n%9s %8s %16s %16s\n",
              aOnePool ? "all upstreams in one pool" : "pools of 29 instances",
              "upstreams",
              "pools",
              "core us/job",
              "scan us/job");
  double sumX = 0;
  double sumY = 0;
  double sumXX = 0;
  double sumXY = 0;
  for (const uint32_t size : kSizes) {
    const uint32_t pools =
      aOnePool ? 1 : std::max(1U, size / kInstancesPerPool);
    std::vector<double> times;
    for (uint32_t round = 0; round < kRounds; ++round) {
      Load load(size, pools);
      load.Run(aJobs / 10);
      times.push_back(load.Run(aJobs));
    }
    std::sort(times.begin(), times.end());
    const double median = times[kRounds / 2];
    std::printf("%9u %8u %16.2f %16.2f\n",
                size,
                pools,
                median,
                RunScan(size, pools, std::max(1U, aJobs / 100)));
    sumX += size;
    sumY += median;
    sumXX += static_cast<double>(size) * size;
    sumXY += size * median;
  }
  const auto count = static_cast<double>(kSizes.size());
  const double slope =
    (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
  std::printf("fit: %.2f us + %.6f us per upstream\n",
              (sumY - slope * sumX) / count,
              slope);
}

} // namespace

int main(int aArgc, char** aArgv)
{
  const uint32_t jobs =
    aArgc > 1 ? static_cast<uint32_t>(std::strtoul(aArgv[1], nullptr, 10))
              : 100'000;
  std::printf("jobs per point %u, median of %u rounds, no random numbers\n",
              jobs,
              kRounds);
  PrintTable(false, jobs);
  PrintTable(true, jobs);
  return 0;
}
