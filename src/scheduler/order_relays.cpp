#include "scheduler/order_relays.h"

#include "scheduler/relay_messages.h"
#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/rpc.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <condition_variable>
#include <mutex>

namespace vanillahatch {

namespace asio = boost::asio;

namespace {

// A relay waits 1 s for an instance; the rest is for the messages between the
// leader and the relay.
constexpr Millis kReplyTimeout = Millis(1400);
// A relay with an older message is not used. It sends one every 200 ms.
constexpr Millis kMaxContactAge = Millis(600);
// A stream without a message for this long is replaced.
constexpr Millis kReconnectTimeout = Seconds(3);
constexpr Millis kUpdateInterval = Millis(200);

} // namespace

// Counts the streams that gRPC may still call back for. The destructor waits
// for them, because a callback must not outlive the io_context.
struct OrderRelays::OpenStreams
{
  void Add()
  {
    std::lock_guard lock(mutex_);
    ++count_;
  }
  void Remove()
  {
    std::lock_guard lock(mutex_);
    --count_;
    changed_.notify_all();
  }
  void WaitForNone()
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return count_ == 0; });
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  size_t count_ = 0;
};

// A stream to one relay. An order without an outcome at its timeout, or when
// the stream ends, fails with kUnknown.
class OrderRelays::Link
  : public grpc::ClientBidiReactor<v1::RelayedOrders, v1::RelayedOutcomes>
  , public std::enable_shared_from_this<Link>
{
public:
  Link(asio::io_context& aIo,
       const Clock& aClock,
       std::shared_ptr<OpenStreams> aStreams,
       const Endpoint& aEndpoint)
    : io_(aIo)
    , clock_(aClock)
    , streams_(std::move(aStreams))
    , openedAt_(aClock.Now())
    , stub_(v1::OrderRelay::NewStub(MakeChannel(aEndpoint)))
  {
  }

  void Open()
  {
    self_ = shared_from_this();
    streams_->Add();
    stub_->async()->Relay(&context_, this);
    StartRead(&incoming_);
    StartCall();
  }

  void Close()
  {
    hasEnded_ = true;
    context_.TryCancel();
    FailAll();
  }

  // True if connected, with a recent message from the relay.
  bool IsUsable() const
  {
    return !hasEnded_ && lastContactAt_ &&
           clock_.Now() - *lastContactAt_ <= kMaxContactAge;
  }
  uint64_t ReceivedMessageCount() const { return receivedMessages_; }
  bool IsLost() const
  {
    const Millis lastContactAt = lastContactAt_.value_or(openedAt_);
    return hasEnded_ || clock_.Now() - lastContactAt > kReconnectTimeout;
  }

  void Send(v1::RelayedOrder aOrder,
            std::optional<Millis> aSendBy,
            Millis aTimeout,
            Done aDone)
  {
    aOrder.set_number(++lastOrderNumber_);
    if (aSendBy) {
      // The relay's clock is known only from its messages, so this is a lower
      // bound; the error is the transit time of the latest message.
      const Millis relaySendBy =
        relayTimeAtContact_ + (*aSendBy - *lastContactAt_);
      aOrder.set_send_by_ms(relaySendBy.Count());
    }
    pending_.emplace(lastOrderNumber_,
                     Pending{ .timesOutAt_ = clock_.Now() + aTimeout,
                              .done_ = std::move(aDone) });
    *batch_.add_orders() = std::move(aOrder);
    if (batch_.orders_size() == 1) {
      // All orders of the same event are sent in one message.
      asio::post(io_, [self = shared_from_this()] { self->Flush(); });
    }
  }

  // Fails the orders whose timeout has passed.
  void FailTimedOut()
  {
    const Millis now = clock_.Now();
    std::vector<Done> failed;
    std::erase_if(pending_, [&](auto& aItem) {
      const bool isTimedOut = aItem.second.timesOutAt_ <= now;
      if (isTimedOut) {
        failed.push_back(std::move(aItem.second.done_));
      }
      return isTimedOut;
    });
    Fail(failed);
  }

  void OnReadDone(bool aOk) override
  {
    if (!aOk) {
      return; // `OnDone` follows.
    }
    const auto outcomes = std::make_shared<v1::RelayedOutcomes>();
    outcomes->Swap(&incoming_);
    asio::post(io_, [self = shared_from_this(), outcomes] {
      self->HandleOutcomes(*outcomes);
    });
    StartRead(&incoming_);
  }

  void OnWriteDone(bool aOk) override
  {
    std::lock_guard lock(mutex_);
    isWriting_ = false;
    if (aOk) {
      WriteUnsent();
    }
  }

  void OnDone(const grpc::Status& /*aStatus*/) override
  {
    const std::shared_ptr<OpenStreams> streams = streams_;
    asio::post(io_, [self = std::move(self_)] {
      self->hasEnded_ = true;
      self->FailAll();
    });
    streams->Remove();
  }

private:
  struct Pending
  {
    Millis timesOutAt_;
    Done done_;
  };

  static void Fail(std::vector<Done>& aFailed)
  {
    for (Done& done : aFailed) {
      done({ .result_ = { .status_ = OrderStatus::kUnknown } });
    }
  }

  void FailAll()
  {
    std::vector<Done> failed;
    for (auto& [number, pending] : pending_) {
      failed.push_back(std::move(pending.done_));
    }
    pending_.clear();
    Fail(failed);
  }

  void Flush()
  {
    std::lock_guard lock(mutex_);
    if (unsent_.orders().empty()) {
      unsent_.Swap(&batch_);
    } else {
      unsent_.MergeFrom(batch_);
      batch_.Clear();
    }
    WriteUnsent();
  }

  // Requires the mutex.
  void WriteUnsent()
  {
    if (isWriting_ || unsent_.orders().empty()) {
      return;
    }
    isWriting_ = true;
    outgoing_.Clear();
    outgoing_.Swap(&unsent_);
    StartWrite(&outgoing_);
  }

  void HandleOutcomes(v1::RelayedOutcomes& aOutcomes)
  {
    ++receivedMessages_;
    lastContactAt_ = clock_.Now();
    relayTimeAtContact_ = Millis(aOutcomes.clock_ms());
    for (v1::RelayedOutcome& outcome : *aOutcomes.mutable_outcomes()) {
      const auto it = pending_.find(outcome.number());
      if (it == pending_.end()) {
        continue; // It has timed out.
      }
      const Done done = std::move(it->second.done_);
      pending_.erase(it);
      done(FromOutcome(std::move(outcome)));
    }
  }

  // The members up to the mutex are used on the thread of `io_`, except in
  // callbacks of gRPC.
  asio::io_context& io_;
  const Clock& clock_;
  const std::shared_ptr<OpenStreams> streams_;
  const Millis openedAt_;
  std::unique_ptr<v1::OrderRelay::Stub> stub_;
  grpc::ClientContext context_;
  std::shared_ptr<Link> self_; // until the stream has ended
  std::unordered_map<uint64_t, Pending> pending_;
  v1::RelayedOrders batch_;
  v1::RelayedOutcomes incoming_; // of the read in flight
  uint64_t lastOrderNumber_ = 0;
  uint64_t receivedMessages_ = 0;
  std::optional<Millis> lastContactAt_;
  Millis relayTimeAtContact_; // the relay's clock in its latest message
  bool hasEnded_ = false;
  std::mutex mutex_; // guards the members below
  v1::RelayedOrders unsent_;
  v1::RelayedOrders outgoing_; // of the write in flight
  bool isWriting_ = false;
};

OrderRelays::OrderRelays(asio::io_context& aIo,
                         InstancePort& aDirect,
                         const Clock& aClock,
                         OrderRelaysOptions aOptions)
  : io_(aIo)
  , direct_(aDirect)
  , clock_(aClock)
  , options_(std::move(aOptions))
  , streams_(std::make_shared<OpenStreams>())
{
}

OrderRelays::~OrderRelays()
{
  UpdateLinks({});
  streams_->WaitForNone();
}

void OrderRelays::CloseIdle()
{
  direct_.CloseIdle();
}

size_t OrderRelays::UsableRelayCount() const
{
  return static_cast<size_t>(
    std::count_if(links_.begin(), links_.end(), [](const auto& aItem) {
      return aItem.second->IsUsable();
    }));
}

uint64_t OrderRelays::ReceivedMessageCount() const
{
  uint64_t count = 0;
  for (const auto& [replica, link] : links_) {
    count += link->ReceivedMessageCount();
  }
  return count;
}

std::shared_ptr<OrderRelays::Link> OrderRelays::LinkFor(
  const InstanceKey& aInstance) const
{
  std::vector<std::shared_ptr<Link>> usable;
  for (const auto& [replica, link] : links_) {
    if (link->IsUsable()) {
      usable.push_back(link);
    }
  }
  if (usable.empty()) {
    return nullptr;
  }
  return usable[std::hash<std::string>()(aInstance.id_) % usable.size()];
}

asio::awaitable<ListingReply> OrderRelays::Send(std::shared_ptr<Link> aLink,
                                                v1::RelayedOrder aOrder,
                                                std::optional<Millis> aSendBy,
                                                Millis aTimeout)
{
  auto initiate = [&](auto aHandler) {
    auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
    aLink->Send(
      std::move(aOrder), aSendBy, aTimeout, [handler](ListingReply aReply) {
        std::move (*handler)(std::move(aReply));
      });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(ListingReply)>(
    initiate, asio::use_awaitable);
}

template<class Order>
asio::awaitable<OrderResult> OrderRelays::SendOrder(
  Order aOrder,
  asio::awaitable<OrderResult> (InstancePort::*aMethod)(Order))
{
  const auto link = LinkFor(aOrder.target_.instance_);
  if (!link) {
    co_return co_await (direct_.*aMethod)(std::move(aOrder));
  }
  const ListingReply reply = co_await this->Send(
    link, ToRelayed(aOrder), aOrder.target_.sendBy_, kReplyTimeout);
  co_return reply.result_;
}

asio::awaitable<OrderResult> OrderRelays::Start(StartOrder aOrder)
{
  return SendOrder(std::move(aOrder), &InstancePort::Start);
}

asio::awaitable<OrderResult> OrderRelays::Stop(StopOrder aOrder)
{
  return SendOrder(std::move(aOrder), &InstancePort::Stop);
}

asio::awaitable<OrderResult> OrderRelays::Pace(PaceOrder aOrder)
{
  return SendOrder(std::move(aOrder), &InstancePort::Pace);
}

asio::awaitable<ListingReply> OrderRelays::Hold(HoldOrder aOrder)
{
  const auto link = LinkFor(aOrder.target_.instance_);
  if (!link) {
    co_return co_await direct_.Hold(std::move(aOrder));
  }
  const Millis timeout = aOrder.wait_ + kReplyTimeout;
  co_return co_await Send(
    link, ToRelayed(aOrder), aOrder.target_.sendBy_, timeout);
}

void OrderRelays::KeepConnected(
  std::function<std::set<std::string>()> aReplicas)
{
  asio::co_spawn(
    io_,
    [this, replicas = std::move(aReplicas)]() -> asio::awaitable<void> {
      for (;;) {
        UpdateLinks(replicas());
        asio::steady_timer timer(
          io_, std::chrono::milliseconds(kUpdateInterval.Count()));
        co_await timer.async_wait(asio::use_awaitable);
      }
    },
    asio::detached);
}

void OrderRelays::UpdateLinks(const std::set<std::string>& aReplicas)
{
  std::erase_if(links_, [&](const auto& aItem) {
    const auto& [replica, link] = aItem;
    link->FailTimedOut();
    const bool isLost = link->IsLost();
    if (aReplicas.contains(replica) && !isLost) {
      return false;
    }
    LogInfo(Event::kRelayClosed,
            { { "replica", replica }, { "lost", isLost ? "yes" : "no" } });
    link->Close();
    return true;
  });
  for (const std::string& replica : aReplicas) {
    const std::optional<Endpoint> endpoint = options_.resolver_(replica);
    if (links_.contains(replica) || !endpoint) {
      continue;
    }
    const auto link = std::make_shared<Link>(io_, clock_, streams_, *endpoint);
    links_.emplace(replica, link);
    link->Open();
    LogInfo(Event::kRelayOpened, { { "replica", replica } });
  }
}

} // namespace vanillahatch
