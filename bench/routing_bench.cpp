// Compares strategies for sharing runners' slots among entries with an ideal
// central queue, on the same arrivals. Prints one row per strategy and number
// of entries with the mean, minimum and maximum over the seeds.
//
//   scripts/bench routing [SEEDS]
#include "load_model.h"

#include <cstdio>
#include <cstdlib>
#include <limits>

using namespace vanillahatch;

namespace {

struct Strategy
{
  const char* name_;
  Sharing sharing_;
};

constexpr Strategy kStrategies[] = {
  { "ideal central queue", Sharing::kIdealQueue },
  { "round robin", Sharing::kRoundRobin },
  { "least own in flight", Sharing::kLeastInFlight },
  { "leased shares", Sharing::kLeasedShares },
  { "slot broker", Sharing::kBroker },
};

class Statistics
{
public:
  void Add(double aValue)
  {
    sum_ += aValue;
    ++count_;
    min_ = std::min(min_, aValue);
    max_ = std::max(max_, aValue);
  }
  double Mean() const { return sum_ / count_; }
  double Min() const { return min_; }
  double Max() const { return max_; }

private:
  double sum_ = 0;
  double min_ = std::numeric_limits<double>::max();
  double max_ = std::numeric_limits<double>::lowest();
  int count_ = 0;
};

void PrintRow(const Strategy& aStrategy, uint32_t aEntries, uint64_t aSeeds)
{
  Statistics answered;
  Statistics toIdeal;
  Statistics waitP50;
  Statistics waitP99;
  Statistics waitP99ToIdeal;
  Statistics idle;
  Statistics messages;
  LoadResult worst;
  for (uint64_t seed = 1; seed <= aSeeds; ++seed) {
    LoadOptions options{ .seed_ = seed,
                         .entries_ = aEntries,
                         .sharing_ = Sharing::kIdealQueue };
    LoadResult ideal = LoadModel(options).Run();
    options.sharing_ = aStrategy.sharing_;
    LoadResult result = LoadModel(options).Run();
    answered.Add(100.0 * result.answered_ / result.jobs_);
    toIdeal.Add(100.0 * result.answered_ / ideal.answered_);
    waitP50.Add(static_cast<double>(result.WaitAt(0.5)));
    waitP99.Add(static_cast<double>(result.WaitAt(0.99)));
    waitP99ToIdeal.Add(static_cast<double>(result.WaitAt(0.99)) /
                       static_cast<double>(ideal.WaitAt(0.99)));
    idle.Add(100 * result.idleWhileWaiting_);
    messages.Add(static_cast<double>(result.messages_) / result.jobs_);
    worst.maxConnections_ =
      std::max(worst.maxConnections_, result.maxConnections_);
    worst.maxOverload_ = std::max(worst.maxOverload_, result.maxOverload_);
    worst.duplicateRuns_ += result.duplicateRuns_;
    worst.falseRefusals_ += result.falseRefusals_;
  }
  std::printf("| %s | %u | %.1f (%.1f-%.1f) | %.1f (%.1f-%.1f) | %.0f | "
              "%.0f (%.0f-%.0f) | %.2f (%.2f-%.2f) | %u | %u | %.1f | %.1f | "
              "%u | %u |\n",
              aStrategy.name_,
              aEntries,
              answered.Mean(),
              answered.Min(),
              answered.Max(),
              toIdeal.Mean(),
              toIdeal.Min(),
              toIdeal.Max(),
              waitP50.Mean(),
              waitP99.Mean(),
              waitP99.Min(),
              waitP99.Max(),
              waitP99ToIdeal.Mean(),
              waitP99ToIdeal.Min(),
              waitP99ToIdeal.Max(),
              worst.maxOverload_,
              worst.maxConnections_,
              idle.Mean(),
              messages.Mean(),
              worst.duplicateRuns_,
              worst.falseRefusals_);
  std::fflush(stdout);
}

} // namespace

int main(int aArgc, char** aArgv)
{
  const uint64_t seeds = aArgc > 1 ? std::strtoull(aArgv[1], nullptr, 10) : 5;
  std::printf("seeds 1 to %llu; mean (least-most)\n\n",
              static_cast<unsigned long long>(seeds));
  std::printf(
    "| way | entries | answered in time, %% | of ideal, %% | wait p50, ms | "
    "wait p99, ms | p99 to ideal | most over slots | most connections | "
    "idle while waiting, %% | messages/job | doubles | false \"did not run\" "
    "|\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (const uint32_t entries : { 6U, 9U }) {
    for (const Strategy& strategy : kStrategies) {
      PrintRow(strategy, entries, seeds);
    }
  }
  return 0;
}
