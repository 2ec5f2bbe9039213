// Finds the leader among the scheduler replicas, starting from seeds, and
// tracks when it was last confirmed. A state machine without I/O.
//
// Every reply to a query names the members and the leader, so replaced replicas
// are found although the configured seeds do not change.
//
//   LeaderFinder finder({ .seeds_ = { "a", "b" } });
//   query the replica finder.NextReplicaToQuery() for its members;
//   finder.OnMembersReply(...) or finder.OnNoReply(...);
//   if (finder.IsReady(now)) { call finder.Leader() }
#pragma once

#include "vanillahatch/core/clock.h"

#include <set>
#include <string>
#include <vector>

namespace vanillahatch {

struct LeaderFinderOptions
{
  std::vector<std::string> seeds_; // names of replicas known in advance
  // A leader last confirmed longer ago than this is not used. Shorter than an
  // election takes, so that callers are rejected at once.
  Millis maxConfirmationAge_ = Millis(1500);
};

class LeaderFinder
{
public:
  explicit LeaderFinder(LeaderFinderOptions aOptions);

  // Replaces the seeds after the settings changed.
  void SetSeeds(std::vector<std::string> aSeeds);
  // The assumed leader if there is one, else the known replicas in turn. Empty
  // if none is known.
  std::string NextReplicaToQuery();
  // Handles the reply of replica `aFrom`. `aLeader` is the leader that it
  // names, or empty. `aIsEstablished`: `aFrom` is the established leader.
  void OnMembersReply(Millis aNow,
                      const std::string& aFrom,
                      const std::string& aLeader,
                      bool aIsEstablished,
                      const std::vector<std::string>& aMembers);
  // Handles a call that `aFrom` served, which confirms it as the leader.
  void OnCallServed(Millis aNow, const std::string& aFrom);
  // Handles the leader named by a replica that rejected a call; may be empty.
  void OnHint(const std::string& aLeader);
  // Handles a query or call that `aFrom` did not answer.
  void OnNoReply(const std::string& aFrom);

  // Name of the assumed leader; empty while none is known.
  const std::string& Leader() const { return leader_; }
  // True if a leader was confirmed recently enough to send calls.
  bool IsReady(Millis aNow) const;
  Millis ConfirmedAt() const { return confirmedAt_; }

private:
  std::vector<std::string> KnownReplicas() const;

  LeaderFinderOptions options_;
  std::set<std::string> members_;
  std::string leader_;
  bool isConfirmed_ = false;
  Millis confirmedAt_;
  // Position in `KnownReplicas` of the next to query, modulo their number.
  size_t nextIndex_ = 0;
};

} // namespace vanillahatch
