// vh-control: one replica of the control log, with the operators' API.
#include "control/control_service.h"
#include "control/operator_api.h"
#include "vanillahatch/shell/program.h"
#include "vanillahatch/shell/rpc.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

using namespace vanillahatch;

namespace {

int Run(const Settings& aSettings, const ControlSettings& aSelf)
{
  std::optional<Token> token = LoadTokenOrReport(aSettings.operatorTokenFile_);
  if (!token) {
    return kExitSettings;
  }
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
  OperatorApi api(state, std::move(*token));
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
  return RunNode(aArgc, aArgv, "vh-control", &Settings::controls_, Run);
}
