// Sends orders to instances by way of other replicas, the relays.
//
// An order is an HTTP call of about 0.1 ms of processor time. A leader on a
// third of a core cannot make thousands of them a second; sent to its followers
// in batches they cost it a fraction of that. While no relay is usable, orders
// are sent to the instances directly.
//
// The orders in flight to a relay that is lost end as kUnknown: they may or may
// not have been executed.
//
//   OrderRelays relays(io, direct, clock, { .resolver_ = ... });
//   relays.KeepConnected([] { return replicas; });
//   co_await relays.Start(order);
#pragma once

#include "replica/log_peers.h"
#include "scheduler/ports.h"

#include "relay.grpc.pb.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <set>
#include <unordered_map>

namespace vanillahatch {

struct OrderRelaysOptions
{
  LogPeers::Resolver resolver_; // maps names of replicas to endpoints
};

// Must be used on the thread of its io_context only.
class OrderRelays : public InstancePort
{
public:
  OrderRelays(boost::asio::io_context& aIo,
              InstancePort& aDirect,
              const Clock& aClock,
              OrderRelaysOptions aOptions);
  ~OrderRelays() override;
  OrderRelays(const OrderRelays&) = delete;
  OrderRelays& operator=(const OrderRelays&) = delete;

  boost::asio::awaitable<OrderResult> Start(StartOrder aOrder) override;
  boost::asio::awaitable<OrderResult> Stop(StopOrder aOrder) override;
  boost::asio::awaitable<OrderResult> Pace(PaceOrder aOrder) override;
  boost::asio::awaitable<ListingReply> Hold(HoldOrder aOrder) override;
  void CloseIdle() override;

  // Keeps streams to the replicas that `aReplicas` returns, and closes all
  // others, for as long as the io_context runs. Calls `aReplicas` every 200 ms.
  void KeepConnected(std::function<std::set<std::string>()> aReplicas);
  // Number of relays that are connected, with a recent message.
  size_t UsableRelayCount() const;
  // Number of messages received from the present relays, heartbeats included.
  uint64_t ReceivedMessageCount() const;

private:
  class Link;
  struct OpenStreams;
  using Done = std::function<void(ListingReply)>;

  void UpdateLinks(const std::set<std::string>& aReplicas);
  // The relay for orders to an instance; null if none is usable.
  std::shared_ptr<Link> LinkFor(const InstanceKey& aInstance) const;
  // Sends the order through a relay, or directly by `aMethod` if no relay is
  // usable.
  template<class Order>
  boost::asio::awaitable<OrderResult> SendOrder(
    Order aOrder,
    boost::asio::awaitable<OrderResult> (InstancePort::*aMethod)(Order));
  boost::asio::awaitable<ListingReply> Send(std::shared_ptr<Link> aLink,
                                            v1::RelayedOrder aOrder,
                                            std::optional<Millis> aSendBy,
                                            Millis aTimeout);

  boost::asio::io_context& io_;
  InstancePort& direct_;
  const Clock& clock_;
  OrderRelaysOptions options_;
  std::shared_ptr<OpenStreams> streams_;
  std::map<std::string, std::shared_ptr<Link>> links_; // by replica
};

} // namespace vanillahatch
