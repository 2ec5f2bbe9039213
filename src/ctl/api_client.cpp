#include "ctl/api_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <google/protobuf/util/json_util.h>
#include <google/protobuf/util/message_differencer.h>

namespace vanillahatch::ctl {

namespace http = boost::beast::http;
namespace json = google::protobuf::util;

namespace {

constexpr int kMaxRounds = 3; // over all replicas, for one change
constexpr unsigned kHttpOk = 200;
constexpr unsigned kFirstServerError = 500;

// JSON as `JsonStringToMessage` reads it back. Nothing if it cannot represent
// the message: text that is not UTF-8 is dropped without an error.
std::optional<std::string> ToJson(const v1::Change& aChange)
{
  std::string text;
  v1::Change copy;
  const bool isSame =
    json::MessageToJsonString(aChange, &text).ok() &&
    json::JsonStringToMessage(text, &copy).ok() &&
    google::protobuf::util::MessageDifferencer::Equals(aChange, copy);
  return isSame ? std::optional(text) : std::nullopt;
}

} // namespace

ApiClient::ApiClient(const Settings& aSettings,
                     const Token& aToken,
                     Millis aTimeout)
  : settings_(aSettings)
  , token_(aToken)
  , timeout_(aTimeout)
{
}

std::optional<v1::FleetState> ApiClient::FetchState()
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
  v1::ChangeReply lastReply;
  lastReply.set_status(v1::CHANGE_UNAVAILABLE);
  lastReply.set_detail("no control replica answers");
  const std::optional<std::string> body = ToJson(aChange);
  if (!body) {
    lastReply.set_status(v1::CHANGE_INVALID);
    lastReply.set_detail("the arguments are not UTF-8");
    return lastReply;
  }
  bool mayBeStored = false;
  for (int round = 0; round < kMaxRounds; ++round) {
    for (const ControlSettings& control : settings_.controls_) {
      HttpRequest request(http::verb::post, "/v1/changes", 11);
      request.body() = *body;
      const ExchangeResult result =
        SendRequest(control.http_, std::move(request));
      if (result.status_ != ExchangeStatus::kAnswered) {
        mayBeStored = mayBeStored || result.status_ == ExchangeStatus::kUnknown;
        continue;
      }
      const HttpResponse& response = *result.response_;
      v1::ChangeReply reply;
      if (!json::JsonStringToMessage(response.body(), &reply).ok()) {
        // Not a change reply, for example because the token was rejected.
        mayBeStored = mayBeStored || response.result_int() >= kFirstServerError;
        lastReply.set_status(mayBeStored ? v1::CHANGE_UNAVAILABLE
                                         : v1::CHANGE_INVALID);
        lastReply.set_detail(response.body());
        return lastReply;
      }
      lastReply = reply;
      if (reply.status() != v1::CHANGE_NOT_LEADER &&
          reply.status() != v1::CHANGE_UNAVAILABLE) {
        return reply;
      }
      mayBeStored = true;
    }
  }
  return lastReply;
}

std::optional<std::string> ApiClient::Get(const Endpoint& aNode,
                                          const std::string& aTarget)
{
  const ExchangeResult result =
    SendRequest(aNode, HttpRequest(http::verb::get, aTarget, 11));
  if (result.status_ != ExchangeStatus::kAnswered ||
      result.response_->result_int() != kHttpOk) {
    return std::nullopt;
  }
  return result.response_->body();
}

ExchangeResult ApiClient::SendRequest(const Endpoint& aNode,
                                      HttpRequest aRequest)
{
  aRequest.set(http::field::host, ToText(aNode));
  aRequest.set(http::field::authorization, token_.AuthorizationHeader());
  aRequest.prepare_payload();
  ExchangeResult result;
  boost::asio::co_spawn(
    io_,
    [&]() -> boost::asio::awaitable<void> {
      result = co_await client_.Exchange(aNode, std::move(aRequest), timeout_);
    },
    boost::asio::detached);
  io_.restart();
  io_.run();
  return result;
}

} // namespace vanillahatch::ctl
