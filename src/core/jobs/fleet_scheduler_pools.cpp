// Pool sizing: measures the capacity and the demand of each pool, moves
// machines between pools, and packs long-running tasks onto fewer machines so
// that more machines can be moved.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace vanillahatch {

namespace {

// Interval between decisions; short compared with the rise of a demand peak,
// which takes seconds.
constexpr Millis kRebalanceInterval = Millis(150);
// Forecast horizon: the time that a move takes until the machine first reports.
constexpr Millis kForecastHorizon = Millis(2200);
// Time within which the work that waits now should be done.
constexpr double kDrainMillis = 800;
// Idle time assumed for machines of a spare pool; long enough for a move.
constexpr Millis kSpareIdleFor = Seconds(4);
constexpr double kMilliCpusPerCore = 1000.0;
// A decision moves at most one machine in 25 of a large fleet. A demand peak
// needs a third of the fleet within a second, and the platform accepts hundreds
// of orders in that time.
constexpr size_t kMachinesPerMove = 25;
constexpr Millis kPoolTraceInterval = Seconds(1);
// Interval between consolidations; each costs its tasks about a second of work.
constexpr Millis kConsolidationInterval = Millis(700);

} // namespace

std::vector<PoolLoad> FleetScheduler::MeasurePools(Millis aNow)
{
  std::map<std::string, PoolLoad> pools;
  for (const v1::ServiceSpec& service : store_.Config().services()) {
    pools[service.name()] = { .service_ = service.name(),
                              .isSpare_ = service.spare() };
  }
  double coresPerMachine = 0;
  std::map<std::string, double> emptyCores; // of idle instances
  for (const auto& [key, view] : views_) {
    const auto it = pools.find(view.StoredRecord().service());
    const bool isLeaving =
      view.removalProposed_ || view.reserved_ || view.StoredRecord().draining();
    if (it == pools.end() || isLeaving) {
      continue;
    }
    PoolLoad& pool = it->second;
    const double cores =
      view.StoredRecord().capacity().cpu_millis() / kMilliCpusPerCore;
    if (cores > coresPerMachine) {
      coresPerMachine = cores;
      machineCapacity_ = view.Capacity();
    }
    const double longRunning =
      OccupiedCores(view.UsedByLongRunning(), view.Capacity());
    const double used = OccupiedCores(view.Used(), view.Capacity());
    pool.longRunningCores_ += longRunning;
    pool.demandCores_ += used - longRunning;
    const bool isUnresponsive =
      aNow - view.lastReplyAt_ > options_.lease_ / 2 && view.HasRuns();
    const bool isToBeReplaced = aNow < view.replacementRequestedUntil_;
    if (view.evacuating_ || isToBeReplaced || isUnresponsive) {
      continue;
    }
    pool.capacity_ += cores;
    ++pool.machineCount_;
    const bool isMovable = aNow >= view.avoidMoveUntil_ && view.contacted_ &&
                           !view.StoredRecord().machine().empty();
    if (!view.HasRuns()) {
      emptyCores[it->first] += cores;
    }
    if (isMovable && !view.HasRuns()) {
      pool.idle_.push_back({ .machine_ = view.StoredRecord().machine(),
                             .idleFor_ = aNow - view.lastBusyAt_,
                             .cores_ = cores });
    } else if (isMovable && view.LongRunningRunCount() == 0) {
      pool.busy_.push_back({ .machine_ = view.StoredRecord().machine(),
                             .cores_ = cores,
                             .usedCores_ = used });
    }
  }
  for (const auto& [name, op] : machines_.Ops()) {
    const std::string& pool = op.DestinationPool();
    if (const auto it = pools.find(pool); it != pools.end()) {
      it->second.capacity_ += coresPerMachine;
      // A pool keeps its minimum number of machines while others are down.
      it->second.machineCount_ += op.order_.pool_.empty() ? 0 : 1;
      emptyCores[pool] += coresPerMachine;
    }
  }
  for (const auto& [name, machine] : machines_.Machines()) {
    const auto it = pools.find(machine.pool_);
    const auto refused = avoidMachineUntil_.find(name);
    const bool isRefused =
      refused != avoidMachineUntil_.end() && aNow < refused->second;
    const bool isSpare = it != pools.end() && it->second.isSpare_ &&
                         machine.state_ == MachineState::kUp &&
                         machines_.FindOp(name) == nullptr && !isRefused &&
                         !viewsByMachine_.contains(name);
    if (isSpare) {
      it->second.idle_.push_back({ .machine_ = name,
                                   .idleFor_ = kSpareIdleFor,
                                   .cores_ = coresPerMachine });
    }
  }
  for (const auto& [service, waiting] : waitingWork_) {
    const auto it = pools.find(service);
    if (it == pools.end()) {
      continue;
    }
    PoolLoad& pool = it->second;
    pool.demandCores_ +=
      std::min(waiting.cores_, waiting.coreMillis_ / kDrainMillis);
    if (waiting.longRunningCores_ > 0) {
      // Instances in use count as full: the demand is for whole machines in
      // addition to them.
      const double neededCores = std::max(
        waiting.longRunningCores_, waiting.minInstances_ * coresPerMachine);
      const double empty = emptyCores[service];
      pool.demandCores_ =
        std::max(pool.demandCores_,
                 pool.capacity_ - pool.longRunningCores_ - empty + neededCores);
    }
  }
  std::vector<PoolLoad> out;
  for (auto& [service, pool] : pools) {
    pool.forecastCores_ =
      demandForecasters_[service].ForecastCores(aNow, kForecastHorizon);
    out.push_back(std::move(pool));
  }
  return out;
}

DispatchLoad FleetScheduler::MeasureDispatch() const
{
  DispatchLoad load{ .delay_ = runTimes_.Delay() };
  for (const Candidate& candidate : backlog_) {
    switch (candidate.urgency_.class_) {
      case UrgencyClass::kLongRunning:
        break;
      case UrgencyClass::kStarted:
      case UrgencyClass::kInTime:
        ++load.inTime_;
        break;
      case UrgencyClass::kLate:
        ++load.late_;
        break;
      case UrgencyClass::kOverdue:
        ++load.overdue_;
        break;
    }
  }
  return load;
}

void FleetScheduler::RebalancePools(Millis aNow)
{
  if (aNow - poolsRebalancedAt_ < kRebalanceInterval || !machines_.IsListed() ||
      !MayOrderMachines(aNow)) {
    return;
  }
  poolsRebalancedAt_ = aNow;
  const std::vector<PoolLoad> pools = MeasurePools(aNow);
  if (aNow - poolsTracedAt_ >= kPoolTraceInterval) {
    poolsTracedAt_ = aNow;
    std::for_each(pools.begin(), pools.end(), trace_.onPool_);
    trace_.onDispatch_(MeasureDispatch());
    const std::vector<CustomerLoad> customers = ledger_.MeasureLoads();
    std::for_each(customers.begin(), customers.end(), trace_.onCustomer_);
  }
  PoolBalancerOptions poolOptions = options_.pools_;
  poolOptions.maxMoves_ = std::max(
    poolOptions.maxMoves_, machines_.Machines().size() / kMachinesPerMove);
  const PoolDecision decision = BalancePools(pools, poolOptions);
  const std::unordered_set<std::string_view> closed(
    decision.closedMachines_.begin(), decision.closedMachines_.end());
  for (InstanceView* view : allViews_) {
    view->isClosedToNewWork_ = closed.contains(view->StoredRecord().machine());
  }
  for (const PoolMove& move : decision.moves_) {
    SendMachineOrder(aNow,
                     { .machine_ = move.machine_, .pool_ = move.toPool_ },
                     move.fromPool_,
                     "follows demand");
  }
}

// Machines with long-running tasks cannot be moved, and failures spread such
// tasks over many machines. Evacuates the instance with the fewest if the
// others that run such tasks have the capacity for all of them.
void FleetScheduler::ConsolidateLongRunning(Millis aNow)
{
  if (aNow - consolidatedAt_ < kConsolidationInterval) {
    return;
  }
  consolidatedAt_ = aNow;
  std::map<std::string, std::vector<InstanceView*>> candidates;
  for (InstanceView* each : allViews_) {
    InstanceView& view = *each;
    const bool isCandidate = view.LongRunningRunCount() > 0 &&
                             !view.StoredRecord().draining() &&
                             !view.removalProposed_;
    if (isCandidate) {
      candidates[view.StoredRecord().service()].push_back(&view);
    }
  }
  for (auto& [service, views] : candidates) {
    const bool isInProgress =
      std::any_of(views.begin(), views.end(), [&](const InstanceView* aView) {
        return aView->evacuating_ || !aView->IsUsable(aNow);
      });
    if (views.size() < 2 || isInProgress) {
      continue;
    }
    InstanceView* emptiest = *std::min_element(
      views.begin(), views.end(), [](auto* aLeft, auto* aRight) {
        return aLeft->LongRunningRunCount() < aRight->LongRunningRunCount();
      });
    ServiceCapacity capacity;
    for (const InstanceView* view : views) {
      capacity.AddHost(*view);
    }
    if (capacity.CanHostTasksOf(*emptiest)) {
      emptiest->evacuating_ = true;
      emptiest->consolidating_ = true;
      trace_.onInstance_(emptiest->StoredInstance().key_,
                         "evacuated to free its machine");
    }
  }
}

} // namespace vanillahatch
