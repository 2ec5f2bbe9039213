#include "vanillahatch/shell/http_client.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace vanillahatch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr uint64_t kMaxAnswerBytes = 64ULL << 20U;

ExchangeResult Failed(ExchangeVerdict aVerdict,
                      const boost::system::error_code& aError)
{
  ExchangeResult result;
  result.verdict_ = aVerdict;
  result.detail_ = aError.message();
  return result;
}

// An idle connection on which the peer has closed, or sent something unasked,
// is readable; a usable one would block.
bool IsUsable(beast::tcp_stream& aStream)
{
  boost::system::error_code error;
  char byte = 0;
  aStream.socket().non_blocking(true, error);
  aStream.socket().receive(
    asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace

asio::awaitable<ExchangeResult> HttpClient::Exchange(Endpoint aEndpoint,
                                                     HttpRequest aRequest,
                                                     Millis aTimeout)
{
  auto& idle = idle_[aEndpoint];
  Stream stream;
  while (!idle.empty() && !stream) {
    stream = std::move(idle.back());
    idle.pop_back();
    if (!IsUsable(*stream)) {
      stream.reset();
    }
  }
  boost::system::error_code error;
  const auto timeout = std::chrono::milliseconds(aTimeout.Count());
  if (!stream) {
    stream =
      std::make_unique<beast::tcp_stream>(co_await asio::this_coro::executor);
    stream->expires_after(timeout);
    co_await stream->async_connect(
      tcp::endpoint(asio::ip::make_address(aEndpoint.address_),
                    aEndpoint.port_),
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return Failed(ExchangeVerdict::kNotSent, error);
    }
    stream->socket().set_option(tcp::no_delay(true), error);
  }
  stream->expires_after(timeout);
  const size_t written = co_await http::async_write(
    *stream, aRequest, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return Failed(written == 0 ? ExchangeVerdict::kNotSent
                                  : ExchangeVerdict::kUnknown,
                     error);
  }
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxAnswerBytes);
  co_await http::async_read(
    *stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return Failed(ExchangeVerdict::kUnknown, error);
  }
  if (parser.get().keep_alive() && buffer.size() == 0) {
    idle_[aEndpoint].push_back(std::move(stream));
  }
  ExchangeResult result;
  result.verdict_ = ExchangeVerdict::kAnswered;
  result.response_ = parser.release();
  co_return result;
}

} // namespace vanillahatch
