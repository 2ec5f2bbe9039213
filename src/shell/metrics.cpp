#include "vanillahatch/shell/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>

namespace vanillahatch {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kQuantiles = { 0.5, 0.9, 0.99, 0.999 };

template<class Map, class Value>
auto& FindOrInsert(Map& aMap, std::string_view aName, Value aInitial)
{
  const auto it = aMap.find(aName);
  if (it != aMap.end()) {
    return it->second;
  }
  return aMap.emplace(std::string(aName), std::move(aInitial)).first->second;
}

std::string_view FamilyOf(std::string_view aName)
{
  return aName.substr(0, aName.find('{'));
}

// Names may carry labels; the samples of one family share one TYPE line.
template<class Map>
void RenderValues(std::ostream& aOut,
                  const Map& aValues,
                  std::string_view aType)
{
  std::string_view family;
  for (const auto& [name, value] : aValues) {
    if (FamilyOf(name) != family) {
      family = FamilyOf(name);
      aOut << "# TYPE " << family << ' ' << aType << '\n';
    }
    aOut << name << ' ' << value << '\n';
  }
}

} // namespace

struct Metrics::Distribution
{
  using Set = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

  Set set_{ acc::tag::extended_p_square::probabilities = kQuantiles };
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Count(std::string_view aName, uint64_t aBy)
{
  std::lock_guard lock(mutex_);
  FindOrInsert(counters_, aName, uint64_t{ 0 }) += aBy;
}

void Metrics::Set(std::string_view aName, double aValue)
{
  std::lock_guard lock(mutex_);
  FindOrInsert(gauges_, aName, 0.0) = aValue;
}

void Metrics::Observe(std::string_view aName, double aValue)
{
  std::lock_guard lock(mutex_);
  auto& distribution =
    FindOrInsert(distributions_, aName, std::unique_ptr<Distribution>());
  if (!distribution) {
    distribution = std::make_unique<Distribution>();
  }
  distribution->set_(aValue);
}

std::string Metrics::Render() const
{
  std::lock_guard lock(mutex_);
  std::ostringstream out;
  RenderValues(out, counters_, "counter");
  RenderValues(out, gauges_, "gauge");
  for (const auto& [name, distribution] : distributions_) {
    out << "# TYPE " << name << " summary\n";
    const auto quantiles = acc::extended_p_square(distribution->set_);
    for (size_t i = 0; i < kQuantiles.size(); ++i) {
      out << name << "{quantile=\"" << kQuantiles.at(i) << "\"} "
          << quantiles[i] << '\n';
    }
    out << name << "_sum " << acc::sum(distribution->set_) << '\n';
    out << name << "_count " << acc::count(distribution->set_) << '\n';
  }
  return out.str();
}

} // namespace vanillahatch
