#include "vanillahatch/shell/http_server.h"

#include "vanillahatch/shell/dead_peer_detection.h"
#include "vanillahatch/shell/log.h"
#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
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
constexpr size_t kMaxDiscardedBytes = 64U << 20U;

} // namespace

namespace {

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
  asio::awaitable<void> Accept()
  {
    for (;;) {
      boost::system::error_code error;
      tcp::socket socket = co_await acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted || stopping_) {
        co_return;
      }
      if (error || open_ >= options_.limits_.maxConnections_) {
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
    boost::system::error_code ignored;
    aStream->socket().set_option(tcp::no_delay(true), ignored);
    EnableDeadPeerDetection(aStream->socket(), kUnacknowledged, kKeepalive);
    beast::flat_buffer buffer;
    bool keep = true;
    while (keep && !stopping_) {
      keep = co_await ServeOne(*aStream, buffer);
    }
    aStream->socket().shutdown(tcp::socket::shutdown_send, ignored);
    --open_;
  }

  // Returns whether the connection may carry another request.
  asio::awaitable<bool> ServeOne(beast::tcp_stream& aStream,
                                 beast::flat_buffer& aBuffer)
  {
    http::request_parser<http::string_body> parser;
    parser.header_limit(options_.limits_.maxHeaderBytes_);
    parser.body_limit(options_.limits_.maxBodyBytes_);
    aStream.expires_after(
      std::chrono::milliseconds(options_.idleTimeout_.Count()));
    boost::system::error_code error;
    idle_.insert(&aStream);
    co_await http::async_read(aStream,
                              aBuffer,
                              parser,
                              asio::redirect_error(asio::use_awaitable, error));
    idle_.erase(&aStream);
    if (error) {
      co_await AnswerReadError(aStream, error);
      co_return false;
    }
    aStream.expires_never();
    const bool keep = parser.get().keep_alive() && !draining_;
    const unsigned version = parser.get().version();
    HttpResponse response = co_await Respond(parser.release());
    response.version(version);
    response.keep_alive(keep && !draining_ && !stopping_);
    response.prepare_payload();
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
    unsigned status = 0;
    if (aError == http::error::body_limit) {
      status = 413;
    } else if (aError == http::error::header_limit) {
      status = 431;
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
      MakeProblem(status, "malformed-request", "no", aError.message());
    response.keep_alive(false);
    response.prepare_payload();
    boost::system::error_code error;
    co_await http::async_write(
      aStream, response, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
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
    std::array<char, 16384> discarded{};
    for (size_t total = 0; !error && total < kMaxDiscardedBytes;) {
      total += co_await aStream.async_read_some(
        asio::buffer(discarded),
        asio::redirect_error(asio::use_awaitable, error));
    }
  }

  asio::io_context& io_;
  HttpServerOptions options_;
  HttpHandler handler_;
  tcp::acceptor acceptor_;
  std::set<beast::tcp_stream*> idle_;
  size_t open_ = 0;
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
