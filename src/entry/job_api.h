// Parses callers' HTTP requests into jobs and renders refusals as HTTP answers.
#pragma once

#include "vanillahatch/core/job.h"
#include "vanillahatch/core/result.h"
#include "vanillahatch/shell/http_server.h"
#include "vanillahatch/shell/settings.h"

#include "ledger.pb.h"

namespace vanillahatch {

// The invalid field of a request, and what is wrong with it.
struct MalformedJob
{
  std::string field_;
  std::string detail_;
};

// Parses `POST /v1/services/{service}/jobs`. The caller sets the job's number.
Result<JobRequest, MalformedJob> ParseJob(const HttpRequest& aRequest,
                                          const Limits& aLimits,
                                          Millis aNow);

// Returns the request to send to the upstream, with unchanged body and content
// type.
HttpRequest MakeUpstreamRequest(const HttpRequest& aRequest,
                                std::string_view aJobId);

// Returns what the ledger keeps of an upstream's answer.
v1::RecordedOutcome MakeOutcome(const HttpResponse& aAnswer);

// Returns the problem response for a refusal, with `Retry-After` if it has one.
HttpResponse MakeRefusal(const Refusal& aRefusal);

} // namespace vanillahatch
