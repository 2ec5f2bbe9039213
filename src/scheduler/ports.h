// Interfaces through which the scheduler sends orders to instances, operates
// machines and asks the advisor. Implemented by the platform's adapter.
#pragma once

#include "vanillahatch/core/jobs/orders.h"

#include <boost/asio/awaitable.hpp>

namespace vanillahatch {

struct ListingReply
{
  OrderResult result_;
  InstanceListing listing_; // valid if the status is kAccepted
};

// Sends orders to instances.
class InstancePort
{
public:
  virtual ~InstancePort() = default;
  virtual boost::asio::awaitable<OrderResult> Start(StartOrder aOrder) = 0;
  virtual boost::asio::awaitable<OrderResult> Stop(StopOrder aOrder) = 0;
  virtual boost::asio::awaitable<OrderResult> Pace(PaceOrder aOrder) = 0;
  virtual boost::asio::awaitable<ListingReply> Hold(HoldOrder aOrder) = 0;
  // Closes idle connections.
  virtual void CloseIdle() = 0;
};

// Operates machines and lists them.
class MachinePort
{
public:
  virtual ~MachinePort() = default;
  virtual boost::asio::awaitable<MachineOrderStatus> Operate(
    MachineOrder aOrder) = 0;
  // Lists all machines; nullopt if the platform's reply is missing or partial.
  virtual boost::asio::awaitable<std::optional<std::vector<MachineView>>>
  List() = 0;
};

// Asks the advisor which instances may run a step.
class AdvisorPort
{
public:
  virtual ~AdvisorPort() = default;
  virtual boost::asio::awaitable<AdviceReply> Ask(AdviceOrder aOrder) = 0;
};

} // namespace vanillahatch
