#include "scheduler/fleet_driver.h"

#include "scheduler/await_proposal.h"
#include "vanillahatch/shell/log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>

namespace vanillahatch {

namespace asio = boost::asio;

namespace {

// Pause after each scheduling round; the next one serves all events of it.
// Under load it grows with the duration of the round, so that rounds leave most
// of the processor to replies and callers.
constexpr Millis kMinRoundDelay = Millis(10);
constexpr Millis kMaxRoundDelay = Millis(40);
constexpr int64_t kDelayPerRoundTime = 3;
// Rounds run at least this often, to check timeouts.
constexpr Millis kMaxRoundInterval = Millis(100);
// Idle connections are closed this often: instances come and go as machines
// move between pools, and file descriptors are limited.
constexpr Millis kCloseIdleInterval = Seconds(1);
constexpr double kPercent = 100.0;

std::string FormatTask(const v1::TaskName& aTask)
{
  return aTask.job() + '.' + std::to_string(aTask.occurrence()) + '.' +
         std::to_string(aTask.step()) + '.' + std::to_string(aTask.index());
}

std::string LabelledMetric(std::string_view aName, std::string_view aCustomer)
{
  std::string metric(aName);
  metric += "{customer=\"";
  for (const char character : aCustomer) {
    if (character == '\n') {
      metric += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      metric += '\\';
    }
    metric += character;
  }
  return metric + "\"}";
}

} // namespace

FleetDriver::FleetDriver(asio::io_context& aIo,
                         JobStoreReplica& aStore,
                         LogReplica& aReplica,
                         InstancePort& aInstances,
                         MachinePort& aMachines,
                         AdvisorPort& aAdvisor,
                         Metrics& aMetrics,
                         const Clock& aClock,
                         FleetDriverOptions aOptions)
  : io_(aIo)
  , store_(aStore)
  , replica_(aReplica)
  , instances_(aInstances)
  , machines_(aMachines)
  , advisor_(aAdvisor)
  , metrics_(aMetrics)
  , clock_(aClock)
  , options_(aOptions)
  , timer_(aIo)
  , orderQueues_(aIo, aClock)
{
}

void FleetDriver::Start()
{
  asio::co_spawn(
    io_, [this] { return RunRounds(); }, asio::detached);
}

void FleetDriver::Wake()
{
  if (!isWoken_) {
    isWoken_ = true;
    timer_.cancel();
  }
}

void FleetDriver::OnLeadershipChange()
{
  asio::post(io_, [this] {
    CheckLeadership();
    Wake();
  });
}

asio::awaitable<void> FleetDriver::RunRounds()
{
  for (;;) {
    boost::system::error_code ignored;
    if (!isWoken_) {
      timer_.expires_after(
        std::chrono::milliseconds(kMaxRoundInterval.Count()));
      co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    isWoken_ = false;
    CheckLeadership();
    CloseIdleConnections();
    const Millis startedAt = clock_.Now();
    ProcessEvent([this](FleetScheduler& aScheduler, Millis aNow) {
      aScheduler.Tick(aNow, clock_.UnixNow());
    });
    const Millis pause =
      std::clamp((clock_.Now() - startedAt) * kDelayPerRoundTime,
                 kMinRoundDelay,
                 kMaxRoundDelay);
    asio::steady_timer delay(io_, std::chrono::milliseconds(pause.Count()));
    co_await delay.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void FleetDriver::CloseIdleConnections()
{
  const Millis now = clock_.Now();
  if (now - lastClosedIdleAt_ >= kCloseIdleInterval) {
    lastClosedIdleAt_ = now;
    instances_.CloseIdle();
  }
}

void FleetDriver::CheckLeadership()
{
  // In `deposedTerm_` an instance refused this leader's fencing token: a later
  // term exists, although the replica does not know of it yet.
  const uint64_t leaderTerm = replica_.LeaderTerm();
  const uint64_t term = leaderTerm != deposedTerm_ ? leaderTerm : 0;
  if (term == term_ && (term == 0 || scheduler_ != nullptr)) {
    return;
  }
  scheduler_.reset();
  ++schedulerGeneration_;
  orderQueues_.Clear();
  holdsLeaderLease_ = false;
  term_ = term;
  if (term == 0) {
    LogInfo(Event::kSchedulerStopped,
            { { "leader", replica_.Status().leader_ } });
    return;
  }
  store_.With([&](JobStore& aStore) {
    scheduler_ = std::make_unique<FleetScheduler>(
      aStore,
      FleetSchedulerOptions{ .fencingToken_ = term,
                             .lease_ = options_.lease_,
                             .longestLease_ = options_.longestLease_,
                             .formerLeaderLease_ = options_.formerLeaderLease_,
                             .finishedJobRetention_ =
                               options_.finishedJobRetention_,
                             .machineOrderDelay_ = options_.machineOrderDelay_,
                             .remoteRackFactor_ = options_.remoteRackFactor_,
                             .machines_ = options_.machines_ },
      MakeTrace(),
      clock_.Now());
    LogInfo(Event::kSchedulerStarted,
            { { "fence", term },
              { "instances", aStore.Instances().size() },
              { "open_jobs", aStore.OpenJobs().size() } });
  });
}

// A replica whose log thread hangs publishes no new expiry, so its lease ends
// even though it does not notice a successor.
void FleetDriver::UpdateLeaderLease(Millis aNow)
{
  const Millis expiresAt = replica_.LeaderLeaseExpiresAt();
  scheduler_->SetLeaderLeaseExpiry(expiresAt);
  const bool isHeld = aNow < expiresAt;
  if (isHeld) {
    leaderLeaseHeldUntil_ = expiresAt;
  }
  if (isHeld != holdsLeaderLease_) {
    holdsLeaderLease_ = isHeld;
    LogInfo(Event::kLeaderLease,
            { { "held", isHeld ? "yes" : "no" },
              { "fence", term_ },
              { "expired_ms", (aNow - leaderLeaseHeldUntil_).Count() } });
  }
}

template<class EventHandler>
void FleetDriver::ProcessEvent(EventHandler aHandleEvent)
{
  if (scheduler_ == nullptr) {
    return;
  }
  std::vector<SchedulerAction> actions;
  store_.With([&](JobStore&) {
    const Millis now = clock_.Now();
    UpdateLeaderLease(now);
    aHandleEvent(*scheduler_, now);
    actions = scheduler_->TakeActions();
  });
  if (scheduler_->IsDeposed() && deposedTerm_ != term_) {
    deposedTerm_ = term_;
    LogWarning(Event::kSchedulerDeposed, { { "fence", term_ } });
    Wake();
    return; // The actions of a deposed leader are dropped.
  }
  Perform(std::move(actions));
}

void FleetDriver::Perform(std::vector<SchedulerAction> aActions)
{
  for (SchedulerAction& action : aActions) {
    std::visit([this](auto& aAction) { Perform(std::move(aAction)); }, action);
  }
}

void FleetDriver::Perform(StartOrder aOrder)
{
  const InstanceKey instance = aOrder.target_.instance_;
  const auto sharedOrder =
    std::make_shared<const StartOrder>(std::move(aOrder));
  const uint64_t generation = schedulerGeneration_;
  orderQueues_.Add(
    instance,
    { .send_ = [this, sharedOrder, generation]() -> asio::awaitable<void> {
       const Millis sentAt = clock_.Now();
       const OrderResult result = co_await instances_.Start(*sharedOrder);
       metrics_.Observe("vh_start_milliseconds",
                        static_cast<double>((clock_.Now() - sentAt).Count()));
       HandleStartResult(*sharedOrder, result, generation);
     },
      .sendBy_ = sharedOrder->target_.sendBy_,
      .onExpired_ =
        [this, sharedOrder, generation] {
          HandleStartResult(
            *sharedOrder, { .status_ = OrderStatus::kNotSent }, generation);
        } });
}

void FleetDriver::HandleStartResult(const StartOrder& aOrder,
                                    const OrderResult& aResult,
                                    uint64_t aGeneration)
{
  if (aResult.status_ != OrderStatus::kAccepted) {
    LogWarning(Event::kStartRefused,
               { { "task", FormatTask(aOrder.task_) },
                 { "run", aOrder.run_ },
                 { "instance", aOrder.target_.instance_.id_ },
                 { "status", static_cast<int>(aResult.status_) } });
  }
  if (aGeneration == schedulerGeneration_) {
    ProcessEvent([&](FleetScheduler& aScheduler, Millis aNow) {
      aScheduler.OnStart(aNow, aOrder, aResult);
    });
    Wake();
  }
}

void FleetDriver::Perform(const StopOrder& aOrder)
{
  const uint64_t generation = schedulerGeneration_;
  orderQueues_.Add(
    aOrder.target_.instance_,
    { .send_ = [this, aOrder, generation]() -> asio::awaitable<void> {
       const OrderResult result = co_await instances_.Stop(aOrder);
       HandleStopResult(aOrder, result, generation);
     },
      .sendBy_ = aOrder.target_.sendBy_,
      .onExpired_ =
        [this, aOrder, generation] {
          HandleStopResult(
            aOrder, { .status_ = OrderStatus::kNotSent }, generation);
        } });
}

void FleetDriver::HandleStopResult(const StopOrder& aOrder,
                                   const OrderResult& aResult,
                                   uint64_t aGeneration)
{
  LogInfo(Event::kRunStopped,
          { { "task", FormatTask(aOrder.task_) },
            { "run", aOrder.run_ },
            { "instance", aOrder.target_.instance_.id_ },
            { "status", static_cast<int>(aResult.status_) } });
  if (aGeneration == schedulerGeneration_) {
    ProcessEvent([&](FleetScheduler& aScheduler, Millis aNow) {
      aScheduler.OnStop(aNow, aOrder, aResult);
    });
    Wake();
  }
}

void FleetDriver::Perform(HoldOrder aOrder)
{
  asio::co_spawn(
    io_,
    [this,
     aOrder,
     generation = schedulerGeneration_]() -> asio::awaitable<void> {
      const Millis sentAt = clock_.Now();
      const ListingReply reply = co_await instances_.Hold(aOrder);
      if (generation == schedulerGeneration_) {
        ProcessEvent([&](FleetScheduler& aScheduler, Millis aNow) {
          aScheduler.OnListing(
            aNow, aOrder, sentAt, reply.result_, reply.listing_);
        });
        Wake();
      }
    },
    asio::detached);
}

void FleetDriver::Perform(const PaceOrder& aOrder)
{
  const uint64_t generation = schedulerGeneration_;
  orderQueues_.Add(
    aOrder.target_.instance_,
    { .send_ = [this, aOrder, generation]() -> asio::awaitable<void> {
       const OrderResult result = co_await instances_.Pace(aOrder);
       HandlePaceResult(aOrder, result, generation);
     },
      .sendBy_ = aOrder.target_.sendBy_,
      .onExpired_ =
        [this, aOrder, generation] {
          HandlePaceResult(
            aOrder, { .status_ = OrderStatus::kNotSent }, generation);
        } });
}

void FleetDriver::HandlePaceResult(const PaceOrder& aOrder,
                                   const OrderResult& aResult,
                                   uint64_t aGeneration)
{
  LogInfo(Event::kRunPaced,
          { { "task", FormatTask(aOrder.task_) },
            { "run", aOrder.run_ },
            { "percent", aOrder.percent_ },
            { "status", static_cast<int>(aResult.status_) } });
  if (aGeneration == schedulerGeneration_) {
    ProcessEvent([&](FleetScheduler& aScheduler, Millis) {
      aScheduler.OnPace(aOrder, aResult);
    });
  }
}

void FleetDriver::Perform(MachineOrder aOrder)
{
  asio::co_spawn(
    io_,
    [this,
     aOrder,
     generation = schedulerGeneration_]() -> asio::awaitable<void> {
      const MachineOrderStatus status = co_await machines_.Operate(aOrder);
      metrics_.Count("vh_machine_orders_total");
      LogInfo(Event::kMachineAnswered,
              { { "machine", aOrder.machine_ },
                { "pool", aOrder.pool_ },
                { "wave", aOrder.wave_ },
                { "status", static_cast<int>(status) } });
      if (generation == schedulerGeneration_) {
        ProcessEvent([&](FleetScheduler& aScheduler, Millis aNow) {
          aScheduler.OnMachineOrderResult(aNow, aOrder, status);
        });
        Wake();
      }
    },
    asio::detached);
}

void FleetDriver::Perform(MachineListOrder /*aOrder*/)
{
  asio::co_spawn(
    io_,
    [this, generation = schedulerGeneration_]() -> asio::awaitable<void> {
      const Millis sentAt = clock_.Now();
      auto machines = co_await machines_.List();
      if (generation == schedulerGeneration_) {
        ProcessEvent([&](FleetScheduler& aScheduler, Millis) {
          aScheduler.OnMachines(sentAt,
                                machines ? std::move(*machines)
                                         : std::vector<MachineView>());
        });
      }
    },
    asio::detached);
}

void FleetDriver::Perform(AdviceOrder aOrder)
{
  asio::co_spawn(
    io_,
    [this,
     aOrder,
     generation = schedulerGeneration_]() -> asio::awaitable<void> {
      const Millis sentAt = clock_.Now();
      const AdviceReply reply = co_await advisor_.Ask(aOrder);
      const Millis elapsed = clock_.Now() - sentAt;
      metrics_.Observe("vh_advice_milliseconds",
                       static_cast<double>(elapsed.Count()));
      LogInfo(Event::kAdviceTaken,
              { { "step", FormatTask(aOrder.name_) },
                { "asked", aOrder.queried_.size() },
                { "good", reply.allowed_.size() },
                { "answered", reply.isAnswered_ ? "yes" : "no" },
                { "ms", elapsed.Count() } });
      if (generation == schedulerGeneration_) {
        ProcessEvent([&](FleetScheduler& aScheduler, Millis aNow) {
          aScheduler.OnAdvice(aNow, aOrder, reply);
        });
        Wake();
      }
    },
    asio::detached);
}

void FleetDriver::Perform(const Proposal& aProposal)
{
  asio::co_spawn(
    io_,
    [this,
     number = aProposal.number_,
     payload = aProposal.changes_.SerializeAsString(),
     generation = schedulerGeneration_]() mutable -> asio::awaitable<void> {
      const ProposalResult result =
        co_await AwaitProposal(replica_, std::move(payload));
      if (generation != schedulerGeneration_) {
        co_return;
      }
      if (result.status_ != ProposalStatus::kCommitted) {
        // The change may or may not be committed, so the scheduler's state is
        // unknown. A new scheduler starts from the store.
        LogWarning(Event::kProposalFailed,
                   { { "status", static_cast<int>(result.status_) },
                     { "leader", result.leader_ } });
        term_ = 0;
        scheduler_.reset();
        Wake();
        co_return;
      }
      ProcessEvent([&](FleetScheduler& aScheduler, Millis aNow) {
        aScheduler.OnCommitted(aNow, number);
      });
      Wake();
    },
    asio::detached);
}

void FleetDriver::OnLeave(const InstanceKey& aKey)
{
  ProcessEvent([&](FleetScheduler& aScheduler, Millis aNow) {
    aScheduler.OnLeave(aNow, aKey);
  });
  Wake();
}

bool FleetDriver::IsWaveCompleted(uint64_t aWave)
{
  return store_.With([&](const JobStore&) {
    return scheduler_ != nullptr && scheduler_->IsWaveCompleted(aWave);
  });
}

SchedulerTrace FleetDriver::MakeTrace()
{
  return {
    .onStart_ =
      [this](const StartOrder& aOrder) {
        metrics_.Count("vh_starts_total");
        LogInfo(Event::kRunOrdered,
                { { "task", FormatTask(aOrder.task_) },
                  { "run", aOrder.run_ },
                  { "instance", aOrder.target_.instance_.id_ },
                  { "born", aOrder.target_.instance_.startedUnixMs_ },
                  { "fence", aOrder.target_.fencingToken_ } });
      },
    .onEnd_ =
      [this](
        const TaskRef&, const EndedTask& aEnded, const InstanceKey& aInstance) {
        metrics_.Count("vh_ends_total");
        LogInfo(Event::kRunEnded,
                { { "task", FormatTask(aEnded.task_) },
                  { "run", aEnded.run_ },
                  { "how", aEnded.reason_ },
                  { "instance", aInstance.id_ } });
      },
    .onInstance_ =
      [](const InstanceKey& aInstance, std::string_view aState) {
        LogInfo(Event::kInstanceBelief,
                { { "instance", aInstance.id_ },
                  { "born", aInstance.startedUnixMs_ },
                  { "belief", aState } });
      },
    .onInDoubt_ =
      [this](const TaskRef& aTask, uint32_t aRun, std::string_view aReason) {
        metrics_.Count("vh_runs_in_doubt_total");
        LogWarning(Event::kRunInDoubt,
                   { { "task", FormatTask(JobStore::NameOf(aTask)) },
                     { "run", aRun },
                     { "reason", aReason } });
      },
    .onStartWithheld_ =
      [this](const TaskRef& aTask, uint32_t aRun) {
        metrics_.Count("vh_starts_withheld_total");
        LogWarning(
          Event::kStartWithheld,
          { { "task", FormatTask(JobStore::NameOf(aTask)) }, { "run", aRun } });
      },
    .onNearWait_ =
      [this](const NearWaitReport& aReport) {
        if (!aReport.isEnded_) {
          metrics_.Count("vh_near_waits_total");
          return;
        }
        metrics_.Count("vh_near_waits_ended_near_total", aReport.endedNear_);
        metrics_.Count("vh_near_waits_ended_far_total", aReport.endedFar_);
        metrics_.Observe("vh_near_wait_milliseconds",
                         static_cast<double>(aReport.waited_.Count()));
        LogInfo(Event::kNearWaitEnded,
                { { "task", FormatTask(JobStore::NameOf(aReport.firstTask_)) },
                  { "rack", aReport.rack_ },
                  { "near", aReport.endedNear_ },
                  { "far", aReport.endedFar_ },
                  { "waited_ms", aReport.waited_.Count() } });
      },
    .onStepBeyondCap_ =
      [](const TaskRef& aTask) {
        LogWarning(Event::kStepBeyondCap,
                   { { "customer", aTask.job_->customer_ },
                     { "job", aTask.job_->id_ },
                     { "step", aTask.step_ } });
      },
    .onMachine_ =
      [](const MachineOrder& aOrder, std::string_view aReason) {
        LogInfo(Event::kMachineOrdered,
                { { "machine", aOrder.machine_ },
                  { "pool", aOrder.pool_ },
                  { "wave", aOrder.wave_ },
                  { "reason", aReason },
                  { "fence", aOrder.fencingToken_ } });
      },
    .onPool_ =
      [](const PoolLoad& aPool) {
        LogInfo(Event::kPoolMeasured,
                { { "service", aPool.service_ },
                  { "machines", aPool.machineCount_ },
                  { "idle", aPool.idle_.size() },
                  { "cores", static_cast<int>(aPool.capacity_) },
                  { "lasting", static_cast<int>(aPool.longRunningCores_) },
                  { "wanted", static_cast<int>(aPool.demandCores_) },
                  { "expected", static_cast<int>(aPool.forecastCores_) } });
      },
    .onDispatch_ =
      [this](const DispatchLoad& aLoad) {
        metrics_.Observe("vh_dispatch_delay_milliseconds",
                         static_cast<double>(aLoad.delay_.Count()));
        LogInfo(Event::kDispatchMeasured,
                { { "delay_ms", aLoad.delay_.Count() },
                  { "in_time", aLoad.inTime_ },
                  { "late", aLoad.late_ },
                  { "overdue", aLoad.overdue_ } });
      },
    .onCustomer_ =
      [this](const CustomerLoad& aLoad) {
        const auto set = [&](std::string_view aMetric, double aValue) {
          metrics_.Set(LabelledMetric(aMetric, aLoad.customer_), aValue);
        };
        set("vh_customer_share_percent", kPercent * aLoad.share_);
        set("vh_customer_cap_use_percent", kPercent * aLoad.capUse_);
        set("vh_customer_waiting_tasks", aLoad.waitingTasks_);
        set("vh_customer_held_tasks", aLoad.heldTasks_);
        LogInfo(
          Event::kCustomerMeasured,
          { { "customer", aLoad.customer_ },
            { "share_percent", static_cast<int>(kPercent * aLoad.share_) },
            { "weight_percent",
              static_cast<int>(kPercent * aLoad.shareByWeight_) },
            { "cap_percent", static_cast<int>(kPercent * aLoad.capUse_) },
            { "waiting", aLoad.waitingTasks_ },
            { "held", aLoad.heldTasks_ } });
      },
    .onAudit_ =
      [this](const AuditFinding& aFinding) {
        metrics_.Count("vh_audit_findings_total");
        LogError(Event::kAuditFinding,
                 { { "task", aFinding.task_ },
                   { "run", aFinding.run_ },
                   { "instance", aFinding.instance_ },
                   { "customer", aFinding.customer_ },
                   { "what", aFinding.description_ } });
      },
  };
}

} // namespace vanillahatch
