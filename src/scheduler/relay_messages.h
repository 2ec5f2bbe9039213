// Converts orders and their outcomes from and to messages between replicas.
#pragma once

#include "scheduler/ports.h"

#include "relay.pb.h"

namespace vanillahatch {

v1::RelayedOrder ToRelayed(const StartOrder& aOrder);
v1::RelayedOrder ToRelayed(const StopOrder& aOrder);
v1::RelayedOrder ToRelayed(const PaceOrder& aOrder);
v1::RelayedOrder ToRelayed(const HoldOrder& aOrder);

// The time after which the order is not sent, on the relay's clock.
std::optional<Millis> SendByOf(const v1::RelayedOrder& aOrder);
// The results lack `ref_`, which is valid on the leader only.
StartOrder ToStart(const v1::RelayedOrder& aOrder);
StopOrder ToStop(const v1::RelayedOrder& aOrder);
PaceOrder ToPace(const v1::RelayedOrder& aOrder);
HoldOrder ToHold(const v1::RelayedOrder& aOrder);

v1::RelayedOutcome ToOutcome(uint64_t aNumber, const ListingReply& aReply);
// A status that this version does not know becomes kUnknown.
ListingReply FromOutcome(v1::RelayedOutcome aOutcome);

} // namespace vanillahatch
