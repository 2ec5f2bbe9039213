// The order in which the steps of several customers get capacity.
//
// Designed for times when the customers want more than there is, and one of
// them sends many times its usual load. Steps of higher rank come first. Among
// steps of equal rank the customer with the smallest share of the step's
// service is next, so that a customer with a long backlog waits behind itself.
// The order of one customer's steps stays as it is; so does that of all steps
// while only one customer waits. A wide step is served in parts, between which
// others may be next.
//
//   FairBacklog backlog;
//   backlog.Assign(entries);
//   backlog.Visit(shareOf, [&](size_t aIndex, bool aIsContested) {
//     return PlacePartOf(entries[aIndex]);
//   });
#pragma once

#include "vanillahatch/core/sharing/customer_ledger.h"

#include <functional>
#include <span>
#include <vector>

namespace vanillahatch {

class FairBacklog
{
public:
  struct Entry
  {
    uint64_t rank_ = 0; // the lowest comes first
    CustomerId customer_ = kNoCustomer;
    ServiceId service_ = 0;
  };
  using ShareOf = std::function<double(CustomerId, ServiceId)>;
  // Gets the index of an entry, and whether entries of other customers have the
  // same rank. Returns true if such an entry has to be visited again.
  using Visitor = std::function<bool(size_t, bool)>;

  // `aEntries`: sorted by rank; within a rank, in the order for one customer.
  void Assign(std::span<const Entry> aEntries);
  // A visit may change the share of the entry's customer in the entry's
  // service, and no other.
  void Visit(const ShareOf& aShareOf, const Visitor& aVisitor) const;

private:
  // The entries of one rank, customer and service.
  struct Flow
  {
    CustomerId customer_ = kNoCustomer;
    ServiceId service_ = 0;
    std::vector<size_t> entries_;
  };
  struct Group
  {
    size_t begin_ = 0;
    size_t end_ = 0;
    std::vector<Flow> flows_; // empty if all entries are of one customer
  };

  static void VisitFlows(const Group& aGroup,
                         const ShareOf& aShareOf,
                         const Visitor& aVisitor);

  std::vector<Group> groups_; // by rank
};

} // namespace vanillahatch
