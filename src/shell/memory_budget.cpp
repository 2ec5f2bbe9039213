#include "vanillahatch/shell/memory_budget.h"

#include <algorithm>
#include <vector>

namespace vanillahatch {

MemoryBudget::MemoryBudget(MemoryBudgetOptions aOptions)
  : options_(aOptions)
{
}

bool MemoryBudget::AdmitConnection()
{
  if (connections_ < options_.maxConnections_) {
    return true;
  }
  const auto isAnswer = [](const Holding* aHolding) {
    return aHolding->kind_ == Kind::kAnswer;
  };
  Holding* oldest = nullptr;
  for (const auto* list : { &idle_, &unfinished_ }) {
    const auto it = std::find_if_not(list->begin(), list->end(), isAnswer);
    if (it != list->end() &&
        (oldest == nullptr || (*it)->waitsSince_ < oldest->waitsSince_)) {
      oldest = *it;
    }
  }
  if (oldest == nullptr) {
    ++refused_;
    return false;
  }
  ++closedForConnections_;
  Close(*oldest);
  return true;
}

void MemoryBudget::MoveToEnd(Holding& aHolding, std::list<Holding*>& aList)
{
  aList.splice(aList.end(), *aHolding.list_, aHolding.position_);
  aHolding.list_ = &aList;
}

void MemoryBudget::Release(Holding& aHolding)
{
  if (aHolding.state_ == Holding::State::kClosed) {
    return;
  }
  aHolding.list_->erase(aHolding.position_);
  aHolding.list_ = nullptr;
  Add(aHolding.bytes_, 0);
  aHolding.bytes_ = 0;
  connections_ -= aHolding.kind_ == Kind::kConnection ? 1 : 0;
  aHolding.state_ = Holding::State::kClosed;
}

void MemoryBudget::Close(Holding& aHolding)
{
  const size_t bytes = aHolding.bytes_;
  Release(aHolding);
  aHolding.bytes_ = bytes;
  closingBytes_ += bytes;
  aHolding.close_();
}

void MemoryBudget::Add(size_t aBefore, size_t aAfter)
{
  bytesHeld_ = bytesHeld_ - aBefore + aAfter;
  smallBytesHeld_ -= IsSmall(aBefore) ? aBefore : 0;
  smallBytesHeld_ += IsSmall(aAfter) ? aAfter : 0;
}

bool MemoryBudget::MakeRoom(const Holding& aAsking, size_t aBytes)
{
  const bool isSmall = IsSmall(aBytes);
  const size_t ownSmall = IsSmall(aAsking.bytes_) ? aAsking.bytes_ : 0;
  size_t small = smallBytesHeld_ - ownSmall;
  size_t large = bytesHeld_ - smallBytesHeld_ - (aAsking.bytes_ - ownSmall);
  const auto fits = [&] {
    const size_t reserve = isSmall ? 0 : options_.reservedBytes_;
    const size_t unreserved = small - std::min(small, reserve);
    return large + unreserved + aBytes <= options_.maxBytes_ - reserve;
  };
  std::vector<Holding*> closed;
  for (auto it = unfinished_.begin(); !fits(); ++it) {
    if (it == unfinished_.end() || *it == &aAsking) {
      return false;
    }
    const size_t bytes = (*it)->bytes_;
    const bool isInReserve =
      !isSmall && IsSmall(bytes) && small <= options_.reservedBytes_;
    if (isInReserve) {
      continue;
    }
    (IsSmall(bytes) ? small : large) -= bytes;
    closed.push_back(*it);
  }
  for (Holding* holding : closed) {
    ++closedForMemory_;
    Close(*holding);
  }
  return true;
}

MemoryBudget::Holding::Holding(MemoryBudget& aBudget,
                               Kind aKind,
                               std::function<void()> aClose)
  : budget_(aBudget)
  , kind_(aKind)
  , close_(std::move(aClose))
  , list_(&aBudget.serving_)
  , position_(list_->insert(list_->end(), this))
{
  budget_.connections_ += kind_ == Kind::kConnection ? 1 : 0;
}

MemoryBudget::Holding::~Holding()
{
  if (state_ == State::kClosed) {
    budget_.closingBytes_ -= bytes_;
  }
  budget_.Release(*this);
}

bool MemoryBudget::Holding::Resize(size_t aBytes)
{
  if (state_ == State::kClosed) {
    return false;
  }
  const MemoryBudgetOptions& options = budget_.options_;
  const size_t total =
    budget_.bytesHeld_ + budget_.closingBytes_ - bytes_ + aBytes;
  if (aBytes > bytes_ && total > options.maxBytes_ + options.maxBytes_ / 2) {
    ++budget_.refused_;
    return false;
  }
  if (aBytes > bytes_ && !budget_.MakeRoom(*this, aBytes)) {
    ++budget_.refused_;
    return false;
  }
  budget_.Add(bytes_, aBytes);
  bytes_ = aBytes;
  if (state_ == State::kWaiting) {
    std::list<Holding*>& list =
      bytes_ > 0 ? budget_.unfinished_ : budget_.idle_;
    if (list_ != &list) {
      waitsSince_ = ++budget_.waits_;
      MoveToEnd(*this, list);
    }
  }
  return true;
}

void MemoryBudget::Holding::WaitForPeer()
{
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kWaiting;
  waitsSince_ = ++budget_.waits_;
  MoveToEnd(*this, bytes_ > 0 ? budget_.unfinished_ : budget_.idle_);
}

void MemoryBudget::Holding::Serve()
{
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kServing;
  MoveToEnd(*this, budget_.serving_);
}

} // namespace vanillahatch
