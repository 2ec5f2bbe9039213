// vh-control: one replica of the control log, with the operators' API.
#include "control/control_service.h"
#include "control/operator_api.h"
#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/program.h"
#include "vanillahatch/shell/rpc.h"

#include <algorithm>
#include <csignal>
#include <iostream>

using namespace vanillahatch;

namespace {

int Run(const Settings& aSettings, const ControlSettings& aSelf, Token aToken)
{
  ControlState state;
  GrantorHost grantors(aSettings, aSelf, state, [&](const v1::Change& aChange) {
    return state.Propose(aChange);
  });
  ControlService service(state, grantors);
  const std::unique_ptr<grpc::Server> rpc = StartServer(aSelf.rpc_, service);
  if (!rpc) {
    std::cerr << "vh-control: cannot listen on " << ToText(aSelf.rpc_) << "\n";
    return kExitRuntime;
  }
  OperatorApi api(state, std::move(aToken));
  boost::asio::io_context io(1);
  HttpServer http(
    io,
    { .endpoint_ = aSelf.http_, .limits_ = aSettings.limits_ },
    [&](HttpRequest aRequest) -> boost::asio::awaitable<HttpResponse> {
      co_return api.Handle(aRequest);
    });
  http.Start();
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
  LogInfo(Event::kProcessStarted, { { "node", aSelf.name_.View() } });
  io.run();
  rpc->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
  LogInfo(Event::kProcessStopped, { { "node", aSelf.name_.View() } });
  return kExitOk;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  int exitCode = kExitOk;
  const auto arguments = ParseArguments(aArgc, aArgv, "vh-control", exitCode);
  if (!arguments) {
    return exitCode;
  }
  const auto settings = LoadOrReport(arguments->configFile_, exitCode);
  if (!settings) {
    return exitCode;
  }
  const auto self = std::find_if(
    settings->controls_.begin(),
    settings->controls_.end(),
    [&](const auto& aC) { return aC.name_.Str() == arguments->node_; });
  if (self == settings->controls_.end()) {
    std::cerr << "vh-control: no [[control]] named " << arguments->node_
              << "\n";
    return kExitSettings;
  }
  auto token = Token::Load(settings->operatorTokenFile_);
  if (!token) {
    std::cerr << "vh-control: " << token.error() << "\n";
    return kExitSettings;
  }
  const LogSystem log(arguments->node_, settings->logFolder_);
  try {
    return Run(*settings, *self, std::move(token).value());
  } catch (const std::exception& fault) {
    std::cerr << "vh-control: " << fault.what() << "\n";
    return kExitRuntime;
  }
}
