// vh-ledger: a replica of the ledger, the durable record of jobs that run at
// most once.
#include "ledger/catch_up_client.h"
#include "ledger/ledger_service.h"
#include "vanillahatch/shell/http_server.h"
#include "vanillahatch/shell/program.h"
#include "vanillahatch/shell/rpc.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

using namespace vanillahatch;

namespace {

void LogStart(const LedgerReplica& aReplica)
{
  if (aReplica.StartMode() == LedgerStartMode::kStateLost) {
    LogWarning(Event::kLedgerCatchingUp, {});
    return;
  }
  const bool isBootstrapped =
    aReplica.StartMode() == LedgerStartMode::kBootstrapped;
  LogInfo(Event::kLedgerMember,
          { { "how", isBootstrapped ? "founded" : "remembers" } });
}

HttpResponse HandleHttp(const HttpRequest& aRequest,
                        const LedgerReplica& aReplica)
{
  if (aRequest.target() == "/metrics") {
    HttpResponse response = MakeJson(200, aReplica.RenderMetrics());
    response.set(boost::beast::http::field::content_type,
                 "text/plain; version=0.0.4");
    return response;
  }
  if (aRequest.target() == "/readyz" && !aReplica.IsMember()) {
    return MakeProblem(503, "catching-up", "no", "the replica does not vote");
  }
  return MakeJson(200, "{\"ok\":true}");
}

int Run(const Settings& aSettings, const LedgerSettings& aSelf)
{
  const auto selfIndex =
    static_cast<uint32_t>(&aSelf - aSettings.ledgers_.data());
  const auto replicaCount = static_cast<uint32_t>(aSettings.ledgers_.size());
  LedgerReplica replica({ .register_ = { .replicaIndex_ = selfIndex,
                                         .replicaCount_ = replicaCount },
                          .folder_ = aSelf.dataFolder_ });
  LogStart(replica);
  LedgerService service(replica);
  const std::unique_ptr<grpc::Server> rpc = StartServer(aSelf.rpc_, service);
  if (!rpc) {
    std::cerr << "vh-ledger: cannot listen on " << ToText(aSelf.rpc_) << "\n";
    return kExitRuntime;
  }
  std::unique_ptr<CatchUpClient> catchUp;
  if (replica.StartMode() == LedgerStartMode::kStateLost) {
    catchUp =
      std::make_unique<CatchUpClient>(replica, aSettings.ledgers_, selfIndex);
  }
  boost::asio::io_context io(1);
  HttpServer http(
    io,
    { .endpoint_ = aSelf.http_, .limits_ = aSettings.limits_ },
    [&](HttpRequest aRequest) -> boost::asio::awaitable<HttpResponse> {
      co_return HandleHttp(aRequest, replica);
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
