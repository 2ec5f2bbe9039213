// A small load model in virtual time over the entries' own decision code: jobs
// arrive, entries decide, runners of a few slots run what they are sent. One
// millisecond one way between any two of them.
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
  kIdealQueue, // one entry that sees all, without any latency
  kRoundRobin,
  kLeastInFlight,
  kLeasedShares,
  kBroker,
};

enum class Fault : uint8_t
{
  kNone,
  kFailingRack, // fails every job at once
  kSilentThird, // a third of each pool never answers
};

struct LoadOptions
{
  uint64_t seed_ = 1;
  uint32_t entries_ = 9;
  Sharing sharing_ = Sharing::kBroker;
  Fault fault_ = Fault::kNone;
  Millis faultAt_ = Seconds(6);
  double peak_ = 1.3;   // demand in a service's turn, in parts of its capacity
  bool steady_ = false; // no turns: `peak_` of the capacity all the time
  Millis turn_ = Seconds(3);
  Millis span_ = Seconds(30);
  Millis brokerDiesAt_ = Millis::Max(); // the first entry falls silent
};

struct LoadResult
{
  uint32_t jobs_ = 0;
  uint32_t answered_ = 0;       // whole, within the deadline, no server error
  uint32_t refused_ = 0;        // as not run
  uint32_t jobsAfterFault_ = 0; // from two seconds after the fault
  uint32_t answeredAfterFault_ = 0;
  std::vector<int64_t> waits_;   // ms from arrival to the start on a runner
  uint64_t attempts_ = 0;        // that reached a runner
  uint64_t started_ = 0;         // jobs with at least one of these
  uint32_t doubles_ = 0;         // non-repeatable jobs that ran twice
  uint32_t falseRefusals_ = 0;   // "did not run", but it did
  uint32_t mostConnections_ = 0; // of one runner, from all entries together
  uint32_t mostOver_ = 0;        // jobs sent to one runner beyond its slots
  double idleWhileWaiting_ = 0;  // part of the slots' time in peaks
  uint64_t messages_ = 0;        // between entries

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
    , link_(aOptions.sharing_ == Sharing::kIdealQueue ? 0 : 1)
  {
    MakeEntries();
    MakeRunners();
  }

  LoadResult Run()
  {
    for (size_t service = 0; service < kServices; ++service) {
      ScheduleArrival(service);
    }
    At(Millis(kSample), [this] { Sample(); });
    const Millis end = options_.span_ + kDrain;
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
    Judge();
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
  static constexpr int64_t kSample = 10; // ms
  static constexpr Millis kDrain = Seconds(8);

  struct Item
  {
    Millis at_;
    uint64_t order_ = 0;
    std::function<void()> run_;
    friend bool operator<(const Item& aLeft, const Item& aRight)
    {
      return std::pair(aLeft.at_, aLeft.order_) >
             std::pair(aRight.at_, aRight.order_);
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
    bool once_ = false;
    uint32_t runs_ = 0;
    bool answered_ = false;
    bool refusedNo_ = false;
  };

  struct Entry
  {
    NodeName name_;
    std::unique_ptr<EntryCore> core_;
    Millis wakeAt_ = Millis::Max();
    bool dead_ = false;
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
      // The ideal has the queue bound of all entries together.
      const uint32_t maxQueued = ideal ? 1000 * options_.entries_ : 1000;
      auto core = std::make_unique<EntryCore>(
        EntryCoreOptions{ .dataCentre_ = peers[i].dataCentre_,
                          .maxQueued_ = maxQueued,
                          .seed_ = options_.seed_ * 100 + i },
        std::move(strategy),
        [&](SlotTable& aTable) { return MakeSharing(aTable, peers, i); });
      entries_.push_back({ .name_ = peers[i].name_, .core_ = std::move(core) });
    }
    if (options_.brokerDiesAt_ != Millis::Max()) {
      At(options_.brokerDiesAt_, [this] { entries_[0].dead_ = true; });
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
    BrokeredOptions brokered{ .self_ = aPeers[aSelf].name_,
                              .entries_ = aPeers };
    if (options_.sharing_ == Sharing::kLeasedShares) {
      brokered.makeAllotment_ = MakeShareAllotment;
    }
    return MakeBrokered(aTable, std::move(brokered));
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
        byName_[runner.fact_.instance_] = runners_.size();
        runners_.push_back(std::move(runner));
      }
    }
    for (size_t i = 0; i < entries_.size(); ++i) {
      for (uint32_t dc = 0; dc < kDataCentres; ++dc) {
        Tell(i,
             LatencyMeasured{ .dataCentre_ = DataCentreName(DataCentre(dc)),
                              .roundTrip_ = Millis(2 * link_) });
      }
      for (const Runner& runner : runners_) {
        Tell(i, FactArrived{ .fact_ = runner.fact_, .fromPeer_ = true });
      }
    }
  }

  static ServiceName Service(size_t aNumber)
  {
    return ServiceName("service-" + std::to_string(aNumber));
  }

  void At(Millis aWhen, std::function<void()> aRun)
  {
    queue_.push({ .at_ = aWhen, .order_ = ++order_, .run_ = std::move(aRun) });
  }

  // ---- Callers ----

  double RatePerMs(size_t aService) const
  {
    const double meanMs = kMedianMs[aService] * std::exp(kSigma * kSigma / 2);
    const double capacity = kRunners[aService] * kSlots / meanMs;
    if (options_.steady_) {
      return options_.peak_ * capacity;
    }
    const auto turn =
      static_cast<size_t>(now_.Count() / options_.turn_.Count());
    const double peak = options_.peak_ * capacity;
    return turn % kServices == aService ? peak : peak / 20;
  }

  void ScheduleArrival(size_t aService)
  {
    // Arrivals at the highest rate, thinned to the present one.
    const double meanMs = kMedianMs[aService] * std::exp(kSigma * kSigma / 2);
    const double highest =
      options_.peak_ * kRunners[aService] * kSlots / meanMs;
    std::exponential_distribution<double> gap(highest);
    arrivalMs_[aService] += gap(random_);
    const Millis at(static_cast<int64_t>(arrivalMs_[aService]));
    if (at >= options_.span_) {
      return;
    }
    At(at, [this, aService, highest] {
      std::uniform_real_distribution<double> part(0, 1);
      if (part(random_) < RatePerMs(aService) / highest) {
        Arrive(aService);
      }
      ScheduleArrival(aService);
    });
  }

  // Every random number of a job is drawn here, so that all strategies see the
  // same arrivals.
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
                   .once_ = percent(random_) < 20 };
    const bool urgent = percent(random_) < 5;
    const uint32_t caller = member(random_);
    const auto balanced = static_cast<size_t>(random_());
    size_t entry = balanced % entries_.size();
    while (entries_[entry].dead_) {
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
    if (job.once_) {
      request.repeatability_ = Repeatability::kAtMostOnce;
      request.key_ = IdempotencyKey(std::to_string(jobs_.size()));
    }
    Tell(entry, JobArrived{ .request_ = request });
  }

  // ---- Entries ----

  void Tell(size_t aEntry, const EntryEvent& aEvent)
  {
    Entry& entry = entries_[aEntry];
    if (entry.dead_) {
      return;
    }
    for (const EntryAction& action : entry.core_->Handle(aEvent, now_)) {
      std::visit([&](const auto& aTyped) { Do(aEntry, aTyped); }, action);
    }
    const Millis wake = std::max(entry.core_->NextWake(), now_ + Millis(1));
    if (wake < entry.wakeAt_ || entry.wakeAt_ <= now_) {
      entry.wakeAt_ = wake;
      At(wake, [this, aEntry, wake] {
        if (entries_[aEntry].wakeAt_ == wake) {
          Tell(aEntry, TimerTick{});
        }
      });
    }
  }

  void Do(size_t aEntry, const StartClaim& aAction)
  {
    At(now_ + Millis(2 * link_), [this, aEntry, job = aAction.job_] {
      Tell(aEntry,
           ClaimEnded{ .job_ = job, .result_ = KeyClaimResult::kGranted });
    });
  }

  void Do(size_t aEntry, const Dispatch& aAction)
  {
    Runner& runner = runners_[byName_.at(aAction.instance_)];
    ++runner.connections_;
    result_.mostConnections_ =
      std::max(result_.mostConnections_, runner.connections_);
    const Attempt attempt{ .entry_ = aEntry,
                           .job_ = aAction.job_,
                           .attempt_ = aAction.attempt_ };
    At(now_ + Millis(link_),
       [this, &runner, attempt] { Receive(runner, attempt); });
    open_[aAction.attempt_ == AttemptNumber{} ? 0 : Key(attempt)] =
      byName_.at(aAction.instance_);
  }

  void Do(size_t aEntry, const AbandonAttempt& aAction)
  {
    const Attempt attempt{ .entry_ = aEntry,
                           .job_ = aAction.job_,
                           .attempt_ = aAction.attempt_ };
    if (!Close(attempt)) {
      return;
    }
    At(now_, [this, attempt] {
      Tell(attempt.entry_,
           AttemptEnded{ .job_ = attempt.job_, .attempt_ = attempt.attempt_ });
    });
  }

  void Do(size_t /*aEntry*/, const Answer& aAction)
  {
    JobRecord& job = jobs_[static_cast<size_t>(aAction.job_)];
    job.answered_ = now_ <= job.deadline_ && !failedAnswer_;
  }

  void Do(size_t /*aEntry*/, const Refuse& aAction)
  {
    JobRecord& job = jobs_[static_cast<size_t>(aAction.job_)];
    job.refusedNo_ =
      aAction.refusal_.executionStatus_ == ExecutionStatus::kNotRun;
  }

  void Do(size_t aEntry, const SendToPeer& aAction)
  {
    ++result_.messages_;
    size_t to = 0;
    while (entries_[to].name_ != aAction.to_) {
      ++to;
    }
    At(now_ + Millis(link_), [this, to, aEntry, message = aAction.message_] {
      Tell(to,
           PeerMessageArrived{ .from_ = entries_[aEntry].name_,
                               .message_ = message });
    });
  }

  template<class Other>
  void Do(size_t /*aEntry*/, const Other& /*aAction*/)
  {
  }

  // ---- Runners ----

  static uint64_t Key(const Attempt& aAttempt)
  {
    return (static_cast<uint64_t>(aAttempt.entry_) << 48U) |
           static_cast<uint64_t>(aAttempt.attempt_);
  }

  // Ends the entry's side; false if it has ended before.
  bool Close(const Attempt& aAttempt)
  {
    const auto it = open_.find(Key(aAttempt));
    if (it == open_.end()) {
      return false;
    }
    --runners_[it->second].connections_;
    open_.erase(it);
    return true;
  }

  bool Faulty(const Runner& aRunner, Fault aFault) const
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
    if (Faulty(aRunner, Fault::kSilentThird)) {
      ++job.runs_; // it may have run; nobody will know
      return;
    }
    if (Faulty(aRunner, Fault::kFailingRack)) {
      ++job.runs_;
      AnswerEntry(aAttempt, 500);
      return;
    }
    aRunner.waiting_.push_back(aAttempt);
    const auto sent =
      aRunner.running_ + static_cast<uint32_t>(aRunner.waiting_.size());
    if (sent > kSlots) {
      result_.mostOver_ = std::max(result_.mostOver_, sent - kSlots);
    }
    StartNext(aRunner);
  }

  void StartNext(Runner& aRunner)
  {
    while (aRunner.running_ < kSlots && !aRunner.waiting_.empty()) {
      const Attempt attempt = aRunner.waiting_.front();
      aRunner.waiting_.pop_front();
      if (!open_.contains(Key(attempt))) {
        continue; // its connection was closed before it began
      }
      ++aRunner.running_;
      JobRecord& job = jobs_[static_cast<size_t>(attempt.job_)];
      if (++job.runs_ == 1) {
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
    At(now_ + Millis(link_), [this, aAttempt, aStatus] {
      if (!Close(aAttempt)) {
        return;
      }
      failedAnswer_ = aStatus >= 500;
      Tell(aAttempt.entry_,
           AttemptEnded{ .job_ = aAttempt.job_,
                         .attempt_ = aAttempt.attempt_,
                         .result_ = AttemptResult::kAnswered,
                         .httpStatus_ = aStatus });
      failedAnswer_ = false;
    });
  }

  // ---- Measures ----

  void Sample()
  {
    std::array<uint64_t, kServices> waiting{};
    std::array<uint64_t, kServices> idle{};
    for (const Entry& entry : entries_) {
      for (size_t i = 0; i < kServices && !entry.dead_; ++i) {
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
    if (now_ < options_.span_) {
      At(now_ + Millis(kSample), [this] { Sample(); });
    }
  }

  void Judge()
  {
    const Millis settled = options_.faultAt_ + Seconds(2);
    for (const JobRecord& job : jobs_) {
      ++result_.jobs_;
      result_.answered_ += job.answered_ ? 1 : 0;
      result_.refused_ += job.refusedNo_ ? 1 : 0;
      result_.started_ += job.runs_ > 0 ? 1 : 0;
      result_.doubles_ += job.once_ && job.runs_ > 1 ? 1 : 0;
      result_.falseRefusals_ += job.refusedNo_ && job.runs_ > 0 ? 1 : 0;
      if (job.arrivedAt_ >= settled) {
        ++result_.jobsAfterFault_;
        result_.answeredAfterFault_ += job.answered_ ? 1 : 0;
      }
    }
  }

  LoadOptions options_;
  std::mt19937_64 random_;
  int64_t link_; // ms one way
  Millis now_;
  uint64_t order_ = 0;
  std::priority_queue<Item> queue_;
  std::vector<Entry> entries_;
  std::vector<Runner> runners_;
  std::unordered_map<InstanceName, size_t> byName_;
  std::unordered_map<uint64_t, size_t> open_; // attempt to runner
  std::vector<JobRecord> jobs_;
  std::array<double, kServices> arrivalMs_{};
  bool failedAnswer_ = false; // the answer under way is a server error
  uint64_t slotSamples_ = 0;
  uint64_t idleSamples_ = 0;
  LoadResult result_;
};

} // namespace vanillahatch
