// Incarnations of members whose records are known to be lost, and the members
// known to have run after each loss.
//
// A lost incarnation never votes or stores an entry again. Only a later
// incarnation of the same replica knows of the loss: it was told of the former
// one, and it runs in its place.
#pragma once

#include "log.pb.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace vanillahatch {

class LostMembers
{
public:
  // `aSurvivor` is known to run after the loss of `aLost`.
  void Add(const v1::LogMember& aLost, const v1::LogMember& aSurvivor);
  // Forgets the lost members that are not in any of `aConfigs`.
  void Retain(const std::vector<const v1::LogConfig*>& aConfigs);

  bool IsEmpty() const { return losses_.empty(); }
  std::vector<v1::LogMember> Members() const;
  bool IsLost(const v1::LogMember& aMember) const;
  // True if `aMember` is known to have run after the loss of `aLost`.
  bool Survived(const v1::LogMember& aLost, const v1::LogMember& aMember) const;

private:
  struct Loss
  {
    v1::LogMember member_;
    std::vector<v1::LogMember> survivors_;
  };
  const Loss* Find(const v1::LogMember& aLost) const;

  std::vector<Loss> losses_;
};

// The highest value that all members of some quorum of `aConfig` have reached.
// Two quorums always have a member in common.
//
// A majority is a quorum. Of an even number of members, half are one as well if
// each of them ran after the loss of the same other member: the halves that
// exclude different lost members can't be disjoint, since each would contain
// the member that the other one outlived.
//
// `aValueOf` returns the value of one member. A value-initialized Value is
// returned if `aConfig` is empty.
template<typename ValueOf>
auto QuorumValue(const v1::LogConfig& aConfig,
                 const LostMembers& aLost,
                 const ValueOf& aValueOf)
{
  using Value = decltype(aValueOf(v1::LogMember()));
  const auto& members = aConfig.members();
  const auto size = static_cast<size_t>(members.size());
  // The `aCount`-th highest value of the members that `aPredicate` accepts.
  const auto highest = [&](size_t aCount, const auto& aPredicate) {
    std::vector<Value> values;
    for (const v1::LogMember& member : members) {
      if (aPredicate(member)) {
        values.push_back(aValueOf(member));
      }
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return aCount <= values.size() ? values[aCount - 1] : Value();
  };
  Value value = highest(size / 2 + 1, [](const auto&) { return true; });
  if (aLost.IsEmpty() || size == 0 || size % 2 != 0) {
    return value;
  }
  for (const v1::LogMember& lost : members) {
    if (aLost.IsLost(lost)) {
      value =
        std::max(value, highest(size / 2, [&](const v1::LogMember& aMember) {
                   return aLost.Survived(lost, aMember);
                 }));
    }
  }
  return value;
}

} // namespace vanillahatch
