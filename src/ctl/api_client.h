// Client of the operators' HTTP API for vhctl. Each request has a timeout; a
// request without a response is repeated at the next control replica. A change
// keeps its id when it is resent, so that it is applied at most once.
#pragma once

#include "vanillahatch/shell/http_client.h"
#include "vanillahatch/shell/settings.h"
#include "vanillahatch/shell/token.h"

#include "config.pb.h"

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

namespace vanillahatch::ctl {

class ApiClient
{
public:
  ApiClient(const Settings& aSettings, const Token& aToken, Millis aTimeout);

  // The fleet state of the first replica that responds, or nothing.
  std::optional<v1::FleetState> FetchState();

  // CHANGE_UNAVAILABLE if no replica responded: the change may have been
  // applied; proposing it again with the same change id returns the outcome.
  v1::ChangeReply Propose(const v1::Change& aChange);

  // The body of a GET request to one node; nothing unless the status is 200.
  std::optional<std::string> Get(const Endpoint& aNode,
                                 const std::string& aTarget);

private:
  ExchangeResult SendRequest(const Endpoint& aNode, HttpRequest aRequest);

  const Settings& settings_;
  const Token& token_;
  Millis timeout_; // of one request
  boost::asio::io_context io_;
  HttpClient client_;
};

} // namespace vanillahatch::ctl
