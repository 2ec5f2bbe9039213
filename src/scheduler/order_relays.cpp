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

// A relay waits a second for an instance; the rest is the way there and back.
constexpr Millis kAnswerWithin = Millis(1400);
// A relay sends something at least every 200 ms.
constexpr Millis kUsableFor = Millis(600);
// A stream that has been silent for this long is opened anew.
constexpr Millis kSilentFor = Seconds(3);
constexpr Millis kMaintainEvery = Millis(200);

} // namespace

// Streams that gRPC still calls back for; it must not after the io_context has
// gone.
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

// One stream to one relay. What was sent on it and not answered when it ends,
// or in time, is answered with kUnknown.
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

  // Connected, and heard a moment ago.
  bool IsUsable() const
  {
    return !hasEnded_ && heardAt_ && clock_.Now() - *heardAt_ <= kUsableFor;
  }
  bool IsLost() const
  {
    const Millis since = heardAt_.value_or(openedAt_);
    return hasEnded_ || clock_.Now() - since > kSilentFor;
  }

  void Send(v1::RelayedOrder aOrder, Millis aWithin, Done aDone)
  {
    aOrder.set_number(++lastNumber_);
    // The relay's clock is read only from its messages, so this is a lower
    // bound that is off by the way of the latest one.
    const Millis relayNow = relayClock_ + (clock_.Now() - *heardAt_);
    aOrder.set_send_by_ms((relayNow + kMaxOrderDelay).Count());
    pending_.emplace(
      lastNumber_,
      Pending{ .dueAt_ = clock_.Now() + aWithin, .done_ = std::move(aDone) });
    *gathered_.add_orders() = std::move(aOrder);
    if (gathered_.orders_size() == 1) {
      // What is decided in the same event goes together.
      asio::post(io_, [self = shared_from_this()] { self->Flush(); });
    }
  }

  void FailOverdue()
  {
    const Millis now = clock_.Now();
    std::vector<Done> failed;
    std::erase_if(pending_, [&](auto& aItem) {
      const bool isDue = aItem.second.dueAt_ <= now;
      if (isDue) {
        failed.push_back(std::move(aItem.second.done_));
      }
      return isDue;
    });
    Fail(failed);
  }

  void OnReadDone(bool aHolds) override
  {
    if (!aHolds) {
      return; // `OnDone` follows.
    }
    asio::post(io_, [self = shared_from_this(), outcomes = incoming_] {
      self->Take(outcomes);
    });
    StartRead(&incoming_);
  }

  void OnWriteDone(bool aHolds) override
  {
    std::lock_guard lock(mutex_);
    isWriting_ = false;
    if (aHolds) {
      WriteNext();
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
    Millis dueAt_;
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
    waiting_.MergeFrom(gathered_);
    gathered_.Clear();
    WriteNext();
  }

  // With the mutex held.
  void WriteNext()
  {
    if (isWriting_ || waiting_.orders().empty()) {
      return;
    }
    isWriting_ = true;
    outgoing_.Clear();
    outgoing_.Swap(&waiting_);
    StartWrite(&outgoing_);
  }

  void Take(const v1::RelayedOutcomes& aOutcomes)
  {
    heardAt_ = clock_.Now();
    relayClock_ = Millis(aOutcomes.clock_ms());
    for (const v1::RelayedOutcome& outcome : aOutcomes.outcomes()) {
      const auto it = pending_.find(outcome.number());
      if (it == pending_.end()) {
        continue; // Given up already.
      }
      const Done done = std::move(it->second.done_);
      pending_.erase(it);
      done(FromOutcome(outcome));
    }
  }

  // On the thread of `io_`, but where gRPC calls.
  asio::io_context& io_;
  const Clock& clock_;
  const std::shared_ptr<OpenStreams> streams_;
  const Millis openedAt_;
  std::unique_ptr<v1::OrderRelay::Stub> stub_;
  grpc::ClientContext context_;
  std::shared_ptr<Link> self_; // until the stream has ended
  std::unordered_map<uint64_t, Pending> pending_;
  v1::RelayedOrders gathered_;
  v1::RelayedOutcomes incoming_; // of the read under way
  uint64_t lastNumber_ = 0;
  std::optional<Millis> heardAt_;
  Millis relayClock_; // when it was heard
  bool hasEnded_ = false;
  std::mutex mutex_; // guards what follows
  v1::RelayedOrders waiting_;
  v1::RelayedOrders outgoing_; // of the write under way
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
  Maintain({});
  streams_->WaitForNone();
}

void OrderRelays::CloseIdle()
{
  direct_.CloseIdle();
}

size_t OrderRelays::Usable() const
{
  return static_cast<size_t>(
    std::count_if(links_.begin(), links_.end(), [](const auto& aItem) {
      return aItem.second->IsUsable();
    }));
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
                                                Millis aWithin)
{
  auto initiate = [&](auto aHandler) {
    auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
    aLink->Send(std::move(aOrder), aWithin, [handler](ListingReply aReply) {
      std::move (*handler)(std::move(aReply));
    });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(ListingReply)>(
    initiate, asio::use_awaitable);
}

template<class Order>
asio::awaitable<OrderResult> OrderRelays::Give(
  Order aOrder,
  asio::awaitable<OrderResult> (InstancePort::*aDirectly)(Order))
{
  const auto link = LinkFor(aOrder.target_.instance_);
  if (!link) {
    co_return co_await (direct_.*aDirectly)(std::move(aOrder));
  }
  const ListingReply reply =
    co_await this->Send(link, ToRelayed(aOrder), kAnswerWithin);
  co_return reply.result_;
}

asio::awaitable<OrderResult> OrderRelays::Start(StartOrder aOrder)
{
  return Give(std::move(aOrder), &InstancePort::Start);
}

asio::awaitable<OrderResult> OrderRelays::Stop(StopOrder aOrder)
{
  return Give(std::move(aOrder), &InstancePort::Stop);
}

asio::awaitable<OrderResult> OrderRelays::Pace(PaceOrder aOrder)
{
  return Give(std::move(aOrder), &InstancePort::Pace);
}

asio::awaitable<ListingReply> OrderRelays::Hold(HoldOrder aOrder)
{
  const auto link = LinkFor(aOrder.target_.instance_);
  if (!link) {
    co_return co_await direct_.Hold(std::move(aOrder));
  }
  const Millis within = aOrder.wait_ + kAnswerWithin;
  co_return co_await Send(link, ToRelayed(aOrder), within);
}

void OrderRelays::KeepConnected(std::function<std::set<std::string>()> aWanted)
{
  asio::co_spawn(
    io_,
    [this, wanted = std::move(aWanted)]() -> asio::awaitable<void> {
      for (;;) {
        Maintain(wanted());
        asio::steady_timer timer(
          io_, std::chrono::milliseconds(kMaintainEvery.Count()));
        co_await timer.async_wait(asio::use_awaitable);
      }
    },
    asio::detached);
}

void OrderRelays::Maintain(const std::set<std::string>& aWanted)
{
  std::erase_if(links_, [&](const auto& aItem) {
    const auto& [replica, link] = aItem;
    link->FailOverdue();
    const bool isLost = link->IsLost();
    if (aWanted.contains(replica) && !isLost) {
      return false;
    }
    LogInfo(Event::kRelayClosed,
            { { "replica", replica }, { "lost", isLost ? "yes" : "no" } });
    link->Close();
    return true;
  });
  for (const std::string& replica : aWanted) {
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
