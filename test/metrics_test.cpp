#define BOOST_TEST_MODULE metrics
#include "vanillahatch/shell/metrics.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

size_t CountOccurrences(const std::string& aText, const std::string& aPart)
{
  size_t count = 0;
  for (size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

BOOST_AUTO_TEST_CASE(LabelledCountersShareOneTypeLine)
{
  Metrics metrics;
  metrics.Count("vh_refused_total{code=\"a\"}");
  metrics.Count("vh_refused_total{code=\"b\"}", 2);
  const std::string text = metrics.Render();
  BOOST_TEST(CountOccurrences(text, "# TYPE vh_refused_total counter\n") == 1U,
             text);
  BOOST_TEST(CountOccurrences(text, "vh_refused_total{code=\"b\"} 2\n") == 1U,
             text);
}

BOOST_AUTO_TEST_CASE(DistributionReportsCountSumAndMedian)
{
  Metrics metrics;
  for (int i = 1; i <= 1001; ++i) {
    metrics.Observe("vh_wait_ms", i);
  }
  const std::string text = metrics.Render();
  BOOST_TEST(CountOccurrences(text, "vh_wait_ms_count 1001\n") == 1U, text);
  const std::string label = "vh_wait_ms{quantile=\"0.5\"} ";
  const size_t at = text.find(label);
  BOOST_REQUIRE(at != std::string::npos);
  const double median = std::stod(text.substr(at + label.size()));
  BOOST_TEST(median > 450.0);
  BOOST_TEST(median < 550.0);
}
