#define BOOST_TEST_MODULE http_client
#include "vanillahatch/shell/http_client.h"

#include "vanillahatch/shell/system_clock.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <thread>

using namespace vanillahatch;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr Millis kTimeout = Seconds(5);

HttpRequest MakeRequest()
{
  HttpRequest request(http::verb::post, "/jobs", 11);
  request.set(http::field::host, "upstream");
  request.body() = "body";
  request.prepare_payload();
  return request;
}

// Answers each request with fixed bytes; optionally closes the connection
// after the first answer.
class ScriptedUpstream
{
public:
  ScriptedUpstream(asio::io_context& aIo, std::string aAnswer, bool aClose)
    : acceptor_(aIo, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , answer_(std::move(aAnswer))
    , close_(aClose)
  {
    asio::co_spawn(aIo, Accept(), asio::detached);
  }

  Endpoint At() const
  {
    return { .address_ = "127.0.0.1",
             .port_ = acceptor_.local_endpoint().port() };
  }

  int connections_ = 0;
  int requests_ = 0;

private:
  asio::awaitable<void> Accept()
  {
    for (;;) {
      auto socket = std::make_shared<tcp::socket>(
        co_await acceptor_.async_accept(asio::use_awaitable));
      ++connections_;
      asio::co_spawn(acceptor_.get_executor(), Serve(socket), asio::detached);
    }
  }

  asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> aSocket)
  {
    boost::system::error_code error;
    for (;;) {
      char bytes[4096];
      const size_t count = co_await aSocket->async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
      if (error || count == 0) {
        co_return;
      }
      ++requests_;
      co_await asio::async_write(
        *aSocket,
        asio::buffer(answer_),
        asio::redirect_error(asio::use_awaitable, error));
      if (close_) {
        co_return;
      }
    }
  }

  tcp::acceptor acceptor_;
  std::string answer_;
  bool close_;
};

struct ClientHarness
{
  explicit ClientHarness(std::string aAnswer, bool aClose = false)
    : upstream_(io_, std::move(aAnswer), aClose)
  {
  }

  ExchangeResult Call(Millis aTimeout = kTimeout)
  {
    return CallAt(upstream_.At(), aTimeout);
  }

  ExchangeResult CallAt(Endpoint aEndpoint,
                        Millis aTimeout,
                        std::shared_ptr<ExchangeAbort> aAbort = nullptr,
                        Millis aSendBy = Millis::Max())
  {
    std::optional<ExchangeResult> result;
    HttpRequest request = MakeRequest();
    asio::co_spawn(
      io_,
      client_.Exchange(std::move(aEndpoint),
                       std::move(request),
                       aTimeout,
                       std::move(aAbort),
                       aSendBy),
      [&](const std::exception_ptr& aError, ExchangeResult aResult) {
        BOOST_TEST(!aError);
        result = std::move(aResult);
      });
    while (!result) {
      io_.run_one();
    }
    return std::move(*result);
  }

  asio::io_context io_{ 1 };
  ScriptedUpstream upstream_;
  HttpClient client_;
};

const std::string kCompleteAnswer =
  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

} // namespace

BOOST_AUTO_TEST_CASE(CompleteAnswerKeepsItsConnectionOpen)
{
  ClientHarness harness(kCompleteAnswer);
  for (int i = 0; i < 3; ++i) {
    const ExchangeResult result = harness.Call();
    BOOST_TEST((result.status_ == ExchangeStatus::kAnswered));
    BOOST_TEST(result.response_->body() == "done");
  }
  BOOST_TEST(harness.upstream_.connections_ == 1);
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsNotSent)
{
  ClientHarness harness(kCompleteAnswer);
  asio::io_context other;
  tcp::acceptor closed(other,
                       tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  Endpoint endpoint{ .address_ = "127.0.0.1",
                     .port_ = closed.local_endpoint().port() };
  closed.close();
  const ExchangeResult result = harness.CallAt(endpoint, kTimeout);
  BOOST_TEST((result.status_ == ExchangeStatus::kNotSent));
}

BOOST_AUTO_TEST_CASE(InvalidAddressIsNotSent)
{
  ClientHarness harness(kCompleteAnswer);
  const ExchangeResult result =
    harness.CallAt({ .address_ = "nowhere", .port_ = 80 }, kTimeout);
  BOOST_TEST((result.status_ == ExchangeStatus::kNotSent));
}

// Guards against sending a request whose permission expired while it waited
// for its connection.
BOOST_AUTO_TEST_CASE(RequestIsNotSentWhenMaySendReturnsFalse)
{
  ClientHarness harness(kCompleteAnswer);
  bool isPermitted = true;
  harness.client_ = HttpClient({ .maySend_ = [&] { return isPermitted; } });
  BOOST_CHECK(harness.Call().status_ == ExchangeStatus::kAnswered);
  isPermitted = false;
  BOOST_CHECK(harness.Call().status_ == ExchangeStatus::kNotSent);
}

BOOST_AUTO_TEST_CASE(RequestThatIsPastItsTimeToSendIsNotSent)
{
  ClientHarness harness(kCompleteAnswer);
  const ExchangeResult result = harness.CallAt(
    harness.upstream_.At(), kTimeout, nullptr, BootTimeNow() - Millis(1));
  BOOST_CHECK(result.status_ == ExchangeStatus::kNotSent);
  BOOST_TEST(harness.upstream_.requests_ == 0);
}

BOOST_AUTO_TEST_CASE(RequestIsNotSentOnConnectionOpenedAfterItsTimeToSend)
{
  ClientHarness harness(kCompleteAnswer);
  const Millis sendBy = BootTimeNow() + Millis(50);
  // Runs while the connection is established.
  asio::post(harness.io_, [&] {
    asio::post(harness.io_, [&] {
      while (BootTimeNow() <= sendBy) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    });
  });
  const ExchangeResult result =
    harness.CallAt(harness.upstream_.At(), kTimeout, nullptr, sendBy);
  BOOST_CHECK(result.status_ == ExchangeStatus::kNotSent);
  BOOST_TEST(harness.upstream_.requests_ == 0);
}

BOOST_AUTO_TEST_CASE(TruncatedBodyIsUnknown)
{
  ClientHarness harness("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone",
                        true);
  const ExchangeResult result = harness.Call();
  BOOST_TEST((result.status_ == ExchangeStatus::kUnknown));
  BOOST_TEST(!result.response_.has_value());
}

BOOST_AUTO_TEST_CASE(TruncatedChunkIsUnknown)
{
  ClientHarness harness(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", true);
  BOOST_TEST((harness.Call().status_ == ExchangeStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(AnswerDelimitedOnlyByConnectionCloseIsUnknown)
{
  ClientHarness harness("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
                        true);
  BOOST_TEST((harness.Call().status_ == ExchangeStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(ConnectionWithExtraAnswerIsNotReused)
{
  ClientHarness harness(kCompleteAnswer + kCompleteAnswer);
  for (int i = 1; i <= 3; ++i) {
    const ExchangeResult result = harness.Call();
    BOOST_TEST((result.status_ == ExchangeStatus::kAnswered));
    BOOST_TEST(result.response_->body() == "done");
    BOOST_TEST(harness.upstream_.connections_ == i);
  }
}

BOOST_AUTO_TEST_CASE(UnresponsiveUpstreamIsUnknownAtTheTimeout)
{
  ClientHarness harness("");
  BOOST_TEST((harness.Call(Millis(100)).status_ == ExchangeStatus::kUnknown));
  BOOST_TEST(harness.client_.IdleConnections() == 0U);
}

BOOST_AUTO_TEST_CASE(AbortClosesTheConnectionAndDiscardsALateAnswer)
{
  ClientHarness harness("");
  auto abort = std::make_shared<ExchangeAbort>();
  asio::steady_timer timer(harness.io_, std::chrono::milliseconds(100));
  timer.async_wait([&](boost::system::error_code) { abort->Abort(); });
  const ExchangeResult result =
    harness.CallAt(harness.upstream_.At(), kTimeout, abort);
  BOOST_TEST((result.status_ == ExchangeStatus::kUnknown));
  BOOST_TEST(harness.client_.IdleConnections() == 0U);
}

BOOST_AUTO_TEST_CASE(CloseStaleRemovesConnectionClosedByTheUpstream)
{
  ClientHarness harness(kCompleteAnswer, true);
  harness.Call();
  for (int i = 0; i < 100 && harness.client_.IdleConnections() > 0; ++i) {
    harness.io_.run_for(std::chrono::milliseconds(10));
    harness.client_.CloseStale();
  }
  BOOST_TEST(harness.client_.IdleConnections() == 0U);
}

BOOST_AUTO_TEST_CASE(AnswerWithAPartOverItsLimitIsUnknown)
{
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2";
  const std::string filler(size_t(256) << 10U, 'f');
  const std::string headersLimit =
    http::make_error_code(http::error::header_limit).message();
  const std::string bufferOverflow =
    http::make_error_code(http::error::buffer_overflow).message();
  const std::string bodyLimit =
    http::make_error_code(http::error::body_limit).message();
  const std::vector<std::pair<std::string, std::string>> cases = {
    { "HTTP/1.1 200 OK\r\nX: " + filler, headersLimit },
    { chunked + "\r\n{}\r\n0\r\nX: " + filler, bufferOverflow },
    { chunked + ";" + filler, bufferOverflow },
    { "HTTP/1.1 200 OK\r\nContent-Length: 262144\r\n\r\n" + filler, bodyLimit }
  };
  for (const auto& [answer, detail] : cases) {
    ClientHarness harness(answer);
    harness.client_ = HttpClient({ .maxAnswerBytes_ = 262143 });
    const ExchangeResult result = harness.Call();
    BOOST_TEST((result.status_ == ExchangeStatus::kUnknown));
    BOOST_TEST(result.detail_ == detail);
  }
}

BOOST_AUTO_TEST_CASE(AnswerWithoutRoomInTheBudgetIsUnknown)
{
  const auto budget = std::make_shared<MemoryBudget>(MemoryBudgetOptions{
    .maxBytes_ = size_t(200) << 10U, .reservedBytes_ = size_t(50) << 10U });
  ClientHarness harness("HTTP/1.1 200 OK\r\nContent-Length: 262144\r\n\r\n" +
                        std::string(size_t(256) << 10U, 'b'));
  harness.client_ = HttpClient({ .budget_ = budget });
  BOOST_TEST((harness.Call().status_ == ExchangeStatus::kUnknown));
  BOOST_TEST(budget->BytesHeld() == 0U);
}

// The budget may close the connection between the last read and its handler.
BOOST_AUTO_TEST_CASE(ConnectionThatTheBudgetClosedIsNotReused)
{
  constexpr size_t kBudgetBytes = size_t(1) << 20U;
  const std::string answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n" + std::string(3000, 'b');
  int closed = 0;
  for (int step = 1; step <= 40; ++step) {
    const auto budget = std::make_shared<MemoryBudget>(
      MemoryBudgetOptions{ .maxBytes_ = kBudgetBytes, .reservedBytes_ = 0 });
    ClientHarness harness(answer);
    harness.client_ = HttpClient({ .budget_ = budget });
    MemoryBudget::Holding other(
      *budget, MemoryBudget::Kind::kConnection, [] {});
    int stepsLeft = step;
    bool isStopped = false;
    std::function<void()> closeAfterSteps = [&] {
      if (isStopped) {
        return;
      }
      if (budget->BytesHeld() == 0 || --stepsLeft > 0) {
        asio::post(harness.io_, closeAfterSteps);
        return;
      }
      other.Resize(kBudgetBytes);
      other.Resize(0);
    };
    asio::post(harness.io_, closeAfterSteps);
    const bool isAnswered = harness.Call().status_ == ExchangeStatus::kAnswered;
    isStopped = true;
    closed += budget->ClosedForMemory() > 0 ? 1 : 0;
    if (isAnswered) {
      BOOST_TEST((harness.Call().status_ == ExchangeStatus::kAnswered));
    }
  }
  BOOST_TEST(closed > 0);
}
