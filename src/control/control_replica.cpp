#include "control/control_replica.h"

#include <algorithm>

namespace vanillahatch {

namespace {

constexpr Millis kRoutingTimeout = Seconds(5);
constexpr Millis kRetryInterval = Millis(100);
// Entries and replicas receive the whole configuration in one message.
constexpr size_t kMaxChangeBytes = 4096;

v1::ChangeReply MakeRejection(v1::ChangeStatus aStatus,
                              std::string_view aDetail,
                              const std::string& aLeader)
{
  v1::ChangeReply reply;
  reply.set_status(aStatus);
  reply.set_detail(std::string(aDetail));
  reply.set_leader_hint(aLeader);
  return reply;
}

v1::ChangeReply ToReply(const ProposalResult& aResult)
{
  v1::ChangeReply reply;
  switch (aResult.status_) {
    case ProposalStatus::kCommitted:
      reply.ParseFromString(aResult.reply_);
      return reply;
    case ProposalStatus::kNotLeader:
      return MakeRejection(
        v1::CHANGE_NOT_LEADER, "this replica does not lead", aResult.leader_);
    case ProposalStatus::kOverloaded:
      return MakeRejection(
        v1::CHANGE_UNAVAILABLE, "overloaded or stopping", aResult.leader_);
    case ProposalStatus::kUnreadable:
      return MakeRejection(
        v1::CHANGE_INVALID, "the change cannot be parsed", aResult.leader_);
    case ProposalStatus::kUnknown:
      break;
  }
  return MakeRejection(v1::CHANGE_UNAVAILABLE,
                       "no quorum; the outcome is not known",
                       aResult.leader_);
}

LogReplicaOptions ToLogOptions(const ControlReplicaOptions& aOptions)
{
  LogReplicaOptions options{ .self_ = aOptions.self_.Str(),
                             .dataFolder_ = aOptions.dataFolder_,
                             .onDiskFailure_ = aOptions.onDiskFailure_,
                             .sync_ = aOptions.sync_ };
  for (const ControlSettings& replica : aOptions.replicas_) {
    options.replicas_.push_back(replica.name_.Str());
  }
  // As many as a majority of the replicas leaves.
  options.toleratedLosses_ = (options.replicas_.size() - 1) / 2;
  options.resolver_ = [replicas = aOptions.replicas_](
                        const std::string& aName) -> std::optional<Endpoint> {
    const auto it =
      std::find_if(replicas.begin(), replicas.end(), [&](const auto& aReplica) {
        return aReplica.name_.Str() == aName;
      });
    return it != replicas.end() ? std::optional(it->rpc_) : std::nullopt;
  };
  return options;
}

} // namespace

std::optional<std::string> ControlReplica::StateAdapter::Apply(
  const std::string& aPayload)
{
  v1::Change change;
  if (!change.ParseFromString(aPayload)) {
    return std::nullopt;
  }
  return state_.ApplyCommitted(change).SerializeAsString();
}

ControlReplica::ControlReplica(ControlReplicaOptions aOptions,
                               ControlState& aState,
                               const Clock& aClock)
  : clock_(aClock)
  , stateAdapter_(aState)
  , forwarder_(aOptions.self_, aOptions.replicas_)
  , replica_(ToLogOptions(aOptions), stateAdapter_, aClock)
{
}

ControlReplica::~ControlReplica()
{
  Stop();
}

void ControlReplica::Stop()
{
  replica_.Stop();
  forwarder_.Stop();
}

void ControlReplica::Propose(v1::Change aChange, Done aDone)
{
  const int64_t now = clock_.UnixNow().Count();
  const int64_t proposedAt = aChange.proposed_at_unix_ms();
  // The replicated state takes the time from this field only, so that every
  // replica applies the change alike.
  if (proposedAt <= 0 || proposedAt > now) {
    aChange.set_proposed_at_unix_ms(now);
  }
  if (aChange.ByteSizeLong() > kMaxChangeBytes) {
    aDone(MakeRejection(v1::CHANGE_INVALID,
                        "the change is larger than " +
                          std::to_string(kMaxChangeBytes) + " bytes",
                        {}));
    return;
  }
  replica_.Propose(aChange.SerializeAsString(),
                   [done = std::move(aDone)](const ProposalResult& aResult) {
                     done(ToReply(aResult));
                   });
}

void ControlReplica::ProposeViaLeader(v1::Change aChange, Done aDone)
{
  if (aChange.proposed_at_unix_ms() <= 0) {
    aChange.set_proposed_at_unix_ms(clock_.UnixNow().Count());
  }
  SendToLeader({ .change_ = std::move(aChange),
                 .done_ = std::move(aDone),
                 .deadline_ = clock_.Now() + kRoutingTimeout });
}

// `OnLeaderReply` sends the change again if it has no result.
void ControlReplica::SendToLeader(const RoutedChange& aRouted)
{
  auto done = [this, aRouted](const v1::ChangeReply& aReply) {
    OnLeaderReply(aRouted, aReply);
  };
  if (replica_.IsLeader()) {
    Propose(aRouted.change_, done);
    return;
  }
  if (!forwarder_.Forward(Status().leader_, aRouted.change_, done)) {
    done(MakeRejection(v1::CHANGE_UNAVAILABLE, "no replica leads", {}));
  }
}

void ControlReplica::OnLeaderReply(const RoutedChange& aRouted,
                                   v1::ChangeReply aReply)
{
  const bool isDecided = aReply.status() != v1::CHANGE_NOT_LEADER &&
                         aReply.status() != v1::CHANGE_UNAVAILABLE;
  if (isDecided) {
    aRouted.done_(aReply);
    return;
  }
  // An earlier attempt may have been committed.
  aReply.set_status(v1::CHANGE_UNAVAILABLE);
  const Millis retryAt = clock_.Now() + kRetryInterval;
  if (retryAt >= aRouted.deadline_) {
    aRouted.done_(aReply);
    return;
  }
  replica_.RunAt(
    retryAt,
    [this, aRouted] { SendToLeader(aRouted); },
    [aRouted, aReply] { aRouted.done_(aReply); });
}

} // namespace vanillahatch
