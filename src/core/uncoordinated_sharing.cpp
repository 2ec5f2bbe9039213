#include "vanillahatch/core/slot_sharing.h"

#include <algorithm>

namespace vanillahatch {

namespace {

class UncoordinatedSharing : public SlotSharing
{
public:
  UncoordinatedSharing(SlotTable& aTable, size_t aEntries)
    : table_(aTable)
    , entries_(aEntries)
  {
  }

  void PutUpstream(const UpstreamFact& aFact, Millis /*aNow*/) override
  {
    // A single entry knows the use of all slots. Several entries can only limit
    // themselves by connections; excess requests wait at the upstream.
    const uint32_t allowance =
      entries_ <= 1 ? aFact.slots_
                    : ConnectionShare(aFact.connections_, entries_);
    table_.SetAllowance(aFact.instance_, allowance);
    raisedServices_.push_back(aFact.service_);
  }
  void RemoveUpstream(const InstanceName& /*aInstance*/) override {}
  void SetEjected(const InstanceName& /*aInstance*/, bool /*aEjected*/) override
  {
  }
  void SetDemand(const ServiceName& /*aService*/,
                 const SlotDemand& /*aDemand*/,
                 Millis /*aNow*/) override
  {
  }
  void OnAttemptStarted(const InstanceName& /*aInstance*/) override {}
  void OnAttemptEnded(const InstanceName& /*aInstance*/,
                      Millis /*aNow*/) override
  {
  }
  void HandleMessage(const NodeName& /*aFrom*/,
                     const PeerMessage& /*aMessage*/,
                     Millis /*aNow*/) override
  {
  }
  std::vector<ServiceName> TakeRaisedServices() override
  {
    return std::exchange(raisedServices_, {});
  }
  std::vector<OutgoingMessage> Flush(Millis /*aNow*/) override { return {}; }
  Millis NextWake() const override { return Millis::Max(); }

private:
  SlotTable& table_;
  size_t entries_;
  std::vector<ServiceName> raisedServices_;
};

} // namespace

uint32_t ConnectionShare(uint32_t aConnections, size_t aEntries)
{
  const auto entries = static_cast<uint32_t>(std::max<size_t>(aEntries, 1));
  return std::max(aConnections / entries, 1U);
}

std::unique_ptr<SlotSharing> MakeUncoordinatedSharing(SlotTable& aTable,
                                                      size_t aEntries)
{
  return std::make_unique<UncoordinatedSharing>(aTable, aEntries);
}

} // namespace vanillahatch
