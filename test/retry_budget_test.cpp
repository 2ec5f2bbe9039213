#define BOOST_TEST_MODULE retry_budget
#include "vanillahatch/core/retry_budget.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

BOOST_AUTO_TEST_CASE(RetriesAddAtMostATenthOfTheLoadWhenEveryAttemptFails)
{
  RetryBudget budget;
  uint32_t retries = 0;
  for (uint32_t first = 1; first <= 10'000; ++first) {
    budget.RecordFirstAttempt();
    while (budget.TrySpend()) { // every attempt fails
      ++retries;
    }
    BOOST_TEST(retries * 10 <= first);
  }
  BOOST_TEST(retries == 1000U);
}

BOOST_AUTO_TEST_CASE(TokensAccumulateUpToTheMaximum)
{
  RetryBudget budget;
  for (int i = 0; i < 100'000; ++i) {
    budget.RecordFirstAttempt();
  }
  uint32_t burst = 0;
  while (budget.TrySpend()) {
    ++burst;
  }
  BOOST_TEST(burst == RetryBudget::kMaxTokens);
}
