#define BOOST_TEST_MODULE fleet_config_view
#include "vanillahatch/core/fleet_config_view.h"

#include "control/control_state.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

constexpr FleetConfigViewOptions kOptions{ .controls_ = 3 };

v1::SyncReply SyncFrom(const ControlState& aState, uint64_t aKnown)
{
  v1::SyncRequest request;
  request.set_known_revision(aKnown);
  return aState.Sync(request);
}

void ApplyChanges(ControlState& aState, int aCount)
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

BOOST_AUTO_TEST_CASE(DeltasUpdateTheRevisionAndTheState)
{
  ControlState state;
  FleetConfigView view(kOptions, Millis(0));
  ApplyChanges(state, 5);
  BOOST_TEST(SyncFrom(state, 2).deltas_size() == 3);
  BOOST_TEST(view.OnSyncReply("c1", SyncFrom(state, 0), Millis(10)));
  BOOST_TEST(view.Revision() == 5U);
  BOOST_TEST(
    (view.State().SerializeAsString() == state.State().SerializeAsString()));
}

BOOST_AUTO_TEST_CASE(
  HundredsOfMissedChangesAreSentAsDeltasAndThousandsAsFullState)
{
  ControlState state;
  FleetConfigView view(kOptions, Millis(0));
  ApplyChanges(state, 900);
  BOOST_TEST(SyncFrom(state, 0).deltas_size() == 900);
  ApplyChanges(state, 900);
  BOOST_TEST(SyncFrom(state, 0).has_full());
  BOOST_TEST(view.OnSyncReply("c1", SyncFrom(state, 0), Millis(10)));
  BOOST_TEST(view.Revision() == 1800U);
}

BOOST_AUTO_TEST_CASE(ReplyOfLaggingReplicaDoesNotLowerTheRevision)
{
  ControlState current;
  ControlState lagging;
  ApplyChanges(current, 5);
  ApplyChanges(lagging, 3);
  FleetConfigView view(kOptions, Millis(0));
  view.OnSyncReply("c1", SyncFrom(current, 0), Millis(10));
  const std::string stateBefore = view.State().SerializeAsString();
  BOOST_TEST(!view.OnSyncReply("c2", SyncFrom(lagging, 0), Millis(20)));
  BOOST_TEST(view.Revision() == 5U);
  BOOST_TEST((view.State().SerializeAsString() == stateBefore));
}

BOOST_AUTO_TEST_CASE(DelayedReplyWithAppliedDeltasIsIgnored)
{
  ControlState state;
  ApplyChanges(state, 3);
  const v1::SyncReply delayed = SyncFrom(state, 1);
  ApplyChanges(state, 2);
  FleetConfigView view(kOptions, Millis(0));
  view.OnSyncReply("c1", SyncFrom(state, 0), Millis(10));
  BOOST_TEST(!view.OnSyncReply("c1", delayed, Millis(20)));
  BOOST_TEST(view.Revision() == 5U);
}

BOOST_AUTO_TEST_CASE(RestartedEntryIsNotReadyBelowTheRevisionOfItsPeers)
{
  ControlState current;
  ControlState lagging;
  ApplyChanges(current, 5);
  ApplyChanges(lagging, 3);
  FleetConfigView view(kOptions, Millis(0));
  view.OnPeerRevision(5);
  view.OnSyncReply("c1", SyncFrom(lagging, 0), Millis(10));
  view.OnSyncReply("c2", SyncFrom(lagging, 3), Millis(20));
  BOOST_TEST(!view.Ready(Millis(30)));
  BOOST_TEST(view.Stale(Millis(30)));
  view.OnSyncReply("c3", SyncFrom(current, 0), Millis(40));
  BOOST_TEST(view.Ready(Millis(50)));
}

BOOST_AUTO_TEST_CASE(OneControlReplicaIsNotEnoughToBeReady)
{
  ControlState state;
  FleetConfigView view(kOptions, Millis(0));
  view.OnSyncReply("c1", SyncFrom(state, 0), Millis(10));
  view.OnSyncReply("c1", SyncFrom(state, 0), Millis(20));
  BOOST_TEST(!view.Ready(Millis(30)));
}

BOOST_AUTO_TEST_CASE(CutOffEntryIsReadyAfterTheStartTimeoutAndReportsStale)
{
  FleetConfigView view(kOptions, Millis(0));
  BOOST_TEST(!view.Ready(Millis(4999)));
  BOOST_TEST(view.Ready(Millis(5000)));
  BOOST_TEST(view.Stale(Millis(5000)));
}
