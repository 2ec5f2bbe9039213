#include "entry/job_api.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace vanillahatch {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::string_view kJobsSuffix = "/jobs";
constexpr size_t kMaxNameBytes = 200;
constexpr std::string_view kUnknownContentType = "application/octet-stream";

bool IsAscii(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
    return aChar < 0x80U;
  });
}

bool IsValidName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
           return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '_' ||
                  aChar == '.' || aChar == ':';
         });
}

MalformedJob Malformed(std::string_view aField, std::string_view aDetail)
{
  return { .field_ = std::string(aField), .detail_ = std::string(aDetail) };
}

unsigned HttpStatusOf(RefusalCode aCode)
{
  switch (aCode) {
    case RefusalCode::kNoSuchService:
      return 404;
    case RefusalCode::kClaimHeld:
    case RefusalCode::kKeyExpired:
    case RefusalCode::kCancelled:
      return 409;
    case RefusalCode::kMemberLimit:
      return 429;
    case RefusalCode::kUpstreamFailed:
      return 502;
    case RefusalCode::kDeadlineExceeded:
      return 504;
    default:
      return 503;
  }
}

} // namespace

Result<JobRequest, MalformedJob> ParseJob(const HttpRequest& aRequest,
                                          const Limits& aLimits,
                                          Millis aNow)
{
  const std::string_view target = aRequest.target();
  if (!target.starts_with(kServicesPrefix) || !target.ends_with(kJobsSuffix) ||
      target.size() <= kServicesPrefix.size() + kJobsSuffix.size()) {
    return failure(Malformed("path", "is not /v1/services/{service}/jobs"));
  }
  const std::string_view service =
    target.substr(kServicesPrefix.size(),
                  target.size() - kServicesPrefix.size() - kJobsSuffix.size());
  if (!IsValidName(service)) {
    return failure(Malformed("service", "is not a service name"));
  }
  const std::string_view member = aRequest["Vh-Member"];
  if (!IsValidName(member)) {
    return failure(Malformed("Vh-Member", "must name the member"));
  }
  JobRequest job{ .service_ = ServiceName(service),
                  .member_ = MemberName(member),
                  .arrivedAt_ = aNow };
  int64_t deadline = aLimits.defaultDeadline_.Count();
  if (const std::string_view text = aRequest["Vh-Deadline-Ms"]; !text.empty()) {
    const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), deadline);
    if (error != std::errc() || end != text.data() + text.size() ||
        deadline < 1 || deadline > aLimits.maxDeadline_.Count()) {
      return failure(Malformed("Vh-Deadline-Ms",
                               "must be a whole number from 1 to " +
                                 std::to_string(aLimits.maxDeadline_.Count())));
    }
  }
  job.deadline_ = aNow + Millis(deadline);
  if (const std::string_view repeatable = aRequest["Vh-Repeatable"];
      repeatable == "no") {
    job.repeatability_ = Repeatability::kAtMostOnce;
  } else if (!repeatable.empty() && repeatable != "yes") {
    return failure(Malformed("Vh-Repeatable", "must be yes or no"));
  }
  if (const std::string_view priority = aRequest["Vh-Priority"];
      priority == "urgent") {
    job.priority_ = Priority::kUrgent;
  } else if (!priority.empty() && priority != "normal") {
    return failure(Malformed("Vh-Priority", "must be normal or urgent"));
  }
  const std::string_view key = aRequest["Idempotency-Key"];
  if (!key.empty() && !IsValidName(key)) {
    return failure(Malformed("Idempotency-Key", "is not a key"));
  }
  if (job.repeatability_ == Repeatability::kAtMostOnce) {
    if (key.empty()) {
      return failure(
        Malformed("Idempotency-Key", "is required when Vh-Repeatable is no"));
    }
    // The ledger removes old keys by this time, so a resend must repeat it.
    const std::string_view issuedText = aRequest["Vh-Issued-At"];
    int64_t issuedAt = 0;
    const auto [end, error] = std::from_chars(
      issuedText.data(), issuedText.data() + issuedText.size(), issuedAt);
    if (error != std::errc() || end != issuedText.data() + issuedText.size() ||
        issuedAt < 1) {
      return failure(Malformed(
        "Vh-Issued-At",
        "is required when Vh-Repeatable is no: the Unix time in ms at which "
        "the key was first used, the same on every resend"));
    }
    job.issuedAt_ = Millis(issuedAt);
    // The prefix keeps equal keys of different members apart.
    job.key_ = IdempotencyKey(std::string(member) + "/" + std::string(key));
  }
  return job;
}

HttpRequest MakeUpstreamRequest(const HttpRequest& aRequest,
                                std::string_view aJobId)
{
  HttpRequest request(http::verb::post, "/jobs", 11);
  request.set(http::field::host, "upstream");
  request.set("Vh-Job", aJobId);
  for (const std::string_view field : { std::string_view("Content-Type"),
                                        std::string_view("Vh-Member"),
                                        std::string_view("Idempotency-Key") }) {
    if (const std::string_view value = aRequest[field]; !value.empty()) {
      request.set(field, value);
    }
  }
  request.body() = aRequest.body();
  request.prepare_payload();
  return request;
}

v1::RecordedOutcome MakeOutcome(const HttpResponse& aAnswer)
{
  const std::string_view contentType = aAnswer[http::field::content_type];
  v1::RecordedOutcome outcome;
  outcome.set_http_status(aAnswer.result_int());
  // Replicas refuse a message with a string that is not UTF-8.
  outcome.set_content_type(
    std::string(IsAscii(contentType) ? contentType : kUnknownContentType));
  outcome.set_body(aAnswer.body());
  return outcome;
}

HttpResponse MakeRefusal(const Refusal& aRefusal)
{
  const std::string_view ran =
    aRefusal.executionStatus_ == ExecutionStatus::kNotRun ? "no" : "unknown";
  HttpResponse response = MakeProblem(HttpStatusOf(aRefusal.code_),
                                      ToText(aRefusal.code_),
                                      ran,
                                      aRefusal.detail_);
  if (aRefusal.retryAfter_ > Millis(0)) {
    const int64_t seconds = (aRefusal.retryAfter_.Count() + 999) / 1000;
    response.set(http::field::retry_after, std::to_string(seconds));
  }
  return response;
}

} // namespace vanillahatch
