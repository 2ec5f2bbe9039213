// Carries out orders that the leader hands to this replica, and sends their
// outcomes back on the same stream.
//
// It decides nothing: an order carries the leader's fencing token, so one that
// comes late or from a leader that was replaced is refused by its instance.
//
//   OrderRelayHost relay(io, instances);
//   server: register relay
#pragma once

#include "scheduler/ports.h"
#include "vanillahatch/shell/system_clock.h"

#include "relay.grpc.pb.h"
#include <boost/asio/io_context.hpp>
#include <functional>

namespace vanillahatch {

// Counts on while the machine is suspended, so that a relay which stood still
// sees how old its orders are.
using RelayClock = std::function<Millis()>;

class OrderRelayHost : public v1::OrderRelay::CallbackService
{
public:
  // `aInstances` is used on the thread of `aIo` only. While `aIsFit` is false
  // the relay does not show life, so that it gets no orders.
  OrderRelayHost(
    boost::asio::io_context& aIo,
    InstancePort& aInstances,
    std::function<bool()> aIsFit = [] { return true; },
    RelayClock aClock = SuspendableNow);

  grpc::ServerBidiReactor<v1::RelayedOrders, v1::RelayedOutcomes>* Relay(
    grpc::CallbackServerContext* aContext) override;

private:
  class Stream;

  boost::asio::io_context& io_;
  InstancePort& instances_;
  std::function<bool()> isFit_;
  RelayClock clock_;
};

} // namespace vanillahatch
