// A small HTTP/1.1 server on Boost.Beast with one coroutine per connection.
// The handler receives complete requests and returns complete responses.
//
//   HttpServer server(io, { .endpoint_ = ..., .limits_ = ... },
//                     [](const HttpRequest& aRequest)
//                       -> boost::asio::awaitable<HttpResponse> { ... });
//   server.Start();
#pragma once

#include "vanillahatch/core/upstream.h"
#include "vanillahatch/shell/memory_budget.h"
#include "vanillahatch/shell/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>

namespace vanillahatch {

using HttpRequest =
  boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
  boost::beast::http::response<boost::beast::http::string_body>;
using HttpHandler =
  std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

struct HttpServerOptions
{
  Endpoint endpoint_;
  Limits limits_;
  Millis idleTimeout_ = Seconds(60);
  // From the first byte of a request to its last one.
  Millis requestTimeout_ = Seconds(60);
  // Shared with the other servers and clients of the process; null: the server
  // has one of its own.
  std::shared_ptr<MemoryBudget> budget_;
};

class HttpServer
{
public:
  HttpServer(boost::asio::io_context& aIo,
             HttpServerOptions aOptions,
             HttpHandler aHandler);
  ~HttpServer();

  // Throws boost::system::system_error if the endpoint cannot be bound.
  void Start();
  // Continues to serve requests, but closes each connection after its answer.
  void BeginDrain();
  // Accepts no new connections; open ones are closed after their current
  // request.
  void StopAccepting();
  size_t OpenConnections() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

HttpResponse MakeJson(unsigned aStatus, std::string aBody);
// An error response with an application/problem+json body.
HttpResponse MakeProblem(unsigned aStatus,
                         std::string_view aCode,
                         std::string_view aRan,
                         std::string_view aDetail);

} // namespace vanillahatch
