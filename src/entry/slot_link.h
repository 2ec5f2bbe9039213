// Carries the sharing of slots between this entry and the others.
//
// One call at a time goes to each peer; what comes up meanwhile waits and goes
// in the next call, so messages keep their order and are batched under load.
// The messages are absolute, so those of a failed call are not repeated.
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
// The messages of one call; a batch without any is a heartbeat.
std::vector<PeerMessage> FromWire(const v1::SlotBatch& aBatch);

class SlotLink
{
public:
  using Measured =
    std::function<void(const DataCentreName& aDataCentre, Millis aRoundTrip)>;

  // `aMeasured` is called on a thread of gRPC's after each whole call.
  SlotLink(const NodeName& aSelf,
           std::span<const EntrySettings> aEntries,
           const Clock& aClock,
           const Measured& aMeasured);

  // Safe from any thread.
  void Send(const NodeName& aTo, const PeerMessage& aMessage);

private:
  class Peer;

  std::map<NodeName, std::shared_ptr<Peer>> peers_;
};

} // namespace vanillahatch
