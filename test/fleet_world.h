// A small fleet for tests of FleetScheduler, in virtual time: instances that
// run tasks under leases, a platform that moves machines, and a log that
// commits at once. Faults are set on the instances.
#pragma once

#include "vanillahatch/core/jobs/fleet_scheduler.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>

namespace vanillahatch::test {

// One instance as it behaves on its own.
struct FakeInstance
{
  struct Run
  {
    v1::TaskName task_;
    uint32_t run_ = 0;
    Millis endsAt_; // Millis::Max(): lasts
  };

  v1::InstanceRecord record_;
  Millis clockOffset_; // of its own clock
  uint64_t fence_ = 0;
  Millis deadline_; // on its own clock
  std::vector<Run> running_;
  std::vector<EndedTask> ended_;
  std::map<std::string, uint32_t> highestEnded_; // run by task
  uint64_t lastEnd_ = 0;
  bool answers_ = true;            // false: cut off, but running on
  bool losesStartAnswers_ = false; // carries starts out, answers nothing
  std::deque<StartOrder> late_;    // carried out by `CarryOutLate`
  bool refusesStops_ = false;    // answers nothing to a stop, and does nothing
  bool holdsStartsBack_ = false; // starts go to `late_`, unanswered
  uint32_t failures_ = 0;        // so many of its next runs fail
  uint32_t startsSeen_ = 0;
};

inline std::string KeyOf(const v1::TaskName& aTask)
{
  return aTask.job() + '.' + std::to_string(aTask.occurrence()) + '.' +
         std::to_string(aTask.step()) + '.' + std::to_string(aTask.index());
}

class FleetWorld
{
public:
  explicit FleetWorld(uint64_t aFence = 1) { Lead(aFence); }

  // A new leader takes over from the same log.
  void Lead(uint64_t aFence)
  {
    fence_ = aFence;
    holds_.clear();
    untold_.clear();
    inTransit_.clear();
    scheduler_ = std::make_unique<FleetScheduler>(
      store_,
      FleetSchedulerOptions{ .fencingToken_ = aFence,
                             .operateAfter_ = operateAfter_ },
      SchedulerTrace{
        .onStart_ = [this](const StartOrder&) { ++starts_; },
        .onEnd_ = [](const TaskRef&, const EndedTask&, const InstanceKey&) {},
        .onInstance_ = [](const InstanceKey&, std::string_view) {},
        .onDoubt_ =
          [this](const TaskRef&, uint32_t, std::string_view) { ++doubts_; },
        .onMachine_ = [this](const MachineOrder& aOrder,
                             std::string_view) { orders_.push_back(aOrder); },
        .onPool_ = [](const PoolLoad&) {},
        .onDispatch_ = [this](const DispatchLoad& aLoad) { dispatch_ = aLoad; },
        .onAudit_ =
          [this](const AuditFinding& aFinding) {
            ++audits_;
            BOOST_CHECK_MESSAGE(expectsAudits_,
                                "audit: " << aFinding.what_ << ", task "
                                          << aFinding.task_ << " run "
                                          << aFinding.run_);
          },
      },
      now_);
  }

  void Configure(std::vector<std::pair<std::string, bool>> aServices,
                 std::vector<std::pair<std::string, std::string>> aQueues)
  {
    v1::JobChanges changes;
    v1::FleetDocument& config = *changes.add_changes()->mutable_put_config();
    config.set_version(store_.Config().version() + 1);
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

  FakeInstance& Add(const std::string& aId,
                    const std::string& aService,
                    uint32_t aCores = 16,
                    int64_t aBorn = 1000)
  {
    FakeInstance& instance = instances_[aId];
    instance = {};
    instance.record_.set_id(aId);
    instance.record_.set_born_unix_ms(aBorn);
    instance.record_.set_address("10.0.0.1");
    instance.record_.set_port(80);
    instance.record_.set_service(aService);
    instance.record_.set_machine("m-" + aId);
    instance.record_.mutable_capacity()->set_cpu_millis(aCores * 1000);
    instance.record_.mutable_capacity()->set_memory_mb(64000);
    instance.clockOffset_ = Millis(5000);
    Report(instance);
    return instance;
  }

  void Report(const FakeInstance& aInstance)
  {
    v1::JobChanges changes;
    *changes.add_changes()->mutable_put_instance() = aInstance.record_;
    store_.Apply(changes);
    scheduler_->OnReport(
      now_, ToKey(aInstance.record_), now_ + aInstance.clockOffset_);
  }

  Job& Submit(const std::string& aId,
              const std::string& aQueue,
              std::vector<v1::StepSpec> aSteps)
  {
    v1::JobChanges changes;
    v1::AcceptJob& job = *changes.add_changes()->mutable_accept_job();
    job.set_id(aId);
    job.set_queue(aQueue);
    job.set_service(store_.FindQueue(aQueue)->service());
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

  static v1::StepSpec LastingStep(uint32_t aTasks, uint32_t aMaxUnavailable)
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
        Advance(instance);
      }
      AnswerHolds();
      DeliverAnswers();
      FinishMachines();
      scheduler_->Tick(now_, now_);
      TellCommitted();
      Perform();
    }
  }

  bool RunUntil(const std::function<bool()>& aHolds, Millis aWithin)
  {
    for (const Millis until = now_ + aWithin; now_ < until;) {
      RunFor(Millis(10));
      if (aHolds()) {
        return true;
      }
    }
    return false;
  }

  // Orders that were held back arrive now.
  void CarryOutLate(FakeInstance& aInstance)
  {
    while (!aInstance.late_.empty()) {
      const StartOrder order = aInstance.late_.front();
      aInstance.late_.pop_front();
      (void)StartOn(aInstance, order);
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

  Millis Now() const { return now_; }
  JobStore& Store() { return store_; }
  FleetScheduler& Scheduler() { return *scheduler_; }
  FakeInstance& At(const std::string& aId) { return instances_.at(aId); }
  const std::vector<MachineOrder>& MachineOrders() const { return orders_; }
  size_t Starts() const { return starts_; }
  const DispatchLoad& LastDispatch() const { return dispatch_; }
  size_t Doubts() const { return doubts_; }
  // The most machines that were away for upkeep at once.
  size_t MostInUpkeep() const { return mostInUpkeep_; }
  // What was proposed while commits were held back, in order.
  void CommitHeld()
  {
    holdsCommits_ = false;
    for (Proposal& proposal : std::exchange(uncommitted_, {})) {
      Perform(proposal);
    }
    Perform();
  }
  bool holdsCommits_ = false;
  bool expectsAudits_ = false; // what an audit finds is no failure of the test
  size_t Audits() const { return audits_; }
  // As with a log that has a thread of its own: what it has applied is decided
  // on before the scheduler hears of the commit.
  bool tellsCommitsLate_ = false;
  Millis operateAfter_; // of the leaders to come
  // Answers to starts and listings reach the scheduler so much later, as with
  // a leader that has too little processor time.
  Millis answerDelay_;
  bool machinesAnswer_ = true;
  bool advisorAnswers_ = true;
  size_t AdviceCalls() const { return adviceCalls_; }
  // The advisor lets steps run on instances with an even last digit.
  static bool IsAdvised(const std::string& aId)
  {
    return (aId.back() - '0') % 2 == 0;
  }
  static constexpr Millis kTicketsValidFor = Seconds(3);

private:
  struct HeldListing
  {
    HoldOrder order_;
    Millis sentAt_;
    Millis answersAt_;
  };
  struct Away
  {
    std::string id_;
    std::string pool_;
    bool isUpkeep_ = false;
    Millis backAt_;
  };

  void Advance(FakeInstance& aInstance)
  {
    const Millis clock = now_ + aInstance.clockOffset_;
    const bool hasLapsed = clock > aInstance.deadline_;
    std::vector<FakeInstance::Run> kept;
    for (FakeInstance::Run& run : aInstance.running_) {
      if (hasLapsed) {
        End(aInstance, run, v1::RUN_STOPPED, "lapsed");
      } else if (now_ >= run.endsAt_ && aInstance.failures_ > 0) {
        --aInstance.failures_;
        End(aInstance, run, v1::RUN_FAILED, "failed");
      } else if (now_ >= run.endsAt_) {
        End(aInstance, run, v1::RUN_DONE, "done");
      } else {
        kept.push_back(std::move(run));
      }
    }
    aInstance.running_ = std::move(kept);
  }

  static void End(FakeInstance& aInstance,
                  const FakeInstance::Run& aRun,
                  v1::RunOutcome aOutcome,
                  std::string aReason)
  {
    aInstance.highestEnded_[KeyOf(aRun.task_)] = aRun.run_;
    aInstance.ended_.push_back({ .number_ = ++aInstance.lastEnd_,
                                 .task_ = aRun.task_,
                                 .run_ = aRun.run_,
                                 .outcome_ = aOutcome,
                                 .reason_ = std::move(aReason) });
  }

  OrderResult StartOn(FakeInstance& aInstance, const StartOrder& aOrder)
  {
    const Millis clock = now_ + aInstance.clockOffset_;
    const auto refuse = [&](OrderStatus aStatus) {
      return OrderResult{ .status_ = aStatus, .clock_ = clock };
    };
    if (aOrder.target_.fencingToken_ < aInstance.fence_) {
      return refuse(OrderStatus::kFenced);
    }
    aInstance.fence_ = aOrder.target_.fencingToken_;
    const auto ended = aInstance.highestEnded_.find(KeyOf(aOrder.task_));
    if (ended != aInstance.highestEnded_.end() &&
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
    ++aInstance.startsSeen_;
    aInstance.deadline_ = std::max(aInstance.deadline_, aOrder.deadline_);
    const v1::StepSpec& spec = JobStore::SpecOf(aOrder.ref_);
    aInstance.running_.push_back(
      { .task_ = aOrder.task_,
        .run_ = aOrder.run_,
        .endsAt_ = spec.lasting() ? Millis::Max()
                                  : now_ + Millis(spec.estimated_run_ms()) });
    return { .status_ = OrderStatus::kAccepted, .clock_ = clock };
  }

  void DeliverLate(std::function<void()> aAnswer)
  {
    if (answerDelay_ == Millis()) {
      aAnswer();
      return;
    }
    inTransit_.emplace_back(now_ + answerDelay_, std::move(aAnswer));
  }

  void DeliverAnswers()
  {
    while (!inTransit_.empty() && inTransit_.front().first <= now_) {
      const std::function<void()> answer = std::move(inTransit_.front().second);
      inTransit_.pop_front();
      answer();
    }
  }

  FakeInstance* Reach(const OrderTarget& aTarget)
  {
    const auto it = instances_.find(aTarget.instance_.id_);
    const bool isThere = it != instances_.end() && it->second.answers_ &&
                         ToKey(it->second.record_) == aTarget.instance_;
    return isThere ? &it->second : nullptr;
  }

  void Perform()
  {
    for (int round = 0; round < 4; ++round) {
      for (SchedulerAction& action : scheduler_->Take()) {
        std::visit([this](auto& aOne) { Perform(aOne); }, action);
      }
    }
  }

  void TellCommitted()
  {
    for (const uint64_t number : std::exchange(untold_, {})) {
      scheduler_->OnCommitted(now_, number);
    }
  }

  void Perform(Proposal& aProposal)
  {
    if (holdsCommits_) {
      uncommitted_.push_back(std::move(aProposal));
      return;
    }
    // What a real log does with the entry: nothing keeps references into it.
    v1::JobChanges changes;
    changes.ParseFromString(aProposal.changes_.SerializeAsString());
    store_.Apply(changes);
    if (tellsCommitsLate_) {
      untold_.push_back(aProposal.number_);
      return;
    }
    scheduler_->OnCommitted(now_, aProposal.number_);
  }

  void Perform(StartOrder& aOrder)
  {
    FakeInstance* instance = Reach(aOrder.target_);
    OrderResult result{ .status_ = OrderStatus::kUnknown };
    if (instance != nullptr && instance->holdsStartsBack_) {
      instance->late_.push_back(aOrder);
    } else if (instance != nullptr) {
      const OrderResult answer = StartOn(*instance, aOrder);
      result = instance->losesStartAnswers_ ? result : answer;
    }
    DeliverLate(
      [this, aOrder, result] { scheduler_->OnStart(now_, aOrder, result); });
  }

  void Perform(StopOrder& aOrder)
  {
    FakeInstance* instance = Reach(aOrder.target_);
    OrderResult result{ .status_ = OrderStatus::kUnknown };
    if (instance != nullptr && !instance->refusesStops_) {
      uint32_t& highest = instance->highestEnded_[KeyOf(aOrder.task_)];
      std::erase_if(instance->running_, [&](const FakeInstance::Run& aRun) {
        const bool isIt =
          KeyOf(aRun.task_) == KeyOf(aOrder.task_) && aRun.run_ == aOrder.run_;
        if (isIt) {
          End(*instance, aRun, v1::RUN_STOPPED, "stopped");
        }
        return isIt;
      });
      highest = std::max(highest, aOrder.run_);
      result = { .status_ = OrderStatus::kAccepted,
                 .clock_ = now_ + instance->clockOffset_ };
    }
    scheduler_->OnStop(now_, aOrder, result);
  }

  void Perform(HoldOrder& aOrder)
  {
    FakeInstance* instance = Reach(aOrder.target_);
    if (instance == nullptr) {
      scheduler_->OnListing(
        now_, aOrder, now_, { .status_ = OrderStatus::kUnknown }, {});
      return;
    }
    instance->fence_ = std::max(instance->fence_, aOrder.target_.fencingToken_);
    if (aOrder.deadline_) {
      instance->deadline_ = std::max(instance->deadline_, *aOrder.deadline_);
    }
    std::erase_if(instance->ended_, [&](const EndedTask& aEnded) {
      return aEnded.number_ <= aOrder.endCursor_;
    });
    holds_.push_back(
      { .order_ = aOrder, .sentAt_ = now_, .answersAt_ = now_ + aOrder.wait_ });
    AnswerHolds();
  }

  // Listings wait for an end, as the real ones do.
  void AnswerHolds()
  {
    for (size_t i = 0; i < holds_.size();) {
      const FakeInstance* instance = Reach(holds_[i].order_.target_);
      const bool isDue = instance == nullptr || !instance->ended_.empty() ||
                         now_ >= holds_[i].answersAt_;
      if (!isDue) {
        ++i;
        continue;
      }
      const HeldListing held = holds_[i];
      holds_.erase(holds_.begin() + static_cast<std::ptrdiff_t>(i));
      Answer(held);
    }
  }

  void Answer(const HeldListing& aHeld)
  {
    const HoldOrder& aOrder = aHeld.order_;
    const FakeInstance* instance = Reach(aOrder.target_);
    if (instance == nullptr) {
      scheduler_->OnListing(
        now_, aOrder, aHeld.sentAt_, { .status_ = OrderStatus::kUnknown }, {});
      return;
    }
    InstanceListing listing{ .ended_ = instance->ended_,
                             .startedUnixMs_ =
                               instance->record_.born_unix_ms() };
    for (const FakeInstance::Run& run : instance->running_) {
      listing.running_.push_back(
        { .task_ = run.task_, .run_ = run.run_, .percent_ = 100 });
    }
    const OrderResult result{ .status_ = OrderStatus::kAccepted,
                              .clock_ = now_ + instance->clockOffset_ };
    DeliverLate([this, aHeld, result, listing] {
      scheduler_->OnListing(
        now_, aHeld.order_, aHeld.sentAt_ - Millis(1), result, listing);
    });
  }

  void Perform(PaceOrder& aOrder)
  {
    scheduler_->OnPace(aOrder, { .status_ = OrderStatus::kAccepted });
  }

  void Perform(MachineOrder& aOrder)
  {
    if (!machinesAnswer_) {
      scheduler_->OnMachineAnswer(now_, aOrder, MachineOrderStatus::kUnknown);
      return;
    }
    const std::string id = aOrder.machine_.substr(2);
    const auto it = instances_.find(id);
    const std::string pool = aOrder.pool_.empty() && it != instances_.end()
                               ? it->second.record_.service()
                               : aOrder.pool_;
    constexpr Millis kAwayFor = Seconds(2);
    away_.push_back({ .id_ = id,
                      .pool_ = pool,
                      .isUpkeep_ = aOrder.pool_.empty(),
                      .backAt_ = now_ + kAwayFor });
    if (it != instances_.end()) {
      it->second.running_.clear();
      it->second.answers_ = false;
    }
    const auto inUpkeep =
      std::count_if(away_.begin(), away_.end(), [](const Away& aAway) {
        return aAway.isUpkeep_;
      });
    mostInUpkeep_ = std::max(mostInUpkeep_, static_cast<size_t>(inUpkeep));
    scheduler_->OnMachineAnswer(now_, aOrder, MachineOrderStatus::kAccepted);
  }

  void Perform(AdviceOrder& aOrder)
  {
    AdviceReply reply{ .isAnswered_ = advisorAnswers_,
                       .validity_ = kTicketsValidFor };
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
      const bool isAway =
        std::any_of(away_.begin(), away_.end(), [&](const Away& aAway) {
          return aAway.id_ == id;
        });
      machines.push_back(
        { .machine_ = "m-" + id,
          .pool_ = instance.record_.service(),
          .state_ = isAway ? MachineState::kMoving : MachineState::kUp,
          .instance_ = id });
    }
    scheduler_->OnMachines(now_, std::move(machines));
  }

  void FinishMachines()
  {
    for (size_t i = 0; i < away_.size();) {
      if (away_[i].backAt_ > now_) {
        ++i;
        continue;
      }
      const Away back = away_[i];
      away_.erase(away_.begin() + static_cast<std::ptrdiff_t>(i));
      const int64_t born =
        instances_.at(back.id_).record_.born_unix_ms() + 1000;
      const bool isSpare = store_.FindService(back.pool_) != nullptr &&
                           store_.FindService(back.pool_)->spare();
      if (!isSpare) {
        Add(back.id_, back.pool_, 16, born);
      }
    }
  }

  Millis now_ = Seconds(1000);
  uint64_t fence_ = 1;
  JobStore store_;
  std::unique_ptr<FleetScheduler> scheduler_;
  std::map<std::string, FakeInstance> instances_;
  std::vector<Away> away_;
  std::vector<HeldListing> holds_;
  std::vector<MachineOrder> orders_;
  DispatchLoad dispatch_;
  size_t starts_ = 0;
  size_t doubts_ = 0;
  size_t mostInUpkeep_ = 0;
  size_t adviceCalls_ = 0;
  std::deque<Proposal> uncommitted_;
  size_t audits_ = 0;
  std::vector<uint64_t> untold_; // numbers of applied proposals
  // Answers by the time of their delivery.
  std::deque<std::pair<Millis, std::function<void()>>> inTransit_;
};

} // namespace vanillahatch::test
