#include "scheduler/relay_messages.h"

namespace vanillahatch {

namespace {

v1::RelayedOrder MakeOrder(const OrderTarget& aTarget, v1::RelayedKind aKind)
{
  v1::RelayedOrder order;
  order.set_kind(aKind);
  *order.mutable_instance() = ToMessage(aTarget.instance_);
  order.set_address(aTarget.endpoint_.address_);
  order.set_port(aTarget.endpoint_.port_);
  order.set_fencing_token(aTarget.fencingToken_);
  return order;
}

template<class RunOrder>
v1::RelayedOrder MakeRunOrder(const RunOrder& aOrder, v1::RelayedKind aKind)
{
  v1::RelayedOrder order = MakeOrder(aOrder.target_, aKind);
  *order.mutable_run()->mutable_task() = aOrder.task_;
  order.mutable_run()->set_run(aOrder.run_);
  return order;
}

OrderTarget TargetOf(const v1::RelayedOrder& aOrder)
{
  return { .instance_ = ToKey(aOrder.instance()),
           .endpoint_ = { .address_ = aOrder.address(),
                          .port_ = static_cast<uint16_t>(aOrder.port()) },
           .fencingToken_ = aOrder.fencing_token(),
           .sendBy_ = SendByOf(aOrder) };
}

OrderStatus ToStatus(uint32_t aStatus)
{
  const auto last = static_cast<uint32_t>(OrderStatus::kUnknown);
  return aStatus <= last ? static_cast<OrderStatus>(aStatus)
                         : OrderStatus::kUnknown;
}

void AddListing(const InstanceListing& aListing, v1::RelayedListing& aOut)
{
  aOut.set_born_unix_ms(aListing.startedUnixMs_);
  for (const RunningTask& running : aListing.running_) {
    v1::ListedRun& item = *aOut.add_running();
    *item.mutable_task() = running.task_;
    item.set_run(running.run_);
    item.set_checkpoint(running.checkpoint_);
    item.set_percent(running.percent_);
    item.set_load(running.load_);
  }
  for (const EndedTask& ended : aListing.ended_) {
    v1::ListedEnd& item = *aOut.add_ended();
    item.set_number(ended.number_);
    *item.mutable_task() = ended.task_;
    item.set_run(ended.run_);
    item.set_outcome(ended.outcome_);
    item.set_reason(ended.reason_);
    item.set_checkpoint(ended.checkpoint_);
  }
}

// Moves the strings: the leader receives thousands of listed runs per second.
InstanceListing ToListing(v1::RelayedListing& aListing)
{
  InstanceListing listing{ .startedUnixMs_ = aListing.born_unix_ms() };
  listing.running_.reserve(static_cast<size_t>(aListing.running_size()));
  listing.ended_.reserve(static_cast<size_t>(aListing.ended_size()));
  for (v1::ListedRun& item : *aListing.mutable_running()) {
    listing.running_.push_back(
      { .task_ = std::move(*item.mutable_task()),
        .run_ = item.run(),
        .checkpoint_ = std::move(*item.mutable_checkpoint()),
        .percent_ = item.percent(),
        .load_ = item.load() });
  }
  for (v1::ListedEnd& item : *aListing.mutable_ended()) {
    listing.ended_.push_back(
      { .number_ = item.number(),
        .task_ = std::move(*item.mutable_task()),
        .run_ = item.run(),
        .outcome_ = item.outcome(),
        .reason_ = std::move(*item.mutable_reason()),
        .checkpoint_ = std::move(*item.mutable_checkpoint()) });
  }
  return listing;
}

} // namespace

v1::RelayedOrder ToRelayed(const StartOrder& aOrder)
{
  v1::RelayedOrder order = MakeRunOrder(aOrder, v1::RELAYED_START);
  order.mutable_run()->set_text(aOrder.text_);
  order.mutable_run()->set_checkpoint(aOrder.checkpoint_);
  order.mutable_run()->set_ticket(aOrder.ticket_);
  order.mutable_run()->set_deadline_ms(aOrder.deadline_.Count());
  return order;
}

v1::RelayedOrder ToRelayed(const StopOrder& aOrder)
{
  v1::RelayedOrder order = MakeRunOrder(aOrder, v1::RELAYED_STOP);
  order.mutable_run()->set_expires(aOrder.expires_);
  return order;
}

v1::RelayedOrder ToRelayed(const PaceOrder& aOrder)
{
  v1::RelayedOrder order = MakeRunOrder(aOrder, v1::RELAYED_PACE);
  order.mutable_run()->set_percent(aOrder.percent_);
  return order;
}

v1::RelayedOrder ToRelayed(const HoldOrder& aOrder)
{
  v1::RelayedOrder order = MakeOrder(aOrder.target_, v1::RELAYED_HOLD);
  v1::RelayedHold& hold = *order.mutable_hold();
  if (aOrder.deadline_) {
    hold.set_deadline_ms(aOrder.deadline_->Count());
  }
  hold.set_end_cursor(aOrder.endCursor_);
  hold.set_wait_ms(aOrder.wait_.Count());
  return order;
}

std::optional<Millis> SendByOf(const v1::RelayedOrder& aOrder)
{
  const bool neverExpires =
    aOrder.kind() == v1::RELAYED_STOP && !aOrder.run().expires();
  return neverExpires ? std::nullopt
                      : std::optional(Millis(aOrder.send_by_ms()));
}

StartOrder ToStart(const v1::RelayedOrder& aOrder)
{
  return { .target_ = TargetOf(aOrder),
           .task_ = aOrder.run().task(),
           .run_ = aOrder.run().run(),
           .text_ = aOrder.run().text(),
           .checkpoint_ = aOrder.run().checkpoint(),
           .ticket_ = aOrder.run().ticket(),
           .deadline_ = Millis(aOrder.run().deadline_ms()) };
}

StopOrder ToStop(const v1::RelayedOrder& aOrder)
{
  return { .target_ = TargetOf(aOrder),
           .task_ = aOrder.run().task(),
           .run_ = aOrder.run().run(),
           .expires_ = aOrder.run().expires() };
}

PaceOrder ToPace(const v1::RelayedOrder& aOrder)
{
  return { .target_ = TargetOf(aOrder),
           .task_ = aOrder.run().task(),
           .run_ = aOrder.run().run(),
           .percent_ = aOrder.run().percent() };
}

HoldOrder ToHold(const v1::RelayedOrder& aOrder)
{
  HoldOrder order{ .target_ = TargetOf(aOrder),
                   .endCursor_ = aOrder.hold().end_cursor(),
                   .wait_ = Millis(aOrder.hold().wait_ms()) };
  if (aOrder.hold().has_deadline_ms()) {
    order.deadline_ = Millis(aOrder.hold().deadline_ms());
  }
  return order;
}

v1::RelayedOutcome ToOutcome(uint64_t aNumber, const ListingReply& aReply)
{
  v1::RelayedOutcome outcome;
  outcome.set_number(aNumber);
  outcome.set_status(static_cast<uint32_t>(aReply.result_.status_));
  if (aReply.result_.clock_) {
    outcome.set_clock_ms(aReply.result_.clock_->Count());
  }
  AddListing(aReply.listing_, *outcome.mutable_listing());
  return outcome;
}

ListingReply FromOutcome(v1::RelayedOutcome aOutcome)
{
  ListingReply reply{ .listing_ = ToListing(*aOutcome.mutable_listing()) };
  reply.result_.status_ = ToStatus(aOutcome.status());
  if (aOutcome.has_clock_ms()) {
    reply.result_.clock_ = Millis(aOutcome.clock_ms());
  }
  return reply;
}

} // namespace vanillahatch
