#include "ctl/api_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <google/protobuf/util/json_util.h>

namespace vanillahatch::ctl {

namespace http = boost::beast::http;
namespace json = google::protobuf::util;

namespace {

constexpr int kRounds = 3; // through all replicas, for one change
constexpr unsigned kHttpOk = 200;

} // namespace

ApiClient::ApiClient(const Settings& aSettings,
                     const Token& aToken,
                     Millis aTimeout)
  : settings_(aSettings)
  , token_(aToken)
  , timeout_(aTimeout)
{
}

std::optional<v1::FleetState> ApiClient::State()
{
  for (const ControlSettings& control : settings_.controls_) {
    const auto body = Get(control.http_, "/v1/state");
    v1::FleetState state;
    if (body && json::JsonStringToMessage(*body, &state).ok()) {
      return state;
    }
  }
  return std::nullopt;
}

v1::ChangeReply ApiClient::Propose(const v1::Change& aChange)
{
  v1::ChangeReply last;
  last.set_status(v1::CHANGE_UNAVAILABLE);
  last.set_detail("no control replica answers");
  std::string body;
  if (!json::MessageToJsonString(aChange, &body).ok()) {
    last.set_status(v1::CHANGE_INVALID);
    last.set_detail("the change cannot be written as JSON");
    return last;
  }
  for (int round = 0; round < kRounds; ++round) {
    for (const ControlSettings& control : settings_.controls_) {
      HttpRequest request(http::verb::post, "/v1/changes", 11);
      request.body() = body;
      const auto response = Ask(control.http_, std::move(request));
      if (!response) {
        continue;
      }
      v1::ChangeReply reply;
      if (!json::JsonStringToMessage(response->body(), &reply).ok()) {
        // Not the answer to a change, such as a refused token.
        last.set_status(v1::CHANGE_INVALID);
        last.set_detail(response->body());
        return last;
      }
      last = reply;
      if (reply.status() != v1::CHANGE_NOT_LEADER &&
          reply.status() != v1::CHANGE_UNAVAILABLE) {
        return reply;
      }
    }
  }
  return last;
}

std::optional<std::string> ApiClient::Get(const Endpoint& aNode,
                                          const std::string& aTarget)
{
  const auto response = Ask(aNode, HttpRequest(http::verb::get, aTarget, 11));
  if (!response || response->result_int() != kHttpOk) {
    return std::nullopt;
  }
  return response->body();
}

std::optional<HttpResponse> ApiClient::Ask(const Endpoint& aNode,
                                           HttpRequest aRequest)
{
  aRequest.set(http::field::host, ToText(aNode));
  aRequest.set(http::field::authorization, token_.AuthorizationHeader());
  aRequest.prepare_payload();
  std::optional<HttpResponse> answer;
  boost::asio::co_spawn(
    io_,
    [&]() -> boost::asio::awaitable<void> {
      ExchangeResult result =
        co_await client_.Exchange(aNode, std::move(aRequest), timeout_);
      if (result.status_ == ExchangeStatus::kAnswered) {
        answer = std::move(result.response_);
      }
    },
    boost::asio::detached);
  io_.restart();
  io_.run();
  return answer;
}

} // namespace vanillahatch::ctl
