#include "entry/slot_link.h"

#include "vanillahatch/shell/rpc.h"

#include <mutex>

namespace vanillahatch {

namespace {

constexpr Millis kCallTimeout = Millis(300);
// Messages that wait for a peer which does not answer; older ones are void.
constexpr int kMostWaiting = 256;

void SetPool(const SlotPool& aPool, v1::SlotPool& aWire)
{
  aWire.set_service(aPool.service_.Str());
  aWire.set_data_centre(aPool.dataCentre_.Str());
}

SlotPool PoolOf(const v1::SlotPool& aWire)
{
  return { .service_ = ServiceName(aWire.service()),
           .dataCentre_ = DataCentreName(aWire.data_centre()) };
}

template<class Repeated>
std::vector<InstanceSlots> SlotsOf(const Repeated& aWire)
{
  std::vector<InstanceSlots> slots;
  for (const v1::InstanceSlots& one : aWire) {
    slots.push_back(
      { .instance_ = InstanceName(one.instance()), .slots_ = one.slots() });
  }
  return slots;
}

SlotReport ReportOf(const v1::SlotReport& aWire)
{
  SlotReport report{ .pool_ = PoolOf(aWire.pool()),
                     .sequence_ = aWire.sequence(),
                     .term_ = aWire.term(),
                     .acknowledged_ = aWire.acknowledged(),
                     .waiting_ = aWire.waiting(),
                     .urgent_ = aWire.urgent(),
                     .oldestAge_ = Millis(aWire.oldest_age_ms()),
                     .idle_ = aWire.idle(),
                     .held_ = SlotsOf(aWire.held()) };
  for (const std::string& avoided : aWire.avoided()) {
    report.avoided_.emplace_back(avoided);
  }
  return report;
}

SlotGrant GrantOf(const v1::SlotGrant& aWire)
{
  return { .pool_ = PoolOf(aWire.pool()),
           .term_ = aWire.term(),
           .sequence_ = aWire.sequence(),
           .added_ = SlotsOf(aWire.added()),
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
  SetPool(aReport.pool_, *wire.mutable_pool());
  wire.set_sequence(aReport.sequence_);
  wire.set_term(aReport.term_);
  wire.set_acknowledged(aReport.acknowledged_);
  wire.set_waiting(aReport.waiting_);
  wire.set_urgent(aReport.urgent_);
  wire.set_oldest_age_ms(aReport.oldestAge_.Count());
  wire.set_idle(aReport.idle_);
  for (const InstanceSlots& held : aReport.held_) {
    v1::InstanceSlots& one = *wire.add_held();
    one.set_instance(held.instance_.Str());
    one.set_slots(held.slots_);
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
  SetPool(aGrant.pool_, *wire.mutable_pool());
  wire.set_term(aGrant.term_);
  wire.set_sequence(aGrant.sequence_);
  for (const InstanceSlots& added : aGrant.added_) {
    v1::InstanceSlots& one = *wire.add_added();
    one.set_instance(added.instance_.Str());
    one.set_slots(added.slots_);
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
      messages.emplace_back(ReportOf(item.report()));
    } else if (item.has_grant()) {
      messages.emplace_back(GrantOf(item.grant()));
    }
  }
  if (messages.empty()) {
    messages.emplace_back(Heartbeat{});
  }
  return messages;
}

// The calls to one peer. Calls under way keep it alive.
class SlotLink::Peer : public std::enable_shared_from_this<Peer>
{
public:
  Peer(const NodeName& aSelf,
       const EntrySettings& aEntry,
       const Clock& aClock,
       Measured aMeasured)
    : self_(aSelf)
    , dataCentre_(aEntry.dataCentre_)
    , clock_(aClock)
    , measured_(std::move(aMeasured))
    , stub_(v1::EntryPeerService::NewStub(MakeChannel(aEntry.rpc_)))
  {
  }

  void Add(const PeerMessage& aMessage)
  {
    std::unique_lock lock(mutex_);
    if (const auto* report = std::get_if<SlotReport>(&aMessage)) {
      *next_.add_items() = ToWire(*report);
    } else if (const auto* grant = std::get_if<SlotGrant>(&aMessage)) {
      *next_.add_items() = ToWire(*grant);
    }
    if (next_.items_size() > kMostWaiting) {
      next_.mutable_items()->DeleteSubrange(0,
                                            next_.items_size() - kMostWaiting);
    }
    wanted_ = true;
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
    if (calling_ || !wanted_) {
      return;
    }
    calling_ = true;
    wanted_ = false;
    auto call = std::make_shared<Call>();
    call->request_.Swap(&next_);
    aLock.unlock();
    call->request_.set_entry(self_.Str());
    call->sentAt_ = clock_.Now();
    SetDeadline(call->context_, kCallTimeout);
    stub_->async()->Slots(
      &call->context_,
      &call->request_,
      &call->reply_,
      [self = shared_from_this(), call](const grpc::Status& aStatus) {
        self->Ended(aStatus.ok(), call->sentAt_);
      });
  }

  void Ended(bool aWhole, Millis aSentAt)
  {
    if (aWhole) {
      measured_(dataCentre_, clock_.Now() - aSentAt);
    }
    std::unique_lock lock(mutex_);
    calling_ = false;
    SendNext(lock);
  }

  NodeName self_;
  DataCentreName dataCentre_;
  const Clock& clock_;
  Measured measured_;
  std::unique_ptr<v1::EntryPeerService::Stub> stub_;
  std::mutex mutex_;
  v1::SlotBatch next_;
  bool wanted_ = false;
  bool calling_ = false;
};

SlotLink::SlotLink(const NodeName& aSelf,
                   std::span<const EntrySettings> aEntries,
                   const Clock& aClock,
                   const Measured& aMeasured)
{
  for (const EntrySettings& entry : aEntries) {
    if (entry.name_ != aSelf) {
      peers_[entry.name_] =
        std::make_shared<Peer>(aSelf, entry, aClock, aMeasured);
    }
  }
}

void SlotLink::Send(const NodeName& aTo, const PeerMessage& aMessage)
{
  const auto it = peers_.find(aTo);
  if (it != peers_.end()) {
    it->second->Add(aMessage);
  }
}

} // namespace vanillahatch
