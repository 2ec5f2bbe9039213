#define BOOST_TEST_MODULE control_replica
#include "control/control_replica.h"
#include "vanillahatch/shell/system_clock.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <future>
#include <thread>

using namespace vanillahatch;
namespace fs = std::filesystem;

namespace {

const uint64_t kCompactAfterEntries = LogReplicaOptions().compactEntries_;

class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string name =
      (fs::temp_directory_path() / "vh-control-XXXXXX").string();
    path_ = mkdtemp(name.data());
  }
  ~TemporaryFolder() { fs::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const fs::path& Path() const { return path_; }

private:
  fs::path path_;
};

bool WaitFor(const std::function<bool()>& aCondition)
{
  const auto deadline =
    std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!aCondition() && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return aCondition();
}

// The only replica of its cluster.
struct SingleReplica
{
  SingleReplica()
  {
    BOOST_REQUIRE(replica_.Start());
    BOOST_REQUIRE(WaitFor([&] { return replica_.IsLeader(); }));
  }

  v1::ChangeReply Propose(const v1::Change& aChange)
  {
    auto reply = std::make_shared<std::promise<v1::ChangeReply>>();
    replica_.Propose(aChange, [reply](const v1::ChangeReply& aReply) {
      reply->set_value(aReply);
    });
    return reply->get_future().get();
  }

  TemporaryFolder folder_;
  SystemClock clock_;
  ControlState state_;
  std::atomic<bool> diskFailed_ = false;
  ControlReplica replica_{
    { .self_ = NodeName("a"),
      .replicas_ = { ControlSettings{ .name_ = NodeName("a") } },
      .dataFolder_ = folder_.Path() / "data",
      .onDiskFailure_ = [this](const std::string&) { diskFailed_ = true; },
      .sync_ = false },
    state_,
    clock_
  };
};

v1::Change PutPool(const std::string& aId)
{
  v1::Change change;
  change.set_change_id(aId);
  change.set_author("operator-a");
  change.mutable_put_pool()->set_name("loops");
  change.mutable_put_pool()->set_service("loops");
  change.mutable_put_pool()->set_ceiling(12);
  return change;
}

} // namespace

BOOST_AUTO_TEST_CASE(LeaderStopsWhenItsDiskFailsDuringACompaction)
{
  SingleReplica control;
  const auto commitIndex = [&] {
    return control.replica_.Status().commitIndex_;
  };
  BOOST_REQUIRE(WaitFor([&] { return commitIndex() > 0; }));
  fs::rename(control.folder_.Path() / "data", control.folder_.Path() / "gone");
  for (uint64_t i = commitIndex(); i < kCompactAfterEntries; ++i) {
    control.Propose(PutPool(std::to_string(i)));
  }
  BOOST_REQUIRE(WaitFor([&] { return control.diskFailed_.load(); }));
  BOOST_TEST(WaitFor([&] { return !control.replica_.IsLeader(); }));
}

BOOST_AUTO_TEST_CASE(ChangeForAStoppedReplicaIsLeftToItsSuccessor)
{
  SingleReplica control;
  control.replica_.Stop();
  BOOST_TEST(control.Propose(PutPool("late")).status() ==
             v1::CHANGE_NOT_LEADER);
}

BOOST_AUTO_TEST_CASE(ChangeThatIsTooLargeForEntriesIsRefused)
{
  SingleReplica control;
  v1::Change change = PutPool("large");
  change.set_author(std::string(5U << 20U, 'x'));
  BOOST_TEST(control.Propose(change).status() == v1::CHANGE_INVALID);
  BOOST_TEST(control.state_.Revision() == 0U);
  BOOST_TEST(control.Propose(PutPool("next")).status() == v1::CHANGE_ACCEPTED);
}
