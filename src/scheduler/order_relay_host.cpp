#include "scheduler/order_relay_host.h"

#include "scheduler/relay_messages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>

namespace vanillahatch {

namespace asio = boost::asio;

namespace {

// Outcomes that come within this time go back together: each message wakes a
// thread on both sides.
constexpr Millis kGatherFor = Millis(5);
// Also said with nothing to tell, so that a relay that stands still is found.
constexpr Millis kShowLifeEvery = Millis(200);

} // namespace

// One leader's stream. It lives until the stream has ended and every order of
// it has been carried out.
class OrderRelayHost::Stream
  : public grpc::ServerBidiReactor<v1::RelayedOrders, v1::RelayedOutcomes>
  , public std::enable_shared_from_this<Stream>
{
public:
  Stream(asio::io_context& aIo,
         InstancePort& aInstances,
         std::function<bool()> aIsFit,
         RelayClock aClock)
    : io_(aIo)
    , instances_(aInstances)
    , isFit_(std::move(aIsFit))
    , clock_(std::move(aClock))
  {
  }

  void Begin()
  {
    self_ = shared_from_this();
    asio::co_spawn(
      io_,
      [self = shared_from_this()] { return self->ShowLife(); },
      asio::detached);
    StartRead(&incoming_);
  }

  void OnReadDone(bool aHolds) override
  {
    if (!aHolds) {
      std::lock_guard lock(mutex_);
      End();
      return;
    }
    asio::post(io_, [self = shared_from_this(), orders = incoming_] {
      for (const v1::RelayedOrder& order : orders.orders()) {
        asio::co_spawn(
          self->io_,
          [self, order] { return self->CarryOut(order); },
          asio::detached);
      }
    });
    StartRead(&incoming_);
  }

  void OnWriteDone(bool aHolds) override
  {
    std::lock_guard lock(mutex_);
    isWriting_ = false;
    hasEnded_ |= !aHolds;
    if (hasEnded_) {
      End();
    } else {
      WriteNext();
    }
  }

  void OnCancel() override
  {
    std::lock_guard lock(mutex_);
    End();
  }

  void OnDone() override { self_.reset(); }

private:
  asio::awaitable<void> CarryOut(v1::RelayedOrder aOrder)
  {
    ListingReply reply;
    const bool isLate = clock_().Count() > aOrder.send_by_ms();
    const bool isSentLate =
      aOrder.kind() == v1::RELAYED_STOP && !aOrder.run().expires();
    if (isLate && !isSentLate) {
      reply.result_.status_ = OrderStatus::kNotSent;
    } else {
      co_await Give(aOrder, reply);
    }
    co_await Answer(ToOutcome(aOrder.number(), reply));
  }

  asio::awaitable<void> Give(const v1::RelayedOrder& aOrder,
                             ListingReply& aReply)
  {
    switch (aOrder.kind()) {
      case v1::RELAYED_START:
        aReply.result_ = co_await instances_.Start(ToStart(aOrder));
        break;
      case v1::RELAYED_STOP:
        aReply.result_ = co_await instances_.Stop(ToStop(aOrder));
        break;
      case v1::RELAYED_PACE:
        aReply.result_ = co_await instances_.Pace(ToPace(aOrder));
        break;
      case v1::RELAYED_HOLD:
        aReply = co_await instances_.Hold(ToHold(aOrder));
        break;
      default: // of a newer version
        aReply.result_.status_ = OrderStatus::kNotSent;
    }
  }

  asio::awaitable<void> Answer(v1::RelayedOutcome aOutcome)
  {
    *gathered_.add_outcomes() = std::move(aOutcome);
    if (gathered_.outcomes_size() > 1) {
      co_return; // The first one of them sends all.
    }
    asio::steady_timer timer(io_,
                             std::chrono::milliseconds(kGatherFor.Count()));
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    std::lock_guard lock(mutex_);
    waiting_.MergeFrom(gathered_);
    gathered_.Clear();
    WriteNext();
  }

  // The leader gives orders only to a relay that it hears.
  asio::awaitable<void> ShowLife()
  {
    while (WriteSomething()) {
      asio::steady_timer timer(
        io_, std::chrono::milliseconds(kShowLifeEvery.Count()));
      boost::system::error_code ignored;
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
  }

  // False once the stream has ended.
  bool WriteSomething()
  {
    std::lock_guard lock(mutex_);
    if (!isWriting_ && !hasEnded_ && isFit_()) {
      Write();
    }
    return !hasEnded_;
  }

  // With the mutex held.
  void WriteNext()
  {
    if (!isWriting_ && !hasEnded_ && !waiting_.outcomes().empty()) {
      Write();
    }
  }

  void Write()
  {
    isWriting_ = true;
    outgoing_.Clear();
    outgoing_.Swap(&waiting_);
    outgoing_.set_clock_ms(clock_().Count());
    StartWrite(&outgoing_);
  }

  // The stream may be finished only while no write is under way; with the
  // mutex held.
  void End()
  {
    hasEnded_ = true;
    if (!isWriting_ && !isFinished_) {
      isFinished_ = true;
      Finish(grpc::Status::OK);
    }
  }

  asio::io_context& io_;
  InstancePort& instances_;
  const std::function<bool()> isFit_;
  const RelayClock clock_;
  std::shared_ptr<Stream> self_; // until the stream has ended
  v1::RelayedOrders incoming_;   // of the read under way
  v1::RelayedOutcomes gathered_; // on the thread of `io_`
  std::mutex mutex_;             // guards what follows
  v1::RelayedOutcomes waiting_;
  v1::RelayedOutcomes outgoing_; // of the write under way
  bool isWriting_ = false;
  bool hasEnded_ = false;
  bool isFinished_ = false;
};

OrderRelayHost::OrderRelayHost(asio::io_context& aIo,
                               InstancePort& aInstances,
                               std::function<bool()> aIsFit,
                               RelayClock aClock)
  : io_(aIo)
  , instances_(aInstances)
  , isFit_(std::move(aIsFit))
  , clock_(std::move(aClock))
{
}

grpc::ServerBidiReactor<v1::RelayedOrders, v1::RelayedOutcomes>*
OrderRelayHost::Relay(grpc::CallbackServerContext* /*aContext*/)
{
  const auto stream = std::make_shared<Stream>(io_, instances_, isFit_, clock_);
  stream->Begin();
  return stream.get();
}

} // namespace vanillahatch
