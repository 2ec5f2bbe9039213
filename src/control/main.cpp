// vh-control: a replica of the control log with the gRPC service for entries
// and the operators' HTTP API.
#include "control/control_replica.h"
#include "control/control_service.h"
#include "control/operator_api.h"
#include "vanillahatch/shell/program.h"
#include "vanillahatch/shell/rpc.h"
#include "vanillahatch/shell/system_clock.h"

#include <array>
#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <future>
#include <iostream>

using namespace vanillahatch;

namespace {

// Always returns: a proposer that stops rejects the pending changes.
v1::ChangeReply ProposeAndWait(ChangeProposer& aProposer,
                               const v1::Change& aChange)
{
  auto result = std::make_shared<std::promise<v1::ChangeReply>>();
  aProposer.ProposeViaLeader(aChange, [result](const v1::ChangeReply& aReply) {
    result->set_value(aReply);
  });
  return result->get_future().get();
}

int Run(const Settings& aSettings, const ControlSettings& aSelf)
{
  std::optional<Token> token = LoadTokenOrReport(aSettings.operatorTokenFile_);
  if (!token) {
    return kExitSettings;
  }
  const SystemClock clock;
  ControlState state;
  boost::asio::io_context io(1);
  std::atomic<bool> diskFailed = false;
  ControlReplica replica({ .self_ = aSelf.name_,
                           .replicas_ = aSettings.controls_,
                           .dataFolder_ = aSelf.dataFolder_,
                           .onDiskFailure_ =
                             [&](const std::string&) {
                               diskFailed = true;
                               io.stop();
                             } },
                         state,
                         clock);
  if (!replica.Start()) {
    std::cerr << "vh-control: cannot use the data folder " << aSelf.dataFolder_
              << "\n";
    return kExitRuntime;
  }
  GrantorHost grantors(aSettings, aSelf, state, [&](const v1::Change& aChange) {
    return ProposeAndWait(replica, aChange);
  });
  ControlService service(state, replica, grantors);
  const std::array<grpc::Service*, 2> services = { &service,
                                                   &replica.Service() };
  const std::unique_ptr<grpc::Server> rpc = StartServer(aSelf.rpc_, services);
  if (!rpc) {
    std::cerr << "vh-control: cannot listen on " << ToText(aSelf.rpc_) << "\n";
    return kExitRuntime;
  }
  OperatorApi api(state, replica, grantors, std::move(*token));
  HttpServer http(
    io,
    { .endpoint_ = aSelf.http_, .limits_ = aSettings.limits_ },
    [&](HttpRequest aRequest) -> boost::asio::awaitable<HttpResponse> {
      co_return co_await api.Handle(std::move(aRequest));
    });
  http.Start();
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
  LogInfo(Event::kProcessStarted, { { "node", aSelf.name_.View() } });
  io.run();
  replica.Stop();
  rpc->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
  LogInfo(Event::kProcessStopped, { { "node", aSelf.name_.View() } });
  return diskFailed ? kExitRuntime : kExitOk;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  return RunNode(aArgc, aArgv, "vh-control", &Settings::controls_, Run);
}
