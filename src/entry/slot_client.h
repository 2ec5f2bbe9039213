// Sends messages of slot sharing to the other entries.
//
// At most one call to each peer is in flight; messages that arrive during a
// call are sent in the next one, so that messages keep their order and are
// batched under load. Messages of a failed call are not sent again: they
// are absolute or numbered, so that later ones make up for them.
#pragma once

#include "vanillahatch/core/slot_messages.h"
#include "vanillahatch/shell/settings.h"

#include "entry.grpc.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <span>

namespace vanillahatch {

v1::SlotBatch::Item ToWire(const SlotReport& aReport);
v1::SlotBatch::Item ToWire(const SlotGrant& aGrant);
// Returns the messages of one call. An empty batch is a heartbeat.
std::vector<PeerMessage> FromWire(const v1::SlotBatch& aBatch);

class SlotClient
{
public:
  using RoundTripCallback =
    std::function<void(const DataCentreName& aDataCentre, Millis aRoundTrip)>;

  // `aOnRoundTrip` is called on one of gRPC's threads after each successful
  // call.
  SlotClient(const NodeName& aSelf,
             std::span<const EntrySettings> aEntries,
             const Clock& aClock,
             const RoundTripCallback& aOnRoundTrip);

  // Safe from any thread.
  void Send(const NodeName& aTo, const PeerMessage& aMessage);

private:
  class Peer;

  std::map<NodeName, std::shared_ptr<Peer>> peers_;
};

} // namespace vanillahatch
