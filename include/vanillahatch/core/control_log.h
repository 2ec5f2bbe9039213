// One replica of the control log: elections, replication, replacement of
// replicas, as a deterministic state machine without I/O.
//
// The caller feeds events (`Tick`, `Receive`, `Propose`) with the time on a
// monotonic clock, then performs what `Take` returns, in this order:
//
//   while (log.HasActions()) {
//     LogActions actions = log.Take();
//     Send(actions.early_);              // needs no disk
//     if (actions.compaction_) { store.Compact(...); }
//     store.Append(each of actions.records_);
//     store.Sync();                      // if either was present
//     Send(actions.messages_);           // only now
//     Restore(actions.restored_); Apply(each of actions.committed_);
//     log.Synced();
//   }
//
// No event may be fed between `Take` and `Synced`. If the disk refuses, the
// replica must stop without sending `messages_`.
//
// A replica whose disk was lost, empty, torn or damaged is made without
// contents. It takes a new incarnation, neither votes nor counts, and asks to
// join; the leader brings it up to date and then replaces the old incarnation
// by a configuration entry. That entry needs a majority of the old and of the
// new configuration, and the next one waits until it is committed.
//
// A new cluster is founded by the first replica of the settings, and only
// after every other replica has answered this very incarnation that it too is
// blank. A lost disk beside one surviving replica therefore never founds.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/log_history.h"
#include "vanillahatch/core/result.h"
#include "vanillahatch/core/stable_store.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>

namespace vanillahatch {

struct LogTiming
{
  Millis heartbeat_ = Millis(400);
  Millis minElectionTimeout_ = Millis(1200);
  Millis maxElectionTimeout_ = Millis(2000);
  // After an election that nobody won, candidates try again sooner.
  Millis minRetry_ = Millis(200);
  Millis maxRetry_ = Millis(700);
  // How long after a majority was known to follow it a leader may act outside
  // the log. A successor must let as much time pass before it acts there.
  Millis permission_ = Millis(600);
  // For each follower: between messages with entries to one of them. Entries
  // that come in between go together; the first one after a pause goes at once.
  Millis appendGap_;
};

struct ControlLogOptions
{
  std::string self_;
  std::vector<std::string> replicas_; // all of the settings, in their order
  // False for a replica that lost its disk, where that is known.
  bool mayFound_ = true;
  // True if replicas of other names may join too.
  bool openMembership_ = false;
  uint64_t seed_ = 0; // must differ from start to start
  LogTiming timing_;
  // True if followers serve from what they have applied, so that each commit
  // is told at once. Otherwise it goes with the next entries or heartbeat.
  bool tellCommitAtOnce_ = true;
  size_t maxUncommitted_ = 4096;       // entries; more are refused
  size_t maxMessageBytes_ = 256 << 10; // of entries in one message
};

enum class LogRole
{
  kFollower,
  kPreCandidate, // asks whether an election could be won
  kCandidate,
  kLeader,
};

struct LogPosition
{
  uint64_t index_ = 0;
  uint64_t term_ = 0;
};

enum class ProposeError
{
  kNotLeader,  // nothing was appended; see LeaderName()
  kOverloaded, // nothing was appended; too many entries await a quorum
};

struct LogCompaction
{
  std::string snapshot_;
  std::vector<std::string> records_;
};

struct LogActions
{
  std::vector<v1::PeerMessage> early_;
  std::optional<LogCompaction> compaction_; // before `records_`
  std::vector<std::string> records_;
  std::vector<v1::PeerMessage> messages_;
  std::optional<std::string> restored_; // state that replaces the applied
  std::vector<v1::LogEntry> committed_; // each entry once, in order
};

class ControlLog
{
public:
  // Without contents: a replica of a new incarnation. Throws
  // std::runtime_error if the contents cannot be understood.
  ControlLog(ControlLogOptions aOptions,
             const StoreContents* aContents,
             Millis aNow);

  // Whom a replica that is no member yet asks to be let in.
  void SetReplicas(std::vector<std::string> aNames)
  {
    options_.replicas_ = std::move(aNames);
  }

  void Tick(Millis aNow);
  void Receive(Millis aNow, const v1::PeerMessage& aMessage);
  Result<LogPosition, ProposeError> Propose(Millis aNow, std::string aPayload);
  // Replaces the applied prefix by the state after `AppliedIndex()`. Does
  // nothing while there are actions, since the state is then not up to date.
  void Compact(std::string aState);

  bool HasActions() const;
  LogActions Take();
  void Synced();

  // When `Tick` has something to do if no message comes before.
  Millis NextTickAt() const;

  bool IsLeader() const { return role_ == LogRole::kLeader; }
  // A leader that has committed an entry of its own term, so that everything
  // acknowledged before its election is applied here.
  bool IsLeaderInForce() const;
  // Until when this leader may give orders that nobody else checks; the zero
  // instant if it may give none. On the clock of `Tick`.
  Millis PermittedUntil() const;
  const std::string& LeaderName() const { return leader_; }
  LogRole Role() const { return role_; }
  uint64_t Term() const { return term_; }
  uint64_t CommitIndex() const { return commit_; }
  uint64_t AppliedIndex() const { return applied_; }
  uint64_t Cluster() const { return cluster_; }
  const v1::LogMember& Self() const { return self_; }
  // True while this incarnation votes and counts.
  bool IsMember() const;
  const LogHistory& History() const { return history_; }

private:
  // What the leader knows of one other replica.
  struct Progress
  {
    v1::LogMember member_;
    uint64_t next_ = 1;
    uint64_t match_ = 0;
    uint64_t sentUpTo_ = 0;   // 0: nothing under way
    uint64_t toldCommit_ = 0; // the commit index that it was sent last
    Millis sentAt_;
    Millis entriesSentAt_; // the latest message that had some
    Millis heardAt_;
    Millis followedAt_; // when the latest message that it answered was sent
  };
  using Predicate = std::function<bool(const v1::LogMember&)>;

  // control_log.cpp: recovery, time, actions.
  void Recover(const StoreContents& aContents);
  void StartBlank();
  void Record(const v1::LogRecord& aRecord);
  void RecordVote();
  void RecordCluster();
  std::vector<std::string> AllRecords() const;
  void QueueCompaction();
  void Send(v1::PeerMessage aMessage, const v1::LogMember& aTo);
  void ResetElectionTimer();
  void SetElectionTimer(Millis aMin, Millis aMax);
  void Advance(Millis aNow);
  // False while the entry that takes this incarnation in may still be
  // overwritten: until then it goes on asking to join.
  bool IsSettled() const;
  void SetCommit(uint64_t aIndex);
  void Deliver();

  // control_log_join.cpp: founding and joining.
  void SayHello();
  void ReceiveBlank(const v1::PeerMessage& aMessage);
  void OnHello(const v1::PeerMessage& aMessage);
  void OnHelloReply(const v1::PeerMessage& aMessage);
  void Found();
  void OnFound(const v1::PeerMessage& aMessage);

  // control_log_election.cpp: terms and votes.
  void BecomeFollower(uint64_t aTerm, std::string aLeader);
  void StartPreVote();
  void StartElection();
  void CountVotes();
  void AskForVotes(bool aPreVote);
  void OnVoteRequest(const v1::PeerMessage& aMessage);
  void OnVoteReply(const v1::PeerMessage& aMessage);
  bool IsUpToDate(const v1::PeerMessage::VoteRequest& aRequest) const;
  bool HasQuorum(const Predicate& aHolds) const;
  bool IsConfigPending() const { return history_.Latest().index_ > commit_; }

  // control_log_follower.cpp: what a leader says.
  bool AcceptLeader(const v1::PeerMessage& aMessage);
  void OnAppend(const v1::PeerMessage& aMessage);
  void TakeEntries(const v1::PeerMessage::Append& aAppend);
  void RefuseAppend(const v1::PeerMessage& aMessage);
  void OnSnapshot(const v1::PeerMessage& aMessage);
  void ReplyAppended(const v1::LogMember& aTo,
                     uint64_t aMatch,
                     int64_t aSentMs);
  void RefuseOldTerm(const v1::PeerMessage& aMessage);

  // control_log_leader.cpp: what the leader does.
  void BecomeLeader();
  void LeadOn();
  void AppendOwn(v1::LogEntry aEntry);
  void RefreshProgress();
  Progress* FindProgress(const v1::LogMember& aMember);
  void SendAppend(Progress& aProgress);
  void SendHeartbeat(Progress& aProgress);
  void SendSnapshot(Progress& aProgress);
  Millis AppendGap() const;
  bool HasPending(const Progress& aProgress) const;
  void SendPending();
  // When a follower may get the entries that wait for it.
  Millis NextAppendAt() const;
  void OnAppendReply(const v1::PeerMessage& aMessage);
  void CommitAcknowledged();
  Millis FollowedSince(const v1::LogConfig& aConfig) const;
  void TellCommit(const v1::LogMember& aMember);
  uint64_t AgreedIndex(const v1::LogConfig& aConfig);
  void MaybeReplace();
  using Members = google::protobuf::RepeatedPtrField<v1::LogMember>;
  Members::iterator FindSilent(Members& aMembers, Millis aSpan);
  void MaybeLeaveOut();

  ControlLogOptions options_;
  std::mt19937_64 random_;
  Millis now_;

  // Durable.
  v1::LogMember self_;
  uint64_t cluster_ = 0;
  uint64_t term_ = 0;
  std::optional<v1::LogMember> votedFor_;
  LogHistory history_;

  LogRole role_ = LogRole::kFollower;
  std::string leader_;
  uint64_t commit_ = 0;
  uint64_t applied_ = 0;
  uint64_t synced_ = 0;
  uint64_t votedAndSynced_ = 0; // term of the last own vote that is durable
  Millis electionAt_;
  Millis leaderHeardAt_;
  bool heardLeader_ = false;
  Millis helloAt_;
  std::vector<v1::LogMember> votes_;
  std::map<std::string, std::pair<uint64_t, Millis>> blanks_;

  std::vector<Progress> progress_;
  std::optional<v1::LogMember> learner_;
  Millis learnerHeardAt_;
  Millis heartbeatAt_;

  LogActions actions_;
};

} // namespace vanillahatch
