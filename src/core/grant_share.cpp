#include "vanillahatch/core/grant_share.h"

#include <algorithm>

namespace vanillahatch {

namespace {

uint32_t Part(uint32_t aWhole, size_t aHolders, size_t aIndex)
{
  const size_t extra = aIndex < aWhole % aHolders ? 1 : 0;
  return static_cast<uint32_t>(aWhole / aHolders + extra);
}

class EqualShares : public ShareStrategy
{
public:
  GrantShare Divide(GrantShare aWhole,
                    size_t aHolders,
                    size_t aIndex) const override
  {
    return { .slots_ = Part(aWhole.slots_, aHolders, aIndex),
             .connections_ = Part(aWhole.connections_, aHolders, aIndex) };
  }
};

class WholeSlots : public ShareStrategy
{
public:
  GrantShare Divide(GrantShare aWhole,
                    size_t aHolders,
                    size_t aIndex) const override
  {
    const uint32_t part = Part(aWhole.connections_, aHolders, aIndex);
    return { .slots_ = aWhole.slots_, .connections_ = std::max(part, 1U) };
  }
};

} // namespace

std::unique_ptr<ShareStrategy> MakeEqualShares()
{
  return std::make_unique<EqualShares>();
}

std::unique_ptr<ShareStrategy> MakeWholeSlots()
{
  return std::make_unique<WholeSlots>();
}

} // namespace vanillahatch
