// A simulated fleet with one service, for tests with customers.
#pragma once

#include "simulated_fleet.h"

#include <algorithm>

namespace vanillahatch::test {

inline constexpr uint32_t kCore = 1000; // thousandths of a core

struct SharingFixture
{
  SharingFixture() { fleet_.Configure({ { "layout", false } }, kQueues); }

  // The last half second, which no audit has seen yet, and all leaders count.
  void teardown()
  {
    fleet_.RunFor(Millis(600));
    BOOST_TEST(fleet_.AuditFindings() == expectedAuditFindings_);
  }

  void AddInstances(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      fleet_.AddInstance("i" + std::to_string(i), "layout");
    }
    fleet_.RunFor(Millis(200));
  }

  std::vector<Job*> SubmitMany(const std::string& aCustomer,
                               int aJobs,
                               const v1::StepSpec& aStep)
  {
    std::vector<Job*> jobs;
    for (int i = 0; i < aJobs; ++i) {
      const std::string id = aCustomer + std::to_string(submitted_++);
      jobs.push_back(&fleet_.Submit(id, "drafts", { aStep }, aCustomer));
    }
    return jobs;
  }

  bool AreAllCompleted(const std::vector<Job*>& aJobs)
  {
    return std::all_of(aJobs.begin(), aJobs.end(), [&](const Job* aJob) {
      return fleet_.Store().PhaseOf(*aJob) == v1::JOB_COMPLETED;
    });
  }

  inline static const std::vector<std::pair<std::string, std::string>> kQueues{
    { "drafts", "layout" }
  };
  SimulatedFleet fleet_;
  int submitted_ = 0;
  size_t expectedAuditFindings_ = 0;
};

} // namespace vanillahatch::test
