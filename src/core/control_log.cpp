#include "vanillahatch/core/control_log.h"

#include <algorithm>
#include <stdexcept>

namespace vanillahatch {

namespace {

v1::LogRecord EntryRecord(const v1::LogEntry& aEntry)
{
  v1::LogRecord record;
  *record.mutable_entry() = aEntry;
  return record;
}

} // namespace

ControlLog::ControlLog(ControlLogOptions aOptions,
                       const StoreContents* aContents,
                       Millis aNow)
  : options_(std::move(aOptions))
  , random_(options_.seed_)
  , now_(aNow)
{
  if (aContents != nullptr) {
    Recover(*aContents);
  }
  if (self_.incarnation() == 0) {
    StartBlank();
  }
  helloAt_ = aNow;
  ResetElectionTimer();
}

void ControlLog::StartBlank()
{
  self_.set_name(options_.self_);
  self_.set_incarnation(random_() | 1U);
  v1::LogRecord record;
  *record.mutable_identity()->mutable_self() = self_;
  Record(record);
}

void ControlLog::Recover(const StoreContents& aContents)
{
  if (!aContents.snapshot_.empty()) {
    v1::LogSnapshot snapshot;
    if (!snapshot.ParseFromString(aContents.snapshot_)) {
      throw std::runtime_error("control log: snapshot cannot be parsed");
    }
    commit_ = snapshot.index();
    applied_ = snapshot.index();
    actions_.restored_ = snapshot.state();
    history_.Rebase(std::move(snapshot));
  }
  uint64_t committed = 0;
  for (const std::string& bytes : aContents.records_) {
    v1::LogRecord record;
    if (!record.ParseFromString(bytes)) {
      throw std::runtime_error("control log: record cannot be parsed");
    }
    if (record.has_identity()) {
      self_ = record.identity().self();
    } else if (record.has_cluster()) {
      cluster_ = record.cluster().id();
    } else if (record.has_vote()) {
      term_ = record.vote().term();
      votedFor_ = record.vote().has_candidate()
                    ? std::optional(record.vote().candidate())
                    : std::nullopt;
    } else if (record.has_entry()) {
      const uint64_t index = record.entry().index();
      if (index <= history_.BaseIndex() || index > history_.LastIndex() + 1) {
        throw std::runtime_error("control log: entry " + std::to_string(index) +
                                 " out of order");
      }
      history_.Put(record.entry());
    } else if (record.has_committed()) {
      committed = record.committed().index();
    }
  }
  if (self_.incarnation() != 0 && self_.name() != options_.self_) {
    throw std::runtime_error("control log: the data folder belongs to " +
                             self_.name());
  }
  synced_ = history_.LastIndex();
  SetCommit(std::max(commit_, std::min(committed, synced_)));
}

void ControlLog::Record(const v1::LogRecord& aRecord)
{
  actions_.records_.push_back(aRecord.SerializeAsString());
}

void ControlLog::RecordVote()
{
  v1::LogRecord record;
  record.mutable_vote()->set_term(term_);
  if (votedFor_) {
    *record.mutable_vote()->mutable_candidate() = *votedFor_;
  }
  Record(record);
}

void ControlLog::RecordCluster()
{
  v1::LogRecord record;
  record.mutable_cluster()->set_id(cluster_);
  Record(record);
}

std::vector<std::string> ControlLog::AllRecords() const
{
  std::vector<std::string> records;
  const auto add = [&](const v1::LogRecord& aRecord) {
    records.push_back(aRecord.SerializeAsString());
  };
  v1::LogRecord identity;
  *identity.mutable_identity()->mutable_self() = self_;
  add(identity);
  v1::LogRecord cluster;
  cluster.mutable_cluster()->set_id(cluster_);
  add(cluster);
  v1::LogRecord vote;
  vote.mutable_vote()->set_term(term_);
  if (votedFor_) {
    *vote.mutable_vote()->mutable_candidate() = *votedFor_;
  }
  add(vote);
  for (uint64_t i = history_.BaseIndex() + 1; i <= history_.LastIndex(); ++i) {
    add(EntryRecord(history_.At(i)));
  }
  v1::LogRecord committed;
  committed.mutable_committed()->set_index(commit_);
  add(committed);
  return records;
}

void ControlLog::QueueCompaction()
{
  // The records of the whole present state supersede those not yet written.
  actions_.records_.clear();
  actions_.compaction_ = { .snapshot_ = history_.Base().SerializeAsString(),
                           .records_ = AllRecords() };
}

void ControlLog::Compact(std::string aState)
{
  if (HasActions() || applied_ <= history_.BaseIndex()) {
    return;
  }
  const LogHistory::Configuration& config = history_.ConfigurationAt(applied_);
  v1::LogSnapshot snapshot;
  snapshot.set_index(applied_);
  snapshot.set_term(history_.TermAt(applied_).value());
  snapshot.set_config_index(config.index_);
  *snapshot.mutable_config() = config.config_;
  snapshot.set_state(std::move(aState));
  history_.Rebase(std::move(snapshot));
  QueueCompaction();
}

bool ControlLog::HasActions() const
{
  return !actions_.early_.empty() || actions_.compaction_ ||
         !actions_.records_.empty() || !actions_.messages_.empty() ||
         actions_.restored_ || !actions_.committed_.empty();
}

LogActions ControlLog::Take()
{
  return std::exchange(actions_, {});
}

void ControlLog::Synced()
{
  synced_ = history_.LastIndex();
  votedAndSynced_ = votedFor_ && IsSame(*votedFor_, self_) ? term_ : 0;
  if (role_ == LogRole::kCandidate) {
    CountVotes();
  } else if (IsLeader()) {
    CommitAcknowledged();
  }
}

void ControlLog::Send(v1::PeerMessage aMessage, const v1::LogMember& aTo)
{
  aMessage.set_cluster(cluster_);
  *aMessage.mutable_from() = self_;
  aMessage.set_to(aTo.name());
  aMessage.set_to_incarnation(aTo.incarnation());
  if (aMessage.term() == 0) {
    aMessage.set_term(term_);
  }
  // A leader may ask others to store what it has not stored itself, since it
  // counts its own copy only after `Synced`.
  const bool isEarly = aMessage.has_append() || aMessage.has_snapshot();
  (isEarly ? actions_.early_ : actions_.messages_)
    .push_back(std::move(aMessage));
}

void ControlLog::ResetElectionTimer()
{
  SetElectionTimer(options_.timing_.minElectionTimeout_,
                   options_.timing_.maxElectionTimeout_);
}

void ControlLog::SetElectionTimer(Millis aMin, Millis aMax)
{
  const auto spread = static_cast<uint64_t>((aMax - aMin).Count());
  const auto extra = Millis(static_cast<int64_t>(random_() % (spread + 1)));
  electionAt_ = now_ + aMin + extra;
}

bool ControlLog::IsMember() const
{
  return cluster_ != 0 && Contains(history_.Latest().config_, self_);
}

bool ControlLog::IsLeaderInForce() const
{
  return IsLeader() && history_.TermAt(commit_) == term_;
}

Millis ControlLog::NextTickAt() const
{
  if (IsLeader()) {
    return std::min(heartbeatAt_, NextAppendAt());
  }
  const Millis helloAt = IsSettled() ? Millis::Max() : helloAt_;
  return IsMember() ? std::min(electionAt_, helloAt) : helloAt;
}

bool ControlLog::IsSettled() const
{
  return cluster_ != 0 &&
         Contains(history_.ConfigurationAt(commit_).config_, self_);
}

// A leader that was frozen finds here that its quorum has long been silent,
// before it looks at the message or proposal that woke it.
void ControlLog::Advance(Millis aNow)
{
  now_ = std::max(now_, aNow);
  if (IsLeader()) {
    LeadOn();
    return;
  }
  if (!IsSettled() && now_ >= helloAt_) {
    SayHello();
  }
  if (IsMember() && now_ >= electionAt_) {
    StartPreVote();
  }
}

void ControlLog::Tick(Millis aNow)
{
  Advance(aNow);
}

void ControlLog::Receive(Millis aNow, const v1::PeerMessage& aMessage)
{
  Advance(aNow);
  const bool isForFormer = aMessage.to_incarnation() != 0 &&
                           aMessage.to_incarnation() != self_.incarnation();
  if (aMessage.to() != self_.name() || isForFormer) {
    return;
  }
  if (cluster_ == 0) {
    ReceiveBlank(aMessage);
    return;
  }
  if (aMessage.has_hello()) {
    OnHello(aMessage);
    return;
  }
  if (aMessage.cluster() != cluster_) {
    return;
  }
  if (aMessage.has_vote_request()) {
    OnVoteRequest(aMessage);
  } else if (aMessage.has_vote_reply()) {
    OnVoteReply(aMessage);
  } else if (aMessage.has_append()) {
    OnAppend(aMessage);
  } else if (aMessage.has_snapshot()) {
    OnSnapshot(aMessage);
  } else if (aMessage.has_append_reply()) {
    OnAppendReply(aMessage);
  }
}

Result<LogPosition, ProposeError> ControlLog::Propose(Millis aNow,
                                                      std::string aPayload)
{
  Advance(aNow);
  if (!IsLeader()) {
    return ProposeError::kNotLeader;
  }
  if (history_.LastIndex() - commit_ >= options_.maxUncommitted_) {
    return ProposeError::kOverloaded;
  }
  v1::LogEntry entry;
  entry.set_payload(std::move(aPayload));
  AppendOwn(std::move(entry));
  return LogPosition{ .index_ = history_.LastIndex(), .term_ = term_ };
}

void ControlLog::SetCommit(uint64_t aIndex)
{
  if (aIndex <= commit_) {
    return;
  }
  const bool wasPending = IsConfigPending();
  commit_ = aIndex;
  if (wasPending && !IsConfigPending()) {
    // Remembered so that after a restart this replica does not wait for the
    // replaced incarnations, which may be gone for good.
    v1::LogRecord record;
    record.mutable_committed()->set_index(commit_);
    Record(record);
  }
  Deliver();
}

void ControlLog::Deliver()
{
  while (applied_ < commit_) {
    ++applied_;
    actions_.committed_.push_back(history_.At(applied_));
  }
}

} // namespace vanillahatch
