// vh-ledger: one replica of the record of jobs that run at most once.
#include "ledger/ledger_service.h"
#include "vanillahatch/shell/http_server.h"
#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/program.h"
#include "vanillahatch/shell/rpc.h"

#include <algorithm>
#include <csignal>
#include <iostream>

using namespace vanillahatch;

namespace {

int Run(const Settings& aSettings, const LedgerSettings& aSelf)
{
  LedgerService service;
  const std::unique_ptr<grpc::Server> rpc = StartServer(aSelf.rpc_, service);
  if (!rpc) {
    std::cerr << "vh-ledger: cannot listen on " << ToText(aSelf.rpc_) << "\n";
    return kExitRuntime;
  }
  boost::asio::io_context io(1);
  HttpServer http(io,
                  { .endpoint_ = aSelf.http_, .limits_ = aSettings.limits_ },
                  [](HttpRequest) -> boost::asio::awaitable<HttpResponse> {
                    co_return MakeJson(200, "{\"ok\":true}");
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
  const auto arguments = ParseArguments(aArgc, aArgv, "vh-ledger", exitCode);
  if (!arguments) {
    return exitCode;
  }
  const auto settings = LoadOrReport(arguments->configFile_, exitCode);
  if (!settings) {
    return exitCode;
  }
  const auto self = std::find_if(
    settings->ledgers_.begin(), settings->ledgers_.end(), [&](const auto& aL) {
      return aL.name_.Str() == arguments->node_;
    });
  if (self == settings->ledgers_.end()) {
    std::cerr << "vh-ledger: no [[ledger]] named " << arguments->node_ << "\n";
    return kExitSettings;
  }
  const LogSystem log(arguments->node_, settings->logFolder_);
  try {
    return Run(*settings, *self);
  } catch (const std::exception& fault) {
    std::cerr << "vh-ledger: " << fault.what() << "\n";
    return kExitRuntime;
  }
}
