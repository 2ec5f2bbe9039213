// How much of an instance each holder of a grant may use. Strategies are small
// objects so that they can be exchanged and measured against each other.
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
  // The part of the holder with this index among `aHolders` live ones.
  virtual GrantShare Divide(GrantShare aWhole,
                            size_t aHolders,
                            size_t aIndex) const = 0;
};

// Equal parts, the rest to the first ones; the parts add up to the whole.
std::unique_ptr<ShareStrategy> MakeEqualShares();

// Every holder may use all slots, for deployments whose entries divide the
// slots among themselves; connections are divided equally, at least one each.
std::unique_ptr<ShareStrategy> MakeWholeSlots();

} // namespace vanillahatch
