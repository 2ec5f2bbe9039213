// Handles messages from a leader: entries, heartbeats and snapshots.
#include "vanillahatch/core/control_log.h"

#include <algorithm>
#include <stdexcept>

namespace vanillahatch {

void ControlLog::RejectOldTerm(const v1::PeerMessage& aMessage)
{
  v1::PeerMessage reply;
  reply.mutable_append_reply()->set_accepted(false);
  reply.mutable_append_reply()->set_last(history_.LastIndex());
  Send(std::move(reply), aMessage.from());
}

bool ControlLog::AcceptLeader(const v1::PeerMessage& aMessage)
{
  if (aMessage.term() < term_) {
    RejectOldTerm(aMessage);
    return false;
  }
  BecomeFollower(aMessage.term(), aMessage.from().name());
  hadLeaderContact_ = true;
  leaderLastContactAt_ = now_;
  ResetElectionTimer();
  return true;
}

void ControlLog::AcknowledgeAppend(const v1::LogMember& aTo,
                                   uint64_t aMatch,
                                   int64_t aSentMs)
{
  v1::PeerMessage reply;
  reply.mutable_append_reply()->set_accepted(true);
  reply.mutable_append_reply()->set_match(aMatch);
  reply.mutable_append_reply()->set_sent_ms(aSentMs);
  Send(std::move(reply), aTo);
}

void ControlLog::OnAppend(const v1::PeerMessage& aMessage)
{
  if (!AcceptLeader(aMessage)) {
    return;
  }
  const v1::PeerMessage::Append& append = aMessage.append();
  const uint64_t previous = append.previous_index();
  // Entries covered by the snapshot are committed, so they match those of any
  // leader.
  const bool agrees = previous < history_.SnapshotIndex() ||
                      history_.TermAt(previous) == append.previous_term();
  if (!agrees) {
    RejectAppend(aMessage);
    return;
  }
  AppendEntries(append);
  const uint64_t match =
    previous + static_cast<uint64_t>(append.entries_size());
  SetCommit(std::min(append.commit(), match));
  AcknowledgeAppend(aMessage.from(), match, append.sent_ms());
}

void ControlLog::AppendEntries(const v1::PeerMessage::Append& aAppend)
{
  for (const v1::LogEntry& entry : aAppend.entries()) {
    const bool isPresent = entry.index() <= history_.SnapshotIndex() ||
                           history_.TermAt(entry.index()) == entry.term();
    if (isPresent) {
      continue;
    }
    if (entry.index() <= commitIndex_) {
      throw std::logic_error("control log: the leader sent a different entry "
                             "for the committed index " +
                             std::to_string(entry.index()));
    }
    v1::LogRecord record;
    *record.mutable_entry() = entry;
    Record(record);
    history_.Put(entry);
  }
}

void ControlLog::RejectAppend(const v1::PeerMessage& aMessage)
{
  uint64_t retryIndex =
    std::min(aMessage.append().previous_index() - 1, history_.LastIndex());
  const std::optional<uint64_t> conflicting =
    history_.TermAt(aMessage.append().previous_index());
  // Skips the whole conflicting term in one round trip.
  while (conflicting && retryIndex > commitIndex_ &&
         history_.TermAt(retryIndex) == conflicting) {
    --retryIndex;
  }
  v1::PeerMessage reply;
  reply.mutable_append_reply()->set_accepted(false);
  reply.mutable_append_reply()->set_last(retryIndex);
  reply.mutable_append_reply()->set_sent_ms(aMessage.append().sent_ms());
  Send(std::move(reply), aMessage.from());
}

void ControlLog::OnSnapshot(const v1::PeerMessage& aMessage)
{
  if (!AcceptLeader(aMessage)) {
    return;
  }
  const v1::LogSnapshot& snapshot = aMessage.snapshot();
  if (snapshot.index() > commitIndex_) {
    history_.SetSnapshot(snapshot);
    commitIndex_ = snapshot.index();
    appliedIndex_ = snapshot.index();
    actions_.committed_.clear();
    actions_.restored_ = snapshot.state();
    QueueCompaction();
  }
  AcknowledgeAppend(aMessage.from(), snapshot.index(), 0);
}

} // namespace vanillahatch
