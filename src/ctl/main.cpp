// vhctl: the operators' command line over the operators' HTTP API.
#include "vanillahatch/shell/program.h"
#include "vanillahatch/shell/token.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <random>

using namespace vanillahatch;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

std::string NewChangeId()
{
  std::random_device source;
  return std::to_string(source()) + "-" + std::to_string(source());
}

// Asks the control replicas in turn until one answers.
std::optional<http::response<http::string_body>> Ask(const Settings& aSettings,
                                                     const Token& aToken,
                                                     http::verb aVerb,
                                                     const std::string& aTarget,
                                                     const std::string& aBody)
{
  for (const ControlSettings& control : aSettings.controls_) {
    boost::asio::io_context io;
    boost::beast::tcp_stream stream(io);
    boost::system::error_code error;
    stream.connect(boost::asio::ip::tcp::endpoint(
                     boost::asio::ip::make_address(control.http_.address_),
                     control.http_.port_),
                   error);
    if (error) {
      continue;
    }
    http::request<http::string_body> request(aVerb, aTarget, 11);
    request.set(http::field::host, ToText(control.http_));
    request.set(http::field::authorization, aToken.AuthorizationHeader());
    request.body() = aBody;
    request.prepare_payload();
    http::write(stream, request, error);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(stream, buffer, response, error);
    if (!error) {
      return response;
    }
  }
  return std::nullopt;
}

int Usage()
{
  std::cerr << "usage: vhctl --config FILE status\n"
               "       vhctl --config FILE default set SETTING VALUE\n";
  return kExitUsage;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  const std::vector<std::string> words(aArgv + 1, aArgv + aArgc);
  if (words.size() < 3 || words[0] != "--config") {
    return Usage();
  }
  int exitCode = kExitOk;
  const auto settings = LoadOrReport(words[1], exitCode);
  if (!settings) {
    return exitCode;
  }
  auto token = Token::Load(settings->operatorTokenFile_);
  if (!token) {
    std::cerr << "vhctl: " << token.error() << "\n";
    return kExitSettings;
  }
  std::optional<http::response<http::string_body>> answer;
  if (words[2] == "status") {
    answer = Ask(*settings, token.value(), http::verb::get, "/v1/state", "");
  } else if (words.size() == 6 && words[2] == "default" && words[3] == "set") {
    const json::object change = {
      { "change_id", NewChangeId() },
      { "author", "operator" },
      { "set_default", { { "setting", words[4] }, { "value", words[5] } } }
    };
    answer = Ask(*settings,
                 token.value(),
                 http::verb::post,
                 "/v1/changes",
                 json::serialize(change));
  } else {
    return Usage();
  }
  if (!answer) {
    std::cerr << "vhctl: no control replica answers\n";
    return kExitRuntime;
  }
  std::cout << answer->body() << "\n";
  return answer->result_int() == 200 ? kExitOk : kExitRuntime;
}
