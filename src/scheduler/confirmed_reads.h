// Confirms that this replica still leads and has applied all that was
// acknowledged before, with one round through the log for all readers that
// wait.
//
// Load that it answers: hundreds of reads a second whose answer may be that
// something does not exist, each of which needs such a round.
//
//   ConfirmedReads reads([&](auto aDone) { replica.Propose("", aDone); });
//   reads.Confirm([](const ProposalResult& aResult) { ... });
//
// Safe for use by several threads at once.
#pragma once

#include "replica/log_replica.h"

#include <functional>
#include <mutex>
#include <vector>

namespace vanillahatch {

class ConfirmedReads
{
public:
  using Done = LogReplica::Done;
  // Begins a round, and calls its argument once when that has ended.
  using Round = std::function<void(Done)>;

  explicit ConfirmedReads(Round aRound);

  // `aDone` is told the result of a round that began after this call.
  void Confirm(Done aDone);

private:
  void Begin();
  void End(const std::vector<Done>& aReaders, const ProposalResult& aResult);

  const Round round_;
  std::mutex mutex_; // guards what follows
  std::vector<Done> waiting_;
  bool underWay_ = false;
};

} // namespace vanillahatch
