// The configuration as one entry holds it: never a lower revision than one
// seen, also across a restart.
//
// An entry has no disk, so after a start it asks the control replicas and the
// other entries for their revisions before it reports ready: it is ready once
// a majority of the control replicas has answered and it holds the highest
// revision that anyone named. If that takes longer than `startWait_`, the
// entry is cut off; it serves with what it holds and says so.
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
  Millis startWait_ = Seconds(5);
  // Without word from any control replica for this long an entry is cut off.
  Millis silence_ = Seconds(3);
};

class FleetConfigView
{
public:
  FleetConfigView(FleetConfigViewOptions aOptions, Millis aNow);

  // Takes in a control replica's answer. True if the revision held has grown.
  bool OnSyncReply(const std::string& aControl,
                   const v1::SyncReply& aReply,
                   Millis aNow);
  // A revision that another entry acts on.
  void OnPeerRevision(uint64_t aRevision);

  bool Ready(Millis aNow) const;
  // Whether a newer revision is known to exist, or no control replica answers.
  bool Stale(Millis aNow) const;
  uint64_t Revision() const { return config_.Revision(); }
  uint64_t HighestSeen() const { return highestSeen_; }
  // When the held revision was taken over, and when a control replica was
  // last heard from; monotonic.
  Millis HeldSince() const { return heldSince_; }
  Millis LastHeard() const { return lastHeard_; }
  const v1::FleetState& State() const { return config_.State(); }

private:
  FleetConfigViewOptions options_;
  FleetConfig config_;
  uint64_t highestSeen_ = 0;
  Millis startedAt_;
  Millis heldSince_;
  Millis lastHeard_;
  std::set<std::string> answered_; // control replicas heard since the start
};

} // namespace vanillahatch
