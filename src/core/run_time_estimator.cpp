#include "vanillahatch/core/run_time_estimator.h"

#include <cmath>

namespace vanillahatch {

namespace acc = boost::accumulators;

namespace {

// Indexed by `RunTimeQuantile`.
constexpr std::array<double, 3> kProbabilities = { 0.1, 0.5, 0.99 };

} // namespace

RunTimeEstimator::RunTimeEstimator()
  : current_(MakeWindow())
{
}

std::unique_ptr<RunTimeEstimator::Accumulator> RunTimeEstimator::MakeWindow()
{
  return std::make_unique<Accumulator>(
    acc::tag::extended_p_square::probabilities = kProbabilities);
}

void RunTimeEstimator::Add(Millis aRunTime)
{
  (*current_)(static_cast<double>(aRunTime.Count()));
  if (acc::count(*current_) >= kWindowSamples) {
    previous_ = std::exchange(current_, MakeWindow());
  }
}

const RunTimeEstimator::Accumulator& RunTimeEstimator::ReportingWindow() const
{
  return previous_ ? *previous_ : *current_;
}

bool RunTimeEstimator::Ready() const
{
  return acc::count(ReportingWindow()) >= kMinSamples;
}

Millis RunTimeEstimator::Quantile(RunTimeQuantile aQuantile) const
{
  if (!Ready()) {
    return Millis(0);
  }
  const double value =
    acc::extended_p_square(ReportingWindow())[static_cast<size_t>(aQuantile)];
  return Millis(std::llround(value));
}

} // namespace vanillahatch
