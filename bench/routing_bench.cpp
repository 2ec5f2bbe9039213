// Ways of sharing runners' slots among entries, on the same arrivals, against
// an ideal central queue. Prints one row per way and number of entries with the
// mean over the seeds and the spread.
//
//   scripts/bench routing [SEEDS]
#include "load_model.h"

#include <cstdio>
#include <cstdlib>
#include <limits>

using namespace vanillahatch;

namespace {

struct Way
{
  const char* name_;
  Sharing sharing_;
};

constexpr Way kWays[] = {
  { "ideal central queue", Sharing::kIdealQueue },
  { "round robin", Sharing::kRoundRobin },
  { "least own in flight", Sharing::kLeastInFlight },
  { "leased shares", Sharing::kLeasedShares },
  { "slot broker", Sharing::kBroker },
};

class Spread
{
public:
  void Add(double aValue)
  {
    sum_ += aValue;
    ++count_;
    least_ = std::min(least_, aValue);
    most_ = std::max(most_, aValue);
  }
  double Mean() const { return sum_ / count_; }
  double Least() const { return least_; }
  double Most() const { return most_; }

private:
  double sum_ = 0;
  double least_ = std::numeric_limits<double>::max();
  double most_ = std::numeric_limits<double>::lowest();
  int count_ = 0;
};

void PrintRow(const Way& aWay, uint32_t aEntries, uint64_t aSeeds)
{
  Spread answered;
  Spread toIdeal;
  Spread median;
  Spread slow;
  Spread slowToIdeal;
  Spread idle;
  Spread messages;
  LoadResult worst;
  for (uint64_t seed = 1; seed <= aSeeds; ++seed) {
    LoadOptions options{ .seed_ = seed,
                         .entries_ = aEntries,
                         .sharing_ = Sharing::kIdealQueue };
    LoadResult ideal = LoadModel(options).Run();
    options.sharing_ = aWay.sharing_;
    LoadResult result = LoadModel(options).Run();
    answered.Add(100.0 * result.answered_ / result.jobs_);
    toIdeal.Add(100.0 * result.answered_ / ideal.answered_);
    median.Add(static_cast<double>(result.WaitAt(0.5)));
    slow.Add(static_cast<double>(result.WaitAt(0.99)));
    slowToIdeal.Add(static_cast<double>(result.WaitAt(0.99)) /
                    static_cast<double>(ideal.WaitAt(0.99)));
    idle.Add(100 * result.idleWhileWaiting_);
    messages.Add(static_cast<double>(result.messages_) / result.jobs_);
    worst.mostConnections_ =
      std::max(worst.mostConnections_, result.mostConnections_);
    worst.mostOver_ = std::max(worst.mostOver_, result.mostOver_);
    worst.doubles_ += result.doubles_;
    worst.falseRefusals_ += result.falseRefusals_;
  }
  std::printf("| %s | %u | %.1f (%.1f-%.1f) | %.1f (%.1f-%.1f) | %.0f | "
              "%.0f (%.0f-%.0f) | %.2f (%.2f-%.2f) | %u | %u | %.1f | %.1f | "
              "%u | %u |\n",
              aWay.name_,
              aEntries,
              answered.Mean(),
              answered.Least(),
              answered.Most(),
              toIdeal.Mean(),
              toIdeal.Least(),
              toIdeal.Most(),
              median.Mean(),
              slow.Mean(),
              slow.Least(),
              slow.Most(),
              slowToIdeal.Mean(),
              slowToIdeal.Least(),
              slowToIdeal.Most(),
              worst.mostOver_,
              worst.mostConnections_,
              idle.Mean(),
              messages.Mean(),
              worst.doubles_,
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
    for (const Way& way : kWays) {
      PrintRow(way, entries, seeds);
    }
  }
  return 0;
}
