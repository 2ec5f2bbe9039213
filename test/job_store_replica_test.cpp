#define BOOST_TEST_MODULE job_store_replica
#include "scheduler/job_store_replica.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

constexpr const char* kNotUtf8 = "\xff"
                                 "1";

v1::JobChanges PutInstance(const std::string& aId)
{
  v1::JobChanges changes;
  changes.add_changes()->mutable_put_instance()->set_id(aId);
  return changes;
}

size_t InstanceCount(JobStoreReplica& aStore)
{
  return aStore.With(
    [](const JobStore& aState) { return aState.Instances().size(); });
}

} // namespace

BOOST_AUTO_TEST_CASE(IdThatIsNotUtf8DoesNotMakeSnapshotsUnreadable)
{
  JobStoreReplica store;
  store.Apply(PutInstance(kNotUtf8).SerializeAsString());
  BOOST_TEST(InstanceCount(store) == 1U);

  JobStoreReplica restored;
  BOOST_TEST(restored.Restore(store.Snapshot()));
  BOOST_TEST(InstanceCount(restored) == 1U);
}

BOOST_AUTO_TEST_CASE(EntryThatCannotBeParsedIsNotAppliedInPart)
{
  JobStoreReplica store;
  std::string payload = PutInstance("i-1").SerializeAsString() +
                        PutInstance("i-2").SerializeAsString();
  payload.pop_back();
  store.Apply(payload);
  BOOST_TEST(InstanceCount(store) == 0U);
}
