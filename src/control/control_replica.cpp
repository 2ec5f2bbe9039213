#include "control/control_replica.h"

#include <algorithm>

namespace vanillahatch {

namespace {

constexpr Millis kRouteFor = Seconds(5);
constexpr Millis kRouteRetry = Millis(100);

v1::ChangeReply Refusal(v1::ChangeStatus aStatus,
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
      return Refusal(
        v1::CHANGE_NOT_LEADER, "this replica does not lead", aResult.leader_);
    case ProposalStatus::kOverloaded:
      return Refusal(
        v1::CHANGE_UNAVAILABLE, "overloaded or stopping", aResult.leader_);
    case ProposalStatus::kUnknown:
      break;
  }
  return Refusal(v1::CHANGE_UNAVAILABLE,
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
  options.resolver_ = [replicas = aOptions.replicas_](
                        const std::string& aName) -> std::optional<Endpoint> {
    const auto it =
      std::find_if(replicas.begin(), replicas.end(), [&](const auto& aR) {
        return aR.name_.Str() == aName;
      });
    return it != replicas.end() ? std::optional(it->rpc_) : std::nullopt;
  };
  return options;
}

} // namespace

std::string ControlReplica::State::Apply(const std::string& aPayload)
{
  v1::Change change;
  change.ParseFromString(aPayload);
  return state_.ApplyCommitted(change).SerializeAsString();
}

ControlReplica::ControlReplica(ControlReplicaOptions aOptions,
                               ControlState& aState,
                               const Clock& aClock)
  : clock_(aClock)
  , state_(aState)
  , forwarder_(aOptions.self_, aOptions.replicas_)
  , replica_(ToLogOptions(aOptions), state_, aClock)
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
  const int64_t stamped = aChange.proposed_at_unix_ms();
  // The only clock that the replicated state ever sees.
  if (stamped <= 0 || stamped > now) {
    aChange.set_proposed_at_unix_ms(now);
  }
  replica_.Propose(aChange.SerializeAsString(),
                   [done = std::move(aDone)](const ProposalResult& aResult) {
                     done(ToReply(aResult));
                   });
}

void ControlReplica::ProposeAnywhere(v1::Change aChange, Done aDone)
{
  if (aChange.proposed_at_unix_ms() <= 0) {
    aChange.set_proposed_at_unix_ms(clock_.UnixNow().Count());
  }
  Attempt({ .change_ = std::move(aChange),
            .done_ = std::move(aDone),
            .until_ = clock_.Now() + kRouteFor });
}

// One attempt; another one follows while there is time and no answer.
void ControlReplica::Attempt(const Route& aRoute)
{
  auto done = [this, aRoute](const v1::ChangeReply& aReply) {
    TryAgain(aRoute, aReply);
  };
  if (replica_.IsLeader()) {
    Propose(aRoute.change_, done);
    return;
  }
  if (!forwarder_.Forward(Status().leader_, aRoute.change_, done)) {
    done(Refusal(v1::CHANGE_UNAVAILABLE, "no replica leads", {}));
  }
}

void ControlReplica::TryAgain(const Route& aRoute, v1::ChangeReply aReply)
{
  const bool isAnswer = aReply.status() != v1::CHANGE_NOT_LEADER &&
                        aReply.status() != v1::CHANGE_UNAVAILABLE;
  if (isAnswer) {
    aRoute.done_(aReply);
    return;
  }
  // An earlier attempt may have been committed after all.
  aReply.set_status(v1::CHANGE_UNAVAILABLE);
  const Millis dueAt = clock_.Now() + kRouteRetry;
  if (dueAt >= aRoute.until_) {
    aRoute.done_(aReply);
    return;
  }
  replica_.RunAt(
    dueAt,
    [this, aRoute] { Attempt(aRoute); },
    [aRoute, aReply] { aRoute.done_(aReply); });
}

} // namespace vanillahatch
