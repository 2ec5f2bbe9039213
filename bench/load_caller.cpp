// Sends repeatable and at-most-once jobs through the entries as callers would,
// and logs one line per job: key, kind, result. The demo compares these lines
// with the runners' own logs.
#include "vanillahatch/shell/http_client.h"
#include "vanillahatch/shell/system_clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>

using namespace vanillahatch;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace po = boost::program_options;

namespace {

struct CallerOptions
{
  std::vector<uint16_t> entryPorts_;
  std::vector<std::string> services_;
  uint32_t jobs_ = 2000;
  uint32_t callers_ = 20;
  uint32_t pauseMs_ = 5;
  std::string logFile_;
};

class LoadGenerator
{
public:
  explicit LoadGenerator(CallerOptions aOptions)
    : options_(std::move(aOptions))
    , log_(options_.logFile_)
  {
  }

  int Run()
  {
    for (uint32_t i = 0; i < options_.callers_; ++i) {
      asio::co_spawn(io_, RunCaller(i), asio::detached);
    }
    io_.run();
    std::cout << "answered " << answered_ << "\nrefused (did not run) "
              << refused_ << "\nunknown " << unknown_ << "\nmixed up "
              << mixedUp_ << std::endl;
    return mixedUp_ == 0 ? 0 : 1;
  }

private:
  asio::awaitable<void> RunCaller(uint32_t aCaller)
  {
    while (next_ < options_.jobs_) {
      const uint32_t number = next_++;
      co_await SendJob(number, aCaller);
      asio::steady_timer pause(io_,
                               std::chrono::milliseconds(options_.pauseMs_));
      co_await pause.async_wait(asio::use_awaitable);
    }
  }

  asio::awaitable<void> SendJob(uint32_t aNumber, uint32_t aCaller)
  {
    const bool isAtMostOnce = aNumber % 2 == 1;
    const std::string key = "job-" + std::to_string(aNumber);
    const std::string& service =
      options_.services_[aNumber % options_.services_.size()];
    HttpRequest request(
      http::verb::post, "/v1/services/" + service + "/jobs", 11);
    request.set(http::field::host, "entry");
    request.set("Vh-Member", "member-" + std::to_string(aCaller));
    request.set("Vh-Deadline-Ms", "5000");
    request.set("Vh-Repeatable", isAtMostOnce ? "no" : "yes");
    request.set("Idempotency-Key", key);
    request.set("Vh-Issued-At", std::to_string(clock_.UnixNow().Count()));
    request.set(http::field::content_type, "text/plain");
    request.body() = "body of " + key;
    request.prepare_payload();
    ExchangeResult result;
    // Like a load balancer, tries the next entry if a connection is refused.
    for (size_t i = 0; i < options_.entryPorts_.size(); ++i) {
      const uint16_t port =
        options_.entryPorts_[(aNumber + i) % options_.entryPorts_.size()];
      const Endpoint entry{ .address_ = "127.0.0.1", .port_ = port };
      result = co_await client_.Exchange(entry, request, Millis(8000));
      if (result.status_ != ExchangeStatus::kNotSent) {
        break;
      }
    }
    log_ << key << ' ' << (isAtMostOnce ? "once" : "repeatable") << ' '
         << ClassifyResult(key, result) << '\n';
  }

  std::string ClassifyResult(const std::string& aKey,
                             const ExchangeResult& aResult)
  {
    if (aResult.status_ == ExchangeStatus::kNotSent) {
      ++refused_;
      return "not-run";
    }
    if (aResult.status_ == ExchangeStatus::kUnknown) {
      ++unknown_;
      return "unknown";
    }
    if (aResult.response_->result_int() == 200) {
      const bool isOwnBody = aResult.response_->body() == "body of " + aKey;
      mixedUp_ += isOwnBody ? 0 : 1;
      ++answered_;
      return isOwnBody ? "answered" : "mixed-up";
    }
    boost::system::error_code error;
    const auto problem = boost::json::parse(aResult.response_->body(), error);
    const bool didNotRun = !error && problem.is_object() &&
                           problem.get_object().contains("ran") &&
                           problem.at("ran") == "no";
    (didNotRun ? refused_ : unknown_) += 1;
    return didNotRun ? "not-run" : "unknown";
  }

  CallerOptions options_;
  SystemClock clock_;
  std::ofstream log_;
  asio::io_context io_{ 1 };
  HttpClient client_;
  uint32_t next_ = 0;
  uint32_t answered_ = 0;
  uint32_t refused_ = 0;
  uint32_t unknown_ = 0;
  uint32_t mixedUp_ = 0;
};

} // namespace

int main(int aArgc, char** aArgv)
{
  CallerOptions options;
  po::options_description description("load_caller options");
  description.add_options() //
    ("entry-port",
     po::value(&options.entryPorts_)->multitoken()->required(),
     "entries' HTTP ports") //
    ("service",
     po::value(&options.services_)->multitoken()->required(),
     "services")                                                         //
    ("jobs", po::value(&options.jobs_), "jobs in all")                   //
    ("callers", po::value(&options.callers_), "callers at a time")       //
    ("pause-ms", po::value(&options.pauseMs_), "pause between jobs, ms") //
    ("log", po::value(&options.logFile_)->required(), "one line per job");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aArgc, aArgv, description), values);
    po::notify(values);
    return LoadGenerator(options).Run();
  } catch (const std::exception& error) {
    std::cerr << "load_caller: " << error.what() << "\n" << description;
    return 2;
  }
}
