#include "scheduler/order_relay_service.h"

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

// Outcomes within this time are sent in one message. A message costs the leader
// more than the outcomes in it, since it wakes several threads there.
constexpr Millis kBatchDelay = Millis(20);
// A message is sent at least this often, even if it is empty, so that the
// leader detects a relay that is suspended or hangs.
constexpr Millis kHeartbeatInterval = Millis(200);

} // namespace

// The stream of one leader. It owns itself until the stream has ended and all
// of its orders have been executed.
class OrderRelayService::Stream
  : public grpc::ServerBidiReactor<v1::RelayedOrders, v1::RelayedOutcomes>
  , public std::enable_shared_from_this<Stream>
{
public:
  Stream(asio::io_context& aIo,
         InstancePort& aInstances,
         std::function<bool()> aIsHealthy,
         RelayClock aClock)
    : io_(aIo)
    , instances_(aInstances)
    , isHealthy_(std::move(aIsHealthy))
    , clock_(std::move(aClock))
  {
  }

  void Start()
  {
    self_ = shared_from_this();
    asio::co_spawn(
      io_,
      [self = shared_from_this()] { return self->SendHeartbeats(); },
      asio::detached);
    StartRead(&incoming_);
  }

  void OnReadDone(bool aOk) override
  {
    if (!aOk) {
      std::lock_guard lock(mutex_);
      Close();
      return;
    }
    asio::post(io_, [self = shared_from_this(), orders = incoming_] {
      for (const v1::RelayedOrder& order : orders.orders()) {
        asio::co_spawn(
          self->io_,
          [self, order] { return self->Execute(order); },
          asio::detached);
      }
    });
    StartRead(&incoming_);
  }

  void OnWriteDone(bool aOk) override
  {
    std::lock_guard lock(mutex_);
    isWriting_ = false;
    hasEnded_ |= !aOk;
    if (hasEnded_) {
      Close();
    } else {
      WriteUnsent();
    }
  }

  void OnCancel() override
  {
    std::lock_guard lock(mutex_);
    Close();
  }

  void OnDone() override { self_.reset(); }

private:
  asio::awaitable<void> Execute(v1::RelayedOrder aOrder)
  {
    ListingReply reply;
    const std::optional<Millis> sendBy = SendByOf(aOrder);
    if (sendBy && clock_() > *sendBy) {
      reply.result_.status_ = OrderStatus::kNotSent;
    } else {
      co_await SendToInstance(aOrder, reply);
    }
    co_await QueueOutcome(ToOutcome(aOrder.number(), reply));
  }

  asio::awaitable<void> SendToInstance(const v1::RelayedOrder& aOrder,
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
      default: // a kind of a newer version
        aReply.result_.status_ = OrderStatus::kNotSent;
    }
  }

  asio::awaitable<void> QueueOutcome(v1::RelayedOutcome aOutcome)
  {
    *batch_.add_outcomes() = std::move(aOutcome);
    if (batch_.outcomes_size() > 1) {
      co_return; // The call that added the first outcome sends the batch.
    }
    asio::steady_timer timer(io_,
                             std::chrono::milliseconds(kBatchDelay.Count()));
    boost::system::error_code ignored;
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    std::lock_guard lock(mutex_);
    if (unsent_.outcomes().empty()) {
      unsent_.Swap(&batch_);
    } else {
      unsent_.MergeFrom(batch_);
      batch_.Clear();
    }
    WriteUnsent();
  }

  // The leader sends orders only to a relay with a recent message.
  asio::awaitable<void> SendHeartbeats()
  {
    while (WriteHeartbeat()) {
      asio::steady_timer timer(
        io_, std::chrono::milliseconds(kHeartbeatInterval.Count()));
      boost::system::error_code ignored;
      co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
  }

  // Returns false once the stream has ended.
  bool WriteHeartbeat()
  {
    std::lock_guard lock(mutex_);
    if (!isWriting_ && !hasEnded_ && isHealthy_()) {
      Write();
    }
    return !hasEnded_;
  }

  // Requires the mutex.
  void WriteUnsent()
  {
    if (!isWriting_ && !hasEnded_ && !unsent_.outcomes().empty()) {
      Write();
    }
  }

  // Requires the mutex, and that no write is in flight.
  void Write()
  {
    isWriting_ = true;
    outgoing_.Clear();
    outgoing_.Swap(&unsent_);
    outgoing_.set_clock_ms(clock_().Count());
    StartWrite(&outgoing_);
  }

  // Finishes the stream, or leaves that to `OnWriteDone` while a write is in
  // flight, as gRPC requires. Requires the mutex.
  void Close()
  {
    hasEnded_ = true;
    if (!isWriting_ && !isFinished_) {
      isFinished_ = true;
      Finish(grpc::Status::OK);
    }
  }

  asio::io_context& io_;
  InstancePort& instances_;
  const std::function<bool()> isHealthy_;
  const RelayClock clock_;
  std::shared_ptr<Stream> self_; // until the stream has ended
  v1::RelayedOrders incoming_;   // of the read in flight
  v1::RelayedOutcomes batch_;    // used on the thread of `io_`
  std::mutex mutex_;             // guards the members below
  v1::RelayedOutcomes unsent_;
  v1::RelayedOutcomes outgoing_; // of the write in flight
  bool isWriting_ = false;
  bool hasEnded_ = false;
  bool isFinished_ = false;
};

OrderRelayService::OrderRelayService(asio::io_context& aIo,
                                     InstancePort& aInstances,
                                     std::function<bool()> aIsHealthy,
                                     RelayClock aClock)
  : io_(aIo)
  , instances_(aInstances)
  , isHealthy_(std::move(aIsHealthy))
  , clock_(std::move(aClock))
{
}

grpc::ServerBidiReactor<v1::RelayedOrders, v1::RelayedOutcomes>*
OrderRelayService::Relay(grpc::CallbackServerContext* /*aContext*/)
{
  const auto stream =
    std::make_shared<Stream>(io_, instances_, isHealthy_, clock_);
  stream->Start();
  return stream.get();
}

} // namespace vanillahatch
