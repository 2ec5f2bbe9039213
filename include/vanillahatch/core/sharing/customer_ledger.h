// What each customer's tasks use: decides whether a start is within the
// customer's cap, and how large the customer's share of a service is.
//
// A cap limits what may run, over all services: each run is charged with the
// declared need of its task from its proposal until its end is certain. A share
// is the part of a service's capacity that runs occupy there, for the resource
// of which they occupy most, divided by the customer's weight.
//
//   CustomerLedger ledger([&](std::string_view aName) {
//     return store.FindCustomer(aName);
//   });
//   const CustomerId customer = ledger.FindOrAdd(job.customer_);
//   if (ledger.MayStart(customer, need)) {
//     const RunCharge charge = ledger.Charge({ .customer_ = customer, ... });
//     ...
//     ledger.Release(charge);
//   }
#pragma once

#include "vanillahatch/core/resources.h"

#include "jobs.pb.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahatch {

// Valid within one ledger.
using CustomerId = uint32_t;
using ServiceId = uint32_t;

// Stands for all jobs of no customer. They have no cap and a weight of 1.
inline constexpr CustomerId kNoCustomer = 0;

// What one run counts for.
struct RunCharge
{
  CustomerId customer_ = kNoCustomer;
  ServiceId service_ = 0;
  Resources need_;     // counts against the cap
  Resources occupied_; // counts for the share
};

// For logs and metrics.
struct CustomerLoad
{
  std::string customer_;
  double share_ = 0;         // of the service of which it occupies most
  double shareByWeight_ = 0; // among the customers with open work
  double capUse_ = 0; // of the resource nearest to its cap; 0 without a cap
  uint32_t waitingTasks_ = 0; // for capacity
  uint32_t heldTasks_ = 0;    // by the cap
};

class CustomerLedger
{
public:
  // Returns null if the customer is not known.
  using FindSpec = std::function<const v1::CustomerSpec*(std::string_view)>;

  explicit CustomerLedger(FindSpec aFindSpec);

  CustomerId FindOrAdd(std::string_view aCustomer);
  ServiceId FindOrAddService(std::string_view aService);
  // False if there are only jobs of no customer.
  bool HasCustomers() const { return customers_.size() > 1; }
  bool HasCap(CustomerId aCustomer) const
  {
    return customers_[aCustomer].cap_ != Resources{};
  }
  // Has to follow each change of the configuration. A customer that is no
  // longer known keeps its terms.
  void RefreshTerms();
  void SetCapacity(ServiceId aService, const Resources& aCapacity);

  // Returns `aCharge`.
  RunCharge Charge(const RunCharge& aCharge);
  void Release(const RunCharge& aCharge);

  // True if `aTasks` tasks can be started together. A customer of which less
  // than half of its cap may run can exceed the cap by one task: a task that
  // does not fit beside lasting ones would never start otherwise.
  bool MayStart(CustomerId aCustomer,
                const Resources& aNeed,
                uint32_t aTasks = 1) const;
  // False if the tasks could not even start together while nothing else runs.
  bool CanEverStart(CustomerId aCustomer,
                    const Resources& aNeed,
                    uint32_t aTasks) const;
  // Weighted. Customers with a smaller share are served first.
  double ShareOf(CustomerId aCustomer, ServiceId aService) const;

  // Counts work that gets no capacity in a round of placement. Of `aTasks` that
  // wait, returns the number that the cap would allow to run.
  void BeginRound();
  uint32_t RecordWaiting(CustomerId aCustomer,
                         const Resources& aNeed,
                         uint32_t aTasks);
  void RecordHeld(CustomerId aCustomer, uint32_t aTasks);
  // Of the tasks that arrive in this round, returns the number that the cap
  // would allow to run.
  uint32_t RecordArrival(CustomerId aCustomer,
                         const Resources& aNeed,
                         uint32_t aTasks);

  // Of the customers with open work now or at the previous call, in the order
  // in which they were added.
  std::vector<CustomerLoad> MeasureLoads();

  // The same customers and services without any charge.
  CustomerLedger WithoutCharges() const;
  // Takes over the charges of a recount, which began as `WithoutCharges()`.
  // Returns the names of the customers for which it differed.
  std::vector<std::string> CorrectBy(const CustomerLedger& aRecount);

private:
  struct Customer
  {
    std::string name_;
    double weight_ = 1.0;
    Resources cap_; // an amount of 0 is unlimited
    Resources mayRun_;
    uint32_t runs_ = 0;
    bool wasMeasured_ = false;        // at the previous measurement
    std::vector<Resources> occupied_; // by service
    // In this round.
    Resources waitingNeed_;
    Resources arrivedNeed_;
    uint32_t waitingTasks_ = 0;
    uint32_t heldTasks_ = 0;

    Resources OccupiedOf(ServiceId aService) const;
    bool HasOpenWork() const
    {
      return runs_ > 0 || waitingTasks_ > 0 || heldTasks_ > 0;
    }
  };

  void LoadTerms(Customer& aCustomer) const;
  Resources CapacityOf(ServiceId aService) const;
  // Unweighted.
  double DominantShare(const Customer& aCustomer, ServiceId aService) const;

  FindSpec findSpec_;
  std::vector<Customer> customers_; // by id
  std::map<std::string, CustomerId, std::less<>> idsByName_;
  std::vector<Resources> capacities_; // by service
  std::map<std::string, ServiceId, std::less<>> servicesByName_;
};

} // namespace vanillahatch
