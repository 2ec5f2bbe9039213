// Orders and their outcomes as messages between replicas.
#pragma once

#include "scheduler/ports.h"

#include "relay.pb.h"

namespace vanillahatch {

v1::RelayedOrder ToRelayed(const StartOrder& aOrder);
v1::RelayedOrder ToRelayed(const StopOrder& aOrder);
v1::RelayedOrder ToRelayed(const PaceOrder& aOrder);
v1::RelayedOrder ToRelayed(const HoldOrder& aOrder);

// The orders without what only the leader knows of their tasks.
StartOrder ToStart(const v1::RelayedOrder& aOrder);
StopOrder ToStop(const v1::RelayedOrder& aOrder);
PaceOrder ToPace(const v1::RelayedOrder& aOrder);
HoldOrder ToHold(const v1::RelayedOrder& aOrder);

v1::RelayedOutcome ToOutcome(uint64_t aNumber, const ListingReply& aReply);
// kUnknown if the message names no status that is known here.
ListingReply FromOutcome(const v1::RelayedOutcome& aOutcome);

} // namespace vanillahatch
