#include "vanillahatch/core/fleet_config_view.h"

#include <algorithm>

namespace vanillahatch {

FleetConfigView::FleetConfigView(FleetConfigViewOptions aOptions, Millis aNow)
  : options_(aOptions)
  , startedAt_(aNow)
  , revisionAdoptedAt_(aNow)
  , lastContactAt_(aNow)
{
}

bool FleetConfigView::OnSyncReply(const std::string& aControl,
                                  const v1::SyncReply& aReply,
                                  Millis aNow)
{
  answeredControls_.insert(aControl);
  lastContactAt_ = aNow;
  highestKnownRevision_ = std::max(highestKnownRevision_, aReply.revision());
  const uint64_t before = config_.Revision();
  if (aReply.has_full()) {
    config_.AdoptState(aReply.full());
  }
  // The first delta follows the revision that the request named. `Adopt` skips
  // deltas that are already applied, as those of a delayed reply.
  uint64_t revision =
    aReply.revision() - static_cast<uint64_t>(aReply.deltas_size());
  for (const v1::Change& change : aReply.deltas()) {
    config_.Adopt(change, ++revision);
  }
  if (config_.Revision() == before) {
    return false;
  }
  revisionAdoptedAt_ = aNow;
  return true;
}

void FleetConfigView::OnPeerRevision(uint64_t aRevision)
{
  highestKnownRevision_ = std::max(highestKnownRevision_, aRevision);
}

bool FleetConfigView::Ready(Millis aNow) const
{
  const bool isMajority = answeredControls_.size() > options_.controls_ / 2;
  if (isMajority && config_.Revision() >= highestKnownRevision_) {
    return true;
  }
  return aNow - startedAt_ >= options_.startTimeout_;
}

bool FleetConfigView::Stale(Millis aNow) const
{
  return config_.Revision() < highestKnownRevision_ ||
         aNow - lastContactAt_ >= options_.contactTimeout_;
}

} // namespace vanillahatch
