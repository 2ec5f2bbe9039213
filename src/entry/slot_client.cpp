#include "entry/slot_client.h"

#include "vanillahatch/shell/rpc.h"

#include <mutex>

namespace vanillahatch {

namespace {

constexpr Millis kCallTimeout = Millis(300);
// Limit of the messages that wait for an unresponsive peer. The oldest ones are
// dropped, since later ones make up for them.
constexpr int kMaxQueuedMessages = 256;

void PoolToWire(const SlotPool& aPool, v1::SlotPool& aWire)
{
  aWire.set_service(aPool.service_.Str());
  aWire.set_data_centre(aPool.dataCentre_.Str());
}

SlotPool PoolFromWire(const v1::SlotPool& aWire)
{
  return { .service_ = ServiceName(aWire.service()),
           .dataCentre_ = DataCentreName(aWire.data_centre()) };
}

template<class Repeated>
std::vector<InstanceSlots> SlotsFromWire(const Repeated& aWire)
{
  std::vector<InstanceSlots> slots;
  for (const v1::InstanceSlots& wire : aWire) {
    slots.push_back(
      { .instance_ = InstanceName(wire.instance()), .slots_ = wire.slots() });
  }
  return slots;
}

SlotReport ReportFromWire(const v1::SlotReport& aWire)
{
  SlotReport report{ .pool_ = PoolFromWire(aWire.pool()),
                     .sequence_ = aWire.sequence(),
                     .term_ = aWire.term(),
                     .acknowledged_ = aWire.acknowledged(),
                     .waiting_ = aWire.waiting(),
                     .urgent_ = aWire.urgent(),
                     .oldestAge_ = Millis(aWire.oldest_age_ms()),
                     .idle_ = aWire.idle(),
                     .held_ = SlotsFromWire(aWire.held()) };
  for (const std::string& avoided : aWire.avoided()) {
    report.avoided_.emplace_back(avoided);
  }
  return report;
}

SlotGrant GrantFromWire(const v1::SlotGrant& aWire)
{
  return { .pool_ = PoolFromWire(aWire.pool()),
           .term_ = aWire.term(),
           .sequence_ = aWire.sequence(),
           .added_ = SlotsFromWire(aWire.added()),
           .keepIdle_ = aWire.keep_idle(),
           .maxHeld_ = aWire.max_held(),
           .othersWait_ = aWire.others_wait(),
           .othersOldestAge_ = Millis(aWire.others_oldest_age_ms()) };
}

} // namespace

v1::SlotBatch::Item ToWire(const SlotReport& aReport)
{
  v1::SlotBatch::Item item;
  v1::SlotReport& wire = *item.mutable_report();
  PoolToWire(aReport.pool_, *wire.mutable_pool());
  wire.set_sequence(aReport.sequence_);
  wire.set_term(aReport.term_);
  wire.set_acknowledged(aReport.acknowledged_);
  wire.set_waiting(aReport.waiting_);
  wire.set_urgent(aReport.urgent_);
  wire.set_oldest_age_ms(aReport.oldestAge_.Count());
  wire.set_idle(aReport.idle_);
  for (const InstanceSlots& held : aReport.held_) {
    v1::InstanceSlots& wireSlots = *wire.add_held();
    wireSlots.set_instance(held.instance_.Str());
    wireSlots.set_slots(held.slots_);
  }
  for (const InstanceName& avoided : aReport.avoided_) {
    wire.add_avoided(avoided.Str());
  }
  return item;
}

v1::SlotBatch::Item ToWire(const SlotGrant& aGrant)
{
  v1::SlotBatch::Item item;
  v1::SlotGrant& wire = *item.mutable_grant();
  PoolToWire(aGrant.pool_, *wire.mutable_pool());
  wire.set_term(aGrant.term_);
  wire.set_sequence(aGrant.sequence_);
  for (const InstanceSlots& added : aGrant.added_) {
    v1::InstanceSlots& wireSlots = *wire.add_added();
    wireSlots.set_instance(added.instance_.Str());
    wireSlots.set_slots(added.slots_);
  }
  wire.set_keep_idle(aGrant.keepIdle_);
  wire.set_max_held(aGrant.maxHeld_);
  wire.set_others_wait(aGrant.othersWait_);
  wire.set_others_oldest_age_ms(aGrant.othersOldestAge_.Count());
  return item;
}

std::vector<PeerMessage> FromWire(const v1::SlotBatch& aBatch)
{
  std::vector<PeerMessage> messages;
  for (const v1::SlotBatch::Item& item : aBatch.items()) {
    if (item.has_report()) {
      messages.emplace_back(ReportFromWire(item.report()));
    } else if (item.has_grant()) {
      messages.emplace_back(GrantFromWire(item.grant()));
    }
  }
  if (messages.empty()) {
    messages.emplace_back(Heartbeat{});
  }
  return messages;
}

// The calls to one peer. Calls in flight keep it alive.
class SlotClient::Peer : public std::enable_shared_from_this<Peer>
{
public:
  Peer(const NodeName& aSelf,
       const EntrySettings& aEntry,
       const Clock& aClock,
       RoundTripCallback aOnRoundTrip)
    : self_(aSelf)
    , dataCentre_(aEntry.dataCentre_)
    , clock_(aClock)
    , onRoundTrip_(std::move(aOnRoundTrip))
    , stub_(v1::EntryPeerService::NewStub(MakeChannel(aEntry.rpc_)))
  {
  }

  void Enqueue(const PeerMessage& aMessage)
  {
    std::unique_lock lock(mutex_);
    if (const auto* report = std::get_if<SlotReport>(&aMessage)) {
      *nextBatch_.add_items() = ToWire(*report);
    } else if (const auto* grant = std::get_if<SlotGrant>(&aMessage)) {
      *nextBatch_.add_items() = ToWire(*grant);
    }
    if (nextBatch_.items_size() > kMaxQueuedMessages) {
      nextBatch_.mutable_items()->DeleteSubrange(
        0, nextBatch_.items_size() - kMaxQueuedMessages);
    }
    isSendRequested_ = true;
    SendNext(lock);
  }

private:
  struct Call
  {
    grpc::ClientContext context_;
    v1::SlotBatch request_;
    v1::SlotAck reply_;
    Millis sentAt_;
  };

  void SendNext(std::unique_lock<std::mutex>& aLock)
  {
    if (isCallInFlight_ || !isSendRequested_) {
      return;
    }
    isCallInFlight_ = true;
    isSendRequested_ = false;
    auto call = std::make_shared<Call>();
    call->request_.Swap(&nextBatch_);
    aLock.unlock();
    call->request_.set_entry(self_.Str());
    call->sentAt_ = clock_.Now();
    SetDeadline(call->context_, kCallTimeout);
    stub_->async()->Slots(
      &call->context_,
      &call->request_,
      &call->reply_,
      [self = shared_from_this(), call](const grpc::Status& aStatus) {
        self->OnCallEnd(aStatus.ok(), call->sentAt_);
      });
  }

  void OnCallEnd(bool aSucceeded, Millis aSentAt)
  {
    if (aSucceeded) {
      onRoundTrip_(dataCentre_, clock_.Now() - aSentAt);
    }
    std::unique_lock lock(mutex_);
    isCallInFlight_ = false;
    SendNext(lock);
  }

  NodeName self_;
  DataCentreName dataCentre_;
  const Clock& clock_;
  RoundTripCallback onRoundTrip_;
  std::unique_ptr<v1::EntryPeerService::Stub> stub_;
  std::mutex mutex_;
  v1::SlotBatch nextBatch_;
  bool isSendRequested_ = false;
  bool isCallInFlight_ = false;
};

SlotClient::SlotClient(const NodeName& aSelf,
                       std::span<const EntrySettings> aEntries,
                       const Clock& aClock,
                       const RoundTripCallback& aOnRoundTrip)
{
  for (const EntrySettings& entry : aEntries) {
    if (entry.name_ != aSelf) {
      peers_[entry.name_] =
        std::make_shared<Peer>(aSelf, entry, aClock, aOnRoundTrip);
    }
  }
}

void SlotClient::Send(const NodeName& aTo, const PeerMessage& aMessage)
{
  const auto it = peers_.find(aTo);
  if (it != peers_.end()) {
    it->second->Enqueue(aMessage);
  }
}

} // namespace vanillahatch
