// Simulates an upstream: announces itself, runs jobs by waiting, and appends
// one line per job that it runs to a log of its own, which the demo compares
// with the answers that callers received.
#include "vanillahatch/shell/http_client.h"
#include "vanillahatch/shell/http_server.h"
#include "vanillahatch/shell/system_clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

using namespace vanillahatch;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace po = boost::program_options;

namespace {

struct RunnerOptions
{
  std::string instance_;
  std::string service_;
  std::string dataCentre_;
  std::string rack_;
  uint16_t port_ = 0;
  std::vector<uint16_t> entryPorts_;
  std::string token_;
  std::string logFile_;
  int64_t runMs_ = 5;
  uint32_t instances_ = 1; // announced under numbered names, all on one port
  uint32_t services_ = 1;  // over which the instances are spread
  int64_t announcePeriodMs_ = 500;
};

class Runner
{
public:
  explicit Runner(RunnerOptions aOptions)
    : options_(std::move(aOptions))
    , log_(options_.logFile_, std::ios::app)
    , generation_(clock_.UnixNow().Count())
    , server_(
        io_,
        { .endpoint_ = { "127.0.0.1", options_.port_ } },
        [this](HttpRequest aRequest) { return RunJob(std::move(aRequest)); })
  {
  }

  void Run()
  {
    server_.Start();
    for (uint32_t i = 0; i < options_.instances_; ++i) {
      asio::co_spawn(io_, AnnounceUntilDeparted(i), asio::detached);
    }
    asio::signal_set signals(io_, SIGTERM, SIGINT);
    signals.async_wait([this](boost::system::error_code, int) {
      asio::co_spawn(io_, Stop(), asio::detached);
    });
    io_.run();
  }

private:
  asio::awaitable<void> Sleep(int64_t aMillis)
  {
    asio::steady_timer timer(io_, std::chrono::milliseconds(aMillis));
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::awaitable<HttpResponse> RunJob(HttpRequest aRequest)
  {
    log_ << aRequest["Vh-Job"] << ' ' << aRequest["Idempotency-Key"]
         << std::endl;
    ++running_;
    co_await Sleep(options_.runMs_);
    --running_;
    HttpResponse response = MakeJson(200, aRequest.body());
    response.set("Vh-Ran-On", options_.instance_);
    co_return response;
  }

  // Runs once per instance; the phases of the instances are spread evenly.
  asio::awaitable<void> AnnounceUntilDeparted(uint32_t aInstance)
  {
    co_await Sleep(options_.announcePeriodMs_ * aInstance /
                   options_.instances_);
    for (uint64_t sequence = 1; !departed_; ++sequence) {
      sequence_ = std::max(sequence_, sequence);
      co_await Announce(aInstance, sequence);
      co_await Sleep(options_.announcePeriodMs_);
    }
  }

  std::string InstanceName(uint32_t aInstance) const
  {
    return options_.instances_ == 1
             ? options_.instance_
             : options_.instance_ + "-" + std::to_string(aInstance);
  }

  std::string ServiceName(uint32_t aInstance) const
  {
    return options_.services_ == 1
             ? options_.service_
             : options_.service_ + "-" +
                 std::to_string(aInstance % options_.services_);
  }

  std::string MakeAnnouncement(uint32_t aInstance, uint64_t aSequence) const
  {
    const std::string name = InstanceName(aInstance);
    return boost::json::serialize(boost::json::object{
      { "instance", name },
      { "service", ServiceName(aInstance) },
      { "address", "127.0.0.1" },
      { "port", options_.port_ },
      { "slots", 8 },
      { "connections", 64 },
      { "data_centre", options_.dataCentre_ },
      { "rack", options_.rack_ },
      { "worker", name + "-worker" },
      { "generation", generation_ },
      { "sequence", aSequence },
      { "lease_ms", options_.announcePeriodMs_ * 4 },
      { "departed", departed_ },
    });
  }

  asio::awaitable<void> Announce(uint32_t aInstance, uint64_t aSequence)
  {
    const std::string body = MakeAnnouncement(aInstance, aSequence);
    // Like a load balancer, tries the entries in turn until one accepts.
    for (size_t i = 0; i < options_.entryPorts_.size(); ++i) {
      const size_t at = aInstance + aSequence + i;
      const uint16_t port =
        options_.entryPorts_[at % options_.entryPorts_.size()];
      HttpRequest request(http::verb::post, "/v1/announce", 11);
      request.set(http::field::host, "entry");
      request.set(http::field::authorization, "Bearer " + options_.token_);
      request.body() = body;
      request.prepare_payload();
      const Endpoint entry{ .address_ = "127.0.0.1", .port_ = port };
      const ExchangeResult result =
        co_await client_.Exchange(entry, std::move(request), Millis(300));
      if (result.status_ == ExchangeStatus::kAnswered &&
          result.response_->result_int() == 200) {
        co_return;
      }
    }
  }

  asio::awaitable<void> Stop()
  {
    departed_ = true;
    for (uint32_t i = 0; i < options_.instances_; ++i) {
      co_await Announce(i, sequence_ + 1);
    }
    co_await Sleep(2000);
    server_.StopAccepting();
    while (running_ > 0) {
      co_await Sleep(10);
    }
    io_.stop();
  }

  RunnerOptions options_;
  SystemClock clock_;
  std::ofstream log_;
  int64_t generation_;
  uint64_t sequence_ = 0;
  uint32_t running_ = 0;
  bool departed_ = false;
  asio::io_context io_{ 1 };
  HttpServer server_;
  HttpClient client_;
};

} // namespace

int main(int aArgc, char** aArgv)
{
  RunnerOptions options;
  po::options_description described("fake_runner options");
  described.add_options()                                               //
    ("instance", po::value(&options.instance_)->required(), "its name") //
    ("service", po::value(&options.service_)->required(), "service")    //
    ("data-centre", po::value(&options.dataCentre_)->required(), "where")(
      "rack", po::value(&options.rack_)->default_value("r1"), "rack") //
    ("port", po::value(&options.port_)->required(), "own port")       //
    ("entry-port",
     po::value(&options.entryPorts_)->multitoken()->required(),
     "entries' HTTP ports")                                             //
    ("token", po::value(&options.token_)->required(), "upstream token") //
    ("log", po::value(&options.logFile_)->required(), "run log")        //
    ("run-ms", po::value(&options.runMs_), "run time of a job, ms")     //
    ("instances",
     po::value(&options.instances_),
     "how many to announce, as name-0, name-1 and so on") //
    ("services",
     po::value(&options.services_),
     "services to spread them over, as service-0, service-1 and so on") //
    ("announce-period-ms",
     po::value(&options.announcePeriodMs_),
     "time between renewals; the lease is four of them");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aArgc, aArgv, described), values);
    po::notify(values);
    Runner(options).Run();
  } catch (const std::exception& fault) {
    std::cerr << "fake_runner: " << fault.what() << "\n" << described;
    return 2;
  }
  return 0;
}
