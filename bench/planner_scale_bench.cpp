// Measures time and memory of one planning step and of one placement step at
// growing sizes up to 3,700 workers and 129 pools, and fits a slope.
//
//   planner_scale_bench [--repeats N]
#include "fake_fleet.h"
#include "vanillahatch/core/fleet_forecast.h"
#include "vanillahatch/core/placement.h"

#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <new>

namespace {

// Bytes allocated on the heap, and their maximum since the last reset.
std::atomic<size_t> heapNow = 0;
std::atomic<size_t> heapMax = 0;
constexpr size_t kHeader = alignof(std::max_align_t);

} // namespace

void* operator new(size_t aSize)
{
  void* block = std::malloc(aSize + kHeader);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  *static_cast<size_t*>(block) = aSize;
  heapNow += aSize;
  heapMax = std::max(heapMax.load(), heapNow.load());
  return static_cast<char*>(block) + kHeader;
}

void operator delete(void* aBlock) noexcept
{
  if (aBlock == nullptr) {
    return;
  }
  void* block = static_cast<char*>(aBlock) - kHeader;
  heapNow -= *static_cast<size_t*>(block);
  std::free(block);
}

void operator delete(void* aBlock, size_t) noexcept
{
  operator delete(aBlock);
}

using namespace vanillahatch;
namespace po = boost::program_options;

namespace {

struct FleetSize
{
  uint32_t workers_;
  uint32_t pools_;
  uint32_t dataCentres_;
};

constexpr FleetSize kSizes[] = {
  { 50, 5, 3 },   { 230, 8, 3 },    { 460, 16, 5 },
  { 925, 32, 5 }, { 1850, 65, 10 }, { 3700, 129, 10 },
};

struct Measurement
{
  double workers_ = 0;
  double medianUs_ = 0;
  double worstUs_ = 0;
  double stateKb_ = 0; // heap held between steps
  double stepKb_ = 0;  // additional heap during a step
  size_t steps_ = 0;   // steps in the largest plan
};

double MicrosSince(std::chrono::steady_clock::time_point aStart)
{
  const auto span = std::chrono::steady_clock::now() - aStart;
  return std::chrono::duration<double, std::micro>(span).count();
}

double Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

// Rotating demand peaks: a tenth of the pools peaks at a time.
std::vector<DemandOutlook> OutlooksAt(uint32_t aPools, uint32_t aPeakIndex)
{
  std::vector<DemandOutlook> outlooks;
  for (uint32_t i = 0; i < aPools; ++i) {
    const bool isPeak = i % 10 == aPeakIndex % 10;
    const double slots = isPeak ? 110 : 5.5;
    outlooks.push_back({ slots, slots, slots, isPeak });
  }
  return outlooks;
}

// Demand peaks and version changes make the plans contain moves, maintenance
// and rollouts.
Measurement MeasurePlanner(const FleetSize& aSize, uint32_t aRepeats)
{
  const size_t before = heapNow;
  FakeFleet fleet({},
                  MakeFleet({ .pools_ = aSize.pools_,
                              .instances_ = aSize.workers_,
                              .dataCentres_ = aSize.dataCentres_ }));
  const auto stateKb = static_cast<double>(heapNow - before) / 1024;
  const auto objective = MakeObjective("idle-capacity");
  const Planner planner({}, *objective);
  Measurement point{ .workers_ = static_cast<double>(aSize.workers_),
                     .stateKb_ = stateKb };
  std::vector<double> micros;
  for (uint32_t i = 0; i < aRepeats; ++i) {
    const Millis now = Seconds(5'000'000) + Millis(500) * i;
    if (i % 100 == 50) {
      fleet.Edit().pools_[i / 100 % aSize.pools_].version_ =
        Version{ 2 + i / 100 };
    }
    fleet.Advance(now);
    const auto outlooks = OutlooksAt(aSize.pools_, i / 40);
    const size_t held = heapNow;
    heapMax = held;
    const auto start = std::chrono::steady_clock::now();
    const Plan plan = planner.MakePlan(fleet.View(), outlooks, now);
    micros.push_back(MicrosSince(start));
    point.stepKb_ =
      std::max(point.stepKb_, static_cast<double>(heapMax - held) / 1024);
    point.steps_ = std::max(point.steps_, plan.steps_.size());
    for (const Step& step : plan.steps_) {
      fleet.Apply(step, now);
    }
  }
  point.medianUs_ = Median(micros);
  point.worstUs_ = *std::max_element(micros.begin(), micros.end());
  return point;
}

// Submits about twice as many tasks as the fleet can run; one in a hundred
// running tasks ends between two steps.
Measurement MeasurePlacement(const FleetSize& aSize, uint32_t aRepeats)
{
  const size_t before = heapNow;
  Placement placement({ .lease_ = Seconds(100'000) });
  for (uint32_t i = 0; i < aSize.workers_; ++i) {
    placement.AddWorker({ .name_ = WorkerName("w" + std::to_string(i)),
                          .rack_ = RackName("r" + std::to_string(i / 4)),
                          .capacity_ = { 16000, 64000, i % 2 } });
  }
  uint32_t next = 0;
  const auto submit = [&](Millis aNow) {
    const uint32_t kind = next % 50;
    placement.Submit({ .name_ = TaskName("t" + std::to_string(next++)),
                       .team_ = TeamName("team" + std::to_string(kind)),
                       .kind_ = TaskKind("k" + std::to_string(kind)),
                       .declared_ = { 4000 + kind * 20, 16000, 0 } },
                     aNow);
  };
  for (uint32_t i = 0; i < aSize.workers_ * 6; ++i) {
    submit(Millis(0));
  }
  std::vector<PlacementAction> running = placement.Decide(Millis(0));
  Measurement point{ .workers_ = static_cast<double>(aSize.workers_),
                     .stateKb_ = static_cast<double>(heapNow - before) / 1024 };
  std::vector<double> micros;
  for (uint32_t i = 1; i <= aRepeats; ++i) {
    const Millis now = Millis(500) * i;
    const size_t ending = std::max<size_t>(1, running.size() / 100);
    for (size_t j = 0; j < ending; ++j) {
      placement.End(running[j].task_, running[j].attempt_, TaskEnd::kSucceeded);
      submit(now);
    }
    running.erase(running.begin(),
                  running.begin() + static_cast<std::ptrdiff_t>(ending));
    const size_t held = heapNow;
    heapMax = held;
    const auto start = std::chrono::steady_clock::now();
    const auto actions = placement.Decide(now);
    micros.push_back(MicrosSince(start));
    point.stepKb_ =
      std::max(point.stepKb_, static_cast<double>(heapMax - held) / 1024);
    point.steps_ = std::max(point.steps_, actions.size());
    running.insert(running.end(), actions.begin(), actions.end());
  }
  point.medianUs_ = Median(micros);
  point.worstUs_ = *std::max_element(micros.begin(), micros.end());
  return point;
}

// Prints the least-squares line of a value over workers, and the exponent e of
// value ~ workers^e.
void PrintFit(const char* aWhat,
              const std::vector<Measurement>& aPoints,
              double Measurement::*aValue)
{
  double n = 0, x = 0, y = 0, xx = 0, xy = 0;
  double lx = 0, ly = 0, lxx = 0, lxy = 0;
  for (const Measurement& point : aPoints) {
    const double workers = point.workers_;
    const double value = point.*aValue;
    n += 1;
    x += workers;
    y += value;
    xx += workers * workers;
    xy += workers * value;
    lx += std::log(workers);
    ly += std::log(value);
    lxx += std::log(workers) * std::log(workers);
    lxy += std::log(workers) * std::log(value);
  }
  const double slope = (n * xy - x * y) / (n * xx - x * x);
  const double base = (y - slope * x) / n;
  const double exponent = (n * lxy - lx * ly) / (n * lxx - lx * lx);
  std::printf("fit %-10s = %9.2f + %.4f per worker; exponent %.2f\n",
              aWhat,
              base,
              slope,
              exponent);
}

template<class Measure>
void RunAll(const char* aTitle, uint32_t aRepeats, const Measure& aMeasure)
{
  std::printf("\n%s\n%8s %6s %11s %11s %11s %11s %10s\n",
              aTitle,
              "workers",
              "pools",
              "median us",
              "worst us",
              "state KB",
              "step KB",
              "max steps");
  std::vector<Measurement> points;
  for (const FleetSize& size : kSizes) {
    points.push_back(aMeasure(size, aRepeats));
    const Measurement& point = points.back();
    std::printf("%8u %6u %11.0f %11.0f %11.1f %11.1f %10zu\n",
                size.workers_,
                size.pools_,
                point.medianUs_,
                point.worstUs_,
                point.stateKb_,
                point.stepKb_,
                point.steps_);
  }
  PrintFit("median us", points, &Measurement::medianUs_);
  PrintFit("worst us", points, &Measurement::worstUs_);
  PrintFit("state KB", points, &Measurement::stateKb_);
  PrintFit("step KB", points, &Measurement::stepKb_);
}

} // namespace

int main(int aArgc, char** aArgv)
{
  uint32_t repeats = 400;
  po::options_description description("planner_scale_bench options");
  description.add_options()("help", "this text") //
    ("repeats", po::value(&repeats), "steps measured at each size");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aArgc, aArgv, description), values);
    po::notify(values);
    if (values.contains("help")) {
      std::cout << description;
      return 0;
    }
  } catch (const po::error& error) {
    std::cerr << "planner_scale_bench: " << error.what() << "\n" << description;
    return 2;
  }
  std::printf("command: planner_scale_bench --repeats %u\n", repeats);
  RunAll("one planning step", repeats, MeasurePlanner);
  RunAll("one placement step", repeats, MeasurePlacement);
  return 0;
}
