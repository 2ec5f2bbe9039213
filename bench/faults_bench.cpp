// Measures the entries' decisions under correlated failures: one rack fails
// every job, or a third of each pool becomes unresponsive, under a load that
// the remaining runners can carry. Counts begin two seconds after the fault.
//
//   scripts/bench faults [SEEDS]
#include "load_model.h"

#include <cstdio>
#include <cstdlib>

using namespace vanillahatch;

namespace {

struct Row
{
  const char* name_;
  Fault fault_;
  Sharing sharing_;
};

constexpr Row kRows[] = {
  { "none, least own in flight", Fault::kNone, Sharing::kLeastInFlight },
  { "none, slot broker", Fault::kNone, Sharing::kBroker },
  { "rack fails every job, least own in flight",
    Fault::kFailingRack,
    Sharing::kLeastInFlight },
  { "rack fails every job, slot broker",
    Fault::kFailingRack,
    Sharing::kBroker },
  { "a third silent, least own in flight",
    Fault::kUnresponsiveThird,
    Sharing::kLeastInFlight },
  { "a third silent, slot broker",
    Fault::kUnresponsiveThird,
    Sharing::kBroker },
};

// Demand as a fraction of the whole capacity; the remaining runners can carry
// it.
constexpr double kDemand = 0.4;

void PrintRow(const Row& aRow, uint32_t aEntries, uint64_t aSeeds)
{
  double minAnswered = 100;
  double maxAnswered = 0;
  double sum = 0;
  double maxLoadFactor = 0;
  uint32_t doubles = 0;
  uint32_t falseRefusals = 0;
  for (uint64_t seed = 1; seed <= aSeeds; ++seed) {
    const LoadResult result = LoadModel({ .seed_ = seed,
                                          .entries_ = aEntries,
                                          .sharing_ = aRow.sharing_,
                                          .fault_ = aRow.fault_,
                                          .peak_ = kDemand,
                                          .isSteady_ = true })
                                .Run();
    const double answered =
      100.0 * result.answeredAfterFault_ / result.jobsAfterFault_;
    minAnswered = std::min(minAnswered, answered);
    maxAnswered = std::max(maxAnswered, answered);
    sum += answered;
    maxLoadFactor = std::max(maxLoadFactor,
                             static_cast<double>(result.attempts_) /
                               static_cast<double>(result.started_));
    doubles += result.duplicateRuns_;
    falseRefusals += result.falseRefusals_;
  }
  std::printf("| %s | %u | %.2f (%.2f-%.2f) | %.3f | %u | %u |\n",
              aRow.name_,
              aEntries,
              sum / static_cast<double>(aSeeds),
              minAnswered,
              maxAnswered,
              maxLoadFactor,
              doubles,
              falseRefusals);
  std::fflush(stdout);
}

} // namespace

int main(int aArgc, char** aArgv)
{
  const uint64_t seeds = aArgc > 1 ? std::strtoull(aArgv[1], nullptr, 10) : 5;
  std::printf("seeds 1 to %llu; mean (least-most)\n\n"
              "| fault | entries | answered in time from 2 s on, %% | most "
              "load multiplication | doubles | false \"did not run\" |\n"
              "|---|---|---|---|---|---|\n",
              static_cast<unsigned long long>(seeds));
  for (const uint32_t entries : { 6U, 9U }) {
    for (const Row& row : kRows) {
      PrintRow(row, entries, seeds);
    }
  }
  return 0;
}
