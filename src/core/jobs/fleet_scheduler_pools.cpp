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
  for (const auto& [key, view] : views_) {
    const auto it = pools.find(view.Facts().service());
    const bool isLeaving =
      view.goneProposed_ || view.reserved_ || view.Facts().draining();
    if (it == pools.end() || isLeaving) {
      continue;
    }
    PoolLoad& pool = it->second;
    const double cores = view.Facts().capacity().cpu_millis() / kMillisOfCore;
    coresOfMachine = std::max(coresOfMachine, cores);
    const int64_t lasting = view.UsedByLasting().milliCpus_;
    pool.lasting_ += static_cast<double>(lasting) / kMillisOfCore;
    pool.wanted_ +=
      static_cast<double>(view.Used().milliCpus_ - lasting) / kMillisOfCore;
    const bool isSilent =
      aNow - view.lastAnswerAt_ > options_.lease_ / 2 && view.HasRuns();
    if (view.evacuating_ || isSilent) {
      continue;
    }
    pool.capacity_ += cores;
    ++pool.machineCount_;
    const bool isMovable = aNow >= view.avoidMoveUntil_ && view.contacted_ &&
                           !view.Facts().machine().empty();
    if (isMovable && !view.HasRuns()) {
      pool.idle_.push_back({ .machine_ = view.Facts().machine(),
                             .idleFor_ = aNow - view.lastBusyAt_,
                             .cores_ = cores });
    } else if (isMovable && view.LastingRuns() == 0) {
      pool.busy_.push_back(
        { .machine_ = view.Facts().machine(),
          .cores_ = cores,
          .usedCores_ =
            static_cast<double>(view.Used().milliCpus_) / kMillisOfCore });
    }
  }
  for (const auto& [name, op] : machines_.Ops()) {
    const std::string& target =
      op.order_.pool_.empty() ? op.fromPool_ : op.order_.pool_;
    if (const auto it = pools.find(target); it != pools.end()) {
      it->second.capacity_ += coresOfMachine;
      ++it->second.machineCount_;
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
    if (it != pools.end()) {
      it->second.wanted_ +=
        std::min(waiting.cores_, waiting.coreMillis_ / kDrainMillis);
    }
  }
  std::vector<PoolLoad> out;
  for (auto& [service, pool] : pools) {
    pool.expected_ = demands_[service].ForecastCores(aNow, kForesight);
    out.push_back(std::move(pool));
  }
  return out;
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
  }
  const PoolDecision decision = FollowDemand(pools, options_.pools_);
  const std::unordered_set<std::string_view> closed(decision.closed_.begin(),
                                                    decision.closed_.end());
  for (InstanceView* view : eachView_) {
    view->closed_ = closed.contains(view->Facts().machine());
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
    const bool isHost =
      view.LastingRuns() > 0 && !view.Facts().draining() && !view.goneProposed_;
    if (isHost) {
      hosts[view.Facts().service()].push_back(&view);
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
        return aLeft->LastingRuns() < aRight->LastingRuns();
      });
    if (FitElsewhere(*least, views)) {
      least->evacuating_ = true;
      least->consolidating_ = true;
      trace_.onInstance_(least->Record().key_, "emptied to free its machine");
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
               .left_ = host->Capacity() - host->UsedByLasting() };
    for (const auto& [task, run] : host->Runs()) {
      if (run.isLasting_) {
        ++room.bySteps_[{ task.job_, task.step_ }];
      }
    }
    rooms.push_back(std::move(room));
  }
  for (const auto& item : aView.Runs()) {
    const TaskRef& task = item.first;
    const RunView& run = item.second;
    const v1::StepSpec& spec = JobStore::SpecOf(task);
    if (!run.isLasting_) {
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
