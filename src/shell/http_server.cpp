#include "vanillahatch/shell/http_server.h"

#include "shell/http_read.h"
#include "vanillahatch/shell/dead_peer_detection.h"
#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/scope_guard.h"
#include "vanillahatch/shell/system_clock.h"

#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <set>

namespace vanillahatch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

namespace {

// Limits on reading the rest of a refused request before closing.
constexpr Millis kDiscardTimeout = Seconds(2);
constexpr size_t kMaxDiscardedBytes = 8U << 20U;
constexpr size_t kDiscardBufferBytes = 4096;
constexpr size_t kMaxDiscarding = 64; // connections of one server

// A buffer that has grown beyond this is not kept for the next request.
constexpr size_t kIdleBufferBytes = 4096;
// A request that has run gets such an answer even without room for it.
constexpr size_t kSmallAnswerBytes = 4096;
constexpr Millis kLogInterval = Seconds(1);
constexpr Millis kAcceptRetry = Millis(50);
constexpr const char* kRetryAfterSeconds = "1";

// Bounds on detecting that a caller's connection is dead.
constexpr Millis kUnacknowledged = Seconds(10);
constexpr Millis kKeepalive = Seconds(30);

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl>
{
public:
  Impl(asio::io_context& aIo, HttpServerOptions aOptions, HttpHandler aHandler)
    : io_(aIo)
    , options_(std::move(aOptions))
    , handler_(std::move(aHandler))
    , acceptor_(aIo)
    , budget_(options_.budget_ ? options_.budget_ : MakeOwnBudget(options_))
  {
  }

  void Start()
  {
    const tcp::endpoint endpoint(
      asio::ip::make_address(options_.endpoint_.address_),
      options_.endpoint_.port_);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    asio::co_spawn(
      io_,
      [self = shared_from_this()] { return self->Accept(); },
      asio::detached);
  }

  void BeginDrain() { draining_ = true; }

  void StopAccepting()
  {
    stopping_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (beast::tcp_stream* idle : idle_) {
      idle->socket().shutdown(tcp::socket::shutdown_receive, ignored);
    }
  }

  size_t OpenConnections() const { return open_; }

private:
  // Twice the largest request has room beside the part that is reserved for
  // small ones.
  static std::shared_ptr<MemoryBudget> MakeOwnBudget(
    const HttpServerOptions& aOptions)
  {
    MemoryBudgetOptions budget;
    budget.maxBytes_ = std::max(budget.maxBytes_,
                                2 * size_t(aOptions.limits_.maxBodyBytes_) +
                                  budget.reservedBytes_);
    budget.maxConnections_ = aOptions.limits_.maxConnections_;
    return std::make_shared<MemoryBudget>(budget);
  }

  asio::awaitable<void> Accept()
  {
    for (;;) {
      boost::system::error_code error;
      tcp::socket socket = co_await acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted || stopping_) {
        co_return;
      }
      if (error) {
        // Without descriptors, accepting fails at once each time.
        asio::steady_timer timer(
          io_, std::chrono::milliseconds(kAcceptRetry.Count()));
        co_await timer.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
        continue;
      }
      const uint64_t closedBefore = budget_->ClosedForConnections();
      const bool isAdmitted = budget_->AdmitConnection();
      if (!isAdmitted || budget_->ClosedForConnections() != closedBefore) {
        LogLimited();
      }
      if (!isAdmitted) {
        continue;
      }
      asio::co_spawn(
        io_,
        [self = shared_from_this(),
         stream = std::make_shared<beast::tcp_stream>(std::move(socket))] {
          return self->Serve(stream);
        },
        asio::detached);
    }
  }

  asio::awaitable<void> Serve(std::shared_ptr<beast::tcp_stream> aStream)
  {
    ++open_;
    const ScopeGuard countClosed([this] { --open_; });
    boost::system::error_code ignored;
    aStream->socket().set_option(tcp::no_delay(true), ignored);
    EnableDeadPeerDetection(aStream->socket(), kUnacknowledged, kKeepalive);
    MemoryBudget::Holding holding(*budget_,
                                  MemoryBudget::Kind::kConnection,
                                  [&stream = *aStream] { stream.close(); });
    beast::flat_buffer buffer(options_.limits_.maxHeaderBytes_ + kMaxReadBytes);
    bool keep = true;
    while (keep && !stopping_ && !holding.WasClosed()) {
      Shrink(buffer);
      holding.Resize(buffer.size() > 0 ? buffer.capacity() : 0);
      holding.WaitForPeer();
      keep = co_await ServeOne(*aStream, buffer, holding);
    }
    aStream->socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

  static void Shrink(beast::flat_buffer& aBuffer)
  {
    if (aBuffer.capacity() > kIdleBufferBytes) {
      aBuffer.shrink_to_fit();
    }
  }

  asio::awaitable<boost::system::error_code> ReadRequest(
    beast::tcp_stream& aStream,
    beast::flat_buffer& aBuffer,
    http::request_parser<ArrivedBody>& aParser,
    MemoryBudget::Holding& aHolding)
  {
    aStream.expires_after(
      std::chrono::milliseconds(options_.idleTimeout_.Count()));
    idle_.insert(&aStream);
    const ScopeGuard endIdle([&] { idle_.erase(&aStream); });
    bool hasBegun = false;
    co_return co_await ReadMessage(aStream, aBuffer, aParser, [&] {
      if (!hasBegun) {
        hasBegun = true;
        aStream.expires_after(
          std::chrono::milliseconds(options_.requestTimeout_.Count()));
      }
      return aHolding.Resize(aBuffer.capacity() +
                             aParser.get().body().capacity());
    });
  }

  // Returns whether the connection may carry another request.
  asio::awaitable<bool> ServeOne(beast::tcp_stream& aStream,
                                 beast::flat_buffer& aBuffer,
                                 MemoryBudget::Holding& aHolding)
  {
    http::request_parser<ArrivedBody> parser;
    parser.header_limit(options_.limits_.maxHeaderBytes_);
    parser.body_limit(options_.limits_.maxBodyBytes_);
    boost::system::error_code error =
      co_await ReadRequest(aStream, aBuffer, parser, aHolding);
    if (aHolding.WasClosed()) {
      LogLimited();
      co_return false;
    }
    aHolding.Serve();
    Shrink(aBuffer);
    if (!error &&
        !aHolding.Resize(aBuffer.capacity() + parser.get().body().capacity())) {
      error = make_error_code(boost::system::errc::not_enough_memory);
    }
    if (error) {
      parser.get().body() = std::string();
      aHolding.Resize(aBuffer.capacity());
      aHolding.WaitForPeer();
      co_await AnswerReadError(aStream, error);
      co_return false;
    }
    aStream.expires_never();
    const bool keep = parser.get().keep_alive() && !draining_;
    const unsigned version = parser.get().version();
    auto arrived = parser.release();
    HttpRequest request(std::move(arrived.base()), std::move(arrived.body()));
    HttpResponse response = co_await Respond(std::move(request));
    response.version(version);
    response.keep_alive(keep && !draining_ && !stopping_);
    response.prepare_payload();
    const bool hasRoom =
      aHolding.Resize(aBuffer.capacity() + response.body().capacity());
    if (!hasRoom && response.body().size() > kSmallAnswerBytes) {
      LogLimited();
      co_return false;
    }
    aHolding.WaitForPeer();
    aStream.expires_after(
      std::chrono::milliseconds(options_.idleTimeout_.Count()));
    co_await http::async_write(
      aStream, response, asio::redirect_error(asio::use_awaitable, error));
    co_return keep && !draining_ && !error;
  }

  // An exception in one handler must not affect other requests.
  asio::awaitable<HttpResponse> Respond(HttpRequest aRequest)
  {
    const std::string target(aRequest.target());
    try {
      co_return co_await handler_(std::move(aRequest));
    } catch (const std::exception& error) {
      LogError(Event::kHandlerFailed,
               { { "target", target }, { "fault", error.what() } });
    }
    co_return MakeProblem(500, "fault", "unknown", "the call failed");
  }

  asio::awaitable<void> AnswerReadError(beast::tcp_stream& aStream,
                                        boost::system::error_code aError)
  {
    if (aError == boost::system::errc::not_enough_memory) {
      LogLimited();
    }
    unsigned status = 0;
    if (aError == http::error::body_limit) {
      status = 413;
    } else if (aError == http::error::header_limit ||
               aError == http::error::buffer_overflow) {
      status = 431;
    } else if (aError == boost::system::errc::not_enough_memory) {
      status = 503;
    } else if (aError.category() ==
                 http::make_error_code(http::error::bad_method).category() &&
               aError != http::error::end_of_stream &&
               aError != http::error::partial_message) {
      status = 400;
    }
    if (status == 0) {
      co_return;
    }
    HttpResponse response =
      status == 503
        ? MakeProblem(status, "busy", "no", "too much is being received")
        : MakeProblem(status, "malformed-request", "no", aError.message());
    if (status == 503) {
      response.set(http::field::retry_after, kRetryAfterSeconds);
    }
    response.keep_alive(false);
    response.prepare_payload();
    boost::system::error_code error;
    aStream.expires_after(std::chrono::milliseconds(kDiscardTimeout.Count()));
    co_await http::async_write(
      aStream, response, asio::redirect_error(asio::use_awaitable, error));
    if (!error && discarding_ < kMaxDiscarding) {
      ++discarding_;
      const ScopeGuard countDiscarded([this] { --discarding_; });
      co_await DiscardRest(aStream);
    }
  }

  // Reads and discards the rest of a request after an early answer. Closing the
  // socket with unread bytes would reset the connection, and the caller could
  // lose the answer.
  static asio::awaitable<void> DiscardRest(beast::tcp_stream& aStream)
  {
    boost::system::error_code error;
    aStream.socket().shutdown(tcp::socket::shutdown_send, error);
    aStream.expires_after(std::chrono::milliseconds(kDiscardTimeout.Count()));
    std::array<char, kDiscardBufferBytes> discarded{};
    for (size_t total = 0; !error && total < kMaxDiscardedBytes;) {
      total += co_await aStream.async_read_some(
        asio::buffer(discarded),
        asio::redirect_error(asio::use_awaitable, error));
    }
  }

  void LogLimited()
  {
    const Millis now = BootTimeNow();
    if (now - loggedAt_ < kLogInterval) {
      return;
    }
    loggedAt_ = now;
    LogWarning(Event::kConnectionsLimited,
               { { "port", options_.endpoint_.port_ },
                 { "bytes", budget_->BytesHeld() },
                 { "connections", budget_->Connections() },
                 { "closed_for_memory", budget_->ClosedForMemory() },
                 { "closed_for_connections", budget_->ClosedForConnections() },
                 { "refused", budget_->Refused() } });
  }

  asio::io_context& io_;
  HttpServerOptions options_;
  HttpHandler handler_;
  tcp::acceptor acceptor_;
  const std::shared_ptr<MemoryBudget> budget_;
  std::set<beast::tcp_stream*> idle_;
  size_t open_ = 0;
  size_t discarding_ = 0;
  Millis loggedAt_ = Millis() - kLogInterval;
  bool draining_ = false;
  bool stopping_ = false;
};

HttpServer::HttpServer(asio::io_context& aIo,
                       HttpServerOptions aOptions,
                       HttpHandler aHandler)
  : impl_(std::make_shared<Impl>(aIo, std::move(aOptions), std::move(aHandler)))
{
}

HttpServer::~HttpServer() = default;

void HttpServer::Start()
{
  impl_->Start();
}

void HttpServer::BeginDrain()
{
  impl_->BeginDrain();
}

void HttpServer::StopAccepting()
{
  impl_->StopAccepting();
}

size_t HttpServer::OpenConnections() const
{
  return impl_->OpenConnections();
}

HttpResponse MakeJson(unsigned aStatus, std::string aBody)
{
  HttpResponse response;
  response.result(aStatus);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(aBody);
  return response;
}

HttpResponse MakeProblem(unsigned aStatus,
                         std::string_view aCode,
                         std::string_view aRan,
                         std::string_view aDetail)
{
  boost::json::object problem;
  problem["status"] = aStatus;
  problem["code"] = aCode;
  problem["ran"] = aRan;
  problem["detail"] = aDetail;
  HttpResponse response = MakeJson(aStatus, boost::json::serialize(problem));
  response.set(http::field::content_type, "application/problem+json");
  return response;
}

} // namespace vanillahatch
