#define BOOST_TEST_MODULE instance_client
#include "platform/instance_client.h"

#include "vanillahatch/shell/system_clock.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

using namespace vanillahatch;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr const char* kLoopback = "127.0.0.1";
const std::string kAnswer =
  "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"clock_ms\":77}";

// An instance that accepts every order.
struct InstanceFixture
{
  InstanceFixture() { asio::co_spawn(io_, Accept(), asio::detached); }

  asio::awaitable<void> Accept()
  {
    for (;;) {
      auto socket = std::make_shared<tcp::socket>(
        co_await acceptor_.async_accept(asio::use_awaitable));
      asio::co_spawn(io_, Serve(socket), asio::detached);
    }
  }

  asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> aSocket)
  {
    boost::system::error_code error;
    while (!error) {
      std::array<char, 4096> bytes{};
      const size_t count = co_await aSocket->async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
      if (count > 0) {
        ++requestsReceived_;
        co_await asio::async_write(
          *aSocket,
          asio::buffer(kAnswer),
          asio::redirect_error(asio::use_awaitable, error));
      }
    }
  }

  OrderTarget Target(std::optional<Millis> aSendBy)
  {
    return { .instance_ = { .id_ = "i-1", .startedUnixMs_ = 5 },
             .endpoint_ = { .address_ = kLoopback,
                            .port_ = acceptor_.local_endpoint().port() },
             .fencingToken_ = 8,
             .sendBy_ = aSendBy };
  }

  template<class Reply>
  Reply Run(asio::awaitable<Reply> aCall)
  {
    std::optional<Reply> reply;
    asio::co_spawn(io_,
                   std::move(aCall),
                   [&](const std::exception_ptr& aError, Reply aReply) {
                     BOOST_TEST(!aError);
                     reply = std::move(aReply);
                   });
    while (!reply) {
      io_.run_one();
    }
    return std::move(*reply);
  }

  asio::io_context io_{ 1 };
  tcp::acceptor acceptor_{ io_, { asio::ip::make_address(kLoopback), 0 } };
  platform::InstanceClient client_;
  int requestsReceived_ = 0;
};

} // namespace

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

BOOST_FIXTURE_TEST_SUITE(InstanceClientTests, InstanceFixture)

BOOST_AUTO_TEST_CASE(OrdersPastTheirTimeToSendAreNotSent)
{
  const OrderTarget late = Target(BootTimeNow() - Millis(1));
  const std::vector<OrderStatus> statuses{
    Run(client_.Start({ .target_ = late })).status_,
    Run(client_.Stop({ .target_ = late, .expires_ = true })).status_,
    Run(client_.Pace({ .target_ = late })).status_,
    Run(client_.Hold({ .target_ = late })).result_.status_,
  };
  for (const OrderStatus status : statuses) {
    BOOST_CHECK(status == OrderStatus::kNotSent);
  }
  BOOST_TEST(requestsReceived_ == 0);
}

BOOST_AUTO_TEST_CASE(OrdersBeforeTheirTimeToSendAreSent)
{
  const OrderTarget inTime = Target(BootTimeNow() + Seconds(60));
  BOOST_CHECK(Run(client_.Start({ .target_ = inTime })).status_ ==
              OrderStatus::kAccepted);
  BOOST_TEST(requestsReceived_ == 1);
}

BOOST_AUTO_TEST_CASE(StopWithoutTimeToSendIsSent)
{
  BOOST_CHECK(Run(client_.Stop({ .target_ = Target(std::nullopt) })).status_ ==
              OrderStatus::kAccepted);
  BOOST_TEST(requestsReceived_ == 1);
}

BOOST_AUTO_TEST_SUITE_END()
