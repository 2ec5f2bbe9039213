// Where the entries' calls go: the replica that leads, found from seeds and
// kept fresh. A state machine without I/O.
//
// Seeds are only the first hint. Every answer names the members and the
// leader, so that the list follows replacements although the seeds do not.
#pragma once

#include "vanillahatch/core/clock.h"

#include <set>
#include <string>
#include <vector>

namespace vanillahatch {

struct LeaderFinderOptions
{
  std::vector<std::string> seeds_; // names of replicas
  // A leader that has not confirmed for so long is not believed in. Shorter
  // than an election takes, so that callers are turned away at once.
  Millis believeFor_ = Millis(1500);
};

class LeaderFinder
{
public:
  explicit LeaderFinder(LeaderFinderOptions aOptions);

  // The settings name other seeds now.
  void SetSeeds(std::vector<std::string> aSeeds);
  // Whom to ask next: the believed leader, else the others in turn.
  std::string NextToAsk();
  // A replica's answer; `aLeader` may be empty.
  void OnAnswer(Millis aNow,
                const std::string& aFrom,
                const std::string& aLeader,
                bool aInForce,
                const std::vector<std::string>& aMembers);
  // The leader served a call, which confirms it as well as an answer.
  void OnServed(Millis aNow, const std::string& aFrom);
  // A call told us who leads.
  void OnHint(const std::string& aLeader);
  void OnSilence(const std::string& aFrom);

  // Empty while none is known.
  const std::string& Leader() const { return leader_; }
  bool IsReady(Millis aNow) const;
  Millis ConfirmedAt() const { return confirmedAt_; }

private:
  std::vector<std::string> Known() const;

  LeaderFinderOptions options_;
  std::set<std::string> members_;
  std::string leader_;
  bool isConfirmed_ = false;
  Millis confirmedAt_;
  size_t turn_ = 0;
};

} // namespace vanillahatch
