#define BOOST_TEST_MODULE fleet_config_view
#include "vanillahatch/core/fleet_config_view.h"

#include "control/control_state.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

constexpr FleetConfigViewOptions kOptions{ .controls_ = 3 };

v1::SyncReply Answer(const ControlState& aState, uint64_t aKnown)
{
  v1::SyncRequest request;
  request.set_known_revision(aKnown);
  return aState.Sync(request);
}

void Change(ControlState& aState, int aCount)
{
  static int number = 0;
  for (int i = 0; i < aCount; ++i) {
    v1::Change change;
    change.set_change_id("c" + std::to_string(++number));
    change.mutable_set_default()->set_setting("member.max_in_flight");
    change.mutable_set_default()->set_value(std::to_string(number % 50 + 1));
    BOOST_REQUIRE(aState.ApplyCommitted(change).status() ==
                  v1::CHANGE_ACCEPTED);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(DeltasBringTheHeldRevisionUpToDate)
{
  ControlState state;
  FleetConfigView view(kOptions, Millis(0));
  Change(state, 5);
  BOOST_TEST(Answer(state, 2).deltas_size() == 3);
  BOOST_TEST(view.OnSyncReply("c1", Answer(state, 0), Millis(10)));
  BOOST_TEST(view.Revision() == 5U);
  BOOST_TEST(
    (view.State().SerializeAsString() == state.State().SerializeAsString()));
}

BOOST_AUTO_TEST_CASE(HundredsOfMissedChangesComeAsDeltasAndThousandsAsState)
{
  ControlState state;
  FleetConfigView view(kOptions, Millis(0));
  Change(state, 900);
  BOOST_TEST(Answer(state, 0).deltas_size() == 900);
  Change(state, 900);
  BOOST_TEST(Answer(state, 0).has_full());
  BOOST_TEST(view.OnSyncReply("c1", Answer(state, 0), Millis(10)));
  BOOST_TEST(view.Revision() == 1800U);
}

BOOST_AUTO_TEST_CASE(LaggingReplicaNeverTakesTheEntryBack)
{
  ControlState current;
  ControlState lagging;
  Change(current, 5);
  Change(lagging, 3);
  FleetConfigView view(kOptions, Millis(0));
  view.OnSyncReply("c1", Answer(current, 0), Millis(10));
  const std::string held = view.State().SerializeAsString();
  BOOST_TEST(!view.OnSyncReply("c2", Answer(lagging, 0), Millis(20)));
  BOOST_TEST(view.Revision() == 5U);
  BOOST_TEST((view.State().SerializeAsString() == held));
}

BOOST_AUTO_TEST_CASE(LateAnswerWithDeltasAlreadyHeldIsSkipped)
{
  ControlState state;
  Change(state, 3);
  const v1::SyncReply late = Answer(state, 1);
  Change(state, 2);
  FleetConfigView view(kOptions, Millis(0));
  view.OnSyncReply("c1", Answer(state, 0), Millis(10));
  BOOST_TEST(!view.OnSyncReply("c1", late, Millis(20)));
  BOOST_TEST(view.Revision() == 5U);
}

BOOST_AUTO_TEST_CASE(RestartedEntryIsNotReadyBelowTheRevisionOthersActOn)
{
  ControlState current;
  ControlState lagging;
  Change(current, 5);
  Change(lagging, 3);
  FleetConfigView view(kOptions, Millis(0));
  view.OnPeerRevision(5);
  view.OnSyncReply("c1", Answer(lagging, 0), Millis(10));
  view.OnSyncReply("c2", Answer(lagging, 3), Millis(20));
  BOOST_TEST(!view.Ready(Millis(30)));
  BOOST_TEST(view.Stale(Millis(30)));
  view.OnSyncReply("c3", Answer(current, 0), Millis(40));
  BOOST_TEST(view.Ready(Millis(50)));
}

BOOST_AUTO_TEST_CASE(OneControlReplicaIsNotEnoughToBeReady)
{
  ControlState state;
  FleetConfigView view(kOptions, Millis(0));
  view.OnSyncReply("c1", Answer(state, 0), Millis(10));
  view.OnSyncReply("c1", Answer(state, 0), Millis(20));
  BOOST_TEST(!view.Ready(Millis(30)));
}

BOOST_AUTO_TEST_CASE(CutOffEntryServesAfterTheStartWaitAndSaysItIsStale)
{
  FleetConfigView view(kOptions, Millis(0));
  BOOST_TEST(!view.Ready(Millis(4999)));
  BOOST_TEST(view.Ready(Millis(5000)));
  BOOST_TEST(view.Stale(Millis(5000)));
}
