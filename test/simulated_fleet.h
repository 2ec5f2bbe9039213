// A simulated fleet in virtual time for tests of FleetScheduler: instances that
// run tasks under leases, a platform that moves machines, and a log that
// commits at once. Public members of the instances and of the fleet inject
// faults.
//
//   SimulatedFleet fleet;
//   fleet.Configure({ { "layout", false } }, { { "drafts", "layout" } });
//   fleet.AddInstance("a", "layout").losesStartReplies_ = true;
//   fleet.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500) });
//   fleet.RunFor(Seconds(1));
#pragma once

#include "vanillahatch/core/jobs/fleet_scheduler.h"
#include "vanillahatch/core/jobs/report_changes.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <set>

namespace vanillahatch::test {

// A simulated instance process.
struct FakeInstance
{
  struct Run
  {
    v1::TaskName task_;
    uint32_t run_ = 0;
    Millis endsAt_; // Millis::Max(): long-running
  };

  v1::InstanceRecord record_;
  Millis clockOffset_;        // of its clock against the leader's
  uint64_t fencingToken_ = 0; // the highest received
  Millis deadline_;           // of its lease, on its own clock
  std::vector<Run> running_;
  std::vector<EndedTask> ended_;
  std::map<std::string, uint32_t> highestEndedRun_; // run number by task
  uint64_t lastEndNumber_ = 0;
  bool isReachable_ = true; // false: partitioned, but its tasks run
  bool isReachableByFormerLeader_ = false; // see `StartSuccessor`
  bool losesStartReplies_ = false;         // accepts starts, replies are lost
  std::deque<StartOrder> delayedStarts_;   // see `DeliverDelayedStarts`
  bool ignoresStops_ = false;              // neither stops runs nor replies
  bool refusesStarts_ = false;             // as unavailable, without effect
  bool delaysStarts_ = false; // starts go to `delayedStarts_`, no reply
  uint32_t runsToFail_ = 0;   // number of its next runs that fail
  uint32_t startsAccepted_ = 0;
};

inline std::string KeyOf(const v1::TaskName& aTask)
{
  return aTask.job() + '.' + std::to_string(aTask.occurrence()) + '.' +
         std::to_string(aTask.step()) + '.' + std::to_string(aTask.index());
}

class SimulatedFleet
{
public:
  explicit SimulatedFleet(uint64_t aFencingToken = 1)
  {
    StartLeader(aFencingToken);
  }

  // A new leader takes over, but the former one does not notice: it can commit
  // nothing, and still sends orders to the instances that only it reaches.
  void StartSuccessor(uint64_t aFencingToken)
  {
    formerLeader_ = std::move(scheduler_);
    formerLeader_->SetLeaderLeaseExpiry(now_ + kLeaderLease);
    for (const OpenListing& listing : std::exchange(openListings_, {})) {
      PerformForFormerLeader(listing.order_);
    }
    StartLeader(aFencingToken);
  }

  // A new leader takes over with the same log.
  void StartLeader(uint64_t aFencingToken)
  {
    fencingToken_ = aFencingToken;
    openListings_.clear();
    unreportedCommits_.clear();
    delayedReplies_.clear();
    scheduler_ = std::make_unique<FleetScheduler>(
      store_,
      FleetSchedulerOptions{ .fencingToken_ = aFencingToken,
                             .longestLease_ = kLongestLease,
                             .formerLeaderLease_ = kLeaderLease,
                             .machineOrderDelay_ = machineOrderDelay_,
                             .remoteRackFactor_ = remoteRackFactor_,
                             .nearWaitRule_ = nearWaitRule_ },
      SchedulerTrace{
        .onStart_ =
          [this](const StartOrder& aOrder) {
            ++starts_;
            startedTasks_.push_back(KeyOf(aOrder.task_));
            startLog_.push_back(KeyOf(aOrder.task_) + '@' +
                                aOrder.target_.instance_.id_);
          },
        .onEnd_ = [](const TaskRef&, const EndedTask&, const InstanceKey&) {},
        .onInstance_ = [](const InstanceKey&, std::string_view) {},
        .onInDoubt_ = [this](const TaskRef&,
                             uint32_t,
                             std::string_view) { ++runsInDoubt_; },
        .onStartWithheld_ = [this](const TaskRef&,
                                   uint32_t) { ++startsWithheld_; },
        .onNearWait_ =
          [this](const NearWaitReport& aReport) {
            nearWaits_ += aReport.isEnded_ ? 0 : 1;
            waitsEndedNear_ += aReport.endedNear_;
            waitsEndedFar_ += aReport.endedFar_;
            longestNearWait_ = std::max(longestNearWait_, aReport.waited_);
          },
        .onStepBeyondCap_ = [this](const TaskRef&) { ++stepsBeyondCap_; },
        .onMachine_ =
          [this](const MachineOrder& aOrder, std::string_view) {
            machineOrders_.push_back(aOrder);
          },
        .onPool_ =
          [this](const PoolLoad& aLoad) {
            PoolLoad& highest = highestLoads_[aLoad.service_];
            highest.demandCores_ =
              std::max(highest.demandCores_, aLoad.demandCores_);
            highest.forecastCores_ =
              std::max(highest.forecastCores_, aLoad.forecastCores_);
          },
        .onDispatch_ = [this](const DispatchLoad& aLoad) { dispatch_ = aLoad; },
        .onCustomer_ =
          [this](const CustomerLoad& aLoad) {
            customerLoads_[aLoad.customer_] = aLoad;
          },
        .onAudit_ =
          [this](const AuditFinding& aFinding) {
            ++auditFindings_;
            BOOST_CHECK_MESSAGE(expectsAuditFindings_,
                                "audit: " << aFinding.description_ << ", task "
                                          << aFinding.task_ << " run "
                                          << aFinding.run_);
          },
      },
      now_);
    scheduler_->SetLeaderLeaseExpiry(leaderLeaseExpiresAt_);
  }

  // Of the present leader and of leaders started later.
  void SetLeaderLeaseExpiry(Millis aExpiresAt)
  {
    leaderLeaseExpiresAt_ = aExpiresAt;
    scheduler_->SetLeaderLeaseExpiry(aExpiresAt);
  }

  void Configure(std::vector<std::pair<std::string, bool>> aServices,
                 std::vector<std::pair<std::string, std::string>> aQueues)
  {
    v1::JobChanges changes;
    v1::FleetDocument& config = *changes.add_changes()->mutable_put_config();
    config.set_version(store_.Config().version() + 1);
    *config.mutable_customers() = store_.Config().customers();
    for (const auto& [name, isSpare] : aServices) {
      v1::ServiceSpec& service = *config.add_services();
      service.set_name(name);
      service.set_spare(isSpare);
      service.set_enforces_capacity(true);
    }
    for (const auto& [name, service] : aQueues) {
      v1::QueueSpec& queue = *config.add_queues();
      queue.set_name(name);
      queue.set_host("host");
      queue.set_path_prefix("/" + name + "/");
      queue.set_service(service);
      queue.set_max_attempts(3);
      queue.set_stretch(1.6);
      queue.set_target_latency_ms(600);
    }
    store_.Apply(changes);
  }

  struct Customer
  {
    std::string name_;
    double weight_ = 1.0;
    uint32_t capCores_ = 0; // 0: unlimited
  };

  // Replaces the customers of the configuration.
  void PutCustomers(std::vector<Customer> aCustomers)
  {
    v1::JobChanges changes;
    v1::FleetDocument& config = *changes.add_changes()->mutable_put_config();
    config = store_.Config();
    config.set_version(config.version() + 1);
    config.clear_customers();
    for (const Customer& customer : aCustomers) {
      v1::CustomerSpec& spec = *config.add_customers();
      spec.set_name(customer.name_);
      spec.set_weight(customer.weight_);
      spec.mutable_cap()->set_cpu_millis(customer.capCores_ * 1000);
    }
    store_.Apply(changes);
  }

  FakeInstance& AddInstance(const std::string& aId,
                            const std::string& aService,
                            uint32_t aCores = 16,
                            int64_t aStartedUnixMs = 1000,
                            const std::string& aRack = {})
  {
    FakeInstance& instance = instances_[aId];
    instance = {};
    instance.record_.set_id(aId);
    instance.record_.set_born_unix_ms(aStartedUnixMs);
    instance.record_.set_address("10.0.0.1");
    instance.record_.set_port(80);
    instance.record_.set_service(aService);
    instance.record_.set_machine("m-" + aId);
    instance.record_.mutable_capacity()->set_cpu_millis(aCores * 1000);
    instance.record_.mutable_capacity()->set_memory_mb(64000);
    instance.record_.set_rack(aRack);
    instance.clockOffset_ = Millis(5000);
    Report(instance);
    return instance;
  }

  void Report(const FakeInstance& aInstance)
  {
    store_.Apply(ChangesForReport(store_, { .record_ = aInstance.record_ }));
  }

  // As `FleetControl::Leave`. Returns false if the instance has to ask again.
  bool Leave(const std::string& aId)
  {
    const InstanceKey key = ToKey(instances_.at(aId).record_);
    const std::vector<InstanceKey> leaving = FindLeaving(store_, key);
    for (const InstanceKey& each : leaving) {
      scheduler_->OnLeave(now_, each);
    }
    const bool mayRun = MayRunTasks(store_, leaving);
    if (!mayRun) {
      store_.Apply(ChangesForLeave(store_, key));
    }
    return !mayRun;
  }

  // The instance starts again under its id, with a new clock and without its
  // runs. Until it reports, nobody knows of that.
  FakeInstance& Restart(const std::string& aId)
  {
    FakeInstance& instance = instances_.at(aId);
    v1::InstanceRecord record = instance.record_;
    record.set_born_unix_ms(record.born_unix_ms() + 1000);
    std::deque<StartOrder> delayedStarts = std::move(instance.delayedStarts_);
    instance = { .record_ = std::move(record),
                 .clockOffset_ = Millis() - now_,
                 .delayedStarts_ = std::move(delayedStarts) };
    std::vector<OpenListing> open = std::exchange(openListings_, {});
    for (const OpenListing& listing : open) {
      if (listing.order_.target_.instance_.id_ != aId) {
        openListings_.push_back(listing);
        continue;
      }
      scheduler_->OnListing(now_,
                            listing.order_,
                            listing.sentAt_,
                            { .status_ = OrderStatus::kUnknown },
                            {});
    }
    return instance;
  }

  Job& Submit(const std::string& aId,
              const std::string& aQueue,
              std::vector<v1::StepSpec> aSteps,
              const std::string& aCustomer = {})
  {
    v1::JobChanges changes;
    v1::AcceptJob& job = *changes.add_changes()->mutable_accept_job();
    job.set_id(aId);
    job.set_queue(aQueue);
    job.set_service(store_.FindQueue(aQueue)->service());
    job.set_customer(aCustomer);
    job.set_submitted_unix_ms(now_.Count());
    for (v1::StepSpec& step : aSteps) {
      *job.mutable_spec()->add_steps() = std::move(step);
    }
    store_.Apply(changes);
    return *store_.FindJob(aId);
  }

  static v1::StepSpec StepOf(uint32_t aTasks,
                             uint32_t aCpuMillis,
                             uint32_t aRunMs = 600)
  {
    v1::StepSpec step;
    step.set_task_count(aTasks);
    step.mutable_need()->set_cpu_millis(aCpuMillis);
    step.mutable_need()->set_memory_mb(1000);
    step.set_estimated_run_ms(aRunMs);
    return step;
  }

  static v1::StepSpec LongRunningStep(uint32_t aTasks, uint32_t aMaxUnavailable)
  {
    v1::StepSpec step = StepOf(aTasks, 1500, 0);
    step.set_lasting(true);
    step.set_max_unavailable(aMaxUnavailable);
    return step;
  }

  void RunFor(Millis aSpan)
  {
    constexpr Millis kRound = Millis(10);
    for (const Millis until = now_ + aSpan; now_ < until;) {
      now_ = now_ + kRound;
      for (auto& [id, instance] : instances_) {
        AdvanceInstance(instance);
      }
      ReplyToListings();
      DeliverDelayedReplies();
      ReturnMachines();
      scheduler_->Tick(now_, now_);
      ReportCommits();
      Perform();
      RunFormerLeader();
    }
  }

  bool RunUntil(const std::function<bool()>& aCondition, Millis aWithin)
  {
    for (const Millis until = now_ + aWithin; now_ < until;) {
      RunFor(Millis(10));
      if (aCondition()) {
        return true;
      }
    }
    return false;
  }

  // Start orders that were held back reach the instance.
  void DeliverDelayedStarts(FakeInstance& aInstance)
  {
    while (!aInstance.delayedStarts_.empty()) {
      const StartOrder order = aInstance.delayedStarts_.front();
      aInstance.delayedStarts_.pop_front();
      (void)ProcessStart(aInstance, order);
    }
  }

  size_t RunningCopies(const v1::TaskName& aTask) const
  {
    size_t copies = 0;
    for (const auto& [id, instance] : instances_) {
      for (const FakeInstance::Run& run : instance.running_) {
        copies += KeyOf(run.task_) == KeyOf(aTask) ? 1 : 0;
      }
    }
    return copies;
  }

  // What the customer's runs need that the instances run now, in thousandths
  // of a core, and the most at any accepted start so far.
  uint32_t RunningMilliCpus(const std::string& aCustomer) const
  {
    uint32_t milliCpus = 0;
    for (const auto& [id, instance] : instances_) {
      for (const FakeInstance::Run& run : instance.running_) {
        const Job* job = store_.FindJob(run.task_.job());
        if (job != nullptr && job->customer_ == aCustomer) {
          milliCpus += job->spec_.steps(static_cast<int>(run.task_.step()))
                         .need()
                         .cpu_millis();
        }
      }
    }
    return milliCpus;
  }
  uint32_t MaxRunningMilliCpus(const std::string& aCustomer) const
  {
    const auto it = maxRunningMilliCpus_.find(aCustomer);
    return it != maxRunningMilliCpus_.end() ? it->second : 0;
  }
  void ForgetMaxRunning() { maxRunningMilliCpus_.clear(); }
  // The highest present and expected demand for the service, as traced.
  const PoolLoad& HighestLoad(const std::string& aService)
  {
    return highestLoads_[aService];
  }
  // As last traced.
  const CustomerLoad& LoadOf(const std::string& aCustomer)
  {
    return customerLoads_[aCustomer];
  }
  // In the order of their start orders; see `KeyOf`.
  const std::vector<std::string>& StartedTasks() const { return startedTasks_; }

  Millis Now() const { return now_; }
  JobStore& Store() { return store_; }
  FleetScheduler& Scheduler() { return *scheduler_; }
  FakeInstance& At(const std::string& aId) { return instances_.at(aId); }
  const std::vector<MachineOrder>& MachineOrders() const
  {
    return machineOrders_;
  }
  size_t Starts() const { return startLog_.size(); }
  // TASK@INSTANCE of each start.
  const std::vector<std::string>& StartLog() const { return startLog_; }
  const DispatchLoad& LastDispatch() const { return dispatch_; }
  size_t RunsInDoubt() const { return runsInDoubt_; }
  size_t StartsWithheld() const { return startsWithheld_; }
  size_t StepsBeyondCap() const { return stepsBeyondCap_; }
  size_t OrdersWithSendBy() const { return ordersWithSendBy_; }
  size_t OrdersWithWrongSendBy() const { return ordersWithWrongSendBy_; }
  // The highest number of machines in maintenance at the same time.
  size_t MaxInMaintenance() const { return maxInMaintenance_; }
  // Commits the proposals that `holdsCommits_` held back, in order.
  void CommitHeldProposals()
  {
    holdsCommits_ = false;
    for (Proposal& proposal : std::exchange(uncommitted_, {})) {
      Perform(proposal);
    }
    Perform();
  }
  bool holdsCommits_ = false;
  bool expectsAuditFindings_ = false; // if false, a finding fails the test
  size_t AuditFindings() const { return auditFindings_; }
  // As with a log in its own thread: the scheduler makes decisions on applied
  // changes before it receives their commits.
  bool reportsCommitsLate_ = false;
  Millis machineOrderDelay_; // of leaders started later
  // Of leaders started later, and of tasks away from their data or their gang.
  double remoteRackFactor_ = 1.0;
  NearWaitRule nearWaitRule_ = &WaitForNearPlace; // of leaders started later
  double runTimeRatio_ = 1.0;                     // of declared run times
  size_t NearWaitCount() const { return nearWaits_; }
  size_t WaitsEndedNear() const { return waitsEndedNear_; }
  size_t WaitsEndedFar() const { return waitsEndedFar_; }
  Millis LongestNearWait() const { return longestNearWait_; }
  // Delay of replies to starts and listings, as with a leader that has too
  // little processor time.
  Millis replyDelay_;
  bool platformReplies_ = true;
  // Orders that were carried out before: accepted without effect.
  std::set<std::string> completedUpkeeps_; // machines
  std::set<std::string> refusedUpkeeps_;   // machines; refused as busy
  // Machines as the platform lists them, if its list is out of date.
  std::map<std::string, MachineView> outdatedMachines_;
  bool advisorReplies_ = true;
  size_t AdviceCalls() const { return adviceCalls_; }
  // The advisor grants tickets for instances with an even last digit.
  static bool IsAdvised(const std::string& aId)
  {
    return (aId.back() - '0') % 2 == 0;
  }
  static constexpr Millis kTicketValidity = Seconds(3);
  // The longest lease that an instance accepts.
  static constexpr Millis kLongestLease = Seconds(10);
  // How long a former leader grants leases at most.
  static constexpr Millis kLeaderLease = Millis(600);

private:
  struct OpenListing
  {
    HoldOrder order_;
    Millis sentAt_;
    Millis repliesAt_;
  };
  struct UnavailableMachine
  {
    std::string id_;
    std::string pool_;
    bool isMaintenance_ = false;
    Millis backAt_;
  };

  void AdvanceInstance(FakeInstance& aInstance)
  {
    const Millis clock = now_ + aInstance.clockOffset_;
    const bool hasExpired = clock > aInstance.deadline_;
    std::vector<FakeInstance::Run> stillRunning;
    for (FakeInstance::Run& run : aInstance.running_) {
      if (hasExpired) {
        EndRun(aInstance, run, v1::RUN_STOPPED, "lapsed");
      } else if (now_ >= run.endsAt_ && aInstance.runsToFail_ > 0) {
        --aInstance.runsToFail_;
        EndRun(aInstance, run, v1::RUN_FAILED, "failed");
      } else if (now_ >= run.endsAt_) {
        EndRun(aInstance, run, v1::RUN_DONE, "done");
      } else {
        stillRunning.push_back(std::move(run));
      }
    }
    aInstance.running_ = std::move(stillRunning);
  }

  static void EndRun(FakeInstance& aInstance,
                     const FakeInstance::Run& aRun,
                     v1::RunOutcome aOutcome,
                     std::string aReason)
  {
    aInstance.highestEndedRun_[KeyOf(aRun.task_)] = aRun.run_;
    aInstance.ended_.push_back({ .number_ = ++aInstance.lastEndNumber_,
                                 .task_ = aRun.task_,
                                 .run_ = aRun.run_,
                                 .outcome_ = aOutcome,
                                 .reason_ = std::move(aReason) });
  }

  void ExtendLease(FakeInstance& aInstance, Millis aDeadline) const
  {
    const Millis longest = now_ + aInstance.clockOffset_ + kLongestLease;
    aInstance.deadline_ =
      std::max(aInstance.deadline_, std::min(aDeadline, longest));
  }

  OrderResult ProcessStart(FakeInstance& aInstance, const StartOrder& aOrder)
  {
    const Millis clock = now_ + aInstance.clockOffset_;
    const auto refuse = [&](OrderStatus aStatus) {
      return OrderResult{ .status_ = aStatus, .clock_ = clock };
    };
    if (aOrder.target_.fencingToken_ < aInstance.fencingToken_) {
      return refuse(OrderStatus::kFenced);
    }
    aInstance.fencingToken_ = aOrder.target_.fencingToken_;
    if (aInstance.refusesStarts_) {
      return refuse(OrderStatus::kUnavailable);
    }
    const auto ended = aInstance.highestEndedRun_.find(KeyOf(aOrder.task_));
    if (ended != aInstance.highestEndedRun_.end() &&
        ended->second >= aOrder.run_) {
      return refuse(OrderStatus::kRunTooOld);
    }
    if (clock > aOrder.deadline_) {
      return refuse(OrderStatus::kPastDeadline);
    }
    const v1::QueueSpec* queue = store_.FindQueue(aOrder.ref_.job_->queue_);
    const std::string ticket = "t-" + aInstance.record_.id();
    if (queue != nullptr && queue->needs_advice() &&
        (aOrder.ticket_ != ticket || !IsAdvised(aInstance.record_.id()))) {
      return refuse(OrderStatus::kNoTicket);
    }
    ++aInstance.startsAccepted_;
    ExtendLease(aInstance, aOrder.deadline_);
    const v1::StepSpec& spec = JobStore::SpecOf(aOrder.ref_);
    aInstance.running_.push_back(
      { .task_ = aOrder.task_,
        .run_ = aOrder.run_,
        .endsAt_ = spec.lasting() ? Millis::Max()
                                  : now_ + RunTimeOn(aInstance, aOrder) });
    const std::string& customer = aOrder.ref_.job_->customer_;
    if (!customer.empty()) {
      uint32_t& max = maxRunningMilliCpus_[customer];
      max = std::max(max, RunningMilliCpus(customer));
    }
    return { .status_ = OrderStatus::kAccepted, .clock_ = clock };
  }

  Millis RunTimeOn(const FakeInstance& aInstance,
                   const StartOrder& aOrder) const
  {
    const v1::StepSpec& spec = JobStore::SpecOf(aOrder.ref_);
    const std::string& rack = aInstance.record_.rack();
    bool isFar = !spec.data_rack().empty() && spec.data_rack() != rack;
    for (const auto& [key, instance] : store_.Instances()) {
      const bool hasGangMember =
        spec.same_rack() &&
        std::any_of(instance->assigned_.begin(),
                    instance->assigned_.end(),
                    [&](const TaskRef& aTask) {
                      return aTask.job_ == aOrder.ref_.job_ &&
                             aTask.step_ == aOrder.ref_.step_;
                    });
      isFar = isFar || (hasGangMember && instance->record_.rack() != rack);
    }
    return Millis(static_cast<int64_t>(spec.estimated_run_ms() * runTimeRatio_ *
                                       (isFar ? remoteRackFactor_ : 1.0)));
  }

  void DeliverReply(std::function<void()> aReply)
  {
    if (replyDelay_ == Millis()) {
      aReply();
      return;
    }
    delayedReplies_.emplace_back(now_ + replyDelay_, std::move(aReply));
  }

  void DeliverDelayedReplies()
  {
    while (!delayedReplies_.empty() && delayedReplies_.front().first <= now_) {
      const std::function<void()> reply =
        std::move(delayedReplies_.front().second);
      delayedReplies_.pop_front();
      reply();
    }
  }

  // Orders name an id, so any incarnation with it executes them.
  FakeInstance* FindReachable(const OrderTarget& aTarget)
  {
    const auto it = instances_.find(aTarget.instance_.id_);
    return it != instances_.end() && it->second.isReachable_ ? &it->second
                                                             : nullptr;
  }

  void Perform()
  {
    for (int round = 0; round < 4; ++round) {
      for (SchedulerAction& action : scheduler_->TakeActions()) {
        std::visit([this](auto& aAction) { Perform(aAction); }, action);
      }
    }
  }

  void RunFormerLeader()
  {
    if (formerLeader_ == nullptr) {
      return;
    }
    formerLeader_->Tick(now_, now_);
    for (SchedulerAction& action : formerLeader_->TakeActions()) {
      if (const auto* hold = std::get_if<HoldOrder>(&action)) {
        PerformForFormerLeader(*hold);
      }
    }
  }

  // The instance replies at once.
  void PerformForFormerLeader(const HoldOrder& aOrder)
  {
    FakeInstance& instance = instances_.at(aOrder.target_.instance_.id_);
    if (!instance.isReachableByFormerLeader_ ||
        aOrder.target_.fencingToken_ < instance.fencingToken_) {
      formerLeader_->OnListing(
        now_, aOrder, now_, { .status_ = OrderStatus::kUnknown }, {});
      return;
    }
    if (aOrder.deadline_) {
      ExtendLease(instance, *aOrder.deadline_);
    }
    formerLeader_->OnListing(now_,
                             aOrder,
                             now_,
                             { .status_ = OrderStatus::kAccepted,
                               .clock_ = now_ + instance.clockOffset_ },
                             ListingOf(instance));
  }

  static InstanceListing ListingOf(const FakeInstance& aInstance)
  {
    InstanceListing listing{ .ended_ = aInstance.ended_,
                             .startedUnixMs_ =
                               aInstance.record_.born_unix_ms() };
    for (const FakeInstance::Run& run : aInstance.running_) {
      listing.running_.push_back(
        { .task_ = run.task_, .run_ = run.run_, .percent_ = 100 });
    }
    return listing;
  }

  void ReportCommits()
  {
    for (const uint64_t number : std::exchange(unreportedCommits_, {})) {
      scheduler_->OnCommitted(now_, number);
    }
  }

  void Perform(Proposal& aProposal)
  {
    if (holdsCommits_) {
      uncommitted_.push_back(std::move(aProposal));
      return;
    }
    // Serialized as in a real log, so that nothing refers to the proposal.
    v1::JobChanges changes;
    changes.ParseFromString(aProposal.changes_.SerializeAsString());
    store_.Apply(changes);
    if (reportsCommitsLate_) {
      unreportedCommits_.push_back(aProposal.number_);
      return;
    }
    scheduler_->OnCommitted(now_, aProposal.number_);
  }

  // All orders are bounded but stops that do not expire.
  void CheckSendBy(const OrderTarget& aTarget, bool aExpires)
  {
    ordersWithSendBy_ += aTarget.sendBy_ ? 1 : 0;
    const std::optional<Millis> expected =
      aExpires ? std::optional(now_ + kMaxOrderDelay) : std::nullopt;
    ordersWithWrongSendBy_ += aTarget.sendBy_ != expected ? 1 : 0;
  }

  void Perform(StartOrder& aOrder)
  {
    CheckSendBy(aOrder.target_, true);
    FakeInstance* instance = FindReachable(aOrder.target_);
    OrderResult result{ .status_ = OrderStatus::kUnknown };
    if (instance != nullptr && instance->delaysStarts_) {
      instance->delayedStarts_.push_back(aOrder);
    } else if (instance != nullptr) {
      const OrderResult reply = ProcessStart(*instance, aOrder);
      result = instance->losesStartReplies_ ? result : reply;
    }
    DeliverReply(
      [this, aOrder, result] { scheduler_->OnStart(now_, aOrder, result); });
  }

  void Perform(StopOrder& aOrder)
  {
    CheckSendBy(aOrder.target_, aOrder.expires_);
    FakeInstance* instance = FindReachable(aOrder.target_);
    OrderResult result{ .status_ = OrderStatus::kUnknown };
    if (instance != nullptr && !instance->ignoresStops_) {
      uint32_t& highest = instance->highestEndedRun_[KeyOf(aOrder.task_)];
      std::erase_if(instance->running_, [&](const FakeInstance::Run& aRun) {
        const bool isTarget =
          KeyOf(aRun.task_) == KeyOf(aOrder.task_) && aRun.run_ == aOrder.run_;
        if (isTarget) {
          EndRun(*instance, aRun, v1::RUN_STOPPED, "stopped");
        }
        return isTarget;
      });
      highest = std::max(highest, aOrder.run_);
      result = { .status_ = OrderStatus::kAccepted,
                 .clock_ = now_ + instance->clockOffset_ };
    }
    scheduler_->OnStop(now_, aOrder, result);
  }

  void Perform(HoldOrder& aOrder)
  {
    CheckSendBy(aOrder.target_, true);
    FakeInstance* instance = FindReachable(aOrder.target_);
    if (instance == nullptr) {
      scheduler_->OnListing(
        now_, aOrder, now_, { .status_ = OrderStatus::kUnknown }, {});
      return;
    }
    instance->fencingToken_ =
      std::max(instance->fencingToken_, aOrder.target_.fencingToken_);
    if (aOrder.deadline_) {
      ExtendLease(*instance, *aOrder.deadline_);
    }
    std::erase_if(instance->ended_, [&](const EndedTask& aEnded) {
      return aEnded.number_ <= aOrder.endCursor_;
    });
    openListings_.push_back(
      { .order_ = aOrder, .sentAt_ = now_, .repliesAt_ = now_ + aOrder.wait_ });
    ReplyToListings();
  }

  // A listing gets its reply at the first end or when its wait is over.
  void ReplyToListings()
  {
    for (size_t i = 0; i < openListings_.size();) {
      const FakeInstance* instance =
        FindReachable(openListings_[i].order_.target_);
      const bool isDue = instance == nullptr || !instance->ended_.empty() ||
                         now_ >= openListings_[i].repliesAt_;
      if (!isDue) {
        ++i;
        continue;
      }
      const OpenListing listing = openListings_[i];
      openListings_.erase(openListings_.begin() +
                          static_cast<std::ptrdiff_t>(i));
      ReplyToListing(listing);
    }
  }

  void ReplyToListing(const OpenListing& aListing)
  {
    const HoldOrder& order = aListing.order_;
    const FakeInstance* instance = FindReachable(order.target_);
    if (instance == nullptr) {
      scheduler_->OnListing(now_,
                            order,
                            aListing.sentAt_,
                            { .status_ = OrderStatus::kUnknown },
                            {});
      return;
    }
    const InstanceListing listing = ListingOf(*instance);
    const OrderResult result{ .status_ = OrderStatus::kAccepted,
                              .clock_ = now_ + instance->clockOffset_ };
    DeliverReply([this, aListing, result, listing] {
      scheduler_->OnListing(
        now_, aListing.order_, aListing.sentAt_ - Millis(1), result, listing);
    });
  }

  void Perform(PaceOrder& aOrder)
  {
    CheckSendBy(aOrder.target_, true);
    scheduler_->OnPace(aOrder, { .status_ = OrderStatus::kAccepted });
  }

  void Perform(MachineOrder& aOrder)
  {
    if (!platformReplies_) {
      scheduler_->OnMachineOrderResult(
        now_, aOrder, MachineOrderStatus::kUnknown);
      return;
    }
    if (aOrder.pool_.empty() && refusedUpkeeps_.contains(aOrder.machine_)) {
      scheduler_->OnMachineOrderResult(now_, aOrder, MachineOrderStatus::kBusy);
      return;
    }
    const std::string id = aOrder.machine_.substr(2);
    const auto it = instances_.find(id);
    const bool isDone = aOrder.pool_.empty()
                          ? completedUpkeeps_.contains(aOrder.machine_)
                          : it != instances_.end() && it->second.isReachable_ &&
                              it->second.record_.service() == aOrder.pool_;
    if (isDone) {
      scheduler_->OnMachineOrderResult(
        now_, aOrder, MachineOrderStatus::kAccepted);
      return;
    }
    const std::string pool = aOrder.pool_.empty() && it != instances_.end()
                               ? it->second.record_.service()
                               : aOrder.pool_;
    constexpr Millis kUnavailableFor = Seconds(2);
    unavailable_.push_back({ .id_ = id,
                             .pool_ = pool,
                             .isMaintenance_ = aOrder.pool_.empty(),
                             .backAt_ = now_ + kUnavailableFor });
    if (it != instances_.end()) {
      it->second.running_.clear();
      it->second.isReachable_ = false;
    }
    const auto inMaintenance =
      std::count_if(unavailable_.begin(),
                    unavailable_.end(),
                    [](const UnavailableMachine& aMachine) {
                      return aMachine.isMaintenance_;
                    });
    maxInMaintenance_ =
      std::max(maxInMaintenance_, static_cast<size_t>(inMaintenance));
    scheduler_->OnMachineOrderResult(
      now_, aOrder, MachineOrderStatus::kAccepted);
  }

  void Perform(AdviceOrder& aOrder)
  {
    AdviceReply reply{ .isAnswered_ = advisorReplies_,
                       .validity_ = kTicketValidity };
    ++adviceCalls_;
    for (const InstanceKey& instance : aOrder.queried_) {
      if (IsAdvised(instance.id_)) {
        reply.allowed_.push_back(
          { .instance_ = instance.id_, .ticket_ = "t-" + instance.id_ });
      }
    }
    scheduler_->OnAdvice(now_, aOrder, reply);
  }

  void Perform(MachineListOrder& /*aOrder*/)
  {
    std::vector<MachineView> machines;
    for (const auto& item : instances_) {
      const std::string& id = item.first;
      const FakeInstance& instance = item.second;
      const auto outdated = outdatedMachines_.find("m-" + id);
      if (outdated != outdatedMachines_.end()) {
        machines.push_back(outdated->second);
        continue;
      }
      const bool isUnavailable = std::any_of(
        unavailable_.begin(),
        unavailable_.end(),
        [&](const UnavailableMachine& aMachine) { return aMachine.id_ == id; });
      machines.push_back(
        { .machine_ = "m-" + id,
          .pool_ = instance.record_.service(),
          .state_ = isUnavailable ? MachineState::kMoving : MachineState::kUp,
          .instance_ = id });
    }
    scheduler_->OnMachines(now_, std::move(machines));
  }

  void ReturnMachines()
  {
    for (size_t i = 0; i < unavailable_.size();) {
      if (unavailable_[i].backAt_ > now_) {
        ++i;
        continue;
      }
      const UnavailableMachine machine = unavailable_[i];
      unavailable_.erase(unavailable_.begin() + static_cast<std::ptrdiff_t>(i));
      const int64_t startedUnixMs =
        instances_.at(machine.id_).record_.born_unix_ms() + 1000;
      const bool isSpare = store_.FindService(machine.pool_) != nullptr &&
                           store_.FindService(machine.pool_)->spare();
      if (!isSpare) {
        AddInstance(machine.id_, machine.pool_, 16, startedUnixMs);
      }
    }
  }

  Millis now_ = Seconds(1000);
  Millis leaderLeaseExpiresAt_ = Millis::Max();
  uint64_t fencingToken_ = 1;
  JobStore store_;
  std::unique_ptr<FleetScheduler> scheduler_;
  std::unique_ptr<FleetScheduler> formerLeader_;
  std::map<std::string, FakeInstance> instances_;
  std::vector<UnavailableMachine> unavailable_;
  std::vector<OpenListing> openListings_;
  std::vector<MachineOrder> machineOrders_;
  DispatchLoad dispatch_;
  std::map<std::string, PoolLoad> highestLoads_; // by service
  std::map<std::string, CustomerLoad> customerLoads_;
  std::map<std::string, uint32_t> maxRunningMilliCpus_; // by customer
  std::vector<std::string> startedTasks_;
  size_t starts_ = 0;
  std::vector<std::string> startLog_;
  size_t runsInDoubt_ = 0;
  size_t startsWithheld_ = 0;
  size_t nearWaits_ = 0;
  size_t waitsEndedNear_ = 0;
  size_t waitsEndedFar_ = 0;
  Millis longestNearWait_;
  size_t stepsBeyondCap_ = 0;
  size_t ordersWithSendBy_ = 0;
  size_t ordersWithWrongSendBy_ = 0;
  size_t maxInMaintenance_ = 0;
  size_t adviceCalls_ = 0;
  std::deque<Proposal> uncommitted_;
  size_t auditFindings_ = 0;
  std::vector<uint64_t> unreportedCommits_; // proposal numbers
  // With the time of delivery, in order.
  std::deque<std::pair<Millis, std::function<void()>>> delayedReplies_;
};

} // namespace vanillahatch::test
