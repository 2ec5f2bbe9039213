#include "vanillahatch/core/sharing/customer_ledger.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace vanillahatch {

namespace {

constexpr double kDefaultWeight = 1.0;

Resources Times(const Resources& aNeed, uint32_t aTasks)
{
  return { .milliCpus_ = aNeed.milliCpus_ * aTasks,
           .memoryMb_ = aNeed.memoryMb_ * aTasks,
           .accelerators_ = aNeed.accelerators_ * aTasks };
}

bool IsWithin(const Resources& aUse, const Resources& aCap)
{
  const auto fits = [](int64_t aAmount, int64_t aLimit) {
    return aLimit == 0 || aAmount <= aLimit;
  };
  return fits(aUse.milliCpus_, aCap.milliCpus_) &&
         fits(aUse.memoryMb_, aCap.memoryMb_) &&
         fits(aUse.accelerators_, aCap.accelerators_);
}

// True if `aUse` is under half of each amount that the cap limits.
bool IsUnderHalf(const Resources& aUse, const Resources& aCap)
{
  const auto isUnder = [](int64_t aAmount, int64_t aLimit) {
    return aLimit == 0 || 2 * aAmount < aLimit;
  };
  return isUnder(aUse.milliCpus_, aCap.milliCpus_) &&
         isUnder(aUse.memoryMb_, aCap.memoryMb_) &&
         isUnder(aUse.accelerators_, aCap.accelerators_);
}

// Returns the largest ratio of any resource that `aWhole` has.
double LargestPart(const Resources& aUse, const Resources& aWhole)
{
  const auto part = [](int64_t aAmount, int64_t aOf) {
    return aOf > 0 ? static_cast<double>(aAmount) / static_cast<double>(aOf)
                   : 0.0;
  };
  return std::max({ part(aUse.milliCpus_, aWhole.milliCpus_),
                    part(aUse.memoryMb_, aWhole.memoryMb_),
                    part(aUse.accelerators_, aWhole.accelerators_) });
}

// Returns how many needs fit into the cap beside `aUse`.
int64_t CountThatFit(const Resources& aUse,
                     const Resources& aNeed,
                     const Resources& aCap)
{
  const auto count = [](int64_t aUsed, int64_t aEach, int64_t aLimit) {
    if (aLimit == 0) {
      return std::numeric_limits<int64_t>::max();
    }
    const int64_t left = aLimit - aUsed;
    if (left < 0) {
      return int64_t{ 0 };
    }
    return aEach > 0 ? left / aEach : std::numeric_limits<int64_t>::max();
  };
  return std::min(
    { count(aUse.milliCpus_, aNeed.milliCpus_, aCap.milliCpus_),
      count(aUse.memoryMb_, aNeed.memoryMb_, aCap.memoryMb_),
      count(aUse.accelerators_, aNeed.accelerators_, aCap.accelerators_) });
}

} // namespace

Resources CustomerLedger::Customer::OccupiedOf(ServiceId aService) const
{
  return aService < occupied_.size() ? occupied_[aService] : Resources{};
}

CustomerLedger::CustomerLedger(FindSpec aFindSpec)
  : findSpec_(std::move(aFindSpec))
  , customers_(1)
{
  idsByName_.emplace(std::string(), kNoCustomer);
}

CustomerId CustomerLedger::FindOrAdd(std::string_view aCustomer)
{
  if (aCustomer.empty()) {
    return kNoCustomer;
  }
  const auto known = idsByName_.find(aCustomer);
  if (known != idsByName_.end()) {
    return known->second;
  }
  const auto id = static_cast<CustomerId>(customers_.size());
  idsByName_.emplace(aCustomer, id);
  customers_.push_back({ .name_ = std::string(aCustomer) });
  LoadTerms(customers_.back());
  return id;
}

ServiceId CustomerLedger::FindOrAddService(std::string_view aService)
{
  const auto known = servicesByName_.find(aService);
  if (known != servicesByName_.end()) {
    return known->second;
  }
  const auto id = static_cast<ServiceId>(capacities_.size());
  servicesByName_.emplace(aService, id);
  capacities_.emplace_back();
  return id;
}

void CustomerLedger::RefreshTerms()
{
  for (Customer& customer : std::span(customers_).subspan(1)) {
    LoadTerms(customer);
  }
}

void CustomerLedger::LoadTerms(Customer& aCustomer) const
{
  const v1::CustomerSpec* spec = findSpec_(aCustomer.name_);
  if (spec == nullptr) {
    return;
  }
  aCustomer.weight_ = spec->weight() > 0 ? spec->weight() : kDefaultWeight;
  aCustomer.cap_ = { .milliCpus_ = spec->cap().cpu_millis(),
                     .memoryMb_ = spec->cap().memory_mb(),
                     .accelerators_ = spec->cap().gpus() };
}

void CustomerLedger::SetCapacity(ServiceId aService, const Resources& aCapacity)
{
  capacities_[aService] = aCapacity;
}

Resources CustomerLedger::CapacityOf(ServiceId aService) const
{
  return aService < capacities_.size() ? capacities_[aService] : Resources{};
}

RunCharge CustomerLedger::Charge(const RunCharge& aCharge)
{
  Customer& customer = customers_[aCharge.customer_];
  customer.mayRun_ = customer.mayRun_ + aCharge.need_;
  ++customer.runs_;
  if (aCharge.service_ >= customer.occupied_.size()) {
    customer.occupied_.resize(aCharge.service_ + 1);
  }
  Resources& occupied = customer.occupied_[aCharge.service_];
  occupied = occupied + aCharge.occupied_;
  return aCharge;
}

void CustomerLedger::Release(const RunCharge& aCharge)
{
  Customer& customer = customers_[aCharge.customer_];
  customer.mayRun_ = customer.mayRun_ - aCharge.need_;
  --customer.runs_;
  Resources& occupied = customer.occupied_[aCharge.service_];
  occupied = occupied - aCharge.occupied_;
}

bool CustomerLedger::MayStart(CustomerId aCustomer,
                              const Resources& aNeed,
                              uint32_t aTasks) const
{
  const Customer& customer = customers_[aCustomer];
  const uint32_t counted =
    IsUnderHalf(customer.mayRun_, customer.cap_) ? aTasks - 1 : aTasks;
  return IsWithin(customer.mayRun_ + Times(aNeed, counted), customer.cap_);
}

bool CustomerLedger::CanEverStart(CustomerId aCustomer,
                                  const Resources& aNeed,
                                  uint32_t aTasks) const
{
  return IsWithin(Times(aNeed, aTasks - 1), customers_[aCustomer].cap_);
}

double CustomerLedger::DominantShare(const Customer& aCustomer,
                                     ServiceId aService) const
{
  return LargestPart(aCustomer.OccupiedOf(aService), CapacityOf(aService));
}

double CustomerLedger::ShareOf(CustomerId aCustomer, ServiceId aService) const
{
  const Customer& customer = customers_[aCustomer];
  return DominantShare(customer, aService) / customer.weight_;
}

void CustomerLedger::BeginRound()
{
  for (Customer& customer : customers_) {
    customer.waitingNeed_ = {};
    customer.arrivedNeed_ = {};
    customer.waitingTasks_ = 0;
    customer.heldTasks_ = 0;
  }
}

uint32_t CustomerLedger::RecordWaiting(CustomerId aCustomer,
                                       const Resources& aNeed,
                                       uint32_t aTasks)
{
  Customer& customer = customers_[aCustomer];
  if (!HasCap(aCustomer)) {
    customer.waitingTasks_ += aTasks;
    return aTasks;
  }
  int64_t fitting = CountThatFit(
    customer.mayRun_ + customer.waitingNeed_, aNeed, customer.cap_);
  if (IsUnderHalf(customer.mayRun_ + customer.waitingNeed_, customer.cap_)) {
    fitting = std::max<int64_t>(fitting, 1);
  }
  const auto waiting =
    static_cast<uint32_t>(std::min<int64_t>(fitting, aTasks));
  customer.waitingNeed_ = customer.waitingNeed_ + Times(aNeed, waiting);
  customer.waitingTasks_ += waiting;
  customer.heldTasks_ += aTasks - waiting;
  return waiting;
}

uint32_t CustomerLedger::RecordArrival(CustomerId aCustomer,
                                       const Resources& aNeed,
                                       uint32_t aTasks)
{
  if (!HasCap(aCustomer)) {
    return aTasks;
  }
  Customer& customer = customers_[aCustomer];
  const int64_t fitting = CountThatFit(
    customer.mayRun_ + customer.arrivedNeed_, aNeed, customer.cap_);
  const auto arrived =
    static_cast<uint32_t>(std::min<int64_t>(fitting, aTasks));
  customer.arrivedNeed_ = customer.arrivedNeed_ + Times(aNeed, arrived);
  return arrived;
}

void CustomerLedger::RecordHeld(CustomerId aCustomer, uint32_t aTasks)
{
  customers_[aCustomer].heldTasks_ += aTasks;
}

std::vector<CustomerLoad> CustomerLedger::MeasureLoads()
{
  double weights = 0;
  for (const Customer& customer : customers_) {
    weights += customer.HasOpenWork() ? customer.weight_ : 0;
  }
  std::vector<CustomerLoad> loads;
  for (Customer& customer : std::span(customers_).subspan(1)) {
    const bool isOpen = customer.HasOpenWork();
    if (!std::exchange(customer.wasMeasured_, isOpen) && !isOpen) {
      continue;
    }
    CustomerLoad load{ .customer_ = customer.name_,
                       .shareByWeight_ =
                         isOpen ? customer.weight_ / weights : 0,
                       .capUse_ = LargestPart(customer.mayRun_, customer.cap_),
                       .waitingTasks_ = customer.waitingTasks_,
                       .heldTasks_ = customer.heldTasks_ };
    for (ServiceId service = 0; service < capacities_.size(); ++service) {
      load.share_ = std::max(load.share_, DominantShare(customer, service));
    }
    loads.push_back(std::move(load));
  }
  return loads;
}

CustomerLedger CustomerLedger::WithoutCharges() const
{
  CustomerLedger copy(*this);
  for (Customer& customer : copy.customers_) {
    customer.mayRun_ = {};
    customer.runs_ = 0;
    customer.occupied_.clear();
  }
  return copy;
}

std::vector<std::string> CustomerLedger::CorrectBy(
  const CustomerLedger& aRecount)
{
  std::vector<std::string> corrected;
  for (CustomerId id = 0; id < aRecount.customers_.size(); ++id) {
    const Customer& counted = aRecount.customers_[id];
    Customer& customer = customers_[FindOrAdd(counted.name_)];
    bool isEqual =
      customer.mayRun_ == counted.mayRun_ && customer.runs_ == counted.runs_;
    for (ServiceId service = 0; service < capacities_.size(); ++service) {
      isEqual &= customer.OccupiedOf(service) == counted.OccupiedOf(service);
    }
    if (!isEqual) {
      corrected.push_back(customer.name_);
      customer.mayRun_ = counted.mayRun_;
      customer.runs_ = counted.runs_;
      customer.occupied_ = counted.occupied_;
      customer.occupied_.resize(capacities_.size());
    }
  }
  return corrected;
}

} // namespace vanillahatch
