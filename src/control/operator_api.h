// The operators' HTTP API: configuration as JSON, changes as JSON.
//
//   GET  /v1/state            the whole configuration with its revision
//   POST /v1/changes          one change; the answer carries its status
//   GET  /v1/replica          this replica's part in the control log
//
// Without a token: /healthz, /readyz and /metrics.
#pragma once

#include "control/control_service.h"
#include "vanillahatch/shell/http_server.h"
#include "vanillahatch/shell/token.h"

namespace vanillahatch {

class OperatorApi
{
public:
  OperatorApi(ControlState& aState,
              ChangeProposer& aProposer,
              const GrantorHost& aGrantors,
              Token aToken);

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest aRequest);

private:
  boost::asio::awaitable<HttpResponse> HandleChange(HttpRequest aRequest);
  HttpResponse HandleMetrics() const;
  HttpResponse HandleReady() const;

  ControlState& state_;
  ChangeProposer& proposer_;
  const GrantorHost& grantors_;
  Token token_;
};

} // namespace vanillahatch
