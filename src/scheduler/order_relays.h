// Gives orders to instances, through other replicas where there are many.
//
// Load that it answers: thousands of starts a second, each an HTTP call of
// about 0.1 ms of processor time, which one leader on a third of a core cannot
// make. Handed to its followers in batches they cost it a fraction of that.
// While no follower is connected it calls the instances itself.
//
// A relay that is lost may or may not have carried out what it was given, as
// with any connection that breaks: those orders end as kUnknown.
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
  LogPeers::Resolver resolver_; // from names of replicas to addresses
};

// Lives on the thread of its io_context.
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

  // Connects to the replicas that `aWanted` names from time to time, and lets
  // go of the others. For as long as the io_context runs.
  void KeepConnected(std::function<std::set<std::string>()> aWanted);
  // Relays that are connected and heard.
  size_t Usable() const;

private:
  class Link;
  struct OpenStreams;
  using Done = std::function<void(ListingReply)>;

  void Maintain(const std::set<std::string>& aWanted);
  // Null: there is none, and the order is given directly.
  std::shared_ptr<Link> LinkFor(const InstanceKey& aInstance) const;
  // Through a relay, or directly while none is in reach.
  template<class Order>
  boost::asio::awaitable<OrderResult> Give(
    Order aOrder,
    boost::asio::awaitable<OrderResult> (InstancePort::*aDirectly)(Order));
  boost::asio::awaitable<ListingReply> Send(std::shared_ptr<Link> aLink,
                                            v1::RelayedOrder aOrder,
                                            Millis aWithin);

  boost::asio::io_context& io_;
  InstancePort& direct_;
  const Clock& clock_;
  OrderRelaysOptions options_;
  std::shared_ptr<OpenStreams> streams_;
  std::map<std::string, std::shared_ptr<Link>> links_; // by replica
};

} // namespace vanillahatch
