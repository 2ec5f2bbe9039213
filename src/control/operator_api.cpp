#include "control/operator_api.h"

#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/metrics.h"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <google/protobuf/util/json_util.h>

namespace vanillahatch {

namespace http = boost::beast::http;

namespace {

std::string ToJson(const google::protobuf::Message& aMessage)
{
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string text;
  const auto status =
    google::protobuf::util::MessageToJsonString(aMessage, &text, options);
  return status.ok() ? text : "{}";
}

std::string ToJson(const LogReplicaStatus& aStatus)
{
  boost::json::array members(aStatus.members_.begin(), aStatus.members_.end());
  const boost::json::object object = {
    { "role", aStatus.role_ },
    { "leader", aStatus.leader_ },
    { "term", aStatus.term_ },
    { "commit_index", aStatus.commitIndex_ },
    { "snapshot_index", aStatus.snapshotIndex_ },
    { "incarnation", std::to_string(aStatus.incarnation_) },
    { "members", members },
  };
  return boost::json::serialize(object);
}

// Proposes a change and awaits its result without blocking the event loop.
boost::asio::awaitable<v1::ChangeReply> ProposeChange(ChangeProposer& aProposer,
                                                      v1::Change aChange)
{
  const auto token = boost::asio::use_awaitable;
  auto initiate = [&aProposer, change = std::move(aChange)](auto aHandler) {
    auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
    const auto executor = boost::asio::get_associated_executor(*handler);
    aProposer.ProposeViaLeader(
      change, [handler, executor](const v1::ChangeReply& aReply) {
        boost::asio::post(executor, [handler, reply = aReply]() mutable {
          (*handler)(std::move(reply));
        });
      });
  };
  co_return co_await boost::asio::async_initiate<const decltype(token)&,
                                                 void(v1::ChangeReply)>(
    initiate, token);
}

unsigned HttpStatusOf(v1::ChangeStatus aStatus)
{
  switch (aStatus) {
    case v1::CHANGE_ACCEPTED:
      return 200;
    case v1::CHANGE_CONFLICT:
      return 409;
    case v1::CHANGE_INVALID:
      return 422;
    default:
      return 503;
  }
}

} // namespace

OperatorApi::OperatorApi(ControlState& aState,
                         ChangeProposer& aProposer,
                         const GrantorHost& aGrantors,
                         Token aToken)
  : state_(aState)
  , proposer_(aProposer)
  , grantors_(aGrantors)
  , token_(std::move(aToken))
{
}

boost::asio::awaitable<HttpResponse> OperatorApi::Handle(HttpRequest aRequest)
{
  const std::string_view target = aRequest.target();
  if (target == "/healthz") {
    co_return MakeJson(200, "{\"ok\":true}");
  }
  if (target == "/readyz") {
    co_return HandleReady();
  }
  if (target == "/metrics") {
    co_return HandleMetrics();
  }
  if (!token_.Accepts(aRequest[http::field::authorization])) {
    LogWarning(Event::kTokenRefused, { { "path", target } });
    co_return MakeProblem(401, "unauthorized", "no", "wrong or missing token");
  }
  if (target == "/v1/state" && aRequest.method() == http::verb::get) {
    co_return MakeJson(200, ToJson(state_.State()));
  }
  if (target == "/v1/replica" && aRequest.method() == http::verb::get) {
    co_return MakeJson(200, ToJson(proposer_.Status()));
  }
  if (target == "/v1/changes" && aRequest.method() == http::verb::post) {
    co_return co_await HandleChange(std::move(aRequest));
  }
  co_return MakeProblem(404, "no-such-path", "no", target);
}

// A replica is ready once it knows a leader, which accepts changes.
HttpResponse OperatorApi::HandleReady() const
{
  const LogReplicaStatus status = proposer_.Status();
  if (status.leader_.empty()) {
    return MakeProblem(503, "no-leader", "no", "role " + status.role_);
  }
  return MakeJson(200, "{\"ok\":true}");
}

HttpResponse OperatorApi::HandleMetrics() const
{
  const LogReplicaStatus status = proposer_.Status();
  Metrics metrics;
  metrics.Set("vh_control_is_leader", proposer_.IsLeader() ? 1 : 0);
  metrics.Set("vh_control_term", static_cast<double>(status.term_));
  metrics.Set("vh_control_commit_index",
              static_cast<double>(status.commitIndex_));
  metrics.Set("vh_control_snapshot_index",
              static_cast<double>(status.snapshotIndex_));
  metrics.Set("vh_control_revision",
              static_cast<double>(state_.State().revision()));
  grantors_.ReportMetrics(metrics);
  HttpResponse response = MakeJson(200, metrics.Render());
  response.set(http::field::content_type, "text/plain; version=0.0.4");
  return response;
}

boost::asio::awaitable<HttpResponse> OperatorApi::HandleChange(
  HttpRequest aRequest)
{
  v1::Change change;
  const auto status =
    google::protobuf::util::JsonStringToMessage(aRequest.body(), &change);
  if (!status.ok()) {
    co_return MakeProblem(400, "malformed-request", "no", status.ToString());
  }
  const v1::ChangeReply reply = co_await ProposeChange(proposer_, change);
  LogInfo(Event::kChangeDecided,
          { { "change", change.change_id() },
            { "author", change.author() },
            { "status", v1::ChangeStatus_Name(reply.status()) },
            { "revision", reply.revision() } });
  co_return MakeJson(HttpStatusOf(reply.status()), ToJson(reply));
}

} // namespace vanillahatch
