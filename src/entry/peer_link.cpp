#include "entry/peer_link.h"

#include "vanillahatch/shell/rpc.h"

namespace vanillahatch {

namespace {

constexpr Millis kShareTimeout = Seconds(1);

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

PeerLink::PeerLink(const NodeName& aSelf,
                   std::span<const EntrySettings> aEntries)
  : self_(aSelf)
{
  for (const EntrySettings& entry : aEntries) {
    if (entry.name_ != aSelf) {
      stubs_.push_back(v1::EntryPeerService::NewStub(MakeChannel(entry.rpc_)));
    }
  }
}

void PeerLink::Share(const UpstreamFact& aFact)
{
  for (const auto& stub : stubs_) {
    auto call = std::make_shared<ShareCall>();
    call->request_.set_entry(self_.Str());
    *call->request_.add_facts() = ToWire(aFact);
    SetDeadline(call->context_, kShareTimeout);
    stub->async()->Share(&call->context_,
                         &call->request_,
                         &call->reply_,
                         [call](const grpc::Status&) {});
  }
}

PeerService::PeerService(Sink aSink)
  : sink_(std::move(aSink))
{
}

grpc::ServerUnaryReactor* PeerService::Share(
  grpc::CallbackServerContext* aContext,
  const v1::FactBatch* aRequest,
  v1::FactAck* /*aReply*/)
{
  for (const v1::UpstreamFact& fact : aRequest->facts()) {
    sink_(FromWire(fact));
  }
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

} // namespace vanillahatch
