#define BOOST_TEST_MODULE http_server
#include "vanillahatch/shell/http_client.h"
#include "vanillahatch/shell/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

using namespace vanillahatch;

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttpVersion = 11;
constexpr std::chrono::milliseconds kSlowTime(200);

uint16_t FreePort()
{
  asio::io_context io;
  return asio::ip::tcp::acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 })
    .local_endpoint()
    .port();
}

asio::awaitable<void> SleepFor(std::chrono::milliseconds aDuration)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aDuration);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<HttpResponse> Answer(HttpRequest aRequest)
{
  if (aRequest.target() == "/slow") {
    co_await SleepFor(kSlowTime);
  }
  if (aRequest.target() == "/throws") {
    throw std::runtime_error("unexpected");
  }
  co_return MakeJson(200, "{}");
}

struct ServerFixture
{
  ServerFixture() { server_.Start(); }
  ~ServerFixture() { server_.StopAccepting(); }

  unsigned Get(const std::string& aTarget)
  {
    HttpRequest request(http::verb::get, aTarget, kHttpVersion);
    request.set(http::field::host, "localhost");
    std::optional<ExchangeResult> result;
    asio::co_spawn(io_,
                   client_.Exchange(endpoint_, std::move(request), Seconds(5)),
                   [&](const std::exception_ptr&, ExchangeResult aResult) {
                     result = std::move(aResult);
                   });
    while (!result) {
      io_.run_one();
    }
    return result->response_ ? result->response_->result_int() : 0;
  }

  asio::io_context io_{ 1 };
  const Endpoint endpoint_{ .address_ = "127.0.0.1", .port_ = FreePort() };
  HttpServer server_{ io_, { .endpoint_ = endpoint_ }, Answer };
  HttpClient client_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Server, ServerFixture)

BOOST_AUTO_TEST_CASE(HandlerExceptionIsAnsweredAndLaterRequestsAreServed)
{
  BOOST_TEST(Get("/throws") == 500U);
  BOOST_TEST(Get("/succeeds") == 200U);
}

BOOST_AUTO_TEST_CASE(RequestInProgressWhenTheServerStopsGetsTheHandlersAnswer)
{
  asio::co_spawn(
    io_,
    [this]() -> asio::awaitable<void> {
      co_await SleepFor(kSlowTime / 2);
      server_.BeginDrain();
      server_.StopAccepting();
    },
    asio::detached);
  BOOST_TEST(Get("/slow") == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
