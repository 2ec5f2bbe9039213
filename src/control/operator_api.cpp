#include "control/operator_api.h"

#include "vanillahatch/shell/log.h"

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

unsigned StatusOf(v1::ChangeStatus aStatus)
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

OperatorApi::OperatorApi(ControlState& aState, Token aToken)
  : state_(aState)
  , token_(std::move(aToken))
{
}

HttpResponse OperatorApi::Handle(const HttpRequest& aRequest)
{
  const std::string_view target = aRequest.target();
  if (target == "/healthz" || target == "/readyz") {
    return MakeJson(200, "{\"ok\":true}");
  }
  if (!token_.Accepts(aRequest[http::field::authorization])) {
    LogWarning(Event::kTokenRefused, { { "path", target } });
    return MakeProblem(401, "unauthorized", "no", "wrong or missing token");
  }
  if (target == "/v1/state" && aRequest.method() == http::verb::get) {
    return MakeJson(200, ToJson(state_.State()));
  }
  if (target == "/v1/changes" && aRequest.method() == http::verb::post) {
    return HandleChange(aRequest);
  }
  return MakeProblem(404, "no-such-path", "no", target);
}

HttpResponse OperatorApi::HandleChange(const HttpRequest& aRequest)
{
  v1::Change change;
  const auto status =
    google::protobuf::util::JsonStringToMessage(aRequest.body(), &change);
  if (!status.ok()) {
    return MakeProblem(400, "malformed-request", "no", status.ToString());
  }
  const v1::ChangeReply reply = state_.Propose(change);
  LogInfo(Event::kChangeDecided,
          { { "change", change.change_id() },
            { "author", change.author() },
            { "status", v1::ChangeStatus_Name(reply.status()) },
            { "revision", reply.revision() } });
  return MakeJson(StatusOf(reply.status()), ToJson(reply));
}

} // namespace vanillahatch
