#define BOOST_TEST_MODULE fair_backlog
#include "vanillahatch/core/sharing/fair_backlog.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <iostream>
#include <map>
#include <random>

using namespace vanillahatch;

namespace {

using Shares = std::map<std::pair<CustomerId, ServiceId>, double>;

// Visits all entries; each visit raises the share of its customer by `aStep`.
std::vector<size_t> VisitAll(std::span<const FairBacklog::Entry> aEntries,
                             Shares aShares = {},
                             double aStep = 1.0)
{
  FairBacklog backlog;
  backlog.Assign(aEntries);
  std::vector<size_t> visited;
  backlog.Visit(
    [&](CustomerId aCustomer, ServiceId aService) {
      return aShares[{ aCustomer, aService }];
    },
    [&](size_t aIndex, bool) {
      visited.push_back(aIndex);
      const FairBacklog::Entry& entry = aEntries[aIndex];
      aShares[{ entry.customer_, entry.service_ }] += aStep;
      return false;
    });
  return visited;
}

void CheckOrder(const std::vector<size_t>& aVisited,
                const std::vector<size_t>& aExpected)
{
  BOOST_TEST(aVisited == aExpected, boost::test_tools::per_element());
}

} // namespace

BOOST_AUTO_TEST_SUITE(fair_backlog)

BOOST_AUTO_TEST_CASE(CustomersTakeTurnsAsTheirSharesGrow)
{
  const std::vector<FairBacklog::Entry> entries{
    { .customer_ = 1 }, { .customer_ = 1 }, { .customer_ = 1 },
    { .customer_ = 2 }, { .customer_ = 2 },
  };
  CheckOrder(VisitAll(entries), { 0, 3, 1, 4, 2 });
}

BOOST_AUTO_TEST_CASE(TheSmallestShareIsNext)
{
  const std::vector<FairBacklog::Entry> entries{ { .customer_ = 1 },
                                                 { .customer_ = 2 },
                                                 { .customer_ = 3 } };
  const Shares shares{ { { 1, 0 }, 0.5 },
                       { { 2, 0 }, 0.1 },
                       { { 3, 0 }, 0.3 } };
  CheckOrder(VisitAll(entries, shares), { 1, 2, 0 });
}

BOOST_AUTO_TEST_CASE(RankGoesBeforeShare)
{
  const std::vector<FairBacklog::Entry> entries{ { .rank_ = 1, .customer_ = 1 },
                                                 { .rank_ = 1, .customer_ = 1 },
                                                 { .rank_ = 2, .customer_ = 2 },
                                                 { .rank_ = 2,
                                                   .customer_ = 3 } };
  const Shares shares{ { { 1, 0 }, 0.9 }, { { 2, 0 }, 0.1 } };
  CheckOrder(VisitAll(entries, shares), { 0, 1, 3, 2 });
}

BOOST_AUTO_TEST_CASE(TheShareOfEachServiceCountsThere)
{
  const std::vector<FairBacklog::Entry> entries{
    { .customer_ = 1, .service_ = 0 },
    { .customer_ = 2, .service_ = 0 },
    { .customer_ = 1, .service_ = 1 },
    { .customer_ = 2, .service_ = 1 },
  };
  const Shares shares{ { { 1, 0 }, 0.5 }, { { 2, 1 }, 0.5 } };
  CheckOrder(VisitAll(entries, shares), { 1, 2, 0, 3 });
}

BOOST_AUTO_TEST_CASE(OneCustomerKeepsItsOrderOverAllServices)
{
  const std::vector<FairBacklog::Entry> entries{
    { .service_ = 0 }, { .service_ = 0 }, { .service_ = 1 }, { .service_ = 0 }
  };
  const Shares shares{ { { kNoCustomer, 0 }, 0.9 } };
  CheckOrder(VisitAll(entries, shares), { 0, 1, 2, 3 });
}

BOOST_AUTO_TEST_CASE(AWideEntryLetsOthersInBetweenItsParts)
{
  FairBacklog backlog;
  const std::vector<FairBacklog::Entry> entries{ { .customer_ = 1 },
                                                 { .customer_ = 2 },
                                                 { .customer_ = 2 } };
  backlog.Assign(entries);
  Shares shares;
  std::vector<size_t> visited;
  backlog.Visit(
    [&](CustomerId aCustomer, ServiceId aService) {
      return shares[{ aCustomer, aService }];
    },
    [&](size_t aIndex, bool aIsContested) {
      BOOST_TEST(aIsContested);
      visited.push_back(aIndex);
      shares[{ entries[aIndex].customer_, 0 }] += 1;
      return aIndex == 0 && visited.size() < 5;
    });
  CheckOrder(visited, { 0, 1, 0, 2, 0 });
}

BOOST_AUTO_TEST_CASE(EveryEntryIsVisitedOnce)
{
  std::mt19937 random(7);
  std::vector<FairBacklog::Entry> entries(500);
  for (size_t i = 0; i < entries.size(); ++i) {
    entries[i] = { .rank_ = i / 100,
                   .customer_ = static_cast<CustomerId>(random() % 20),
                   .service_ = static_cast<ServiceId>(random() % 5) };
  }
  std::vector<size_t> visited = VisitAll(entries, {}, 0.01);
  std::sort(visited.begin(), visited.end());
  for (size_t i = 0; i < entries.size(); ++i) {
    BOOST_TEST_REQUIRE(visited.at(i) == i);
  }
  BOOST_TEST(visited.size() == entries.size());
}

// Prints what a choice costs; checks nothing that depends on the machine.
BOOST_AUTO_TEST_CASE(CostOfAChoice)
{
  constexpr size_t kEntries = 600;
  constexpr int kRounds = 200;
  const auto measure = [&](CustomerId aCustomers) {
    std::vector<FairBacklog::Entry> entries(kEntries);
    for (size_t i = 0; i < kEntries; ++i) {
      entries[i].customer_ = static_cast<CustomerId>(i % aCustomers);
      entries[i].service_ = static_cast<ServiceId>(i % 5);
    }
    CustomerLedger ledger([](std::string_view) { return nullptr; });
    for (CustomerId i = 1; i < aCustomers; ++i) {
      ledger.FindOrAdd(std::to_string(i));
    }
    for (int i = 0; i < 5; ++i) {
      ledger.SetCapacity(ledger.FindOrAddService(std::to_string(i)),
                         { .milliCpus_ = 1000000, .memoryMb_ = 1000000 });
    }
    FairBacklog backlog;
    const auto assignedFrom = std::chrono::steady_clock::now();
    for (int i = 0; i < kRounds; ++i) {
      backlog.Assign(entries);
    }
    const auto visitedFrom = std::chrono::steady_clock::now();
    size_t visits = 0;
    for (int i = 0; i < kRounds; ++i) {
      backlog.Visit(
        [&](CustomerId aCustomer, ServiceId aService) {
          return ledger.ShareOf(aCustomer, aService);
        },
        [&](size_t, bool) { return ++visits == 0; });
    }
    const auto end = std::chrono::steady_clock::now();
    BOOST_TEST(visits == kEntries * kRounds);
    const auto perEntry = [&](auto aSpan) {
      return std::chrono::duration<double, std::nano>(aSpan).count() /
             (kEntries * kRounds);
    };
    std::cout << aCustomers
              << " customers: " << perEntry(visitedFrom - assignedFrom)
              << " ns to assign, " << perEntry(end - visitedFrom)
              << " ns to choose, each step\n";
  };
  measure(1);
  measure(20);
}

BOOST_AUTO_TEST_SUITE_END()
