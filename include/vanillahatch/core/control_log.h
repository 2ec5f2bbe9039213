// One replica of the control log as a deterministic state machine without I/O:
// elections, replication and replacement of replicas, similar to Raft.
//
// The caller passes events (`Tick`, `Receive`, `Propose`) with the time of a
// monotonic clock, then performs what `TakeActions` returns, in this order:
//
//   while (log.HasActions()) {
//     LogActions actions = log.TakeActions();
//     Send(actions.early_);              // may precede the sync
//     if (actions.compaction_) { store.Compact(...); }
//     store.Append(each of actions.records_);
//     store.Sync();                      // if either was present
//     Send(actions.messages_);           // requires the sync
//     Restore(actions.restored_); Apply(each of actions.committed_);
//     log.OnSynced();
//   }
//
// No event may be passed between `TakeActions` and `OnSynced`. If a disk
// operation fails, the replica must stop without sending `messages_`.
//
// A replica whose disk was lost, empty, torn or damaged is constructed without
// contents. It starts a new incarnation, which counts towards no quorum, and
// asks to join; the leader replicates the log to it and then replaces the old
// incarnation by a configuration entry. That entry needs a majority of the old
// and of the new configuration, and the next one waits until it is committed.
//
// With open membership, replicas of other names join in the same way. They
// replace members that do not respond or that leave, or become further members.
// A single one waits if the number of members is odd and tolerates more losses
// than it has to. Beyond the number that the tolerated losses need, a member
// that does not respond or leaves is removed.
//
// A new cluster is bootstrapped by the first replica of the settings, and only
// after every other replica has replied to this incarnation that it is blank,
// too. Replicas with lost disks therefore never bootstrap a second cluster
// while one replica still has its data.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/log_history.h"
#include "vanillahatch/core/lost_members.h"
#include "vanillahatch/core/result.h"
#include "vanillahatch/core/stable_store.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <utility>

namespace vanillahatch {

struct LogTiming
{
  Millis heartbeat_ = Millis(400);
  Millis minElectionTimeout_ = Millis(1200);
  Millis maxElectionTimeout_ = Millis(2000);
  // Range of the delay before a candidate that won no election tries again.
  Millis minRetry_ = Millis(200);
  Millis maxRetry_ = Millis(700);
  // Duration for which a leader may act outside the log, counted from the last
  // time a majority is known to have followed it. A successor must wait for
  // the same duration before it acts outside the log.
  Millis leaderLease_ = Millis(600);
  // Minimum interval between two messages with entries to one follower; it is
  // multiplied by the number of followers. Entries proposed within the interval
  // share a message; the first one after a pause is sent immediately.
  Millis appendGap_;
  // Minimum time without contact after which a member is replaced by a learner
  // of another name.
  Millis replaceAfter_ = Seconds(2);
};

struct ControlLogOptions
{
  std::string self_;
  std::vector<std::string> replicas_; // names in the order of the settings
  // False for a replica that is known to have lost its disk. A replica with
  // false never bootstraps a cluster.
  bool mayBootstrap_ = true;
  // True if replicas with names not in `replicas_` may join.
  bool openMembership_ = false;
  // Number of replicas that may lose their disks at the same time. Each entry
  // is stored on more, which takes twice the number and one as members; further
  // ones are removed when they do not respond.
  size_t toleratedLosses_ = 1;
  uint64_t seed_ = 0; // must differ between process starts
  LogTiming timing_;
  // True if followers serve reads from their applied state, so the leader sends
  // each new commit index immediately. Otherwise the index is sent with the
  // next entries or heartbeat.
  bool sendCommitImmediately_ = true;
  size_t maxUncommitted_ = 4096; // entries; more are rejected
  // Entries are added to a message until their size reaches this.
  size_t maxMessageBytes_ = 256 << 10;
  // Larger payloads are rejected. A message with one must be within what a
  // replica receives.
  size_t maxPayloadBytes_ = 32 << 20;
};

enum class LogRole
{
  kFollower,
  kPreCandidate, // collects pre-votes without raising the term
  kCandidate,
  kLeader,
};

// Identifies a proposed entry: another term at the same index is another
// entry.
struct LogPosition
{
  uint64_t index_ = 0;
  uint64_t term_ = 0;
};

enum class ProposeError
{
  kNotLeader,  // nothing was appended; see LeaderName()
  kOverloaded, // nothing was appended; too many entries are uncommitted
  kTooLarge,   // nothing was appended; see maxPayloadBytes_
};

// Replacement of the whole store: serialized LogSnapshot and LogRecords.
struct LogCompaction
{
  std::string snapshot_;
  std::vector<std::string> records_;
};

// Work for the caller; see the head of this file for the order.
struct LogActions
{
  std::vector<v1::PeerMessage> early_;
  std::optional<LogCompaction> compaction_; // to be done before `records_`
  std::vector<std::string> records_;
  std::vector<v1::PeerMessage> messages_;
  std::optional<std::string> restored_; // replaces the applied state
  std::vector<v1::LogEntry> committed_; // to apply, each once, in log order
};

class ControlLog
{
public:
  // Null contents start a new incarnation. Throws std::runtime_error if the
  // contents cannot be parsed or belong to a replica of another name.
  ControlLog(ControlLogOptions aOptions,
             const StoreContents* aContents,
             Millis aNow);

  // Sets the replicas that this replica asks to join while it is not a member.
  void SetReplicas(std::vector<std::string> aNames)
  {
    options_.replicas_ = std::move(aNames);
  }

  void Tick(Millis aNow);
  void Receive(Millis aNow, const v1::PeerMessage& aMessage);
  // Asks to be replaced, because this replica is about to stop for good.
  // Another replica can then fail at once without loss of the quorum.
  void Leave(Millis aNow);
  // True once a replica that leaves has been replaced or cannot be.
  bool MayStop() const;
  Result<LogPosition, ProposeError> Propose(Millis aNow, std::string aPayload);
  // Replaces the applied prefix of the log by `aState`, the state after
  // `AppliedIndex()`. Does nothing while `HasActions()`, because the caller's
  // state then lacks entries.
  void Compact(std::string aState);

  bool HasActions() const;
  LogActions TakeActions();
  void OnSynced();

  // Time of the next `Tick` that is needed if no message is received before.
  Millis NextTickAt() const;

  bool IsLeader() const { return role_ == LogRole::kLeader; }
  // True if this is the leader and has committed an entry of its own term, so
  // that every entry acknowledged before its election is applied here.
  bool IsEstablishedLeader() const;
  // Expiry of the leader lease, within which this leader may send orders that
  // no other replica checks. Zero without a lease. On the clock of `Tick`.
  Millis LeaderLeaseExpiresAt() const;
  const std::string& LeaderName() const { return leader_; }
  LogRole Role() const { return role_; }
  uint64_t Term() const { return term_; }
  uint64_t CommitIndex() const { return commitIndex_; }
  uint64_t AppliedIndex() const { return appliedIndex_; }
  uint64_t ClusterId() const { return clusterId_; }
  const v1::LogMember& Self() const { return self_; }
  // True while this incarnation counts towards a quorum.
  bool IsMember() const;
  const LogHistory& History() const { return history_; }
  // Members that are known to have lost their records.
  const LostMembers& Lost() const { return lostMembers_; }

private:
  // The leader's replication state of one other replica.
  struct Progress
  {
    v1::LogMember member_;
    uint64_t nextIndex_ = 1;
    uint64_t matchIndex_ = 0;
    uint64_t sentUpTo_ = 0;        // index; 0: nothing in flight
    uint64_t sentCommitIndex_ = 0; // the last one sent to it
    Millis sentAt_;
    Millis entriesSentAt_; // latest message with entries
    Millis lastContactAt_;
    Millis lastAnsweredSentAt_; // send time of the latest message it answered
    Millis leavesUntil_; // its request to be replaced is valid until then
  };
  // A replica that is being brought up to date to become a member.
  struct Learner
  {
    v1::LogMember member_;
    Millis lastContactAt_;
  };
  using Members = google::protobuf::RepeatedPtrField<v1::LogMember>;
  using Predicate = std::function<bool(const v1::LogMember&)>;

  // control_log.cpp: recovery, timers, actions.
  void Recover(const StoreContents& aContents);
  void StartBlank();
  void Record(const v1::LogRecord& aRecord);
  void RecordVote();
  void RecordCluster();
  std::vector<std::string> FullStateRecords() const;
  void QueueCompaction();
  void Send(v1::PeerMessage aMessage, const v1::LogMember& aTo);
  void ResetElectionTimer();
  void SetElectionTimer(Millis aMin, Millis aMax);
  void AdvanceTime(Millis aNow);
  // False while the entry that adds or removes this incarnation may be
  // overwritten; until then, the replica repeats its requests to join.
  bool IsCommittedMember() const;
  // True for the members of the latest configuration and, while that may be
  // overwritten, of the one before: its quorum is needed as well.
  bool MayStandForElection() const;
  void SetCommit(uint64_t aIndex);
  void QueueCommitted();
  // The latest configuration and, while that may be overwritten, the one
  // before.
  std::vector<const v1::LogConfig*> QuorumConfigs() const;
  void RememberLostMembers(const v1::PeerMessage& aMessage);

  // control_log_join.cpp: bootstrapping, joining and leaving.
  void SendHellos();
  std::set<std::string> ReplicasToGreet() const;
  void ReceiveWhileBlank(const v1::PeerMessage& aMessage);
  void OnHello(const v1::PeerMessage& aMessage);
  void OnHelloReply(const v1::PeerMessage& aMessage);
  void RememberMembers(const v1::PeerMessage& aHelloReply);
  void RememberFormerIncarnations(const v1::PeerMessage& aHelloReply);
  void Bootstrap();
  void OnBootstrap(const v1::PeerMessage& aMessage);
  void SendLeave();
  void OnLeave(const v1::PeerMessage& aMessage);

  // control_log_election.cpp: terms and votes.
  void BecomeFollower(uint64_t aTerm, std::string aLeader);
  void StartPreVote();
  void StartElection();
  void CountVotes();
  void RequestVotes(bool aPreVote);
  void OnVoteRequest(const v1::PeerMessage& aMessage);
  void OnVoteReply(const v1::PeerMessage& aMessage);
  bool IsUpToDate(const v1::PeerMessage::VoteRequest& aRequest) const;
  bool HasQuorum(const Predicate& aPredicate) const;
  // What a quorum of each of `QuorumConfigs()` has reached; see QuorumValue().
  template<typename ValueOf>
  auto QuorumValueOfConfigs(const ValueOf& aValueOf) const
  {
    const std::vector<const v1::LogConfig*> configs = QuorumConfigs();
    auto value = QuorumValue(*configs.front(), lostMembers_, aValueOf);
    for (const v1::LogConfig* config : std::span(configs).subspan(1)) {
      value = std::min(value, QuorumValue(*config, lostMembers_, aValueOf));
    }
    return value;
  }
  bool IsConfigPending() const
  {
    return history_.Latest().index_ > commitIndex_;
  }

  // control_log_follower.cpp: messages from the leader.
  bool AcceptLeader(const v1::PeerMessage& aMessage);
  void OnAppend(const v1::PeerMessage& aMessage);
  void AppendEntries(const v1::PeerMessage::Append& aAppend);
  void RejectAppend(const v1::PeerMessage& aMessage);
  void OnSnapshot(const v1::PeerMessage& aMessage);
  void AcknowledgeAppend(const v1::LogMember& aTo,
                         uint64_t aMatch,
                         int64_t aSentMs);
  void RejectOldTerm(const v1::PeerMessage& aMessage);

  // control_log_leader.cpp: replication and commit.
  void BecomeLeader();
  void MaintainLeadership();
  void AppendAsLeader(v1::LogEntry aEntry);
  void RefreshProgress();
  const Progress* FindProgress(const v1::LogMember& aMember) const;
  Progress* FindProgress(const v1::LogMember& aMember);
  void SendAppend(Progress& aProgress);
  void SendHeartbeat(Progress& aProgress);
  void SendSnapshot(Progress& aProgress);
  Millis AppendGap() const;
  bool HasPending(const Progress& aProgress) const;
  void SendPending();
  // Earliest time at which pending entries may be sent to a follower.
  Millis NextAppendAt() const;
  void OnAppendReply(const v1::PeerMessage& aMessage);
  void AdvanceCommitIndex();
  void SendCommitIndex(const v1::LogMember& aMember);

  // control_log_members.cpp: the leader's membership changes.
  Learner* FindLearner(const v1::LogMember& aMember);
  void OnLearnerContact(const v1::LogMember& aMember);
  void DropUnresponsiveLearners();
  bool IsCaughtUp(const Learner& aLearner);
  std::vector<v1::LogMember> CaughtUpLearners();
  Members::iterator FindUnresponsive(Members& aMembers, Millis aAfter);
  // The number of members below which none is removed.
  size_t MinMembers() const;
  bool CanMemberLeave() const;
  // True if `aMember` is not needed for a quorum, even if this leader stops.
  bool IsReplaced(const v1::LogMember& aMember) const;
  bool IsLeaving(const v1::LogMember& aMember);
  // The member that leaves or has not responded for `aAfter`; `end` if there is
  // none.
  Members::iterator FindReplaceable(Members& aMembers, Millis aAfter);
  void MaybeChangeMembers();
  // Steps of a membership change; false if there is nothing to do.
  bool ReplaceOldIncarnation(Members& aMembers);
  bool ReplaceMember(Members& aMembers);
  bool AddLearners(Members& aMembers);
  bool RemoveMember(Members& aMembers);

  ControlLogOptions options_;
  std::mt19937_64 random_;
  Millis now_;

  // Recorded in the store.
  v1::LogMember self_;
  uint64_t clusterId_ = 0;
  uint64_t term_ = 0;
  std::optional<v1::LogMember> votedFor_;
  LogHistory history_;

  LogRole role_ = LogRole::kFollower;
  std::string leader_;
  uint64_t commitIndex_ = 0;
  uint64_t appliedIndex_ = 0;
  uint64_t syncedIndex_ = 0;
  uint64_t durableSelfVoteTerm_ = 0; // 0: none
  Millis electionTimeoutAt_;
  Millis leaderLastContactAt_;
  bool hadLeaderContact_ = false;
  Millis nextHelloAt_;
  bool isLeaving_ = false;
  bool needNotStay_ = false; // by the leader's reply to a leave
  Millis nextLeaveAt_;
  std::vector<v1::LogMember> votes_;
  // Incarnation and time of the last reply of each blank replica, by name.
  std::map<std::string, std::pair<uint64_t, Millis>> blankReplicas_;
  // Names of the members as in the last reply of each replica, by its name.
  std::map<std::string, std::vector<std::string>> membersBySender_;
  // Names of the replicas that sent messages to this one while it was blank.
  std::set<std::string> sendersWhileBlank_;
  // Of this replica, as members of a cluster know them.
  std::set<uint64_t> formerIncarnations_;
  LostMembers lostMembers_;

  std::vector<Progress> progress_;
  std::vector<Learner> learners_;
  // Once this entry is committed, a majority knows that the latest
  // configuration is.
  uint64_t configKnownIndex_ = 0;
  Millis nextHeartbeatAt_;

  LogActions actions_;
};

} // namespace vanillahatch
