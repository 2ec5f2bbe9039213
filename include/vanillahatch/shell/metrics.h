// Counters, gauges and distributions of one process, rendered in the
// Prometheus text format. Safe to use from any thread.
//
//   metrics.Count("vh_jobs_answered_total");
//   metrics.Observe("vh_job_milliseconds", 12.5);
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace vanillahatch {

class Metrics
{
public:
  Metrics();
  ~Metrics();

  // Adds `aBy` to a counter.
  void Count(std::string_view aName, uint64_t aBy = 1);
  // Sets a gauge.
  void Set(std::string_view aName, double aValue);
  // Adds a sample to a distribution.
  void Observe(std::string_view aName, double aValue);
  std::string Render() const;

private:
  struct Distribution;

  mutable std::mutex mutex_;
  std::map<std::string, uint64_t, std::less<>> counters_;
  std::map<std::string, double, std::less<>> gauges_;
  std::map<std::string, std::unique_ptr<Distribution>, std::less<>>
    distributions_;
};

} // namespace vanillahatch
