#include "vanillahatch/core/fleet_config_view.h"

#include <algorithm>

namespace vanillahatch {

FleetConfigView::FleetConfigView(FleetConfigViewOptions aOptions, Millis aNow)
  : options_(aOptions)
  , startedAt_(aNow)
  , heldSince_(aNow)
  , lastHeard_(aNow)
{
}

bool FleetConfigView::OnSyncReply(const std::string& aControl,
                                  const v1::SyncReply& aReply,
                                  Millis aNow)
{
  answered_.insert(aControl);
  lastHeard_ = aNow;
  highestSeen_ = std::max(highestSeen_, aReply.revision());
  const uint64_t before = config_.Revision();
  if (aReply.has_full()) {
    config_.AdoptState(aReply.full());
  }
  // The first delta is the one after the revision that was asked from; those
  // already held, from an answer that came late, are skipped.
  uint64_t revision =
    aReply.revision() - static_cast<uint64_t>(aReply.deltas_size());
  for (const v1::Change& change : aReply.deltas()) {
    config_.Adopt(change, ++revision);
  }
  if (config_.Revision() == before) {
    return false;
  }
  heldSince_ = aNow;
  return true;
}

void FleetConfigView::OnPeerRevision(uint64_t aRevision)
{
  highestSeen_ = std::max(highestSeen_, aRevision);
}

bool FleetConfigView::Ready(Millis aNow) const
{
  const bool isMajority = answered_.size() > options_.controls_ / 2;
  if (isMajority && config_.Revision() >= highestSeen_) {
    return true;
  }
  return aNow - startedAt_ >= options_.startWait_;
}

bool FleetConfigView::Stale(Millis aNow) const
{
  return config_.Revision() < highestSeen_ ||
         aNow - lastHeard_ >= options_.silence_;
}

} // namespace vanillahatch
