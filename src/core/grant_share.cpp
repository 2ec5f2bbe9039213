#include "vanillahatch/core/grant_share.h"

#include <algorithm>

namespace vanillahatch {

namespace {

uint32_t EqualPart(uint32_t aTotal, size_t aHolderCount, size_t aHolderIndex)
{
  const size_t extra = aHolderIndex < aTotal % aHolderCount ? 1 : 0;
  return static_cast<uint32_t>(aTotal / aHolderCount + extra);
}

class EqualShares : public ShareStrategy
{
public:
  GrantShare Divide(GrantShare aTotal,
                    size_t aHolderCount,
                    size_t aHolderIndex) const override
  {
    return { .slots_ = EqualPart(aTotal.slots_, aHolderCount, aHolderIndex),
             .connections_ =
               EqualPart(aTotal.connections_, aHolderCount, aHolderIndex) };
  }
};

class UndividedSlots : public ShareStrategy
{
public:
  GrantShare Divide(GrantShare aTotal,
                    size_t aHolderCount,
                    size_t aHolderIndex) const override
  {
    const uint32_t part =
      EqualPart(aTotal.connections_, aHolderCount, aHolderIndex);
    return { .slots_ = aTotal.slots_, .connections_ = std::max(part, 1U) };
  }
};

} // namespace

std::unique_ptr<ShareStrategy> MakeEqualShares()
{
  return std::make_unique<EqualShares>();
}

std::unique_ptr<ShareStrategy> MakeUndividedSlots()
{
  return std::make_unique<UndividedSlots>();
}

} // namespace vanillahatch
