#define BOOST_TEST_MODULE http_server
#include "shell/http_read.h"
#include "vanillahatch/shell/http_client.h"
#include "vanillahatch/shell/http_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <list>
#include <stdexcept>

using namespace vanillahatch;

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using asio::ip::tcp;

constexpr unsigned kHttpVersion = 11;
constexpr std::chrono::milliseconds kSlowTime(200);
constexpr size_t kLargeAnswerBytes = size_t(256) << 10U;
constexpr size_t kMaxHeaderBytes = 16384;
constexpr size_t kMaxBodyBytes = 262144;

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

// Not a `std::exception`, which the server answers.
struct OtherError
{};

struct ServerFixture
{
  ServerFixture() { server_.Start(); }
  ~ServerFixture() { server_.StopAccepting(); }

  asio::awaitable<HttpResponse> Answer(HttpRequest aRequest)
  {
    if (aRequest.target() == "/slow") {
      isServingSlow_ = true;
      co_await SleepFor(kSlowTime);
    }
    if (aRequest.target() == "/large") {
      co_return MakeJson(200, std::string(kLargeAnswerBytes, 'x'));
    }
    if (aRequest.target() == "/throws-other") {
      throw OtherError();
    }
    if (aRequest.target() == "/throws") {
      throw std::runtime_error("unexpected");
    }
    co_return MakeJson(200, "{}");
  }

  // Up to 10 s.
  template<class Condition>
  void RunUntil(Condition aCondition)
  {
    const auto end =
      std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      io_.run_one_for(std::chrono::milliseconds(10));
    }
    BOOST_REQUIRE(aCondition());
  }

  unsigned Get(const std::string& aTarget) { return Get(aTarget, endpoint_); }

  unsigned Get(const std::string& aTarget, const Endpoint& aEndpoint)
  {
    HttpRequest request(http::verb::get, aTarget, kHttpVersion);
    request.set(http::field::host, "localhost");
    std::optional<ExchangeResult> result;
    asio::co_spawn(io_,
                   client_.Exchange(aEndpoint, std::move(request), Seconds(5)),
                   [&](const std::exception_ptr&, ExchangeResult aResult) {
                     result = std::move(aResult);
                   });
    while (!result) {
      io_.run_one();
    }
    return result->response_ ? result->response_->result_int() : 0;
  }

  // Sends the text on a new connection, as far as the server takes it. Returns
  // the status of the answer, 0 without one.
  unsigned Send(std::string aText)
  {
    tcp::socket socket(io_);
    std::optional<unsigned> status;
    asio::co_spawn(
      io_,
      [&]() -> asio::awaitable<void> {
        co_await socket.async_connect(
          { asio::ip::make_address("127.0.0.1"), endpoint_.port_ },
          asio::use_awaitable);
        boost::system::error_code error;
        co_await asio::async_write(
          socket,
          asio::buffer(aText),
          asio::redirect_error(asio::use_awaitable, error));
        std::string answer;
        co_await asio::async_read_until(
          socket,
          asio::dynamic_buffer(answer),
          "\r\n",
          asio::redirect_error(asio::use_awaitable, error));
        const size_t space = answer.find(' ');
        status = space == std::string::npos
                   ? 0
                   : static_cast<unsigned>(std::stoul(answer.substr(space)));
      },
      asio::detached);
    while (!status) {
      io_.run_one();
    }
    return *status;
  }

  // Connects, sends the text and leaves the connection open.
  void Hold(const std::string& aText) { Hold(aText, endpoint_); }

  void Hold(const std::string& aText, const Endpoint& aEndpoint)
  {
    held_.emplace_back(io_);
    held_.back().connect(
      { asio::ip::make_address("127.0.0.1"), aEndpoint.port_ });
    asio::write(held_.back(), asio::buffer(aText));
  }

  asio::io_context io_{ 1 };
  const Endpoint endpoint_{ .address_ = "127.0.0.1", .port_ = FreePort() };
  const std::shared_ptr<MemoryBudget> budget_ = std::make_shared<MemoryBudget>(
    MemoryBudgetOptions{ .maxBytes_ = 2 * kMaxBodyBytes,
                         .reservedBytes_ = kMaxBodyBytes / 2,
                         .maxConnections_ = 8 });
  HttpServer server_{ io_,
                      { .endpoint_ = endpoint_,
                        .limits_ = { .maxBodyBytes_ = kMaxBodyBytes,
                                     .maxHeaderBytes_ = kMaxHeaderBytes },
                        .budget_ = budget_ },
                      [this](HttpRequest aRequest) {
                        return Answer(std::move(aRequest));
                      } };
  std::list<tcp::socket> held_;
  bool isServingSlow_ = false;
  HttpClient client_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Server, ServerFixture)

BOOST_AUTO_TEST_CASE(HandlerExceptionIsAnsweredAndLaterRequestsAreServed)
{
  BOOST_TEST(Get("/throws") == 500U);
  BOOST_TEST(Get("/succeeds") == 200U);
}

BOOST_AUTO_TEST_CASE(ConnectionThatEndsByAnExceptionIsNotCountedAsOpen)
{
  BOOST_TEST(Get("/throws-other") == 0U);
  BOOST_TEST(server_.OpenConnections() == 0U);
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

BOOST_AUTO_TEST_CASE(RequestAtEachLimitIsServed)
{
  const std::string start = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string filler = "X-Filler: ";
  const std::string end = "\r\nContent-Length: 262144\r\n\r\n";
  const size_t padding =
    kMaxHeaderBytes - start.size() - filler.size() - end.size();
  BOOST_TEST(Send(start + filler + std::string(padding, 'h') + end +
                  std::string(kMaxBodyBytes, 'b')) == 200U);
  BOOST_TEST(Send(start + "Transfer-Encoding: chunked\r\n\r\n40000;a=b\r\n" +
                  std::string(kMaxBodyBytes, 'b') +
                  "\r\n0\r\nX-Checksum: 7\r\n\r\n") == 200U);
}

BOOST_AUTO_TEST_CASE(RequestWithAPartOverItsLimitIsRefused)
{
  const std::string start = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string filler = "X: " + std::string(4 * kMaxHeaderBytes, 'f');
  const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n2";
  BOOST_TEST(Send(start + filler) == 431U);
  BOOST_TEST(Send(chunked + "\r\n{}\r\n0\r\n" + filler + filler) == 431U);
  BOOST_TEST(Send(chunked + ";" + filler + filler) == 431U);
  BOOST_TEST(Send(start + "Content-Length: 262145\r\n\r\n") == 413U);
}

BOOST_AUTO_TEST_CASE(UnfinishedRequestsAreClosedOldestFirstWhenMemoryIsShort)
{
  const std::string unfinished =
    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n" +
    std::string(kMaxBodyBytes - 1, 'b');
  for (uint64_t i = 0; i < 4; ++i) {
    Hold(unfinished);
    RunUntil([&] {
      return budget_->ClosedForMemory() == i &&
             budget_->BytesHeld() >= kMaxBodyBytes;
    });
  }
  BOOST_TEST(budget_->BytesHeld() <= 2 * kMaxBodyBytes);
  BOOST_TEST(Get("/succeeds") == 200U);
  BOOST_TEST(Send(unfinished + "b") == 200U);
}

BOOST_AUTO_TEST_CASE(DeclaredLengthTakesNoMemoryBeforeTheBodyArrives)
{
  http::request_parser<ArrivedBody> parser;
  parser.body_limit(kMaxBodyBytes);
  parser.eager(true);
  boost::system::error_code error;
  const auto put = [&](const std::string& aText) {
    parser.put(asio::buffer(aText), error);
    return parser.get().body().capacity();
  };
  BOOST_TEST(put("POST /x HTTP/1.1\r\nContent-Length: 262144\r\n\r\n") < 100U);
  BOOST_TEST(put(std::string(1000, 'b')) <= 2000U);
  BOOST_TEST(put(std::string(kMaxBodyBytes - 1000, 'b')) == kMaxBodyBytes);
  BOOST_TEST(parser.is_done());
}

BOOST_AUTO_TEST_CASE(ReadBufferIsChargedWhileARequestIsServed)
{
  std::string text = "POST /slow HTTP/1.1\r\nHost: h\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n2;" +
                     std::string(size_t(70) << 10U, 'e') +
                     "\r\n{}\r\n0\r\n\r\n";
  for (int i = 0; i < 1000; ++i) {
    text += "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  Hold(text);
  RunUntil([&] { return isServingSlow_; });
  // What follows the request is kept, the room beyond it is not.
  BOOST_TEST(budget_->BytesHeld() > 4096U);
  BOOST_TEST(budget_->BytesHeld() < 65536U);
}

BOOST_AUTO_TEST_CASE(AnswersThatAreNotReadStayWithinTheBudget)
{
  const std::string get = "GET /large HTTP/1.1\r\nHost: h\r\n\r\n";
  for (int i = 0; i < 6; ++i) {
    // More than the buffers of the sockets hold.
    std::string text;
    for (int request = 0; request < 100; ++request) {
      text += get;
    }
    Hold(text);
  }
  RunUntil([&] { return budget_->ClosedForMemory() > 0; });
  BOOST_TEST(budget_->BytesHeld() >= kLargeAnswerBytes);
  BOOST_TEST(budget_->BytesHeld() <= 2 * kMaxBodyBytes);
  BOOST_TEST(Get("/succeeds") == 200U);
}

BOOST_AUTO_TEST_CASE(IdleConnectionGivesWayToANewOneAtTheLimit)
{
  for (int i = 0; i < 12; ++i) {
    Hold("");
  }
  RunUntil([&] { return budget_->ClosedForConnections() == 4U; });
  RunUntil([&] { return budget_->Connections() == 8U; });
  BOOST_TEST(Get("/succeeds") == 200U);
}

BOOST_AUTO_TEST_CASE(IdleConnectionGivesWayAtTheServersOwnLimit)
{
  const Endpoint own{ .address_ = "127.0.0.1", .port_ = FreePort() };
  HttpServer server(
    io_,
    { .endpoint_ = own, .limits_ = { .maxConnections_ = 8 } },
    [this](HttpRequest aRequest) { return Answer(std::move(aRequest)); });
  server.Start();
  for (int i = 0; i < 12; ++i) {
    Hold("", own);
  }
  BOOST_TEST(Get("/succeeds", own) == 200U);
  RunUntil([&] { return server.OpenConnections() == 8; });
  server.StopAccepting();
}

BOOST_AUTO_TEST_SUITE_END()
