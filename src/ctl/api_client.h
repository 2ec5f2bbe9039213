// The operators' API as vhctl uses it: every call has a timeout, and a call
// without an answer is made again at the next control replica. A change keeps
// its id when it is sent again, so that it is made once at most.
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

  // Nothing if no replica gave the state.
  std::optional<v1::FleetState> State();

  // CHANGE_UNAVAILABLE if no replica gave an answer: the change may have been
  // made, and the same command with the same change id tells.
  v1::ChangeReply Propose(const v1::Change& aChange);

  // The body of a GET from one node, or nothing.
  std::optional<std::string> Get(const Endpoint& aNode,
                                 const std::string& aTarget);

private:
  std::optional<HttpResponse> Ask(const Endpoint& aNode, HttpRequest aRequest);

  const Settings& settings_;
  const Token& token_;
  Millis timeout_;
  boost::asio::io_context io_;
  HttpClient client_;
};

} // namespace vanillahatch::ctl
