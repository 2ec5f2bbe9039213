// How an instance's slots and connections are divided among the holders of
// grants on it. Each rule is a strategy object, so that deployments can choose
// one and benchmarks can compare them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace vanillahatch {

struct GrantShare
{
  uint32_t slots_ = 0;
  uint32_t connections_ = 0;

  friend bool operator==(const GrantShare&, const GrantShare&) = default;
};

class ShareStrategy
{
public:
  virtual ~ShareStrategy() = default;
  // Returns the share of holder `aHolderIndex` of `aHolderCount` live ones,
  // counted from zero.
  virtual GrantShare Divide(GrantShare aTotal,
                            size_t aHolderCount,
                            size_t aHolderIndex) const = 0;
};

// Divides equally; the first holders get the remainder, so that the shares add
// up to the total.
std::unique_ptr<ShareStrategy> MakeEqualShares();

// Lets every holder use all slots, for deployments whose entries divide the
// slots among themselves. Connections are divided equally, at least one each.
std::unique_ptr<ShareStrategy> MakeUndividedSlots();

} // namespace vanillahatch
