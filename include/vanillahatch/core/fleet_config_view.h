// The fleet configuration of one entry. Its revision never goes back, also
// across a restart.
//
// An entry has no disk, so after a start it asks the control replicas and the
// other entries for their revisions before it reports ready: it is ready once a
// majority of the control replicas has answered and it has the highest revision
// that any of them reported. After `startTimeout_` the entry counts as cut off:
// it serves with the configuration it has and reports it as stale.
//
// A deterministic state machine without I/O.
#pragma once

#include "vanillahatch/core/fleet_config.h"

#include "control.pb.h"

#include <set>
#include <string>

namespace vanillahatch {

struct FleetConfigViewOptions
{
  size_t controls_ = 1; // control replicas in the deployment
  Millis startTimeout_ = Seconds(5);
  // An entry is cut off if no control replica answers for this time.
  Millis contactTimeout_ = Seconds(3);
};

class FleetConfigView
{
public:
  FleetConfigView(FleetConfigViewOptions aOptions, Millis aNow);

  // Processes a control replica's reply. Returns true if it raised the
  // revision.
  bool OnSyncReply(const std::string& aControl,
                   const v1::SyncReply& aReply,
                   Millis aNow);
  // Records a revision that another entry reported as its own.
  void OnPeerRevision(uint64_t aRevision);

  bool Ready(Millis aNow) const;
  // Whether a newer revision is known to exist, or the entry is cut off.
  bool Stale(Millis aNow) const;
  uint64_t Revision() const { return config_.Revision(); }
  uint64_t HighestKnownRevision() const { return highestKnownRevision_; }
  // Monotonic times at which the current revision was adopted and at which a
  // control replica last answered.
  Millis RevisionAdoptedAt() const { return revisionAdoptedAt_; }
  Millis LastContactAt() const { return lastContactAt_; }
  const v1::FleetState& State() const { return config_.State(); }

private:
  FleetConfigViewOptions options_;
  FleetConfig config_;
  uint64_t highestKnownRevision_ = 0;
  Millis startedAt_;
  Millis revisionAdoptedAt_;
  Millis lastContactAt_;
  std::set<std::string> answeredControls_; // names, since the start
};

} // namespace vanillahatch
