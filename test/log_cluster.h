// Replicas of the control log with fake disks and virtual time. Messages are
// queued until the test delivers, delays, drops or duplicates them, and the
// invariants of the log are checked after every step.
#pragma once

#include "fake_store.h"
#include "vanillahatch/core/control_log.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>

namespace vanillahatch {

struct Replica
{
  std::string name_;
  FakeStore disk_;
  std::unique_ptr<ControlLog> log_;
  std::string state_; // hash chain of the applied payloads
  uint64_t stateIndex_ = 0;
  Millis suspendedUntil_; // receives no ticks or messages before
  int stepsToCrash_ = -1; // steps of PerformActions; negative: no crash
  bool tearOnCrash_ = false;

  bool IsUp() const { return log_ != nullptr; }
};

class LogCluster
{
public:
  // `aCommon` applies to all replicas; name and seed are set for each.
  explicit LogCluster(size_t aCount,
                      uint64_t aSeed = 1,
                      ControlLogOptions aCommon = {})
    : seed_(aSeed)
    , common_(std::move(aCommon))
  {
    for (size_t i = 0; i < aCount; ++i) {
      names_.push_back(std::string(1, static_cast<char>('a' + i)));
    }
    for (const std::string& name : names_) {
      replicas_[name].name_ = name;
    }
  }

  void StartAll()
  {
    for (const std::string& name : names_) {
      Start(name);
    }
  }

  // Starts another replica, with an empty disk, that is told only of `aSeeds`.
  void Add(const std::string& aName, std::vector<std::string> aSeeds)
  {
    for (const std::string& name : names_) {
      seeds_.emplace(name, names_);
    }
    seeds_[aName] = std::move(aSeeds);
    joined_.insert(aName);
    names_.push_back(aName);
    replicas_[aName].name_ = aName;
    Start(aName);
  }

  void Start(const std::string& aName)
  {
    Replica& replica = replicas_.at(aName);
    auto contents = replica.disk_.Load();
    const bool hasContents = contents && !contents.value().tornTail_;
    if (!hasContents) {
      replica.disk_.Create();
    }
    replica.state_.clear();
    replica.stateIndex_ = 0;
    ControlLogOptions options = common_;
    options.self_ = aName;
    const auto seeds = seeds_.find(aName);
    options.replicas_ = seeds != seeds_.end() ? seeds->second : names_;
    options.mayBootstrap_ = !joined_.contains(aName);
    options.seed_ = ++seed_ * 7919;
    replica.log_ = std::make_unique<ControlLog>(
      std::move(options), hasContents ? &contents.value() : nullptr, now_);
    if (!hasContents) {
      requiredIndexes_[replica.log_->Self().incarnation()] =
        entries_.empty() ? 0 : entries_.rbegin()->first;
    }
    PerformActions(replica);
  }

  void Crash(const std::string& aName)
  {
    Replica& replica = replicas_.at(aName);
    replica.log_.reset();
    replica.stepsToCrash_ = -1;
    if (replica.tearOnCrash_) {
      replica.disk_.CrashTorn();
    } else {
      replica.disk_.Crash();
    }
    replica.tearOnCrash_ = false;
  }

  void LoseDisk(const std::string& aName)
  {
    Crash(aName);
    replicas_.at(aName).disk_.Wipe();
  }

  void CrashAfterSteps(const std::string& aName, int aSteps)
  {
    replicas_.at(aName).stepsToCrash_ = aSteps;
  }
  void Suspend(const std::string& aName, Millis aFor)
  {
    replicas_.at(aName).suspendedUntil_ = now_ + aFor;
  }
  // Drops messages in one direction of a link.
  void CutLink(const std::string& aFrom, const std::string& aTo)
  {
    cutLinks_.insert({ aFrom, aTo });
  }
  void Isolate(const std::string& aName)
  {
    for (const std::string& other : names_) {
      CutLink(aName, other);
      CutLink(other, aName);
    }
  }
  void Heal() { cutLinks_.clear(); }
  // Larger messages are dropped.
  void SetMaxMessageBytes(size_t aBytes) { maxMessageBytes_ = aBytes; }

  // Advances the time in steps of 20 ms and delivers all messages in each.
  void Run(Millis aFor)
  {
    const Millis end = now_ + aFor;
    while (now_ < end) {
      now_ = now_ + Millis(20);
      TickAll();
      DeliverAll();
    }
  }

  bool RunUntil(const std::function<bool()>& aCondition,
                Millis aFor = Seconds(20))
  {
    const Millis end = now_ + aFor;
    while (!aCondition() && now_ < end) {
      Run(Millis(20));
    }
    return aCondition();
  }

  void TickAll()
  {
    for (const std::string& name : names_) {
      Tick(name);
    }
  }

  void Tick(const std::string& aName)
  {
    Replica& replica = replicas_.at(aName);
    if (replica.IsUp() && now_ >= replica.suspendedUntil_) {
      replica.log_->Tick(now_);
      PerformActions(replica);
    }
  }

  void DeliverAll()
  {
    size_t rounds = 0;
    while (!pending_.empty() && rounds++ < 10000) {
      Deliver(0);
    }
  }

  // Delivers the pending message at `aPosition`; `aKeep` keeps a copy pending.
  void Deliver(size_t aPosition, bool aKeep = false)
  {
    const v1::PeerMessage message = pending_[aPosition];
    if (!aKeep) {
      pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(aPosition));
    }
    const auto to = replicas_.find(message.to());
    const bool isCut =
      cutLinks_.contains({ message.from().name(), message.to() });
    const bool isTooLarge = message.ByteSizeLong() > maxMessageBytes_;
    if (isCut || isTooLarge || to == replicas_.end() || !to->second.IsUp()) {
      return;
    }
    if (now_ < to->second.suspendedUntil_) {
      heldMessages_.push_back(message);
      return;
    }
    const bool isForThisIncarnation =
      message.to_incarnation() == to->second.log_->Self().incarnation();
    if (isForThisIncarnation && message.vote_reply().granted()) {
      CheckElection(message.from(), to->second);
    }
    to->second.log_->Receive(now_, message);
    PerformActions(to->second);
  }

  void Drop(size_t aPosition)
  {
    pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(aPosition));
  }

  // Queues the messages that arrived at suspended replicas, as if they had
  // waited in the socket buffers.
  void QueueHeldMessages()
  {
    pending_.insert(pending_.end(), heldMessages_.begin(), heldMessages_.end());
    heldMessages_.clear();
  }

  std::string Leader() const
  {
    std::string leader;
    uint64_t term = 0;
    for (const auto& [name, replica] : replicas_) {
      if (replica.IsUp() && replica.log_->IsEstablishedLeader() &&
          replica.log_->Term() > term) {
        leader = name;
        term = replica.log_->Term();
      }
    }
    return leader;
  }

  std::string WaitForLeader()
  {
    BOOST_REQUIRE_MESSAGE(RunUntil([&] { return !Leader().empty(); }),
                          "no leader within 20 s, seed " << seed_);
    return Leader();
  }

  bool Propose(const std::string& aName, const std::string& aPayload)
  {
    Replica& replica = replicas_.at(aName);
    const bool accepted =
      replica.IsUp() && replica.log_->Propose(now_, aPayload).has_value();
    if (replica.IsUp()) {
      PerformActions(replica);
    }
    return accepted;
  }

  bool IsApplied(const std::string& aPayload) const
  {
    return payloads_.contains(aPayload);
  }

  bool AllMembersEqual() const
  {
    return AllReplicasEqual() &&
           std::all_of(
             replicas_.begin(), replicas_.end(), [](const auto& aItem) {
               return aItem.second.log_->IsMember();
             });
  }

  bool AllReplicasEqual() const
  {
    std::set<std::string> states;
    for (const auto& [name, replica] : replicas_) {
      if (!replica.IsUp()) {
        return false;
      }
      states.insert(replica.state_ + "@" +
                    std::to_string(replica.log_->AppliedIndex()));
    }
    return states.size() == 1;
  }

  // One line for each replica, for failure messages.
  std::string Describe() const
  {
    std::string text;
    for (const auto& [name, replica] : replicas_) {
      text += "\n" + name;
      if (!replica.IsUp()) {
        text += " down";
        continue;
      }
      const ControlLog& log = *replica.log_;
      text += " incarnation " + std::to_string(log.Self().incarnation()) +
              " role " + std::to_string(static_cast<int>(log.Role())) +
              " term " + std::to_string(log.Term()) + " commit " +
              std::to_string(log.CommitIndex()) + " last " +
              std::to_string(log.History().LastIndex()) + " config " +
              std::to_string(log.History().Latest().index_) + " " +
              log.History().Latest().config_.ShortDebugString();
    }
    return text;
  }

  Replica& At(const std::string& aName) { return replicas_.at(aName); }
  ControlLog& Log(const std::string& aName)
  {
    return *replicas_.at(aName).log_;
  }
  const std::vector<std::string>& Names() const { return names_; }
  const std::vector<v1::PeerMessage>& Pending() const { return pending_; }
  Millis Now() const { return now_; }
  void AdvanceTime(Millis aFor) { now_ = now_ + aFor; }
  size_t CommittedEntries() const { return entries_.size(); }
  size_t Terms() const { return leaders_.size(); }

private:
  // Counts a step; crashes the replica and returns true if it was the last one.
  bool CrashIfDue(Replica& aReplica)
  {
    if (aReplica.stepsToCrash_ < 0 || aReplica.stepsToCrash_-- > 0) {
      return false;
    }
    Crash(aReplica.name_);
    return true;
  }

  // Performs actions as LogReplica does, with a possible crash between any two.
  void PerformActions(Replica& aReplica)
  {
    while (aReplica.IsUp() && aReplica.log_->HasActions()) {
      LogActions actions = aReplica.log_->TakeActions();
      if (CrashIfDue(aReplica)) {
        return;
      }
      QueueMessages(aReplica, actions.early_);
      if (CrashIfDue(aReplica)) {
        return;
      }
      if (actions.compaction_) {
        (void)aReplica.disk_.Compact(actions.compaction_->snapshot_,
                                     actions.compaction_->records_);
      }
      for (const std::string& record : actions.records_) {
        (void)aReplica.disk_.Append(record);
      }
      if (CrashIfDue(aReplica)) {
        return;
      }
      (void)aReplica.disk_.Sync();
      if (CrashIfDue(aReplica)) {
        return;
      }
      QueueMessages(aReplica, actions.messages_);
      if (CrashIfDue(aReplica)) {
        return;
      }
      Apply(aReplica, actions);
      aReplica.log_->OnSynced();
    }
    CheckInvariants();
  }

  void QueueMessages(const Replica& aReplica,
                     const std::vector<v1::PeerMessage>& aMessages)
  {
    for (const v1::PeerMessage& message : aMessages) {
      if (message.has_vote_request()) {
        CheckElection(message.from(), aReplica);
      }
      pending_.push_back(message);
    }
  }

  // A replica that lost its disk must not stand for election before it has
  // every entry that was committed when it restarted, nor may its vote count
  // for a candidate that lacks one of them.
  void CheckElection(const v1::LogMember& aVoter,
                     const Replica& aCandidate) const
  {
    const auto it = requiredIndexes_.find(aVoter.incarnation());
    if (it != requiredIndexes_.end()) {
      const uint64_t held = aCandidate.log_->History().LastIndex();
      BOOST_REQUIRE_MESSAGE(
        held >= it->second,
        aVoter.name() << " elects " << aCandidate.name_ << " with "
                      << it->second
                      << " as the last committed index at its restart and "
                      << held << " held");
    }
  }

  void Apply(Replica& aReplica, const LogActions& aActions)
  {
    if (aActions.restored_) {
      aReplica.state_ = *aActions.restored_;
      aReplica.stateIndex_ = aReplica.log_->History().SnapshotIndex();
      CheckState(aReplica);
    }
    for (const v1::LogEntry& entry : aActions.committed_) {
      BOOST_REQUIRE_EQUAL(entry.index(), aReplica.stateIndex_ + 1);
      const auto [it, isNew] =
        entries_.emplace(entry.index(), entry.SerializeAsString());
      appliedIn_.emplace(entry.index(), aReplica.log_->Term());
      BOOST_REQUIRE_MESSAGE(it->second == entry.SerializeAsString(),
                            aReplica.name_ << " applies another entry at "
                                           << entry.index());
      if (!entry.payload().empty()) {
        payloads_.insert(entry.payload());
        aReplica.state_ = std::to_string(
          std::hash<std::string>()(aReplica.state_ + entry.payload()));
      }
      aReplica.stateIndex_ = entry.index();
      CheckState(aReplica);
    }
  }

  void CheckState(const Replica& aReplica)
  {
    const auto [it, isNew] =
      states_.emplace(aReplica.stateIndex_, aReplica.state_);
    BOOST_REQUIRE_MESSAGE(it->second == aReplica.state_,
                          aReplica.name_ << " has another state at index "
                                         << aReplica.stateIndex_);
  }

  void CheckInvariants()
  {
    for (const auto& [name, replica] : replicas_) {
      if (!replica.IsUp()) {
        continue;
      }
      if (replica.log_->IsLeader()) {
        CheckLeader(replica);
      }
      if (replica.log_->IsEstablishedLeader()) {
        establishedAt_.emplace(replica.log_->Term(), now_);
      }
    }
    CheckLeases();
    CheckLogsMatch();
  }

  // No replica may hold a leader lease once a later leader has been established
  // for the duration of a lease.
  void CheckLeases() const
  {
    for (const auto& [name, replica] : replicas_) {
      if (!replica.IsUp() || replica.log_->LeaderLeaseExpiresAt() <= now_) {
        continue;
      }
      const auto later = establishedAt_.upper_bound(replica.log_->Term());
      BOOST_REQUIRE_MESSAGE(
        later == establishedAt_.end() ||
          now_ - later->second < common_.timing_.leaderLease_,
        name << " of term " << replica.log_->Term()
             << " holds the lease beside the leader of term " << later->first);
    }
  }

  void CheckLeader(const Replica& aReplica)
  {
    const ControlLog& log = *aReplica.log_;
    const auto [it, isNew] =
      leaders_.emplace(log.Term(), log.Self().incarnation());
    BOOST_REQUIRE_MESSAGE(it->second == log.Self().incarnation(),
                          "two leaders in term " << log.Term());
    if (!isNew || entries_.empty()) {
      return;
    }
    // A new leader holds every entry that was committed in an earlier term.
    // This is not required of a leader of an older term that wins late, since
    // it can commit nothing.
    for (const auto& [index, bytes] : entries_) {
      if (index > log.History().SnapshotIndex() &&
          appliedIn_.at(index) < log.Term()) {
        BOOST_REQUIRE_MESSAGE(
          index <= log.History().LastIndex() &&
            log.History().At(index).SerializeAsString() == bytes,
          "leader " << aReplica.name_ << " of term " << log.Term()
                    << " lacks the committed entry " << index);
      }
    }
  }

  void CheckLogsMatch() const
  {
    for (auto one = replicas_.begin(); one != replicas_.end(); ++one) {
      for (auto two = std::next(one); two != replicas_.end(); ++two) {
        if (one->second.IsUp() && two->second.IsUp()) {
          CheckPair(one->second.log_->History(), two->second.log_->History());
        }
      }
    }
  }

  // Entries of equal index and term imply equal logs up to that index.
  static void CheckPair(const LogHistory& aOne, const LogHistory& aTwo)
  {
    const uint64_t first =
      std::max(aOne.SnapshotIndex(), aTwo.SnapshotIndex()) + 1;
    bool mustAgree = false;
    for (uint64_t i = std::min(aOne.LastIndex(), aTwo.LastIndex()); i >= first;
         --i) {
      const v1::LogEntry& one = aOne.At(i);
      const v1::LogEntry& two = aTwo.At(i);
      mustAgree = mustAgree || one.term() == two.term();
      const bool agrees = one.term() == two.term() &&
                          one.payload() == two.payload() &&
                          one.has_config() == two.has_config();
      BOOST_REQUIRE_MESSAGE(!mustAgree || agrees, "logs differ at " << i);
    }
  }

  std::vector<std::string> names_;
  std::map<std::string, std::vector<std::string>> seeds_;
  std::set<std::string> joined_; // replicas that were added
  std::map<std::string, Replica> replicas_;
  std::vector<v1::PeerMessage> pending_;
  std::vector<v1::PeerMessage> heldMessages_;
  std::set<std::pair<std::string, std::string>> cutLinks_;
  size_t maxMessageBytes_ = std::numeric_limits<size_t>::max();
  Millis now_ = Seconds(1000);
  uint64_t seed_;
  ControlLogOptions common_;

  std::map<uint64_t, std::string> entries_; // by index; all committed
  std::map<uint64_t, uint64_t>
    appliedIn_; // by index; term of the first replica to apply it
  std::map<uint64_t, std::string> states_; // by index; after applying it
  std::map<uint64_t, uint64_t> leaders_;   // by term; incarnation of the leader
  // By incarnation of a wiped replica; last committed index at its restart.
  std::map<uint64_t, uint64_t> requiredIndexes_;
  std::map<uint64_t, Millis> establishedAt_; // by term
  std::set<std::string> payloads_;
};

inline std::string OtherThan(const LogCluster& aCluster,
                             const std::string& aName)
{
  for (const std::string& name : aCluster.Names()) {
    if (name != aName) {
      return name;
    }
  }
  return {};
}

inline std::vector<std::string> AllBut(const LogCluster& aCluster,
                                       const std::string& aName)
{
  std::vector<std::string> others;
  for (const std::string& name : aCluster.Names()) {
    if (name != aName) {
      others.push_back(name);
    }
  }
  return others;
}

inline bool Commit(LogCluster& aCluster, const std::string& aPayload)
{
  const std::string leader = aCluster.WaitForLeader();
  return aCluster.Propose(leader, aPayload) &&
         aCluster.RunUntil([&] { return aCluster.IsApplied(aPayload); });
}

} // namespace vanillahatch
