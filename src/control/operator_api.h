// The operators' HTTP API: configuration as JSON, changes as JSON.
//
//   GET  /v1/state            the whole configuration with its revision
//   POST /v1/changes          one change; the answer carries its status
#pragma once

#include "control/control_service.h"
#include "vanillahatch/shell/http_server.h"
#include "vanillahatch/shell/token.h"

namespace vanillahatch {

class OperatorApi
{
public:
  OperatorApi(ControlState& aState, Token aToken);

  HttpResponse Handle(const HttpRequest& aRequest);

private:
  HttpResponse HandleChange(const HttpRequest& aRequest);

  ControlState& state_;
  Token token_;
};

} // namespace vanillahatch
