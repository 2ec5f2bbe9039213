// Sends HTTP requests to upstreams over persistent connections and reports how
// far each got: a request of which no byte can have been written did not run.
//
// Dead peers are detected within fixed bounds: a connection fails once data has
// been unacknowledged for `kUnacknowledged`, an idle connection fails after
// about `kKeepalive` without a reply to TCP probes, and no connection is reused
// after `maxIdleAge_` without use.
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

enum class ExchangeStatus
{
  kAnswered,
  kNotSent, // failed before the first byte was written to a connection
  kUnknown, // failed later, or no complete answer before the timeout
};

struct ExchangeResult
{
  ExchangeStatus status_ = ExchangeStatus::kNotSent;
  std::optional<HttpResponse> response_;
  std::string detail_;
};

// Ends one exchange early and closes its connection, so that a late answer is
// discarded. Must be used on the thread of the exchange.
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
  Millis maxIdleAge_ = Seconds(15); // an older connection is not reused
  // A connection that was used at most this long ago is assumed to be open
  // without a check. If its peer has closed it since, the exchange ends as
  // kUnknown instead of kNotSent.
  Millis assumeOpenFor_;
  // A request that has no connection after this time is not sent, even if the
  // timeout of the exchange has not passed.
  Millis maxSendDelay_ = Millis::Max();
  // Called right before the first byte of a request is written; if it returns
  // false, the request is not sent. Empty: every request is sent.
  std::function<bool()> maySend_;
  // Closing a connection resets it, so that bytes that are still in transit are
  // not delivered later.
  bool resetOnClose_ = false;
  // A longer answer ends the exchange as kUnknown.
  uint64_t maxAnswerBytes_ = 64ULL << 20U;
  // Shared with the servers of the process; null: answers are not counted.
  std::shared_ptr<MemoryBudget> budget_;
};

class HttpClient
{
public:
  explicit HttpClient(HttpClientOptions aOptions = {})
    : options_(std::move(aOptions))
  {
  }

  // The request is not sent after `aSendBy`, on the clock of `BootTimeNow`.
  boost::asio::awaitable<ExchangeResult> Exchange(
    Endpoint aEndpoint,
    HttpRequest aRequest,
    Millis aTimeout,
    std::shared_ptr<ExchangeAbort> aAbort = nullptr,
    Millis aSendBy = Millis::Max());

  // Closes idle connections that are older than `maxIdleAge_` or not usable.
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
