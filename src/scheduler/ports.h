// What the scheduler needs of the world outside: instances that take orders
// and a platform that operates machines. Implemented by an adapter.
#pragma once

#include "vanillahatch/core/jobs/orders.h"

#include <boost/asio/awaitable.hpp>

namespace vanillahatch {

struct ListingReply
{
  OrderResult result_;
  InstanceListing listing_; // if the result is kAccepted
};

class InstancePort
{
public:
  virtual ~InstancePort() = default;
  virtual boost::asio::awaitable<OrderResult> Start(StartOrder aOrder) = 0;
  virtual boost::asio::awaitable<OrderResult> Stop(StopOrder aOrder) = 0;
  virtual boost::asio::awaitable<OrderResult> Pace(PaceOrder aOrder) = 0;
  virtual boost::asio::awaitable<ListingReply> Hold(HoldOrder aOrder) = 0;
  // Closes connections that have not been used for a while.
  virtual void CloseIdle() = 0;
};

class MachinePort
{
public:
  virtual ~MachinePort() = default;
  virtual boost::asio::awaitable<MachineOrderStatus> Operate(
    MachineOrder aOrder) = 0;
  // Nothing if the platform did not answer in full.
  virtual boost::asio::awaitable<std::optional<std::vector<MachineView>>>
  List() = 0;
};

class AdvisorPort
{
public:
  virtual ~AdvisorPort() = default;
  virtual boost::asio::awaitable<AdviceReply> Ask(AdviceOrder aOrder) = 0;
};

} // namespace vanillahatch
