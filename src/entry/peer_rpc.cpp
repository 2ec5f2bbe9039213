#include "entry/peer_rpc.h"

#include "vanillahatch/shell/rpc.h"

#include <algorithm>

namespace vanillahatch {

namespace {

constexpr Millis kShareTimeout = Seconds(1);
constexpr Millis kPruneInterval = Seconds(60);

struct ShareCall
{
  grpc::ClientContext context_;
  v1::FactBatch request_;
  v1::FactAck reply_;
};

} // namespace

v1::UpstreamFact ToWire(const UpstreamFact& aFact)
{
  v1::UpstreamFact wire;
  wire.set_instance(aFact.instance_.Str());
  wire.set_service(aFact.service_.Str());
  wire.set_address(aFact.endpoint_.address_);
  wire.set_port(aFact.endpoint_.port_);
  wire.set_slots(aFact.slots_);
  wire.set_connections(aFact.connections_);
  wire.set_data_centre(aFact.dataCentre_.Str());
  wire.set_rack(aFact.rack_.Str());
  wire.set_worker(aFact.worker_.Str());
  wire.set_generation(aFact.generation_);
  wire.set_sequence(aFact.sequence_);
  wire.set_departed(aFact.departed_);
  wire.set_lease_ms(aFact.lease_.Count());
  return wire;
}

UpstreamFact FromWire(const v1::UpstreamFact& aFact)
{
  return UpstreamFact{ .instance_ = InstanceName(aFact.instance()),
                       .service_ = ServiceName(aFact.service()),
                       .endpoint_ = { .address_ = aFact.address(),
                                      .port_ =
                                        static_cast<uint16_t>(aFact.port()) },
                       .slots_ = aFact.slots(),
                       .connections_ = aFact.connections(),
                       .dataCentre_ = DataCentreName(aFact.data_centre()),
                       .rack_ = RackName(aFact.rack()),
                       .worker_ = WorkerName(aFact.worker()),
                       .generation_ = aFact.generation(),
                       .sequence_ = aFact.sequence(),
                       .departed_ = aFact.departed(),
                       .lease_ = Millis(aFact.lease_ms()) };
}

void SharedFactExchange::Receive(const UpstreamFact& aFact, Millis aNow)
{
  std::lock_guard lock(mutex_);
  exchange_.Receive(aFact, aNow);
}

std::optional<v1::FactBatch> SharedFactExchange::TakeBatch(Millis aNow)
{
  std::lock_guard lock(mutex_);
  if (aNow >= nextPruneAt_) {
    exchange_.Prune(aNow);
    nextPruneAt_ = aNow + kPruneInterval;
  }
  const std::optional<FactBatch> due = exchange_.TakeBatch(aNow);
  if (!due) {
    return std::nullopt;
  }
  v1::FactBatch wire;
  for (const UpstreamFact& fact : due->full_) {
    *wire.add_facts() = ToWire(fact);
  }
  for (const Renewal& renewal : due->renewals_) {
    wire.add_renewed(static_cast<uint64_t>(renewal.id_));
    wire.add_renewed_sequence(renewal.sequence_);
  }
  wire.set_oldest_age_ms(due->oldestAge_.Count());
  return wire;
}

std::vector<UpstreamFact> SharedFactExchange::Apply(const v1::FactBatch& aBatch,
                                                    Millis aNow,
                                                    v1::FactAck& aAck)
{
  FactBatch batch;
  for (const v1::UpstreamFact& fact : aBatch.facts()) {
    batch.full_.push_back(FromWire(fact));
  }
  const int renewals =
    std::min(aBatch.renewed_size(), aBatch.renewed_sequence_size());
  for (int i = 0; i < renewals; ++i) {
    batch.renewals_.push_back(
      Renewal{ .id_ = RenewalId(aBatch.renewed(i)),
               .sequence_ = aBatch.renewed_sequence(i) });
  }
  batch.oldestAge_ = Millis(aBatch.oldest_age_ms());
  std::vector<RenewalId> unknown;
  std::lock_guard lock(mutex_);
  std::vector<UpstreamFact> facts = exchange_.Apply(batch, aNow, unknown);
  for (const RenewalId id : unknown) {
    aAck.add_unknown(static_cast<uint64_t>(id));
  }
  return facts;
}

void SharedFactExchange::QueueFullFacts(const v1::FactAck& aAck, Millis aNow)
{
  std::vector<RenewalId> ids;
  for (const uint64_t id : aAck.unknown()) {
    ids.push_back(RenewalId(id));
  }
  std::lock_guard lock(mutex_);
  exchange_.QueueFullFacts(ids, aNow);
}

FactSender::FactSender(const NodeName& aSelf,
                       std::span<const EntrySettings> aEntries,
                       SharedFactExchange& aExchange,
                       const Clock& aClock)
  : self_(aSelf)
  , exchange_(aExchange)
  , clock_(aClock)
{
  for (const EntrySettings& entry : aEntries) {
    if (entry.name_ != aSelf) {
      stubs_.push_back(v1::EntryPeerService::NewStub(MakeChannel(entry.rpc_)));
    }
  }
}

void FactSender::Flush()
{
  std::optional<v1::FactBatch> batch = exchange_.TakeBatch(clock_.Now());
  if (!batch) {
    return;
  }
  batch->set_entry(self_.Str());
  for (const auto& stub : stubs_) {
    auto call = std::make_shared<ShareCall>();
    call->request_ = *batch;
    SetDeadline(call->context_, kShareTimeout);
    stub->async()->Share(&call->context_,
                         &call->request_,
                         &call->reply_,
                         [this, call](const grpc::Status& aStatus) {
                           if (aStatus.ok()) {
                             exchange_.QueueFullFacts(call->reply_,
                                                      clock_.Now());
                           }
                         });
  }
}

PeerService::PeerService(SharedFactExchange& aExchange,
                         const Clock& aClock,
                         FactCallback aOnFact,
                         SlotBatchCallback aOnSlotBatch)
  : exchange_(aExchange)
  , clock_(aClock)
  , onFact_(std::move(aOnFact))
  , onSlotBatch_(std::move(aOnSlotBatch))
{
}

grpc::ServerUnaryReactor* PeerService::Slots(
  grpc::CallbackServerContext* aContext,
  const v1::SlotBatch* aRequest,
  v1::SlotAck* /*aReply*/)
{
  onSlotBatch_(*aRequest);
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

grpc::ServerUnaryReactor* PeerService::Share(
  grpc::CallbackServerContext* aContext,
  const v1::FactBatch* aRequest,
  v1::FactAck* aReply)
{
  for (const UpstreamFact& fact :
       exchange_.Apply(*aRequest, clock_.Now(), *aReply)) {
    onFact_(fact);
  }
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

} // namespace vanillahatch
