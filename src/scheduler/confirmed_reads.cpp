#include "scheduler/confirmed_reads.h"

#include <utility>

namespace vanillahatch {

ConfirmedReads::ConfirmedReads(Round aRound)
  : round_(std::move(aRound))
{
}

void ConfirmedReads::Confirm(Done aDone)
{
  {
    std::lock_guard lock(mutex_);
    waiting_.push_back(std::move(aDone));
    if (underWay_) {
      return; // The next round is for this reader.
    }
    underWay_ = true;
  }
  Begin();
}

void ConfirmedReads::Begin()
{
  std::vector<Done> readers;
  {
    std::lock_guard lock(mutex_);
    readers = std::exchange(waiting_, {});
    if (readers.empty()) {
      underWay_ = false;
      return;
    }
  }
  round_(
    [this, readers](const ProposalResult& aResult) { End(readers, aResult); });
}

void ConfirmedReads::End(const std::vector<Done>& aReaders,
                         const ProposalResult& aResult)
{
  for (const Done& done : aReaders) {
    done(aResult);
  }
  Begin();
}

} // namespace vanillahatch
