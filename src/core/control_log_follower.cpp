// What a replica does with the words of a leader.
#include "vanillahatch/core/control_log.h"

#include <algorithm>
#include <stdexcept>

namespace vanillahatch {

void ControlLog::RefuseOldTerm(const v1::PeerMessage& aMessage)
{
  v1::PeerMessage reply;
  reply.mutable_append_reply()->set_accepted(false);
  reply.mutable_append_reply()->set_last(history_.LastIndex());
  Send(std::move(reply), aMessage.from());
}

bool ControlLog::AcceptLeader(const v1::PeerMessage& aMessage)
{
  if (aMessage.term() < term_) {
    RefuseOldTerm(aMessage);
    return false;
  }
  BecomeFollower(aMessage.term(), aMessage.from().name());
  heardLeader_ = true;
  leaderHeardAt_ = now_;
  ResetElectionTimer();
  return true;
}

void ControlLog::ReplyAppended(const v1::LogMember& aTo,
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
  // What the snapshot covers is committed and so agrees with any leader.
  const bool agrees = previous < history_.BaseIndex() ||
                      history_.TermAt(previous) == append.previous_term();
  if (!agrees) {
    RefuseAppend(aMessage);
    return;
  }
  TakeEntries(append);
  const uint64_t match =
    previous + static_cast<uint64_t>(append.entries_size());
  SetCommit(std::min(append.commit(), match));
  ReplyAppended(aMessage.from(), match, append.sent_ms());
}

void ControlLog::TakeEntries(const v1::PeerMessage::Append& aAppend)
{
  for (const v1::LogEntry& entry : aAppend.entries()) {
    const bool isHeld = entry.index() <= history_.BaseIndex() ||
                        history_.TermAt(entry.index()) == entry.term();
    if (isHeld) {
      continue;
    }
    if (entry.index() <= commit_) {
      throw std::logic_error("control log: a leader contradicts what is "
                             "committed at index " +
                             std::to_string(entry.index()));
    }
    v1::LogRecord record;
    *record.mutable_entry() = entry;
    Record(record);
    history_.Put(entry);
  }
}

void ControlLog::RefuseAppend(const v1::PeerMessage& aMessage)
{
  uint64_t hint =
    std::min(aMessage.append().previous_index() - 1, history_.LastIndex());
  const std::optional<uint64_t> conflicting =
    history_.TermAt(aMessage.append().previous_index());
  // The whole conflicting term is skipped at once.
  while (conflicting && hint > commit_ &&
         history_.TermAt(hint) == conflicting) {
    --hint;
  }
  v1::PeerMessage reply;
  reply.mutable_append_reply()->set_accepted(false);
  reply.mutable_append_reply()->set_last(hint);
  reply.mutable_append_reply()->set_sent_ms(aMessage.append().sent_ms());
  Send(std::move(reply), aMessage.from());
}

void ControlLog::OnSnapshot(const v1::PeerMessage& aMessage)
{
  if (!AcceptLeader(aMessage)) {
    return;
  }
  const v1::LogSnapshot& snapshot = aMessage.snapshot();
  if (snapshot.index() > commit_) {
    history_.Rebase(snapshot);
    commit_ = snapshot.index();
    applied_ = snapshot.index();
    actions_.committed_.clear();
    actions_.restored_ = snapshot.state();
    QueueCompaction();
  }
  ReplyAppended(aMessage.from(), snapshot.index(), 0);
}

} // namespace vanillahatch
