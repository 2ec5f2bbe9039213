#define BOOST_TEST_MODULE job_api
#include "entry/job_api.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace vanillahatch;
namespace data = boost::unit_test::data;
namespace http = boost::beast::http;

namespace {

HttpRequest MakeRequest()
{
  HttpRequest request(http::verb::post, "/v1/services/loops/jobs", 11);
  request.set("Vh-Member", "member-1");
  return request;
}

struct InvalidHeader
{
  std::string header_;
  std::string value_;

  friend std::ostream& operator<<(std::ostream& aOut,
                                  const InvalidHeader& aHeader)
  {
    return aOut << aHeader.header_ << ": " << aHeader.value_;
  }
};

const InvalidHeader kInvalidHeaders[] = {
  { "Vh-Member", "" },
  { "Vh-Member", "two words" },
  { "Vh-Member", std::string(201, 'x') },
  { "Vh-Deadline-Ms", "-1" },
  { "Vh-Deadline-Ms", "0" },
  { "Vh-Deadline-Ms", "soon" },
  { "Vh-Deadline-Ms", "12ms" },
  { "Vh-Deadline-Ms", "99999999999999999999" },
  { "Vh-Deadline-Ms", "600001" },
  { "Vh-Repeatable", "maybe" },
  { "Vh-Priority", "highest" },
  { "Idempotency-Key", "a/b" },
};

} // namespace

BOOST_AUTO_TEST_CASE(RequestWithoutOptionsIsRepeatableWithDefaultDeadline)
{
  const Limits limits;
  const auto job = ParseJob(MakeRequest(), limits, Millis(100));
  BOOST_REQUIRE(job.has_value());
  BOOST_TEST(job.value().service_.Str() == "loops");
  BOOST_TEST((job.value().repeatability_ == Repeatability::kRepeatable));
  BOOST_TEST(job.value().deadline_.Count() ==
             100 + limits.defaultDeadline_.Count());
}

BOOST_DATA_TEST_CASE(InvalidHeaderIsReportedByName,
                     data::make(kInvalidHeaders),
                     invalid)
{
  HttpRequest request = MakeRequest();
  request.set(invalid.header_, invalid.value_);
  const auto job = ParseJob(request, Limits{}, Millis(0));
  BOOST_REQUIRE(job.has_error());
  BOOST_TEST(job.error().field_ == invalid.header_);
}

BOOST_DATA_TEST_CASE(InvalidPathIsRejected,
                     data::make({ "/v1/services//jobs",
                                  "/v1/services/a b/jobs",
                                  "/v1/services/a/b/jobs",
                                  "/v1/services/loops",
                                  "/jobs" }),
                     path)
{
  HttpRequest request = MakeRequest();
  request.target(path);
  BOOST_TEST(ParseJob(request, Limits{}, Millis(0)).has_error());
}

BOOST_AUTO_TEST_CASE(JobThatRunsAtMostOnceRequiresKey)
{
  HttpRequest request = MakeRequest();
  request.set("Vh-Repeatable", "no");
  const auto job = ParseJob(request, Limits{}, Millis(0));
  BOOST_REQUIRE(job.has_error());
  BOOST_TEST(job.error().field_ == "Idempotency-Key");
}

BOOST_AUTO_TEST_CASE(RefusalHasCodeExecutionStatusAndRetryAfter)
{
  const HttpResponse response =
    MakeRefusal({ .code_ = RefusalCode::kQueueFull,
                  .executionStatus_ = ExecutionStatus::kNotRun,
                  .retryAfter_ = Millis(1500),
                  .detail_ = "full" });
  BOOST_TEST(response.result_int() == 503U);
  BOOST_TEST(response[http::field::retry_after] == "2");
  BOOST_TEST(response.body().find("\"ran\":\"no\"") != std::string::npos,
             response.body());
}

BOOST_AUTO_TEST_CASE(OutcomeWithAContentTypeThatIsNotUtf8CanBeSentToTheLedger)
{
  HttpResponse answer(http::status::ok, 11);
  answer.set(http::field::content_type, "text/plain; name=\xff");
  answer.body() = "kept";
  v1::RecordedOutcome parsed;
  BOOST_TEST(parsed.ParseFromString(MakeOutcome(answer).SerializeAsString()));
  BOOST_TEST(parsed.http_status() == 200U);
  BOOST_TEST(parsed.body() == "kept");
}

BOOST_AUTO_TEST_CASE(OutcomeKeepsTheContentType)
{
  HttpResponse answer(http::status::ok, 11);
  answer.set(http::field::content_type, "text/plain; charset=utf-8");
  BOOST_TEST(MakeOutcome(answer).content_type() == "text/plain; charset=utf-8");
}
