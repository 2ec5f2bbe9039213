#include "vanillahatch/core/slot_broker.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// The entry that comes first: with urgent jobs, then with the longest wait.
SlotHolder* NextInLine(SlotHolders& aHolders,
                       const std::set<const SlotHolder*>& aSkipped)
{
  SlotHolder* best = nullptr;
  for (auto& [name, holder] : aHolders) {
    if (!holder.live_ || holder.Unmet() == 0 || aSkipped.contains(&holder)) {
      continue;
    }
    if (best == nullptr) {
      best = &holder;
      continue;
    }
    const bool urgent = holder.urgent_ > 0;
    const bool bestUrgent = best->urgent_ > 0;
    if (urgent != bestUrgent ? urgent : holder.oldestAt_ < best->oldestAt_) {
      best = &holder;
    }
  }
  return best;
}

// After a grant, the next oldest job counts; jobs are taken as evenly spread
// over the time since the oldest arrived.
void Advance(SlotHolder& aHolder, Millis aNow)
{
  const int64_t left = std::max<int64_t>(aHolder.Unmet(), 1);
  aHolder.oldestAt_ =
    aHolder.oldestAt_ + (aNow - aHolder.oldestAt_) / (left + 1);
  aHolder.urgent_ -= aHolder.urgent_ > 0 ? 1 : 0;
}

class TicketAllotment : public AllotmentStrategy
{
public:
  void Allot(SlotBroker& aBroker, Millis aNow) override
  {
    MeetDemand(aBroker, aNow);
    const uint32_t unmet = TellWhoWaits(aBroker.Holders(), aNow);
    if (unmet > 0) {
      scarceAt_ = aNow;
    }
    const bool calm = aNow - scarceAt_ >= kCalm;
    for (auto& [name, holder] : aBroker.Holders()) {
      const uint32_t reserve = calm ? Reserve(aBroker) : 0;
      holder.next_.keepIdle_ = holder.near_ ? reserve : 0;
    }
    if (calm) {
      FillReserves(aBroker);
    }
  }

private:
  static constexpr uint32_t kSlotsPerUrgent = 4;
  static constexpr uint32_t kMostReserved = 32;
  static constexpr Millis kPressing = Seconds(600); // older than any job
  // Without unmet demand for this long, entries get slots in advance.
  static constexpr Millis kCalm = Millis(50);

  static void MeetDemand(SlotBroker& aBroker, Millis aNow)
  {
    std::set<const SlotHolder*> skipped;
    while (aBroker.FreeTotal() > 0) {
      SlotHolder* next = NextInLine(aBroker.Holders(), skipped);
      if (next == nullptr) {
        return;
      }
      if (!aBroker.GrantOne(*next)) {
        skipped.insert(next);
        continue;
      }
      Advance(*next, aNow);
    }
  }

  static uint32_t TellWhoWaits(SlotHolders& aHolders, Millis aNow)
  {
    uint32_t unmet = 0;
    for (auto& [name, holder] : aHolders) {
      unmet += holder.live_ ? holder.Unmet() : 0;
      for (const auto& [otherName, other] : aHolders) {
        if (&other == &holder || !other.live_ || other.Unmet() == 0) {
          continue;
        }
        // Urgent jobs at an entry with few slots of its own cannot wait for
        // one of these to be free.
        const bool pressing =
          other.urgent_ * kSlotsPerUrgent > other.heldTotal_;
        const Millis age = pressing ? kPressing : aNow - other.oldestAt_;
        holder.next_.othersWait_ = true;
        holder.next_.othersOldestAge_ =
          std::max(holder.next_.othersOldestAge_, age);
      }
    }
    return unmet;
  }

  // Half of the slots are spread in advance over the entries nearby, but no
  // more to one than it uses while a report goes to the broker and back.
  static uint32_t Reserve(SlotBroker& aBroker)
  {
    uint32_t near = 0;
    for (const auto& [name, holder] : aBroker.Holders()) {
      near += holder.live_ && holder.near_ ? 1 : 0;
    }
    return near > 0
             ? std::clamp(aBroker.Capacity() / (2 * near), 1U, kMostReserved)
             : 0;
  }

  static void FillReserves(SlotBroker& aBroker)
  {
    for (auto& [name, holder] : aBroker.Holders()) {
      while (holder.live_ && holder.reported_ && holder.near_ &&
             aBroker.FreeTotal() > 0 &&
             holder.idle_ + holder.pendingTotal_ < holder.next_.keepIdle_) {
        if (!aBroker.GrantOne(holder)) {
          break;
        }
      }
    }
  }

  Millis scarceAt_;
};

class ShareAllotment : public AllotmentStrategy
{
public:
  void Allot(SlotBroker& aBroker, Millis aNow) override
  {
    if (aNow >= nextAt_) {
      nextAt_ = aNow + kPeriod;
      Rebalance(aBroker);
    }
    for (auto& [name, holder] : aBroker.Holders()) {
      holder.next_.maxHeld_ = shares_[name];
      holder.next_.keepIdle_ = shares_[name];
      while (holder.live_ && holder.reported_ && aBroker.FreeTotal() > 0 &&
             holder.heldTotal_ + holder.pendingTotal_ < shares_[name]) {
        if (!aBroker.GrantOne(holder)) {
          break;
        }
      }
    }
  }

private:
  static constexpr Millis kPeriod = Millis(100);

  // Max-min fair: one slot after the other to the least served entry that
  // wants more; what nobody wants is spread evenly.
  void Rebalance(SlotBroker& aBroker)
  {
    shares_.clear();
    for (uint32_t left = aBroker.Capacity(); left > 0; --left) {
      const NodeName* next = LeastServed(aBroker, true);
      next = next != nullptr ? next : LeastServed(aBroker, false);
      if (next == nullptr) {
        return;
      }
      ++shares_[*next];
    }
  }

  const NodeName* LeastServed(SlotBroker& aBroker, bool aOnlyWanting)
  {
    const NodeName* least = nullptr;
    for (const auto& [name, holder] : aBroker.Holders()) {
      const uint32_t wants = holder.heldTotal_ -
                             std::min(holder.idle_, holder.heldTotal_) +
                             holder.waiting_;
      const bool mayHave = aOnlyWanting ? shares_[name] < wants : holder.near_;
      if (!holder.live_ || !mayHave) {
        continue;
      }
      if (least == nullptr || shares_[name] < shares_[*least]) {
        least = &name;
      }
    }
    return least;
  }

  Millis nextAt_;
  std::map<NodeName, uint32_t> shares_;
};

} // namespace

std::unique_ptr<AllotmentStrategy> MakeTicketAllotment()
{
  return std::make_unique<TicketAllotment>();
}

std::unique_ptr<AllotmentStrategy> MakeShareAllotment()
{
  return std::make_unique<ShareAllotment>();
}

} // namespace vanillahatch
