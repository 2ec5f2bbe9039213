// Simulates load in virtual time on the decision code of the entries
// (`EntryCore`): jobs arrive, entries dispatch them, and runners with a few
// slots run them. The one-way latency between any two processes is 1 ms, or 0
// with the ideal queue.
//
//   LoadModel model({ .seed_ = 1, .entries_ = 9, .sharing_ = kBroker });
//   LoadResult result = model.Run();
#pragma once

#include "vanillahatch/core/entry_core.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillahatch {

enum class Sharing : uint8_t
{
  kIdealQueue, // one entry for all jobs, without latency
  kRoundRobin,
  kLeastInFlight,
  kLeasedShares,
  kBroker,
};

enum class Fault : uint8_t
{
  kNone,
  kFailingRack,       // answers every job with 500 immediately
  kUnresponsiveThird, // one data centre, a third of each pool, never answers
};

struct LoadOptions
{
  uint64_t seed_ = 1;
  uint32_t entries_ = 9;
  Sharing sharing_ = Sharing::kBroker;
  Fault fault_ = Fault::kNone;
  Millis faultAt_ = Seconds(6);
  double peak_ = 1.3; // peak demand as a fraction of the service's capacity
  bool isSteady_ =
    false; // all services stay at `peak_` instead of peaking in turn
  Millis peakDuration_ =
    Seconds(3); // of one service; the services peak in turn
  Millis arrivalSpan_ = Seconds(30);     // jobs arrive until then
  Millis brokerFailsAt_ = Millis::Max(); // when the first entry fails
};

struct LoadResult
{
  uint32_t jobs_ = 0;
  uint32_t answered_ = 0; // within the deadline and without a server error
  uint32_t refused_ = 0;  // reported as not run
  uint32_t jobsAfterFault_ = 0; // arrived 2 s after `faultAt_` or later
  uint32_t answeredAfterFault_ = 0;
  std::vector<int64_t> waits_;  // ms from arrival to the start on a runner
  uint64_t attempts_ = 0;       // attempts that reached a runner
  uint64_t started_ = 0;        // jobs that reached a runner at least once
  uint32_t duplicateRuns_ = 0;  // at-most-once jobs that ran more than once
  uint32_t falseRefusals_ = 0;  // reported as not run, but had run
  uint32_t maxConnections_ = 0; // to one runner, from all entries together
  uint32_t maxOverload_ = 0;    // jobs at one runner beyond its slots
  double idleWhileWaiting_ =
    0;                    // fraction of the slots that idle while jobs wait
  uint64_t messages_ = 0; // sent between entries

  int64_t WaitAt(double aQuantile)
  {
    if (waits_.empty()) {
      return 0;
    }
    const auto at =
      static_cast<size_t>(aQuantile * static_cast<double>(waits_.size() - 1));
    std::nth_element(
      waits_.begin(), waits_.begin() + static_cast<int64_t>(at), waits_.end());
    return waits_[at];
  }
};

class LoadModel
{
public:
  explicit LoadModel(LoadOptions aOptions)
    : options_(aOptions)
    , random_(aOptions.seed_)
    , oneWayLatencyMs_(aOptions.sharing_ == Sharing::kIdealQueue ? 0 : 1)
  {
    MakeEntries();
    MakeRunners();
  }

  LoadResult Run()
  {
    for (size_t service = 0; service < kServices; ++service) {
      ScheduleArrival(service);
    }
    At(Millis(kSampleIntervalMs), [this] { Sample(); });
    const Millis end = options_.arrivalSpan_ + kDrainTime;
    while (!queue_.empty() && queue_.top().at_ <= end) {
      Item item = queue_.top();
      queue_.pop();
      now_ = item.at_;
      item.run_();
    }
    result_.idleWhileWaiting_ =
      slotSamples_ > 0
        ? static_cast<double>(idleSamples_) / static_cast<double>(slotSamples_)
        : 0;
    CountOutcomes();
    return std::move(result_);
  }

private:
  static constexpr size_t kServices = 5;
  static constexpr std::array<uint32_t, kServices> kRunners = { 8,
                                                                9,
                                                                10,
                                                                11,
                                                                12 };
  static constexpr std::array<double, kServices> kMedianMs = { 40,
                                                               80,
                                                               120,
                                                               200,
                                                               400 };
  static constexpr double kSigma = 0.8; // of the logarithm of the run time
  static constexpr uint32_t kSlots = 8;
  static constexpr uint32_t kConnections = 64;
  static constexpr uint32_t kRunnersPerRack = 4;
  static constexpr uint32_t kDataCentres = 3;
  static constexpr uint32_t kMembers = 20;
  static constexpr int64_t kSampleIntervalMs = 10;
  static constexpr Millis kDrainTime =
    Seconds(8); // run time after `arrivalSpan_`

  struct Item
  {
    Millis at_;
    uint64_t sequence_ = 0;
    std::function<void()> run_;
    friend bool operator<(const Item& aLeft, const Item& aRight)
    {
      return std::pair(aLeft.at_, aLeft.sequence_) >
             std::pair(aRight.at_, aRight.sequence_);
    }
  };

  struct Attempt
  {
    size_t entry_ = 0;
    JobNumber job_{};
    AttemptNumber attempt_{};
  };

  struct Runner
  {
    UpstreamFact fact_;
    size_t service_ = 0;
    uint32_t running_ = 0;
    uint32_t connections_ = 0;
    std::deque<Attempt> waiting_;
  };

  struct JobRecord
  {
    size_t service_ = 0;
    int64_t runMs_ = 0;
    Millis arrivedAt_;
    Millis deadline_;
    bool isAtMostOnce_ = false;
    uint32_t runCount_ = 0;
    bool answered_ = false;
    bool refusedAsNotRun_ = false;
  };

  struct Entry
  {
    NodeName name_;
    std::unique_ptr<EntryCore> core_;
    Millis wakeAt_ = Millis::Max();
    bool hasFailed_ = false;
  };

  static std::string DataCentre(uint32_t aNumber)
  {
    return "dc" + std::to_string(aNumber % kDataCentres);
  }

  void MakeEntries()
  {
    const bool ideal = options_.sharing_ == Sharing::kIdealQueue;
    const uint32_t count = ideal ? 1 : options_.entries_;
    std::vector<PeerEntry> peers;
    for (uint32_t i = 0; i < count; ++i) {
      peers.push_back({ .name_ = NodeName("e" + std::to_string(i)),
                        .dataCentre_ = DataCentreName(DataCentre(i)) });
    }
    for (uint32_t i = 0; i < count; ++i) {
      auto strategy = options_.sharing_ == Sharing::kRoundRobin
                        ? MakeRoundRobin()
                        : MakeLeastInFlight();
      // The ideal queue has the combined bound of all entries.
      const uint32_t maxQueued = ideal ? 1000 * options_.entries_ : 1000;
      auto core = std::make_unique<EntryCore>(
        EntryCoreOptions{ .dataCentre_ = peers[i].dataCentre_,
                          .maxQueued_ = maxQueued,
                          .seed_ = options_.seed_ * 100 + i },
        std::move(strategy),
        [&](SlotTable& aTable) { return MakeSharing(aTable, peers, i); });
      entries_.push_back({ .name_ = peers[i].name_, .core_ = std::move(core) });
    }
    if (options_.brokerFailsAt_ != Millis::Max()) {
      At(options_.brokerFailsAt_, [this] { entries_[0].hasFailed_ = true; });
    }
  }

  std::unique_ptr<SlotSharing> MakeSharing(SlotTable& aTable,
                                           const std::vector<PeerEntry>& aPeers,
                                           uint32_t aSelf) const
  {
    if (options_.sharing_ != Sharing::kBroker &&
        options_.sharing_ != Sharing::kLeasedShares) {
      return MakeUncoordinatedSharing(aTable, aPeers.size());
    }
    BrokeredSharingOptions brokered{ .self_ = aPeers[aSelf].name_,
                                     .entries_ = aPeers };
    if (options_.sharing_ == Sharing::kLeasedShares) {
      brokered.makeAllocation_ = MakeFairShareAllocation;
    }
    return MakeBrokeredSharing(aTable, std::move(brokered));
  }

  void MakeRunners()
  {
    uint32_t number = 0;
    for (size_t service = 0; service < kServices; ++service) {
      for (uint32_t i = 0; i < kRunners[service]; ++i, ++number) {
        Runner runner;
        runner.service_ = service;
        runner.fact_ = { .instance_ =
                           InstanceName("r" + std::to_string(number)),
                         .service_ = Service(service),
                         .slots_ = kSlots,
                         .connections_ = kConnections,
                         .dataCentre_ = DataCentreName(DataCentre(i)),
                         .generation_ = 1,
                         .sequence_ = 1,
                         .lease_ = Seconds(1000) };
        const uint32_t rack = i / kDataCentres / kRunnersPerRack;
        runner.fact_.rack_ =
          RackName("s" + std::to_string(service) + "-" + std::to_string(rack));
        runnerByName_[runner.fact_.instance_] = runners_.size();
        runners_.push_back(std::move(runner));
      }
    }
    for (size_t i = 0; i < entries_.size(); ++i) {
      for (uint32_t dc = 0; dc < kDataCentres; ++dc) {
        SendEvent(
          i,
          LatencyMeasured{ .dataCentre_ = DataCentreName(DataCentre(dc)),
                           .roundTrip_ = Millis(2 * oneWayLatencyMs_) });
      }
      for (const Runner& runner : runners_) {
        SendEvent(i, FactArrived{ .fact_ = runner.fact_, .fromPeer_ = true });
      }
    }
  }

  static ServiceName Service(size_t aNumber)
  {
    return ServiceName("service-" + std::to_string(aNumber));
  }

  void At(Millis aWhen, std::function<void()> aRun)
  {
    queue_.push(
      { .at_ = aWhen, .sequence_ = ++sequence_, .run_ = std::move(aRun) });
  }

  // ---- Arrivals ----

  double ArrivalsPerMs(size_t aService) const
  {
    const double meanMs = kMedianMs[aService] * std::exp(kSigma * kSigma / 2);
    const double capacity = kRunners[aService] * kSlots / meanMs;
    if (options_.isSteady_) {
      return options_.peak_ * capacity;
    }
    const auto peakIndex =
      static_cast<size_t>(now_.Count() / options_.peakDuration_.Count());
    const double peak = options_.peak_ * capacity;
    return peakIndex % kServices == aService ? peak : peak / 20;
  }

  void ScheduleArrival(size_t aService)
  {
    // Draws arrivals at the peak rate and thins them to the current rate.
    const double meanMs = kMedianMs[aService] * std::exp(kSigma * kSigma / 2);
    const double highest =
      options_.peak_ * kRunners[aService] * kSlots / meanMs;
    std::exponential_distribution<double> gap(highest);
    arrivalMs_[aService] += gap(random_);
    const Millis at(static_cast<int64_t>(arrivalMs_[aService]));
    if (at >= options_.arrivalSpan_) {
      return;
    }
    At(at, [this, aService, highest] {
      std::uniform_real_distribution<double> part(0, 1);
      if (part(random_) < ArrivalsPerMs(aService) / highest) {
        Arrive(aService);
      }
      ScheduleArrival(aService);
    });
  }

  // Draws all random numbers of a job, so that every strategy gets the same
  // arrivals.
  void Arrive(size_t aService)
  {
    std::lognormal_distribution<double> run(std::log(kMedianMs[aService]),
                                            kSigma);
    std::uniform_int_distribution<int64_t> percent(0, 99);
    std::uniform_int_distribution<int64_t> deadline(1000, 4000);
    std::uniform_int_distribution<uint32_t> member(0, kMembers - 1);
    JobRecord job{ .service_ = aService,
                   .runMs_ =
                     std::max<int64_t>(1, static_cast<int64_t>(run(random_))),
                   .arrivedAt_ = now_,
                   .deadline_ = now_ + Millis(deadline(random_)),
                   .isAtMostOnce_ = percent(random_) < 20 };
    const bool urgent = percent(random_) < 5;
    const uint32_t caller = member(random_);
    const auto randomEntry = static_cast<size_t>(random_());
    size_t entry = randomEntry % entries_.size();
    while (entries_[entry].hasFailed_) {
      entry = (entry + 1) % entries_.size();
    }
    jobs_.push_back(job);
    JobRequest request{ .number_ = JobNumber(jobs_.size() - 1),
                        .service_ = Service(aService),
                        .member_ = MemberName("m" + std::to_string(caller)),
                        .priority_ =
                          urgent ? Priority::kUrgent : Priority::kNormal,
                        .arrivedAt_ = now_,
                        .deadline_ = job.deadline_ };
    if (job.isAtMostOnce_) {
      request.repeatability_ = Repeatability::kAtMostOnce;
      request.key_ = IdempotencyKey(std::to_string(jobs_.size()));
    }
    SendEvent(entry, JobArrived{ .request_ = request });
  }

  // ---- Entries ----

  void SendEvent(size_t aEntry, const EntryEvent& aEvent)
  {
    Entry& entry = entries_[aEntry];
    if (entry.hasFailed_) {
      return;
    }
    for (const EntryAction& action : entry.core_->Handle(aEvent, now_)) {
      std::visit([&](const auto& aTyped) { ApplyAction(aEntry, aTyped); },
                 action);
    }
    const Millis wake = std::max(entry.core_->NextWake(), now_ + Millis(1));
    if (wake < entry.wakeAt_ || entry.wakeAt_ <= now_) {
      entry.wakeAt_ = wake;
      At(wake, [this, aEntry, wake] {
        if (entries_[aEntry].wakeAt_ == wake) {
          SendEvent(aEntry, TimerTick{});
        }
      });
    }
  }

  void ApplyAction(size_t aEntry, const StartClaim& aAction)
  {
    At(now_ + Millis(2 * oneWayLatencyMs_), [this, aEntry, job = aAction.job_] {
      SendEvent(aEntry,
                ClaimEnded{ .job_ = job, .result_ = KeyClaimResult::kGranted });
    });
  }

  void ApplyAction(size_t aEntry, const Dispatch& aAction)
  {
    Runner& runner = runners_[runnerByName_.at(aAction.instance_)];
    ++runner.connections_;
    result_.maxConnections_ =
      std::max(result_.maxConnections_, runner.connections_);
    const Attempt attempt{ .entry_ = aEntry,
                           .job_ = aAction.job_,
                           .attempt_ = aAction.attempt_ };
    At(now_ + Millis(oneWayLatencyMs_),
       [this, &runner, attempt] { Receive(runner, attempt); });
    openAttempts_[aAction.attempt_ == AttemptNumber{} ? 0
                                                      : AttemptKey(attempt)] =
      runnerByName_.at(aAction.instance_);
  }

  void ApplyAction(size_t aEntry, const AbandonAttempt& aAction)
  {
    const Attempt attempt{ .entry_ = aEntry,
                           .job_ = aAction.job_,
                           .attempt_ = aAction.attempt_ };
    if (!CloseAttempt(attempt)) {
      return;
    }
    At(now_, [this, attempt] {
      SendEvent(
        attempt.entry_,
        AttemptEnded{ .job_ = attempt.job_, .attempt_ = attempt.attempt_ });
    });
  }

  void ApplyAction(size_t /*aEntry*/, const Answer& aAction)
  {
    JobRecord& job = jobs_[static_cast<size_t>(aAction.job_)];
    job.answered_ = now_ <= job.deadline_ && !failedAnswer_;
  }

  void ApplyAction(size_t /*aEntry*/, const Refuse& aAction)
  {
    JobRecord& job = jobs_[static_cast<size_t>(aAction.job_)];
    job.refusedAsNotRun_ =
      aAction.refusal_.executionStatus_ == ExecutionStatus::kNotRun;
  }

  void ApplyAction(size_t aEntry, const SendToPeer& aAction)
  {
    ++result_.messages_;
    size_t to = 0;
    while (entries_[to].name_ != aAction.to_) {
      ++to;
    }
    At(now_ + Millis(oneWayLatencyMs_),
       [this, to, aEntry, message = aAction.message_] {
         SendEvent(to,
                   PeerMessageArrived{ .from_ = entries_[aEntry].name_,
                                       .message_ = message });
       });
  }

  template<class Other>
  void ApplyAction(size_t /*aEntry*/, const Other& /*aAction*/)
  {
  }

  // ---- Runners ----

  static uint64_t AttemptKey(const Attempt& aAttempt)
  {
    return (static_cast<uint64_t>(aAttempt.entry_) << 48U) |
           static_cast<uint64_t>(aAttempt.attempt_);
  }

  // Closes the entry's connection; returns false if it was already closed.
  bool CloseAttempt(const Attempt& aAttempt)
  {
    const auto it = openAttempts_.find(AttemptKey(aAttempt));
    if (it == openAttempts_.end()) {
      return false;
    }
    --runners_[it->second].connections_;
    openAttempts_.erase(it);
    return true;
  }

  bool HasFault(const Runner& aRunner, Fault aFault) const
  {
    if (options_.fault_ != aFault || now_ < options_.faultAt_) {
      return false;
    }
    if (aFault == Fault::kFailingRack) {
      return aRunner.fact_.dataCentre_.Str() == "dc0" &&
             aRunner.fact_.rack_.Str().ends_with("-0");
    }
    return aRunner.fact_.dataCentre_.Str() == "dc1";
  }

  void Receive(Runner& aRunner, const Attempt& aAttempt)
  {
    ++result_.attempts_;
    JobRecord& job = jobs_[static_cast<size_t>(aAttempt.job_)];
    if (HasFault(aRunner, Fault::kUnresponsiveThird)) {
      ++job.runCount_; // counted as run, since the entry cannot tell
      return;
    }
    if (HasFault(aRunner, Fault::kFailingRack)) {
      ++job.runCount_;
      AnswerEntry(aAttempt, 500);
      return;
    }
    aRunner.waiting_.push_back(aAttempt);
    const auto assigned =
      aRunner.running_ + static_cast<uint32_t>(aRunner.waiting_.size());
    if (assigned > kSlots) {
      result_.maxOverload_ = std::max(result_.maxOverload_, assigned - kSlots);
    }
    StartNext(aRunner);
  }

  void StartNext(Runner& aRunner)
  {
    while (aRunner.running_ < kSlots && !aRunner.waiting_.empty()) {
      const Attempt attempt = aRunner.waiting_.front();
      aRunner.waiting_.pop_front();
      if (!openAttempts_.contains(AttemptKey(attempt))) {
        continue; // its connection was closed before the job started
      }
      ++aRunner.running_;
      JobRecord& job = jobs_[static_cast<size_t>(attempt.job_)];
      if (++job.runCount_ == 1) {
        result_.waits_.push_back((now_ - job.arrivedAt_).Count());
      }
      At(now_ + Millis(job.runMs_), [this, &aRunner, attempt] {
        --aRunner.running_;
        AnswerEntry(attempt, 200);
        StartNext(aRunner);
      });
    }
  }

  void AnswerEntry(const Attempt& aAttempt, uint32_t aStatus)
  {
    At(now_ + Millis(oneWayLatencyMs_), [this, aAttempt, aStatus] {
      if (!CloseAttempt(aAttempt)) {
        return;
      }
      failedAnswer_ = aStatus >= 500;
      SendEvent(aAttempt.entry_,
                AttemptEnded{ .job_ = aAttempt.job_,
                              .attempt_ = aAttempt.attempt_,
                              .result_ = AttemptResult::kAnswered,
                              .httpStatus_ = aStatus });
      failedAnswer_ = false;
    });
  }

  // ---- Measurements ----

  void Sample()
  {
    std::array<uint64_t, kServices> waiting{};
    std::array<uint64_t, kServices> idle{};
    for (const Entry& entry : entries_) {
      for (size_t i = 0; i < kServices && !entry.hasFailed_; ++i) {
        waiting[i] += entry.core_->WaitingCount(Service(i));
      }
    }
    for (const Runner& runner : runners_) {
      idle[runner.service_] += kSlots - runner.running_;
    }
    for (size_t i = 0; i < kServices; ++i) {
      if (waiting[i] > 0) {
        slotSamples_ += uint64_t(kRunners[i]) * kSlots;
        idleSamples_ += std::min(waiting[i], idle[i]);
      }
    }
    if (now_ < options_.arrivalSpan_) {
      At(now_ + Millis(kSampleIntervalMs), [this] { Sample(); });
    }
  }

  void CountOutcomes()
  {
    const Millis countFrom = options_.faultAt_ + Seconds(2);
    for (const JobRecord& job : jobs_) {
      ++result_.jobs_;
      result_.answered_ += job.answered_ ? 1 : 0;
      result_.refused_ += job.refusedAsNotRun_ ? 1 : 0;
      result_.started_ += job.runCount_ > 0 ? 1 : 0;
      result_.duplicateRuns_ += job.isAtMostOnce_ && job.runCount_ > 1 ? 1 : 0;
      result_.falseRefusals_ +=
        job.refusedAsNotRun_ && job.runCount_ > 0 ? 1 : 0;
      if (job.arrivedAt_ >= countFrom) {
        ++result_.jobsAfterFault_;
        result_.answeredAfterFault_ += job.answered_ ? 1 : 0;
      }
    }
  }

  LoadOptions options_;
  std::mt19937_64 random_;
  int64_t oneWayLatencyMs_;
  Millis now_;
  uint64_t sequence_ = 0;
  std::priority_queue<Item> queue_;
  std::vector<Entry> entries_;
  std::vector<Runner> runners_;
  std::unordered_map<InstanceName, size_t> runnerByName_;
  std::unordered_map<uint64_t, size_t>
    openAttempts_; // attempt key to runner index
  std::vector<JobRecord> jobs_;
  std::array<double, kServices> arrivalMs_{};
  bool failedAnswer_ = false; // the answer being handled is a server error
  uint64_t slotSamples_ = 0;
  uint64_t idleSamples_ = 0;
  LoadResult result_;
};

} // namespace vanillahatch
