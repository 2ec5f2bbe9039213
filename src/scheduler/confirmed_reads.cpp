#include "scheduler/confirmed_reads.h"

#include <utility>

namespace vanillahatch {

ConfirmedReads::ConfirmedReads(RoundStarter aRoundStarter)
  : roundStarter_(std::move(aRoundStarter))
{
}

void ConfirmedReads::Confirm(Done aDone)
{
  {
    std::lock_guard lock(mutex_);
    waiting_.push_back(std::move(aDone));
    if (isRoundInFlight_) {
      return; // The next round confirms this read.
    }
    isRoundInFlight_ = true;
  }
  StartRound();
}

void ConfirmedReads::StartRound()
{
  std::vector<Done> reads;
  {
    std::lock_guard lock(mutex_);
    reads = std::exchange(waiting_, {});
    if (reads.empty()) {
      isRoundInFlight_ = false;
      return;
    }
  }
  roundStarter_([this, reads](const ProposalResult& aResult) {
    FinishRound(reads, aResult);
  });
}

void ConfirmedReads::FinishRound(const std::vector<Done>& aReads,
                                 const ProposalResult& aResult)
{
  for (const Done& done : aReads) {
    done(aResult);
  }
  StartRound();
}

} // namespace vanillahatch
