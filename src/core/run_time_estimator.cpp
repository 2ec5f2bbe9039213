#include "vanillahatch/core/run_time_estimator.h"

#include <cmath>

namespace vanillahatch {

namespace acc = boost::accumulators;

namespace {

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
  if (acc::count(*current_) >= kWindow) {
    previous_ = std::exchange(current_, MakeWindow());
  }
}

const RunTimeEstimator::Accumulator& RunTimeEstimator::Answering() const
{
  return previous_ ? *previous_ : *current_;
}

bool RunTimeEstimator::Ready() const
{
  return acc::count(Answering()) >= kFewestSamples;
}

Millis RunTimeEstimator::Quantile(RunTimeQuantile aQuantile) const
{
  if (!Ready()) {
    return Millis(0);
  }
  const double value =
    acc::extended_p_square(Answering())[static_cast<size_t>(aQuantile)];
  return Millis(std::llround(value));
}

} // namespace vanillahatch
