// vh-ledger: one replica of the record of jobs that run at most once.
#include "ledger/ledger_service.h"
#include "vanillahatch/shell/http_server.h"
#include "vanillahatch/shell/program.h"
#include "vanillahatch/shell/rpc.h"

#include <boost/asio/signal_set.hpp>
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
  return RunNode(aArgc, aArgv, "vh-ledger", &Settings::ledgers_, Run);
}
