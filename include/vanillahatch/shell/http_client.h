// Sends HTTP requests to upstreams over kept connections and says exactly how
// far each got: a request whose first byte was never written did not run.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/upstream.h"
#include "vanillahatch/shell/http_server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace vanillahatch {

enum class ExchangeVerdict
{
  kAnswered,
  kNotSent, // no connection, or broken before the first byte was written
  kUnknown, // broken later, or no whole answer in time
};

struct ExchangeResult
{
  ExchangeVerdict verdict_ = ExchangeVerdict::kNotSent;
  std::optional<HttpResponse> response_;
  std::string detail_;
};

class HttpClient
{
public:
  HttpClient() = default;

  // Closing the returned connection's stream abandons the exchange.
  boost::asio::awaitable<ExchangeResult> Exchange(Endpoint aEndpoint,
                                                  HttpRequest aRequest,
                                                  Millis aTimeout);

private:
  using Stream = std::unique_ptr<boost::beast::tcp_stream>;

  std::map<Endpoint, std::vector<Stream>> idle_;
};

} // namespace vanillahatch
