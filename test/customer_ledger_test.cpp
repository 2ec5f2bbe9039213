#define BOOST_TEST_MODULE customer_ledger
#include "vanillahatch/core/sharing/customer_ledger.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

constexpr Resources kTwoCores{ .milliCpus_ = 2000, .memoryMb_ = 1000 };

struct LedgerFixture
{
  v1::CustomerSpec& Put(const std::string& aName,
                        double aWeight,
                        uint32_t aCapMilliCpus = 0)
  {
    v1::CustomerSpec& spec = specs_[aName];
    spec.set_name(aName);
    spec.set_weight(aWeight);
    spec.mutable_cap()->set_cpu_millis(aCapMilliCpus);
    return spec;
  }

  RunCharge Start(CustomerId aCustomer,
                  const Resources& aNeed,
                  ServiceId aService = 0)
  {
    return ledger_.Charge({ .customer_ = aCustomer,
                            .service_ = aService,
                            .need_ = aNeed,
                            .occupied_ = aNeed });
  }

  std::map<std::string, v1::CustomerSpec, std::less<>> specs_;
  CustomerLedger ledger_{ [this](std::string_view aName) {
    const auto it = specs_.find(aName);
    return it != specs_.end() ? &it->second : nullptr;
  } };
  ServiceId service_ = ledger_.FindOrAddService("layout");
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(customer_ledger, LedgerFixture)

BOOST_AUTO_TEST_CASE(AStartBeyondTheCapWaitsForAnEnd)
{
  Put("a", 1, 5000);
  const CustomerId a = ledger_.FindOrAdd("a");
  const RunCharge first = Start(a, kTwoCores);
  BOOST_TEST(ledger_.MayStart(a, kTwoCores));
  Start(a, kTwoCores);
  BOOST_TEST(!ledger_.MayStart(a, kTwoCores));
  ledger_.Release(first);
  BOOST_TEST(ledger_.MayStart(a, kTwoCores));
}

BOOST_AUTO_TEST_CASE(EveryResourceHasItsOwnCap)
{
  Put("a", 1).mutable_cap()->set_memory_mb(1500);
  Put("b", 1).mutable_cap()->set_gpus(1);
  const CustomerId a = ledger_.FindOrAdd("a");
  const CustomerId b = ledger_.FindOrAdd("b");
  Start(a, kTwoCores);
  BOOST_TEST(!ledger_.MayStart(a, kTwoCores));
  Start(b, { .accelerators_ = 1 });
  BOOST_TEST(!ledger_.MayStart(b, { .accelerators_ = 1 }));
  BOOST_TEST(ledger_.MayStart(b, kTwoCores));
}

BOOST_AUTO_TEST_CASE(ATaskLargerThanTheCapRunsAlone)
{
  Put("a", 1, 1000);
  const CustomerId a = ledger_.FindOrAdd("a");
  BOOST_TEST(ledger_.MayStart(a, kTwoCores));
  Start(a, kTwoCores);
  BOOST_TEST(!ledger_.MayStart(a, { .milliCpus_ = 1 }));
}

BOOST_AUTO_TEST_CASE(TasksThatStartTogetherFitTogether)
{
  Put("a", 1, 8000);
  const CustomerId a = ledger_.FindOrAdd("a");
  BOOST_TEST(ledger_.MayStart(a, kTwoCores, 4));
  BOOST_TEST(ledger_.MayStart(a, kTwoCores, 5)); // by one task more
  BOOST_TEST(!ledger_.MayStart(a, kTwoCores, 6));
  Start(a, kTwoCores);
  BOOST_TEST(ledger_.MayStart(a, kTwoCores, 4)); // under half of the cap
  BOOST_TEST(!ledger_.MayStart(a, kTwoCores, 5));
  Start(a, kTwoCores);
  BOOST_TEST(ledger_.MayStart(a, kTwoCores, 2));
  BOOST_TEST(!ledger_.MayStart(a, kTwoCores, 3));
}

BOOST_AUTO_TEST_CASE(UnderHalfOfTheCapOneTaskMayExceedIt)
{
  Put("a", 1, 10000).mutable_cap()->set_memory_mb(3000);
  const CustomerId a = ledger_.FindOrAdd("a");
  constexpr Resources kSevenCores{ .milliCpus_ = 7000 };
  Start(a, { .milliCpus_ = 4000 });
  BOOST_TEST(ledger_.MayStart(a, kSevenCores));
  Start(a, { .memoryMb_ = 1500 });
  BOOST_TEST(!ledger_.MayStart(a, kSevenCores)); // half of its memory
}

BOOST_AUTO_TEST_CASE(AGangBeyondTheCapByMoreThanATaskNeverStarts)
{
  Put("a", 1, 8000);
  const CustomerId a = ledger_.FindOrAdd("a");
  Start(a, kTwoCores);
  BOOST_TEST(ledger_.CanEverStart(a, kTwoCores, 5));
  BOOST_TEST(!ledger_.CanEverStart(a, kTwoCores, 6));
}

BOOST_AUTO_TEST_CASE(ALoweredCapHoldsNewStartsUntilTheRestFits)
{
  Put("a", 1, 8000);
  const CustomerId a = ledger_.FindOrAdd("a");
  std::vector<RunCharge> runs(4);
  std::generate(runs.begin(), runs.end(), [&] { return Start(a, kTwoCores); });
  Put("a", 1, 4000);
  ledger_.RefreshTerms();
  for (const RunCharge& run : runs) {
    BOOST_TEST(!ledger_.MayStart(a, kTwoCores));
    ledger_.Release(run);
    if (&run == &runs[2]) {
      break;
    }
  }
  BOOST_TEST(ledger_.MayStart(a, kTwoCores));
}

BOOST_AUTO_TEST_CASE(ARemovedCustomerKeepsItsCap)
{
  Put("a", 1, 2000);
  const CustomerId a = ledger_.FindOrAdd("a");
  Start(a, kTwoCores);
  specs_.clear();
  ledger_.RefreshTerms();
  BOOST_TEST(!ledger_.MayStart(a, kTwoCores));
}

BOOST_AUTO_TEST_CASE(JobsOfNoCustomerHaveNoCap)
{
  Start(kNoCustomer, kTwoCores);
  BOOST_TEST(ledger_.FindOrAdd("") == kNoCustomer);
  BOOST_TEST(ledger_.MayStart(kNoCustomer, kTwoCores, 1000));
  BOOST_TEST(ledger_.MeasureLoads().empty());
}

BOOST_AUTO_TEST_CASE(TheShareIsOfTheScarcestResourceByWeight)
{
  Put("cpu", 1);
  Put("memory", 4);
  const CustomerId cpu = ledger_.FindOrAdd("cpu");
  const CustomerId memory = ledger_.FindOrAdd("memory");
  ledger_.SetCapacity(service_, { .milliCpus_ = 10000, .memoryMb_ = 10000 });
  Start(cpu, { .milliCpus_ = 2000, .memoryMb_ = 1000 });
  Start(memory, { .milliCpus_ = 1000, .memoryMb_ = 4000 });
  BOOST_TEST(ledger_.ShareOf(cpu, service_) == 0.2);
  BOOST_TEST(ledger_.ShareOf(memory, service_) == 0.1);
}

BOOST_AUTO_TEST_CASE(UseOfOneServiceTakesNoShareOfAnother)
{
  Put("a", 1);
  const CustomerId a = ledger_.FindOrAdd("a");
  const ServiceId other = ledger_.FindOrAddService("other");
  ledger_.SetCapacity(service_, { .milliCpus_ = 10000 });
  ledger_.SetCapacity(other, { .milliCpus_ = 10000 });
  Start(a, kTwoCores, service_);
  BOOST_TEST(ledger_.ShareOf(a, service_) > 0.0);
  BOOST_TEST(ledger_.ShareOf(a, other) == 0.0);
}

BOOST_AUTO_TEST_CASE(OnlyWaitingWorkWithinTheCapAsksForCapacity)
{
  Put("a", 1, 9000);
  const CustomerId a = ledger_.FindOrAdd("a");
  Start(a, kTwoCores);
  ledger_.BeginRound();
  BOOST_TEST(ledger_.RecordWaiting(a, kTwoCores, 2) == 2U);
  BOOST_TEST(ledger_.RecordWaiting(a, kTwoCores, 8) == 1U);
  BOOST_TEST(ledger_.RecordWaiting(a, kTwoCores, 8) == 0U);
  const CustomerLoad load = ledger_.MeasureLoads().at(0);
  BOOST_TEST(load.waitingTasks_ == 3U);
  BOOST_TEST(load.heldTasks_ == 15U);
  ledger_.BeginRound();
  BOOST_TEST(ledger_.RecordWaiting(a, kTwoCores, 2) == 2U);
}

BOOST_AUTO_TEST_CASE(ARecountCorrectsLostAndDoubleCharges)
{
  Put("a", 1, 2000);
  const CustomerId a = ledger_.FindOrAdd("a");
  const CustomerId b = ledger_.FindOrAdd("b");
  Start(a, kTwoCores);
  Start(b, kTwoCores);
  CustomerLedger recount = ledger_.WithoutCharges();
  recount.Charge(
    { .customer_ = b, .need_ = kTwoCores, .occupied_ = kTwoCores });
  const std::vector<std::string> corrected = ledger_.CorrectBy(recount);
  BOOST_TEST(corrected == std::vector<std::string>{ "a" },
             boost::test_tools::per_element());
  BOOST_TEST(ledger_.MayStart(a, kTwoCores));
  BOOST_TEST(ledger_.CorrectBy(recount).empty());
}

BOOST_AUTO_TEST_SUITE_END()
