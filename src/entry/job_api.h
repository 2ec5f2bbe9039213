// Turns callers' HTTP requests into jobs and refusals into HTTP answers.
#pragma once

#include "vanillahatch/core/job.h"
#include "vanillahatch/core/result.h"
#include "vanillahatch/shell/http_server.h"
#include "vanillahatch/shell/settings.h"

namespace vanillahatch {

// A request that is no valid job: which field and why.
struct MalformedJob
{
  std::string field_;
  std::string detail_;
};

// Reads `POST /v1/services/{service}/jobs`. The number is left at zero.
Result<JobRequest, MalformedJob> ParseJob(const HttpRequest& aRequest,
                                          const Limits& aLimits,
                                          Millis aNow);

// The request that goes to the upstream: body and content type untouched.
HttpRequest MakeUpstreamRequest(const HttpRequest& aRequest,
                                std::string_view aJobId);

HttpResponse MakeRefusal(const Refusal& aRefusal);

} // namespace vanillahatch
