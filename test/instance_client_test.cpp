#define BOOST_TEST_MODULE instance_client
#include "platform/instance_client.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

using namespace vanillahatch;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Bytes of a closed connection would be delivered once a partition heals, and
// might start a run on a later incarnation of the instance.
BOOST_AUTO_TEST_CASE(ConnectionOfAnOrderWithoutReplyIsReset)
{
  asio::io_context io(1);
  tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
  boost::system::error_code endOfConnection;
  asio::co_spawn(
    io,
    [&]() -> asio::awaitable<void> {
      tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
      std::array<char, 4096> bytes{};
      while (!endOfConnection) {
        co_await socket.async_read_some(
          asio::buffer(bytes),
          asio::redirect_error(asio::use_awaitable, endOfConnection));
      }
    },
    asio::detached);
  platform::InstanceClient client;
  StartOrder order;
  order.target_.instance_.id_ = "i-1";
  order.target_.endpoint_ = { .address_ = "127.0.0.1",
                              .port_ = acceptor.local_endpoint().port() };
  OrderResult result{ .status_ = OrderStatus::kAccepted };
  asio::co_spawn(
    io,
    [&]() -> asio::awaitable<void> { result = co_await client.Start(order); },
    asio::detached);
  while (!endOfConnection && io.run_one() > 0) {
  }
  BOOST_CHECK(result.status_ == OrderStatus::kUnknown);
  BOOST_TEST(endOfConnection == asio::error::connection_reset);
}
