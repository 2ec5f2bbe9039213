#define BOOST_TEST_MODULE customer_directory
#include "vanillahatch/core/customers/customer_directory.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

v1::FleetDocument MakeConfig()
{
  v1::FleetDocument config;
  config.set_checks_keys(true);
  v1::CustomerSpec& first = *config.add_customers();
  first.set_name("kiosks");
  first.add_keys("k1");
  first.add_keys("k2");
  v1::CustomerSpec& second = *config.add_customers();
  second.set_name("transit");
  second.add_keys("t1");
  return config;
}

v1::QueueSpec MakeQueue(bool aAllowsAnonymous)
{
  v1::QueueSpec queue;
  queue.set_allow_anonymous(aAllowsAnonymous);
  return queue;
}

const v1::QueueSpec kKeyed = MakeQueue(false);
const v1::QueueSpec kAnonymous = MakeQueue(true);

} // namespace

BOOST_AUTO_TEST_CASE(EachKeyIsOfItsCustomer)
{
  const CustomerDirectory directory(MakeConfig());
  for (const v1::QueueSpec& queue : { kKeyed, kAnonymous }) {
    for (const auto& [key, customer] : { std::pair("k1", "kiosks"),
                                         { "k2", "kiosks" },
                                         { "t1", "transit" } }) {
      const Caller caller = directory.Identify(queue, { .text_ = key });
      BOOST_TEST((caller.kind_ == CallerKind::kCustomer));
      BOOST_TEST(caller.customer_ == customer);
    }
  }
}

BOOST_AUTO_TEST_CASE(EachOfHundredsOfKeysIsKnown)
{
  constexpr int kKeys = 500;
  v1::FleetDocument config = MakeConfig();
  for (int i = 0; i < kKeys; ++i) {
    config.mutable_customers(i % 2)->add_keys("key " + std::to_string(i));
  }
  const CustomerDirectory directory(config);
  for (int i = 0; i < kKeys; ++i) {
    const Caller caller =
      directory.Identify(kKeyed, { .text_ = "key " + std::to_string(i) });
    BOOST_TEST(caller.customer_ == config.customers(i % 2).name());
  }
}

BOOST_AUTO_TEST_CASE(UnknownKeyIsUnauthorizedOnEachQueue)
{
  const CustomerDirectory directory(MakeConfig());
  for (const v1::QueueSpec& queue : { kKeyed, kAnonymous }) {
    for (const char* key : { "k", "k1 ", "K1", "kiosks", "unknown" }) {
      const Caller caller = directory.Identify(queue, { .text_ = key });
      BOOST_TEST(caller.IsUnauthorized(), key);
      BOOST_TEST(caller.customer_.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(CallWithoutAKeyNeedsAnAnonymousQueue)
{
  const CustomerDirectory directory(MakeConfig());
  BOOST_TEST(directory.Identify(kKeyed, {}).IsUnauthorized());
  const Caller caller = directory.Identify(kAnonymous, {});
  BOOST_TEST((caller.kind_ == CallerKind::kAnonymous));
  BOOST_TEST(caller.customer_.empty());
}

BOOST_AUTO_TEST_CASE(MalformedCredentialsAreUnauthorizedOnEachQueue)
{
  const CustomerDirectory directory(MakeConfig());
  for (const v1::QueueSpec& queue : { kKeyed, kAnonymous }) {
    BOOST_TEST(
      directory.Identify(queue, { .isMalformed_ = true }).IsUnauthorized());
  }
}

// Guards earlier deployments, whose callers may send any credentials.
BOOST_AUTO_TEST_CASE(DeploymentWithoutCustomersIgnoresKeys)
{
  for (const CustomerDirectory& directory :
       { CustomerDirectory(), CustomerDirectory(v1::FleetDocument()) }) {
    for (const CallKey& key : { CallKey{},
                                CallKey{ .text_ = "k1" },
                                CallKey{ .isMalformed_ = true } }) {
      const Caller caller = directory.Identify(kKeyed, key);
      BOOST_TEST((caller.kind_ == CallerKind::kUnchecked));
      BOOST_TEST(caller.MayAccess("kiosks"));
      BOOST_TEST(caller.MayAccess(""));
    }
  }
}

BOOST_AUTO_TEST_CASE(EmptyListOfCustomersLetsNobodyIn)
{
  v1::FleetDocument config;
  config.set_checks_keys(true);
  const CustomerDirectory directory(config);
  BOOST_TEST(directory.Identify(kKeyed, { .text_ = "k1" }).IsUnauthorized());
  BOOST_TEST(directory.Identify(kKeyed, {}).IsUnauthorized());
}

BOOST_AUTO_TEST_CASE(JobsOfOtherCustomersAreOutOfReach)
{
  const Caller kiosks{ .kind_ = CallerKind::kCustomer, .customer_ = "kiosks" };
  const Caller anonymous{ .kind_ = CallerKind::kAnonymous };
  const Caller unauthorized{ .kind_ = CallerKind::kUnauthorized };
  BOOST_TEST(kiosks.MayAccess("kiosks"));
  BOOST_TEST(kiosks.MayAccess(""));
  BOOST_TEST(!kiosks.MayAccess("transit"));
  BOOST_TEST(anonymous.MayAccess(""));
  BOOST_TEST(!anonymous.MayAccess("kiosks"));
  BOOST_TEST(!unauthorized.MayAccess(""));
}
