#define BOOST_TEST_MODULE rpc
#include "vanillahatch/shell/rpc.h"

#include "jobs.grpc.pb.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

using namespace vanillahatch;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr size_t kBufferBytes = 4096;
constexpr std::chrono::milliseconds kPollInterval(5);
// Longer than it takes to connect again after a connection was lost.
constexpr std::chrono::milliseconds kReconnectTime(500);

// Forwards connections to a port, and can reset all of them.
class Proxy
{
public:
  explicit Proxy(uint16_t aTarget)
    : target_(asio::ip::make_address(kLoopback), aTarget)
    , acceptor_(io_, { asio::ip::make_address(kLoopback), 0 })
  {
    asio::co_spawn(io_, Accept(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }

  ~Proxy()
  {
    io_.stop();
    thread_.join();
  }

  uint16_t Port() const { return acceptor_.local_endpoint().port(); }

  void ResetConnections()
  {
    std::promise<void> done;
    asio::post(io_, [&] {
      for (const std::shared_ptr<tcp::socket>& socket : sockets_) {
        boost::system::error_code ignored;
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
      }
      sockets_.clear();
      done.set_value();
    });
    done.get_future().wait();
  }

private:
  asio::awaitable<void> Accept()
  {
    for (;;) {
      auto client = std::make_shared<tcp::socket>(
        co_await acceptor_.async_accept(asio::use_awaitable));
      auto server = std::make_shared<tcp::socket>(io_);
      co_await server->async_connect(target_, asio::use_awaitable);
      sockets_.insert(sockets_.end(), { client, server });
      asio::co_spawn(io_, Forward(client, server), asio::detached);
      asio::co_spawn(io_, Forward(server, client), asio::detached);
    }
  }

  static asio::awaitable<void> Forward(std::shared_ptr<tcp::socket> aFrom,
                                       std::shared_ptr<tcp::socket> aTo)
  {
    std::vector<char> buffer(kBufferBytes);
    boost::system::error_code error;
    while (!error) {
      const size_t bytes = co_await aFrom->async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
      if (!error) {
        co_await asio::async_write(
          *aTo,
          asio::buffer(buffer, bytes),
          asio::redirect_error(asio::use_awaitable, error));
      }
    }
  }

  asio::io_context io_{ 1 };
  const tcp::endpoint target_;
  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
  std::thread thread_;
};

// Finishes when the call is cancelled, which a lost connection does too.
class HeldCall : public grpc::ServerUnaryReactor
{
public:
  void OnCancel() override { Finish(grpc::Status::CANCELLED); }
  void OnDone() override { delete this; }
};

// Counts the submissions that reach the service, and answers none.
class SilentService : public v1::JobService::CallbackService
{
public:
  grpc::ServerUnaryReactor* Submit(grpc::CallbackServerContext* /*aContext*/,
                                   const v1::SubmitRequest* /*aRequest*/,
                                   v1::JobReply* /*aReply*/) override
  {
    ++submissions_;
    return new HeldCall;
  }

  void WaitForSubmissions(int aCount) const
  {
    while (submissions_ < aCount) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  int Submissions() const { return submissions_; }

private:
  std::atomic<int> submissions_ = 0;
};

// Answers each submission with 5 MiB of detail.
class VerboseService : public v1::JobService::CallbackService
{
public:
  static constexpr size_t kDetailBytes = 5U << 20U;

  grpc::ServerUnaryReactor* Submit(grpc::CallbackServerContext* aContext,
                                   const v1::SubmitRequest* /*aRequest*/,
                                   v1::JobReply* aReply) override
  {
    grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
    aReply->set_detail(std::string(kDetailBytes, 'x'));
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }
};

// Serves `aService` on a free port of the loopback address.
std::pair<std::unique_ptr<grpc::Server>, uint16_t> Serve(
  grpc::Service& aService)
{
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(
    std::string(kLoopback) + ":0", grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&aService);
  std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
  BOOST_REQUIRE(server);
  return { std::move(server), static_cast<uint16_t>(port) };
}

} // namespace

BOOST_AUTO_TEST_CASE(ReplyAboveTheLibrarysDefaultLimitIsReceived)
{
  VerboseService service;
  const auto [server, port] = Serve(service);
  const auto stub = v1::JobService::NewStub(
    MakeChannel({ .address_ = kLoopback, .port_ = port }));
  grpc::ClientContext context;
  SetDeadline(context, Seconds(5));
  v1::JobReply reply;
  BOOST_TEST(stub->Submit(&context, {}, &reply).ok());
  BOOST_TEST(reply.detail().size() == VerboseService::kDetailBytes);
}

BOOST_AUTO_TEST_CASE(RequestThatReachedTheServerIsNotSentAgainByTheLibrary)
{
  SilentService service;
  const auto [server, port] = Serve(service);
  Proxy proxy(port);
  const auto stub = v1::JobService::NewStub(
    MakeChannel({ .address_ = kLoopback, .port_ = proxy.Port() }));

  // The second call shows that the channel connects again.
  for (const int call : { 1, 2 }) {
    auto status = std::async(std::launch::async, [&] {
      grpc::ClientContext context;
      context.set_wait_for_ready(true);
      SetDeadline(context, Seconds(5));
      v1::JobReply reply;
      return stub->Submit(&context, {}, &reply);
    });
    service.WaitForSubmissions(call);
    proxy.ResetConnections();
    BOOST_TEST(status.get().error_code() == grpc::StatusCode::UNAVAILABLE);
    std::this_thread::sleep_for(kReconnectTime);
    BOOST_TEST(service.Submissions() == call);
  }
}
