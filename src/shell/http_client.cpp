#include "vanillahatch/shell/http_client.h"

#include "shell/http_read.h"
#include "vanillahatch/shell/dead_peer_detection.h"
#include "vanillahatch/shell/system_clock.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace vanillahatch {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr size_t kRequestHeaderBytes = 512; // estimate, to allocate once
constexpr uint32_t kMaxAnswerHeaderBytes = 16U << 10U;

ExchangeResult Failed(ExchangeStatus aStatus, std::string aDetail)
{
  ExchangeResult result;
  result.status_ = aStatus;
  result.detail_ = std::move(aDetail);
  return result;
}

// An idle connection is readable if the peer has closed it or has sent
// unsolicited data; a read from a usable one would block.
bool IsUsable(beast::tcp_stream& aStream)
{
  boost::system::error_code error;
  char byte = 0;
  aStream.socket().non_blocking(true, error);
  aStream.socket().receive(
    asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

// Serializes the request into one buffer, so that it is sent by one write.
// Requests are small enough for the cost of the copy not to matter.
std::string ToBytes(const HttpRequest& aRequest)
{
  std::string bytes;
  bytes.reserve(kRequestHeaderBytes + aRequest.body().size());
  bytes.append(aRequest.method_string()).append(" ");
  bytes.append(aRequest.target()).append(" HTTP/1.1\r\n");
  for (const auto& field : aRequest) {
    bytes.append(field.name_string()).append(": ");
    bytes.append(field.value()).append("\r\n");
  }
  bytes.append("\r\n").append(aRequest.body());
  return bytes;
}

// An answer whose end is marked only by the end of the connection cannot be
// distinguished from a truncated one.
bool IsDelimited(const http::response_parser<ArrivedBody>& aParser)
{
  const unsigned status = aParser.get().result_int();
  const bool bodiless = status == 204 || status == 304;
  return bodiless || aParser.content_length() || aParser.chunked();
}

} // namespace

void ExchangeAbort::Abort()
{
  aborted_ = true;
  if (const auto stream = stream_.lock()) {
    stream->close();
  }
}

HttpClient::Stream HttpClient::TakeIdle(const Endpoint& aEndpoint)
{
  const auto it = idle_.find(aEndpoint);
  if (it == idle_.end()) {
    return nullptr;
  }
  const auto now = std::chrono::steady_clock::now();
  const auto oldest =
    now - std::chrono::milliseconds(options_.maxIdleAge_.Count());
  const auto recent =
    now - std::chrono::milliseconds(options_.assumeOpenFor_.Count());
  std::vector<Idle>& idle = it->second;
  while (!idle.empty()) {
    const Idle candidate = std::move(idle.back());
    idle.pop_back();
    const bool wasUsedRecently = candidate.since_ >= recent;
    if (wasUsedRecently ||
        (candidate.since_ >= oldest && IsUsable(*candidate.stream_))) {
      return candidate.stream_;
    }
  }
  return nullptr;
}

void HttpClient::CloseStale()
{
  const auto oldest = std::chrono::steady_clock::now() -
                      std::chrono::milliseconds(options_.maxIdleAge_.Count());
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [&](const Idle& aIdle) {
      return aIdle.since_ < oldest || !IsUsable(*aIdle.stream_);
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

size_t HttpClient::IdleConnections() const
{
  size_t count = 0;
  for (const auto& [endpoint, idle] : idle_) {
    count += idle.size();
  }
  return count;
}

asio::awaitable<HttpClient::Stream> HttpClient::Connect(
  Endpoint aEndpoint,
  Millis aTimeout,
  ExchangeAbort& aAbort,
  boost::system::error_code& aError)
{
  auto stream =
    std::make_shared<beast::tcp_stream>(co_await asio::this_coro::executor);
  aAbort.stream_ = stream;
  stream->expires_after(std::chrono::milliseconds(aTimeout.Count()));
  const tcp::endpoint endpoint(
    asio::ip::make_address(aEndpoint.address_, aError), aEndpoint.port_);
  if (aError) {
    co_return stream;
  }
  co_await stream->async_connect(
    endpoint, asio::redirect_error(asio::use_awaitable, aError));
  if (!aError) {
    boost::system::error_code ignored;
    stream->socket().set_option(tcp::no_delay(true), ignored);
    EnableDeadPeerDetection(stream->socket(), kUnacknowledged, kKeepalive);
    if (options_.resetOnClose_) {
      stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
  }
  co_return stream;
}

asio::awaitable<ExchangeResult> HttpClient::Exchange(
  Endpoint aEndpoint,
  HttpRequest aRequest,
  Millis aTimeout,
  std::shared_ptr<ExchangeAbort> aAbort,
  Millis aSendBy)
{
  if (!aAbort) {
    aAbort = std::make_shared<ExchangeAbort>();
  }
  boost::system::error_code error;
  const Millis startedAt = BootTimeNow();
  Stream stream = TakeIdle(aEndpoint);
  if (!stream) {
    stream = co_await Connect(aEndpoint, aTimeout, *aAbort, error);
  }
  if (error || aAbort->aborted_) {
    co_return Failed(ExchangeStatus::kNotSent, error.message());
  }
  aAbort->stream_ = stream;
  stream->expires_after(std::chrono::milliseconds(aTimeout.Count()));
  const std::string bytes = ToBytes(aRequest);
  const Millis now = BootTimeNow();
  if (now - startedAt > options_.maxSendDelay_ || now > aSendBy) {
    co_return Failed(ExchangeStatus::kNotSent, "too late to send");
  }
  if (options_.maySend_ && !options_.maySend_()) {
    co_return Failed(ExchangeStatus::kNotSent, "not permitted any more");
  }
  co_await asio::async_write(*stream,
                             asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    // Part of the request may have been sent.
    co_return Failed(ExchangeStatus::kUnknown, error.message());
  }
  co_return co_await ReadAnswer(std::move(aEndpoint), std::move(stream));
}

asio::awaitable<ExchangeResult> HttpClient::ReadAnswer(Endpoint aEndpoint,
                                                       Stream aStream)
{
  beast::flat_buffer buffer(kMaxAnswerHeaderBytes + kMaxReadBytes);
  http::response_parser<ArrivedBody> parser;
  parser.header_limit(kMaxAnswerHeaderBytes);
  parser.body_limit(options_.maxAnswerBytes_);
  const std::shared_ptr<MemoryBudget> budget = options_.budget_;
  std::optional<MemoryBudget::Holding> holding;
  const boost::system::error_code error =
    co_await ReadMessage(*aStream, buffer, parser, [&] {
      if (!budget) {
        return true;
      }
      if (!holding) {
        holding.emplace(*budget,
                        MemoryBudget::Kind::kAnswer,
                        [&stream = *aStream] { stream.close(); });
        holding->WaitForPeer();
      }
      return holding->Resize(buffer.capacity() +
                             parser.get().body().capacity());
    });
  if (error) {
    co_return Failed(ExchangeStatus::kUnknown, error.message());
  }
  if (!IsDelimited(parser)) {
    co_return Failed(ExchangeStatus::kUnknown,
                     "the answer does not say how long it is");
  }
  // Bytes after the answer belong to no request, so the connection is closed.
  const bool wasClosed = holding && holding->WasClosed();
  if (parser.get().keep_alive() && buffer.size() == 0 && !wasClosed) {
    aStream->expires_never();
    idle_[aEndpoint].push_back({ .stream_ = std::move(aStream),
                                 .since_ = std::chrono::steady_clock::now() });
  }
  ExchangeResult result;
  result.status_ = ExchangeStatus::kAnswered;
  auto arrived = parser.release();
  result.response_.emplace(std::move(arrived.base()),
                           std::move(arrived.body()));
  co_return result;
}

} // namespace vanillahatch
