// The operators' HTTP API; requests and responses are JSON.
//
//   GET  /v1/state            the whole configuration with its revision
//   POST /v1/changes          proposes one change; the response has its status
//   GET  /v1/replica          this replica's status in the control log
//
// These need the operators' token; /healthz, /readyz and /metrics need none.
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
