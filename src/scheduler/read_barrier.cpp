#include "scheduler/read_barrier.h"

#include <utility>

namespace vanillahatch {

ReadBarrier::ReadBarrier(RoundStarter aRoundStarter)
  : roundStarter_(std::move(aRoundStarter))
{
}

void ReadBarrier::Confirm(Done aDone)
{
  {
    std::lock_guard lock(mutex_);
    waitingReads_.push_back(std::move(aDone));
    if (isRoundInFlight_) {
      return; // The next round confirms this read.
    }
    isRoundInFlight_ = true;
  }
  StartRound();
}

void ReadBarrier::StartRound()
{
  std::vector<Done> reads;
  {
    std::lock_guard lock(mutex_);
    reads = std::exchange(waitingReads_, {});
    if (reads.empty()) {
      isRoundInFlight_ = false;
      return;
    }
  }
  roundStarter_([this, reads](const ProposalResult& aResult) {
    FinishRound(reads, aResult);
  });
}

void ReadBarrier::FinishRound(const std::vector<Done>& aReads,
                              const ProposalResult& aResult)
{
  for (const Done& done : aReads) {
    done(aResult);
  }
  StartRound();
}

} // namespace vanillahatch
