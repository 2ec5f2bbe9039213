#define BOOST_TEST_MODULE order_relays
#include "scheduler/order_relays.h"

#include "scheduler/order_relay_service.h"
#include "vanillahatch/shell/rpc.h"
#include "vanillahatch/shell/system_clock.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace vanillahatch;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr const char* kLoopback = "127.0.0.1";

// Records orders, and accepts all of them or answers none.
class FakeInstances : public InstancePort
{
public:
  asio::awaitable<OrderResult> Start(StartOrder aOrder) override
  {
    starts_.push_back(std::move(aOrder));
    co_return co_await AcceptOrWait();
  }
  asio::awaitable<OrderResult> Stop(StopOrder aOrder) override
  {
    stops_.push_back(std::move(aOrder));
    co_return co_await AcceptOrWait();
  }
  asio::awaitable<OrderResult> Pace(PaceOrder /*aOrder*/) override
  {
    co_return co_await AcceptOrWait();
  }
  asio::awaitable<ListingReply> Hold(HoldOrder aOrder) override
  {
    holds_.push_back(std::move(aOrder));
    ListingReply reply{ .listing_ = listing_ };
    reply.result_ = co_await AcceptOrWait();
    co_return reply;
  }
  void CloseIdle() override {}

  bool acceptsOrders_ = true;
  std::vector<StartOrder> starts_;
  std::vector<StopOrder> stops_;
  std::vector<HoldOrder> holds_;
  InstanceListing listing_;

private:
  asio::awaitable<OrderResult> AcceptOrWait()
  {
    if (!acceptsOrders_) {
      asio::steady_timer never(co_await asio::this_coro::executor,
                               std::chrono::hours(1));
      co_await never.async_wait(asio::use_awaitable);
    }
    co_return OrderResult{ .status_ = OrderStatus::kAccepted,
                           .clock_ = Millis(77) };
  }
};

uint16_t FreePort()
{
  asio::io_context io;
  return tcp::acceptor(io, { asio::ip::make_address(kLoopback), 0 })
    .local_endpoint()
    .port();
}

// Another replica, with its own thread, instances and server.
class Relay
{
public:
  Relay()
    : endpoint_({ .address_ = kLoopback, .port_ = FreePort() })
    , work_(io_.get_executor())
    , host_(
        io_,
        instances_,
        [this] { return isHealthy_.load(); },
        [this] { return BootTimeNow() + clockOffset_.load(); })
    , server_(StartServer(endpoint_, host_))
    , thread_([this] { io_.run(); })
  {
  }
  ~Relay()
  {
    Stop();
    io_.stop();
    thread_.join();
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void Stop()
  {
    if (server_) {
      server_->Shutdown(std::chrono::system_clock::now());
      server_.reset();
    }
  }

  // Keeps the relay's thread busy until `aUntil`.
  void BlockUntil(Millis aUntil)
  {
    asio::post(io_, [aUntil] {
      while (BootTimeNow() <= aUntil) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    });
  }

  FakeInstances instances_;
  const Endpoint endpoint_;
  // Added to the relay's clock, to simulate a suspension.
  std::atomic<Millis> clockOffset_ = Millis();
  std::atomic<bool> isHealthy_ = true;

private:
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  OrderRelayService host_;
  std::unique_ptr<grpc::Server> server_;
  std::thread thread_;
};

StartOrder MakeStart(Millis aSendBy)
{
  StartOrder order{ .run_ = 3, .text_ = "spec", .deadline_ = Millis(900) };
  order.target_.instance_ = { .id_ = "i-1", .startedUnixMs_ = 5 };
  order.target_.fencingToken_ = 8;
  order.target_.sendBy_ = aSendBy;
  order.task_.set_job("j");
  order.task_.set_index(4);
  return order;
}

struct LeaderFixture
{
  template<class Condition>
  bool RunUntil(Condition aCondition)
  {
    const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!aCondition() && std::chrono::steady_clock::now() < deadline) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(5));
    }
    return aCondition();
  }

  void Connect()
  {
    relays_.KeepConnected([] { return std::set<std::string>{ "other" }; });
    BOOST_REQUIRE(RunUntil([this] { return relays_.UsableRelayCount() == 1; }));
  }

  // The result is set once the order has ended.
  std::shared_ptr<std::optional<OrderResult>> Start()
  {
    return Start(clock_.Now() + kMaxOrderDelay);
  }
  std::shared_ptr<std::optional<OrderResult>> Start(Millis aSendBy)
  {
    auto result = std::make_shared<std::optional<OrderResult>>();
    asio::co_spawn(
      io_,
      [this, result, aSendBy]() -> asio::awaitable<void> {
        *result = co_await relays_.Start(MakeStart(aSendBy));
      },
      asio::detached);
    return result;
  }

  std::shared_ptr<std::optional<OrderResult>> Stop(bool aExpires)
  {
    auto result = std::make_shared<std::optional<OrderResult>>();
    asio::co_spawn(
      io_,
      [this, result, aExpires]() -> asio::awaitable<void> {
        StopOrder order{ .target_ =
                           MakeStart(clock_.Now() + kMaxOrderDelay).target_,
                         .run_ = 1,
                         .expires_ = aExpires };
        if (!aExpires) {
          order.target_.sendBy_.reset();
        }
        *result = co_await relays_.Stop(order);
      },
      asio::detached);
    return result;
  }

  SystemClock clock_;
  Relay relay_;
  asio::io_context io_;
  FakeInstances direct_;
  OrderRelays relays_{ io_,
                       direct_,
                       clock_,
                       { .resolver_ = [this](const std::string&) {
                         return std::optional(relay_.endpoint_);
                       } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OrderRelaysTests, LeaderFixture)

BOOST_AUTO_TEST_CASE(OrdersAreSentDirectlyWhileNoRelayIsConnected)
{
  const auto result = Start();
  BOOST_REQUIRE(RunUntil([&] { return result->has_value(); }));
  BOOST_TEST(direct_.starts_.size() == 1U);
  BOOST_CHECK((*result)->status_ == OrderStatus::kAccepted);
}

BOOST_AUTO_TEST_CASE(RelayedOrderKeepsAllFields)
{
  Connect();
  const auto result = Start();
  BOOST_REQUIRE(RunUntil([&] { return result->has_value(); }));
  BOOST_TEST(direct_.starts_.empty());
  BOOST_CHECK((*result)->status_ == OrderStatus::kAccepted);
  BOOST_CHECK((*result)->clock_ == Millis(77));
  BOOST_REQUIRE(relay_.instances_.starts_.size() == 1U);
  const StartOrder& order = relay_.instances_.starts_.front();
  BOOST_TEST(order.target_.fencingToken_ == 8U);
  BOOST_TEST(order.target_.instance_.startedUnixMs_ == 5);
  BOOST_TEST(order.task_.index() == 4U);
  BOOST_TEST(order.run_ == 3U);
  BOOST_TEST(order.text_ == "spec");
  BOOST_CHECK(order.deadline_ == Millis(900));
}

BOOST_AUTO_TEST_CASE(RelayedListingKeepsAllFields)
{
  v1::TaskName task;
  task.set_job("j");
  relay_.instances_.listing_ = {
    .running_ = { { .task_ = task, .run_ = 2, .percent_ = 40, .load_ = 9 } },
    .ended_ = { { .number_ = 6,
                  .task_ = task,
                  .run_ = 1,
                  .outcome_ = v1::RUN_FAILED,
                  .reason_ = "failed",
                  .checkpoint_ = "c" } },
    .startedUnixMs_ = 5
  };
  Connect();
  std::optional<ListingReply> reply;
  asio::co_spawn(
    io_,
    [&]() -> asio::awaitable<void> {
      HoldOrder order{ .deadline_ = Millis(70), .endCursor_ = 5 };
      order.target_.instance_.id_ = "i-1";
      order.target_.sendBy_ = clock_.Now() + kMaxOrderDelay;
      reply = co_await relays_.Hold(order);
    },
    asio::detached);
  BOOST_REQUIRE(RunUntil([&] { return reply.has_value(); }));
  BOOST_TEST(reply->listing_.startedUnixMs_ == 5);
  BOOST_REQUIRE(reply->listing_.running_.size() == 1U);
  BOOST_TEST(reply->listing_.running_[0].percent_ == 40U);
  BOOST_TEST(reply->listing_.running_[0].load_ == 9U);
  BOOST_REQUIRE(reply->listing_.ended_.size() == 1U);
  BOOST_TEST(reply->listing_.ended_[0].number_ == 6U);
  BOOST_TEST(reply->listing_.ended_[0].checkpoint_ == "c");
  BOOST_CHECK(reply->listing_.ended_[0].outcome_ == v1::RUN_FAILED);
  BOOST_REQUIRE(relay_.instances_.holds_.size() == 1U);
  BOOST_CHECK(relay_.instances_.holds_[0].deadline_ == Millis(70));
  BOOST_TEST(relay_.instances_.holds_[0].endCursor_ == 5U);
}

BOOST_AUTO_TEST_CASE(OrderInFlightToLostRelayEndsAsUnknown)
{
  relay_.instances_.acceptsOrders_ = false;
  Connect();
  const auto result = Start();
  BOOST_REQUIRE(RunUntil([&] { return !relay_.instances_.starts_.empty(); }));
  relay_.Stop();
  BOOST_REQUIRE(RunUntil([&] { return result->has_value(); }));
  BOOST_CHECK((*result)->status_ == OrderStatus::kUnknown);
}

// 50 messages with outcomes per second, and 5 heartbeats.
BOOST_AUTO_TEST_CASE(MessagesOfARelayDoNotIncreaseWithItsOrders)
{
  constexpr int64_t kMaxMessagesPerSecond = 55;
  Connect();
  const Millis startedAt = clock_.Now();
  const uint64_t messagesBefore = relays_.ReceivedMessageCount();
  std::vector<std::shared_ptr<std::optional<OrderResult>>> results;
  for (int i = 0; i < 100; ++i) {
    results.push_back(Start());
    io_.restart();
    io_.run_for(std::chrono::milliseconds(4));
  }
  BOOST_REQUIRE(RunUntil([&] {
    return std::all_of(results.begin(), results.end(), [](const auto& aResult) {
      return aResult->has_value();
    });
  }));
  const Millis elapsed = clock_.Now() - startedAt;
  const uint64_t messages = relays_.ReceivedMessageCount() - messagesBefore;
  const int64_t allowed = elapsed.Count() * kMaxMessagesPerSecond / 1000 + 2;
  BOOST_TEST(messages <= static_cast<uint64_t>(allowed),
             messages << " messages in " << elapsed.Count() << " ms");
}

BOOST_AUTO_TEST_CASE(SuspendedRelayDoesNotExecuteLateOrders)
{
  Connect();
  relay_.clockOffset_ = Seconds(2);
  const auto result = Start(); // before the leader learns the new clock
  BOOST_REQUIRE(RunUntil([&] { return result->has_value(); }));
  BOOST_CHECK((*result)->status_ == OrderStatus::kNotSent);
  BOOST_TEST(relay_.instances_.starts_.empty());
}

BOOST_AUTO_TEST_CASE(SuspendedRelayExecutesOnlyLateStopsThatDoNotExpire)
{
  Connect();
  relay_.clockOffset_ = Seconds(2);
  const auto expired = Stop(true);
  const auto kept = Stop(false);
  BOOST_REQUIRE(RunUntil([&] { return *expired && *kept; }));
  BOOST_CHECK((*expired)->status_ == OrderStatus::kNotSent);
  BOOST_CHECK((*kept)->status_ == OrderStatus::kAccepted);
}

BOOST_AUTO_TEST_CASE(DelaysAtTheLeaderAndAtTheRelayShareOneBound)
{
  Connect();
  constexpr Millis kRest = Millis(100); // the others passed at the leader
  const Millis sendBy = clock_.Now() + kRest;
  relay_.BlockUntil(sendBy);
  const auto result = Start(sendBy);
  BOOST_REQUIRE(RunUntil([&] { return result->has_value(); }));
  BOOST_CHECK((*result)->status_ == OrderStatus::kNotSent);
  BOOST_TEST(relay_.instances_.starts_.empty());
}

BOOST_AUTO_TEST_CASE(HoldPastItsTimeToSendIsNotRelayed)
{
  Connect();
  std::optional<ListingReply> reply;
  asio::co_spawn(
    io_,
    [&]() -> asio::awaitable<void> {
      HoldOrder order{ .target_ = MakeStart(clock_.Now() - Millis(1)).target_ };
      reply = co_await relays_.Hold(order);
    },
    asio::detached);
  BOOST_REQUIRE(RunUntil([&] { return reply.has_value(); }));
  BOOST_CHECK(reply->result_.status_ == OrderStatus::kNotSent);
  BOOST_TEST(relay_.instances_.holds_.empty());
}

// The relay may yet wait for a connection to the instance.
BOOST_AUTO_TEST_CASE(RelayPassesOnTheTimeToSendOnItsOwnClock)
{
  constexpr Millis kOffset = Seconds(500);
  relay_.clockOffset_ = kOffset;
  Connect();
  const Millis sendBy = clock_.Now() + Seconds(10);
  const auto result = Start(sendBy);
  BOOST_REQUIRE(RunUntil([&] { return result->has_value(); }));
  BOOST_REQUIRE(relay_.instances_.starts_.size() == 1U);
  const std::optional<Millis> relaySendBy =
    relay_.instances_.starts_[0].target_.sendBy_;
  BOOST_REQUIRE(relaySendBy.has_value());
  BOOST_TEST(relaySendBy->Count() <= (sendBy + kOffset).Count());
  BOOST_TEST(relaySendBy->Count() > (sendBy + kOffset).Count() - 10000);
}

BOOST_AUTO_TEST_CASE(RelayedStopThatDoesNotExpireHasNoTimeToSend)
{
  Connect();
  const auto expiring = Stop(true);
  const auto kept = Stop(false);
  BOOST_REQUIRE(RunUntil([&] { return *expiring && *kept; }));
  BOOST_REQUIRE(relay_.instances_.stops_.size() == 2U);
  for (const StopOrder& order : relay_.instances_.stops_) {
    BOOST_TEST(order.target_.sendBy_.has_value() == order.expires_);
  }
}

BOOST_AUTO_TEST_CASE(UnhealthyRelayGetsNoOrders)
{
  Connect();
  relay_.isHealthy_ = false;
  BOOST_REQUIRE(RunUntil([&] { return relays_.UsableRelayCount() == 0; }));
  const auto result = Start();
  BOOST_REQUIRE(RunUntil([&] { return result->has_value(); }));
  BOOST_TEST(direct_.starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(OrdersAreSentDirectlyAfterRelayIsLost)
{
  Connect();
  relay_.Stop();
  BOOST_REQUIRE(RunUntil([&] { return relays_.UsableRelayCount() == 0; }));
  const auto result = Start();
  BOOST_REQUIRE(RunUntil([&] { return result->has_value(); }));
  BOOST_TEST(direct_.starts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(OrderWithoutOutcomeInTimeEndsAsUnknown)
{
  relay_.instances_.acceptsOrders_ = false;
  Connect();
  const auto result = Start();
  BOOST_REQUIRE(RunUntil([&] { return result->has_value(); }));
  BOOST_CHECK((*result)->status_ == OrderStatus::kUnknown);
}

BOOST_AUTO_TEST_SUITE_END()
