// Makes reads linearizable: confirms by a round through the log that this
// replica leads and has applied all changes acknowledged before the read. All
// waiting reads share one round.
//
// Sharing limits the load on the log: hundreds of reads a second need a round,
// because their answer may be that something does not exist.
//
//   ReadBarrier barrier([&](auto aDone) { replica.Propose("", aDone); });
//   barrier.Confirm([](const ProposalResult& aResult) { ... });
//
// Thread-safe.
#pragma once

#include "replica/log_replica.h"

#include <functional>
#include <mutex>
#include <vector>

namespace vanillahatch {

class ReadBarrier
{
public:
  using Done = LogReplica::Done;
  // Starts a round, a proposal to the log whose commit confirms the leader.
  // Calls its argument once, with the result of the proposal.
  using RoundStarter = std::function<void(Done)>;

  explicit ReadBarrier(RoundStarter aRoundStarter);

  // Calls `aDone` with the result of a round that started after this call. The
  // read is valid only if the status is kCommitted.
  void Confirm(Done aDone);

private:
  void StartRound();
  void FinishRound(const std::vector<Done>& aReads,
                   const ProposalResult& aResult);

  const RoundStarter roundStarter_;
  std::mutex mutex_; // guards the members below
  std::vector<Done> waitingReads_;
  bool isRoundInFlight_ = false;
};

} // namespace vanillahatch
