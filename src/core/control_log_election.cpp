// Implements terms, votes and quorums of ControlLog.
#include "vanillahatch/core/control_log.h"

#include <algorithm>

namespace vanillahatch {

std::vector<const v1::LogConfig*> ControlLog::QuorumConfigs() const
{
  std::vector<const v1::LogConfig*> configs = { &history_.Latest().config_ };
  const LogHistory::Configuration* before = history_.BeforeLatest();
  if (IsConfigPending() && before != nullptr) {
    configs.push_back(&before->config_);
  }
  return configs;
}

bool ControlLog::HasQuorum(const Predicate& aPredicate) const
{
  return QuorumValueOfConfigs([&](const v1::LogMember& aMember) {
           return aPredicate(aMember) ? 1 : 0;
         }) != 0;
}

// Only what a message says of members of this replica's configurations matters.
void ControlLog::RememberLostMembers(const v1::PeerMessage& aMessage)
{
  if (aMessage.lost().empty()) {
    return;
  }
  for (const v1::LogMember& lost : aMessage.lost()) {
    lostMembers_.Add(lost, aMessage.from());
    lostMembers_.Add(lost, self_);
  }
  lostMembers_.Retain(QuorumConfigs());
}

void ControlLog::BecomeFollower(uint64_t aTerm, std::string aLeader)
{
  if (aTerm > term_) {
    term_ = aTerm;
    votedFor_.reset();
    RecordVote();
  }
  if (role_ != LogRole::kFollower) {
    ResetElectionTimer();
  }
  role_ = LogRole::kFollower;
  leader_ = std::move(aLeader);
  votes_.clear();
  progress_.clear();
  learners_.clear();
}

void ControlLog::StartPreVote()
{
  role_ = LogRole::kPreCandidate;
  leader_.clear();
  SetElectionTimer(options_.timing_.minRetry_, options_.timing_.maxRetry_);
  votes_ = { self_ };
  RequestVotes(true);
  // There may be a leader that has replaced this replica.
  SendHellos();
  CountVotes();
}

void ControlLog::StartElection()
{
  role_ = LogRole::kCandidate;
  ++term_;
  votedFor_ = self_;
  RecordVote();
  SetElectionTimer(options_.timing_.minRetry_, options_.timing_.maxRetry_);
  votes_.clear();
  RequestVotes(false);
}

void ControlLog::RequestVotes(bool aPreVote)
{
  std::vector<v1::LogMember> voters(history_.Latest().config_.members().begin(),
                                    history_.Latest().config_.members().end());
  if (IsConfigPending() && history_.BeforeLatest() != nullptr) {
    const auto& before = history_.BeforeLatest()->config_;
    for (const v1::LogMember& member : before.members()) {
      if (!Contains(history_.Latest().config_, member)) {
        voters.push_back(member);
      }
    }
  }
  for (const v1::LogMember& member : voters) {
    if (IsSame(member, self_)) {
      continue;
    }
    v1::PeerMessage message;
    message.set_term(aPreVote ? term_ + 1 : term_);
    message.mutable_vote_request()->set_pre_vote(aPreVote);
    message.mutable_vote_request()->set_last_index(history_.LastIndex());
    message.mutable_vote_request()->set_last_term(history_.LastTerm());
    Send(std::move(message), member);
  }
}

void ControlLog::CountVotes()
{
  const bool isSelfVoteDurable = durableSelfVoteTerm_ == term_;
  const bool won = HasQuorum([&](const v1::LogMember& aMember) {
    if (role_ == LogRole::kCandidate && IsSame(aMember, self_)) {
      return isSelfVoteDurable;
    }
    return std::any_of(votes_.begin(), votes_.end(), [&](const auto& aVoter) {
      return IsSame(aVoter, aMember);
    });
  });
  if (!won) {
    return;
  }
  if (role_ == LogRole::kPreCandidate) {
    StartElection();
  } else {
    BecomeLeader();
  }
}

bool ControlLog::IsUpToDate(const v1::PeerMessage::VoteRequest& aRequest) const
{
  return std::pair(aRequest.last_term(), aRequest.last_index()) >=
         std::pair(history_.LastTerm(), history_.LastIndex());
}

void ControlLog::OnVoteRequest(const v1::PeerMessage& aMessage)
{
  const v1::PeerMessage::VoteRequest& request = aMessage.vote_request();
  const bool isPreVote = request.pre_vote();
  // Pre-votes are denied while a leader is in contact, so a replica that
  // rejoins after a partition does not depose it.
  const bool hasLiveLeader =
    IsLeader() || (hadLeaderContact_ && now_ - leaderLastContactAt_ <
                                          options_.timing_.minElectionTimeout_);
  if (!isPreVote && aMessage.term() > term_) {
    BecomeFollower(aMessage.term(), {});
  }
  const bool isVoteAvailable =
    isPreVote ? aMessage.term() > term_ && !hasLiveLeader
              : aMessage.term() == term_ &&
                  (!votedFor_ || IsSame(*votedFor_, aMessage.from()));
  // A replica whose log lacks its own addition votes as well: the candidate,
  // whose log has it, may need this vote to commit it.
  const bool granted = isVoteAvailable && IsUpToDate(request);
  if (granted && !isPreVote && !votedFor_) {
    votedFor_ = aMessage.from();
    RecordVote();
    ResetElectionTimer();
  }
  v1::PeerMessage reply;
  reply.set_term(granted ? aMessage.term() : term_);
  reply.mutable_vote_reply()->set_pre_vote(isPreVote);
  reply.mutable_vote_reply()->set_granted(granted);
  Send(std::move(reply), aMessage.from());
}

void ControlLog::OnVoteReply(const v1::PeerMessage& aMessage)
{
  const v1::PeerMessage::VoteReply& reply = aMessage.vote_reply();
  if (!reply.granted()) {
    if (aMessage.term() > term_) {
      BecomeFollower(aMessage.term(), {});
    }
    return;
  }
  const LogRole requestedRole =
    reply.pre_vote() ? LogRole::kPreCandidate : LogRole::kCandidate;
  const uint64_t requestedTerm = reply.pre_vote() ? term_ + 1 : term_;
  if (role_ != requestedRole || aMessage.term() != requestedTerm) {
    return;
  }
  votes_.push_back(aMessage.from());
  CountVotes();
}

} // namespace vanillahatch
