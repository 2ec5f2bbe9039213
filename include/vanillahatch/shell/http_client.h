// Sends HTTP requests to upstreams over kept connections and says exactly how
// far each got: a request of which no byte can have been written did not run.
//
// Silent connections are found within stated bounds: data that is not
// acknowledged breaks a connection after `kUnacknowledged`, an idle peer is
// probed by TCP and given up after about `kKeepalive`, and no connection is
// reused after `idleAge_` without use.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/upstream.h"
#include "vanillahatch/shell/http_server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace vanillahatch {

enum class ExchangeVerdict
{
  kAnswered,
  kNotSent, // ended before the first byte was given to a connection
  kUnknown, // broken later, or no whole answer in time
};

struct ExchangeResult
{
  ExchangeVerdict verdict_ = ExchangeVerdict::kNotSent;
  std::optional<HttpResponse> response_;
  std::string detail_;
};

// Ends one exchange early. Its connection is closed, so that a late answer is
// discarded with it. Used on the thread of the exchange.
class ExchangeAbort
{
public:
  void Abort();
  bool Aborted() const { return aborted_; }

private:
  friend class HttpClient;

  std::weak_ptr<boost::beast::tcp_stream> stream_;
  bool aborted_ = false;
};

struct HttpClientOptions
{
  Millis idleAge_ = Seconds(15); // after which a connection is not reused
  // A connection that was used this short a time ago is taken as open without
  // a look. If its peer has closed it since, the exchange ends as kUnknown
  // instead of kNotSent.
  Millis freshFor_;
  // A request that got no connection within this time is not sent any more,
  // though the time for its answer is not over.
  Millis sendWithin_ = Millis::Max();
  // Asked right before the first byte of a request leaves; false: it is not
  // sent any more. None: always.
  std::function<bool()> maySend_;
  // A connection is reset when it is given up, so that bytes which are held up
  // on their way do not arrive later.
  bool resetsOnClose_ = false;
};

class HttpClient
{
public:
  explicit HttpClient(HttpClientOptions aOptions = {})
    : options_(std::move(aOptions))
  {
  }

  boost::asio::awaitable<ExchangeResult> Exchange(
    Endpoint aEndpoint,
    HttpRequest aRequest,
    Millis aTimeout,
    std::shared_ptr<ExchangeAbort> aAbort = nullptr);

  // Closes kept connections that are too old, or no longer usable.
  void CloseStale();
  size_t IdleConnections() const;

  static constexpr Millis kUnacknowledged = Seconds(3);
  static constexpr Millis kKeepalive = Seconds(9);

private:
  using Stream = std::shared_ptr<boost::beast::tcp_stream>;

  struct Idle
  {
    Stream stream_;
    std::chrono::steady_clock::time_point since_;
  };

  Stream TakeIdle(const Endpoint& aEndpoint);
  boost::asio::awaitable<Stream> Connect(Endpoint aEndpoint,
                                         Millis aTimeout,
                                         ExchangeAbort& aAbort,
                                         boost::system::error_code& aError);
  boost::asio::awaitable<ExchangeResult> ReadAnswer(Endpoint aEndpoint,
                                                    Stream aStream);

  HttpClientOptions options_;
  std::map<Endpoint, std::vector<Idle>> idle_;
};

} // namespace vanillahatch
