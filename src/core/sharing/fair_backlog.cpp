#include "vanillahatch/core/sharing/fair_backlog.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace vanillahatch {

void FairBacklog::Assign(std::span<const Entry> aEntries)
{
  groups_.clear();
  for (size_t begin = 0; begin < aEntries.size();) {
    Group group{ .begin_ = begin, .end_ = begin };
    const Entry& first = aEntries[begin];
    bool isOfOneCustomer = true;
    for (; group.end_ < aEntries.size() &&
           aEntries[group.end_].rank_ == first.rank_;
         ++group.end_) {
      isOfOneCustomer &= aEntries[group.end_].customer_ == first.customer_;
    }
    if (!isOfOneCustomer) {
      std::map<std::pair<CustomerId, ServiceId>, size_t> flows;
      for (size_t i = group.begin_; i < group.end_; ++i) {
        const Entry& entry = aEntries[i];
        const auto [it, isNew] = flows.try_emplace(
          { entry.customer_, entry.service_ }, group.flows_.size());
        if (isNew) {
          group.flows_.push_back(
            { .customer_ = entry.customer_, .service_ = entry.service_ });
        }
        group.flows_[it->second].entries_.push_back(i);
      }
    }
    begin = group.end_;
    groups_.push_back(std::move(group));
  }
}

void FairBacklog::Visit(const ShareOf& aShareOf, const Visitor& aVisitor) const
{
  for (const Group& group : groups_) {
    if (!group.flows_.empty()) {
      VisitFlows(group, aShareOf, aVisitor);
      continue;
    }
    for (size_t i = group.begin_; i < group.end_; ++i) {
      aVisitor(i, false);
    }
  }
}

void FairBacklog::VisitFlows(const Group& aGroup,
                             const ShareOf& aShareOf,
                             const Visitor& aVisitor)
{
  struct Head
  {
    double share_ = 0;
    const Flow* flow_ = nullptr;
    size_t next_ = 0; // position in `entries_`

    size_t Entry() const { return flow_->entries_[next_]; }
  };
  const auto comesLater = [](const Head& aLeft, const Head& aRight) {
    return std::tuple(aLeft.share_, aLeft.Entry()) >
           std::tuple(aRight.share_, aRight.Entry());
  };
  std::vector<Head> heap;
  heap.reserve(aGroup.flows_.size());
  for (const Flow& flow : aGroup.flows_) {
    heap.push_back(
      { .share_ = aShareOf(flow.customer_, flow.service_), .flow_ = &flow });
  }
  std::make_heap(heap.begin(), heap.end(), comesLater);
  while (!heap.empty()) {
    std::pop_heap(heap.begin(), heap.end(), comesLater);
    Head& head = heap.back();
    const bool isServed = !aVisitor(head.Entry(), true);
    head.next_ += isServed ? 1 : 0;
    if (head.next_ == head.flow_->entries_.size()) {
      heap.pop_back();
      continue;
    }
    head.share_ = aShareOf(head.flow_->customer_, head.flow_->service_);
    std::push_heap(heap.begin(), heap.end(), comesLater);
  }
}

} // namespace vanillahatch
