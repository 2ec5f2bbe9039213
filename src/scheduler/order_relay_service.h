// gRPC service that executes the orders which the leader relays through this
// replica, and sends their outcomes back on the same stream.
//
// It makes no decisions: each order carries the leader's fencing token, so an
// instance refuses one that is late or from a leader that was replaced. An
// order past its `send_by_ms` ends as kNotSent, unless it is a stop that does
// not expire.
//
//   OrderRelayService relay(io, instances);
//   StartServer(endpoint, relay);
#pragma once

#include "scheduler/ports.h"
#include "vanillahatch/shell/system_clock.h"

#include "relay.grpc.pb.h"
#include <boost/asio/io_context.hpp>
#include <functional>

namespace vanillahatch {

// A clock that advances while the machine is suspended, so that a relay that
// was suspended measures the age of its orders correctly.
using RelayClock = std::function<Millis()>;

class OrderRelayService : public v1::OrderRelay::CallbackService
{
public:
  // Uses `aInstances` on the thread of `aIo` only. While `aIsHealthy` returns
  // false the relay sends no heartbeats, so that it gets no orders.
  OrderRelayService(
    boost::asio::io_context& aIo,
    InstancePort& aInstances,
    std::function<bool()> aIsHealthy = [] { return true; },
    RelayClock aClock = BootTimeNow);

  grpc::ServerBidiReactor<v1::RelayedOrders, v1::RelayedOutcomes>* Relay(
    grpc::CallbackServerContext* aContext) override;

private:
  class Stream;

  boost::asio::io_context& io_;
  InstancePort& instances_;
  std::function<bool()> isHealthy_;
  RelayClock clock_;
};

} // namespace vanillahatch
