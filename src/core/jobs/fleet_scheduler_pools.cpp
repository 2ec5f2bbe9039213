// Pools that follow the demand: what each has and wants, which machines move,
// and which lasting tasks are gathered so that machines can.
#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace vanillahatch {

namespace {

// Between decisions on pools: fast against a turn, whose rise takes seconds.
constexpr Millis kFollowEvery = Millis(150);
// How far ahead demand is foretold: a move and the first report after it.
constexpr Millis kForesight = Millis(2200);
// Waiting work is to be done within this.
constexpr double kDrainMillis = 800;
// Machines at rest have been idle for long enough to be given.
constexpr Millis kAtRest = Seconds(4);
constexpr double kMillisOfCore = 1000.0;
// A decision moves at most one in so many machines, and a few of a small fleet:
// a turn wants a third of the fleet within a second, and the platform takes
// hundreds of orders in that time.
constexpr size_t kMovesAtOnce = 25;
constexpr Millis kTracePoolsEvery = Seconds(1);
// Between consolidations; each costs its tasks about a second of work.
constexpr Millis kConsolidateEvery = Millis(700);

} // namespace

std::vector<PoolLoad> FleetScheduler::MeasurePools(Millis aNow)
{
  std::map<std::string, PoolLoad> pools;
  for (const v1::ServiceSpec& service : store_.Config().services()) {
    pools[service.name()] = { .service_ = service.name(),
                              .isSpare_ = service.spare() };
  }
  double coresOfMachine = 0;
  std::map<std::string, double> emptyCores; // by service; nothing runs there
  for (const auto& [key, view] : views_) {
    const auto it = pools.find(view.StoredRecord().service());
    const bool isLeaving =
      view.removalProposed_ || view.reserved_ || view.StoredRecord().draining();
    if (it == pools.end() || isLeaving) {
      continue;
    }
    PoolLoad& pool = it->second;
    const double cores =
      view.StoredRecord().capacity().cpu_millis() / kMillisOfCore;
    if (cores > coresOfMachine) {
      coresOfMachine = cores;
      machineShape_ = view.Capacity();
    }
    const double lasting =
      OccupiedCores(view.UsedByLongRunning(), view.Capacity());
    const double used = OccupiedCores(view.Used(), view.Capacity());
    pool.longRunningCores_ += lasting;
    pool.demandCores_ += used - lasting;
    const bool isSilent =
      aNow - view.lastReplyAt_ > options_.lease_ / 2 && view.HasRuns();
    if (view.evacuating_ || isSilent) {
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
    const std::string& target =
      op.order_.pool_.empty() ? op.fromPool_ : op.order_.pool_;
    if (const auto it = pools.find(target); it != pools.end()) {
      it->second.capacity_ += coresOfMachine;
      ++it->second.machineCount_;
      emptyCores[target] += coresOfMachine;
    }
  }
  for (const auto& [name, machine] : machines_.Machines()) {
    const auto it = pools.find(machine.pool_);
    const auto refused = refusedUntil_.find(name);
    const bool isRefused =
      refused != refusedUntil_.end() && aNow < refused->second;
    const bool isAtRest = it != pools.end() && it->second.isSpare_ &&
                          machine.state_ == MachineState::kUp &&
                          machines_.FindOp(name) == nullptr && !isRefused;
    if (isAtRest) {
      it->second.idle_.push_back(
        { .machine_ = name, .idleFor_ = kAtRest, .cores_ = coresOfMachine });
    }
  }
  for (const auto& [service, waiting] : waiting_) {
    const auto it = pools.find(service);
    if (it == pools.end()) {
      continue;
    }
    PoolLoad& pool = it->second;
    pool.demandCores_ +=
      std::min(waiting.cores_, waiting.coreMillis_ / kDrainMillis);
    if (waiting.lastingCores_ > 0) {
      // What is in use counts as full; whole machines are wanted beside it.
      const double whole =
        std::max(waiting.lastingCores_, waiting.mostApart_ * coresOfMachine);
      const double empty = emptyCores[service];
      pool.demandCores_ =
        std::max(pool.demandCores_,
                 pool.capacity_ - pool.longRunningCores_ - empty + whole);
    }
  }
  std::vector<PoolLoad> out;
  for (auto& [service, pool] : pools) {
    pool.forecastCores_ = demands_[service].ForecastCores(aNow, kForesight);
    out.push_back(std::move(pool));
  }
  return out;
}

DispatchLoad FleetScheduler::MeasureDispatch() const
{
  DispatchLoad load{ .delay_ = times_.Delay() };
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

void FleetScheduler::FollowPools(Millis aNow)
{
  if (aNow - followedAt_ < kFollowEvery || !machines_.IsListed() ||
      !MayOperate(aNow)) {
    return;
  }
  followedAt_ = aNow;
  const std::vector<PoolLoad> pools = MeasurePools(aNow);
  if (aNow - poolsTracedAt_ >= kTracePoolsEvery) {
    poolsTracedAt_ = aNow;
    std::for_each(pools.begin(), pools.end(), trace_.onPool_);
    trace_.onDispatch_(MeasureDispatch());
  }
  PoolBalancerOptions following = options_.pools_;
  following.maxMoves_ =
    std::max(following.maxMoves_, machines_.Machines().size() / kMovesAtOnce);
  const PoolDecision decision = BalancePools(pools, following);
  const std::unordered_set<std::string_view> closed(
    decision.closedMachines_.begin(), decision.closedMachines_.end());
  for (InstanceView* view : eachView_) {
    view->isClosedToNewWork_ = closed.contains(view->StoredRecord().machine());
  }
  for (const PoolMove& move : decision.moves_) {
    Operate(aNow,
            { .machine_ = move.machine_, .pool_ = move.toPool_ },
            move.fromPool_,
            "follows demand");
  }
}

// Lasting tasks that a failure has spread keep machines from moving. The host
// with the fewest is emptied if the other hosts have room for all of them.
void FleetScheduler::Consolidate(Millis aNow)
{
  if (aNow - consolidatedAt_ < kConsolidateEvery) {
    return;
  }
  consolidatedAt_ = aNow;
  std::map<std::string, std::vector<InstanceView*>> hosts;
  for (InstanceView* each : eachView_) {
    InstanceView& view = *each;
    const bool isHost = view.LongRunningRunCount() > 0 &&
                        !view.StoredRecord().draining() &&
                        !view.removalProposed_;
    if (isHost) {
      hosts[view.StoredRecord().service()].push_back(&view);
    }
  }
  for (auto& [service, views] : hosts) {
    const bool isUnderWay =
      std::any_of(views.begin(), views.end(), [&](const InstanceView* aView) {
        return aView->evacuating_ || !aView->IsUsable(aNow);
      });
    if (views.size() < 2 || isUnderWay) {
      continue;
    }
    InstanceView* least = *std::min_element(
      views.begin(), views.end(), [](auto* aLeft, auto* aRight) {
        return aLeft->LongRunningRunCount() < aRight->LongRunningRunCount();
      });
    if (FitElsewhere(*least, views)) {
      least->evacuating_ = true;
      least->consolidating_ = true;
      trace_.onInstance_(least->StoredInstance().key_,
                         "emptied to free its machine");
    }
  }
}

// Whether every lasting run of `aView` finds room on the other hosts beside
// the lasting ones there; work that ends by itself makes way in time.
bool FleetScheduler::FitElsewhere(const InstanceView& aView,
                                  std::span<InstanceView* const> aHosts)
{
  struct Room
  {
    const InstanceView* view_ = nullptr;
    Resources left_;
    std::map<std::pair<const Job*, uint32_t>, uint32_t> bySteps_;
  };
  std::vector<Room> rooms;
  for (const InstanceView* host : aHosts) {
    if (host == &aView) {
      continue;
    }
    Room room{ .view_ = host,
               .left_ = host->Capacity() - host->UsedByLongRunning() };
    for (const auto& [task, run] : host->Runs()) {
      if (run.isLongRunning_) {
        ++room.bySteps_[{ task.job_, task.step_ }];
      }
    }
    rooms.push_back(std::move(room));
  }
  for (const auto& item : aView.Runs()) {
    const TaskRef& task = item.first;
    const RunView& run = item.second;
    const v1::StepSpec& spec = JobStore::SpecOf(task);
    if (!run.isLongRunning_) {
      continue;
    }
    const auto room =
      std::find_if(rooms.begin(), rooms.end(), [&](const Room& aRoom) {
        const auto held = aRoom.bySteps_.find({ task.job_, task.step_ });
        const uint32_t count = held != aRoom.bySteps_.end() ? held->second : 0;
        return run.need_.FitsInto(aRoom.left_) &&
               (spec.max_per_instance() == 0 ||
                count < spec.max_per_instance());
      });
    if (room == rooms.end()) {
      return false;
    }
    room->left_ = room->left_ - run.need_;
    ++room->bySteps_[{ task.job_, task.step_ }];
  }
  return true;
}

} // namespace vanillahatch
