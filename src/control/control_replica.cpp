#include "control/control_replica.h"

#include "vanillahatch/shell/log.h"

#include <algorithm>
#include <random>

namespace vanillahatch {

namespace {

constexpr size_t kRingEvents = 4096;
constexpr Millis kRouteFor = Seconds(5);
constexpr Millis kRouteRetry = Millis(100);
constexpr Millis kCommitTimeout = Seconds(5);
constexpr Millis kLongestWait = Seconds(1);
constexpr uint64_t kCompactEntries = 4096;
constexpr uint64_t kCompactBytes = 4U << 20U;

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

uint64_t FreshSeed()
{
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

std::string RoleName(const ControlLog& aLog)
{
  if (!aLog.IsMember()) {
    return "joining";
  }
  switch (aLog.Role()) {
    case LogRole::kLeader:
      return "leader";
    case LogRole::kFollower:
      return "follower";
    default:
      return "candidate";
  }
}

} // namespace

grpc::ServerUnaryReactor* ControlReplica::LogService::Exchange(
  grpc::CallbackServerContext* aContext,
  const v1::PeerBatch* aRequest,
  v1::PeerBatch* aReply)
{
  grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
  Input input =
    PeerEvent{ .batch_ = *aRequest,
               .answer_ = { .reactor_ = reactor, .reply_ = aReply } };
  if (!replica_.ring_.TryPush(std::move(input))) {
    reactor->Finish(
      grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED, "ring is full"));
  }
  return reactor;
}

ControlReplica::ControlReplica(ControlReplicaOptions aOptions,
                               ControlState& aState,
                               const Clock& aClock)
  : options_(std::move(aOptions))
  , state_(aState)
  , clock_(aClock)
  , ring_(kRingEvents)
  , store_({ .folder_ = options_.dataFolder_, .sync_ = options_.sync_ })
{
}

ControlReplica::~ControlReplica()
{
  Stop();
}

bool ControlReplica::Start()
{
  if (!Open()) {
    return false;
  }
  peers_ = std::make_unique<ControlLogPeers>(
    options_.self_, options_.replicas_, [this](v1::PeerBatch aBatch) {
      // A full ring loses the answer, as the network might.
      (void)ring_.TryPush(PeerEvent{ .batch_ = std::move(aBatch) });
    });
  thread_ = std::thread([this] { Run(); });
  return true;
}

bool ControlReplica::Open()
{
  auto contents = store_.Load();
  const bool isLost = !contents || contents.value().tornTail_;
  if (isLost) {
    const std::string reason =
      contents ? std::string("torn tail") : contents.error().detail_;
    LogWarning(Event::kLogDiskLost, { { "reason", reason } });
    if (const auto created = store_.Create(); !created) {
      LogError(Event::kLogDiskFailed,
               { { "detail", created.error().detail_ } });
      return false;
    }
  }
  ControlLogOptions logOptions{ .self_ = options_.self_.Str(),
                                .seed_ = FreshSeed() };
  for (const ControlSettings& replica : options_.replicas_) {
    logOptions.replicas_.push_back(replica.name_.Str());
  }
  try {
    log_ = std::make_unique<ControlLog>(std::move(logOptions),
                                        isLost ? nullptr : &contents.value(),
                                        clock_.Now());
  } catch (const std::runtime_error& fault) {
    LogError(Event::kLogDiskFailed, { { "detail", fault.what() } });
    return false;
  }
  return true;
}

void ControlReplica::Stop()
{
  stopping_ = true;
  ring_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
  peers_.reset();
}

void ControlReplica::Propose(v1::Change aChange, Done aDone)
{
  Input input = ProposalEvent{ .change_ = std::move(aChange), .done_ = aDone };
  if (!ring_.TryPush(std::move(input))) {
    aDone(Refusal(v1::CHANGE_UNAVAILABLE, "overloaded or stopping", {}));
  }
}

void ControlReplica::ProposeAnywhere(v1::Change aChange, Done aDone)
{
  Input input = RouteEvent{ .change_ = std::move(aChange),
                            .done_ = aDone,
                            .until_ = clock_.Now() + kRouteFor };
  if (!ring_.TryPush(std::move(input))) {
    aDone(Refusal(v1::CHANGE_UNAVAILABLE, "overloaded or stopping", {}));
  }
}

ControlReplicaStatus ControlReplica::Status() const
{
  std::lock_guard lock(statusMutex_);
  return status_;
}

void ControlReplica::Run()
{
  bool holds = Perform();
  while (holds && !stopping_) {
    TakeInputs();
    RetryRoutes();
    holds = Perform();
  }
  isLeader_ = false;
  FinishPeerReplies();
  FailWaiting(true);
  RefuseRest();
}

void ControlReplica::TakeInputs()
{
  std::optional<Input> input = ring_.PopFor(NextWake());
  log_->Tick(clock_.Now());
  size_t taken = 0;
  while (input) {
    std::visit([this](auto& aInput) { Handle(aInput); }, *input);
    if (++taken == options_.maxBatch_) {
      return;
    }
    input = ring_.PopFor(Millis(0));
  }
}

void ControlReplica::RefuseRest()
{
  const v1::ChangeReply refusal =
    Refusal(v1::CHANGE_UNAVAILABLE, "stopping", {});
  for (RouteEvent& route : routes_) {
    route.done_(refusal);
  }
  routes_.clear();
  ring_.Close();
  while (std::optional<Input> input = ring_.PopFor(Millis(0))) {
    if (auto* proposal = std::get_if<ProposalEvent>(&*input)) {
      proposal->done_(refusal);
    } else if (auto* route = std::get_if<RouteEvent>(&*input)) {
      route->done_(refusal);
    } else if (auto* peer = std::get_if<PeerEvent>(&*input);
               peer->answer_.reactor_ != nullptr) {
      peer->answer_.reactor_->Finish(
        grpc::Status(grpc::StatusCode::UNAVAILABLE, "stopping"));
    }
  }
}

Millis ControlReplica::NextWake() const
{
  Millis wait = std::min(kLongestWait, log_->NextTickAt() - clock_.Now());
  for (const RouteEvent& route : routes_) {
    wait = std::min(wait, route.dueAt_ - clock_.Now());
  }
  return std::max(wait, Millis(1));
}

void ControlReplica::Handle(PeerEvent& aEvent)
{
  for (const v1::PeerMessage& message : aEvent.batch_.messages()) {
    log_->Receive(clock_.Now(), message);
  }
  if (aEvent.answer_.reactor_ != nullptr) {
    const bool isEmpty = aEvent.batch_.messages().empty();
    const std::string from =
      isEmpty ? std::string() : aEvent.batch_.messages(0).from().name();
    peerReplies_.emplace(from, aEvent.answer_);
  }
}

void ControlReplica::Handle(ProposalEvent& aEvent)
{
  const int64_t now = clock_.UnixNow().Count();
  const int64_t stamped = aEvent.change_.proposed_at_unix_ms();
  // The only clock that the replicated state ever sees.
  if (stamped <= 0 || stamped > now) {
    aEvent.change_.set_proposed_at_unix_ms(now);
  }
  const auto position =
    log_->Propose(clock_.Now(), aEvent.change_.SerializeAsString());
  if (position) {
    waiting_[position.value().index_] = {
      .term_ = position.value().term_,
      .until_ = clock_.Now() + kCommitTimeout,
      .done_ = std::move(aEvent.done_),
    };
    return;
  }
  const bool isLost = position.error() == ProposeError::kNotLeader;
  aEvent.done_(
    Refusal(isLost ? v1::CHANGE_NOT_LEADER : v1::CHANGE_UNAVAILABLE,
            isLost ? "this replica does not lead" : "too many changes wait",
            log_->LeaderName()));
}

// One attempt; another one follows while there is time and no answer.
void ControlReplica::Handle(RouteEvent& aEvent)
{
  if (aEvent.change_.proposed_at_unix_ms() <= 0) {
    aEvent.change_.set_proposed_at_unix_ms(clock_.UnixNow().Count());
  }
  auto again = [this, route = aEvent](const v1::ChangeReply& aReply) {
    const bool isAnswer = aReply.status() != v1::CHANGE_NOT_LEADER &&
                          aReply.status() != v1::CHANGE_UNAVAILABLE;
    if (isAnswer || clock_.Now() >= route.until_) {
      v1::ChangeReply reply = aReply;
      if (!isAnswer) {
        // An earlier attempt may have been committed after all.
        reply.set_status(v1::CHANGE_UNAVAILABLE);
      }
      route.done_(reply);
      return;
    }
    RouteEvent next = route;
    next.last_ = aReply;
    next.dueAt_ = clock_.Now() + kRouteRetry;
    Input input = std::move(next);
    if (!ring_.TryPush(std::move(input))) {
      route.done_(Refusal(v1::CHANGE_UNAVAILABLE, aReply.detail(), {}));
    }
  };
  if (aEvent.dueAt_ > clock_.Now()) {
    routes_.push_back(std::move(aEvent));
    return;
  }
  if (log_->IsLeader()) {
    ProposalEvent proposal{ .change_ = aEvent.change_, .done_ = again };
    Handle(proposal);
    return;
  }
  if (!peers_->Forward(log_->LeaderName(), aEvent.change_, again)) {
    again(Refusal(v1::CHANGE_UNAVAILABLE, "no replica leads", {}));
  }
}

void ControlReplica::RetryRoutes()
{
  const Millis now = clock_.Now();
  std::vector<RouteEvent> due;
  std::erase_if(routes_, [&](RouteEvent& aRoute) {
    if (aRoute.dueAt_ > now) {
      return false;
    }
    due.push_back(std::move(aRoute));
    return true;
  });
  for (RouteEvent& route : due) {
    Handle(route);
  }
}

bool ControlReplica::Perform()
{
  while (log_->HasActions()) {
    LogActions actions = log_->Take();
    SendAll(std::move(actions.early_));
    if (!Store(actions)) {
      return false;
    }
    SendAll(std::move(actions.messages_));
    if (!Apply(actions)) {
      return false;
    }
    log_->Synced();
  }
  FailWaiting(!log_->IsLeader());
  FinishPeerReplies();
  MaybeCompact();
  Publish();
  return true;
}

bool ControlReplica::Store(const LogActions& aActions)
{
  if (aActions.compaction_) {
    const auto compacted = store_.Compact(aActions.compaction_->snapshot_,
                                          aActions.compaction_->records_);
    if (!compacted) {
      StopForDisk(compacted.error());
      return false;
    }
  }
  if (aActions.records_.empty()) {
    return true;
  }
  for (const std::string& record : aActions.records_) {
    if (const auto appended = store_.Append(record); !appended) {
      StopForDisk(appended.error());
      return false;
    }
  }
  if (const auto synced = store_.Sync(); !synced) {
    StopForDisk(synced.error());
    return false;
  }
  return true;
}

void ControlReplica::StopForDisk(const StoreError& aError)
{
  LogError(Event::kLogDiskFailed, { { "detail", aError.detail_ } });
  if (options_.onDiskFailure_) {
    options_.onDiskFailure_(aError.detail_);
  }
}

// A message to a replica whose call waits goes into the answer of that call.
void ControlReplica::SendAll(std::vector<v1::PeerMessage> aMessages)
{
  std::map<std::string, v1::PeerBatch> batches;
  for (v1::PeerMessage& message : aMessages) {
    const std::string to = message.to();
    const auto waiting = peerReplies_.find(to);
    v1::PeerBatch& batch =
      waiting != peerReplies_.end() ? *waiting->second.reply_ : batches[to];
    *batch.add_messages() = std::move(message);
  }
  for (auto& [to, batch] : batches) {
    peers_->Send(to, std::move(batch));
  }
}

void ControlReplica::FinishPeerReplies()
{
  for (auto& [from, answer] : peerReplies_) {
    answer.reactor_->Finish(grpc::Status::OK);
  }
  peerReplies_.clear();
}

bool ControlReplica::Apply(const LogActions& aActions)
{
  if (aActions.restored_) {
    if (!state_.RestoreSnapshot(*aActions.restored_)) {
      StopForDisk({ .code_ = StoreErrorCode::kCorrupt,
                    .detail_ = "the snapshot's state cannot be read" });
      return false;
    }
    LogInfo(Event::kLogRestored,
            { { "index", log_->History().BaseIndex() },
              { "bytes", aActions.restored_->size() } });
  }
  for (const v1::LogEntry& entry : aActions.committed_) {
    v1::ChangeReply reply;
    if (!entry.payload().empty()) {
      v1::Change change;
      change.ParseFromString(entry.payload());
      reply = state_.ApplyCommitted(change);
    }
    const auto waiting = waiting_.find(entry.index());
    if (waiting == waiting_.end()) {
      continue;
    }
    // Another entry at this index: the proposal was overwritten.
    const bool isOwn = waiting->second.term_ == entry.term();
    waiting->second.done_(isOwn ? reply
                                : Refusal(v1::CHANGE_NOT_LEADER,
                                          "another replica took the lead",
                                          log_->LeaderName()));
    waiting_.erase(waiting);
  }
  return true;
}

// Once this replica no longer leads, or a quorum was too slow, it cannot know
// what became of them.
void ControlReplica::FailWaiting(bool aAll)
{
  const Millis now = clock_.Now();
  std::vector<Done> failed;
  std::erase_if(waiting_, [&](auto& aItem) {
    const bool isDue = aAll || aItem.second.until_ <= now;
    if (isDue) {
      failed.push_back(std::move(aItem.second.done_));
    }
    return isDue;
  });
  for (const Done& done : failed) {
    done(Refusal(v1::CHANGE_UNAVAILABLE,
                 "no quorum; the outcome is not known",
                 log_->LeaderName()));
  }
}

void ControlReplica::MaybeCompact()
{
  const uint64_t kept = log_->AppliedIndex() - log_->History().BaseIndex();
  const bool isLong = kept >= kCompactEntries;
  const bool isLarge = kept > 0 && store_.LogBytes() > kCompactBytes;
  if (log_->HasActions() || (!isLong && !isLarge)) {
    return;
  }
  log_->Compact(state_.Snapshot());
  const LogActions actions = log_->Take();
  if (Store(actions)) {
    log_->Synced();
    LogInfo(Event::kLogCompacted, { { "index", log_->History().BaseIndex() } });
  }
}

void ControlReplica::Publish()
{
  ControlReplicaStatus fresh{
    .role_ = RoleName(*log_),
    .leader_ = log_->LeaderName(),
    .term_ = log_->Term(),
    .commitIndex_ = log_->CommitIndex(),
    .snapshotIndex_ = log_->History().BaseIndex(),
    .incarnation_ = log_->Self().incarnation(),
  };
  for (const auto& member : log_->History().Latest().config_.members()) {
    fresh.members_.push_back(member.name() + "/" +
                             std::to_string(member.incarnation()));
  }
  isLeader_ = log_->IsLeaderInForce();
  std::lock_guard lock(statusMutex_);
  if (fresh.role_ != status_.role_ || fresh.term_ != status_.term_) {
    LogInfo(Event::kLogRoleChanged,
            { { "role", fresh.role_ },
              { "term", fresh.term_ },
              { "leader", fresh.leader_ } });
  }
  if (fresh.members_ != status_.members_) {
    std::string members;
    for (const std::string& member : fresh.members_) {
      members += (members.empty() ? "" : ",") + member;
    }
    LogInfo(Event::kLogMembersChanged, { { "members", members } });
  }
  status_ = std::move(fresh);
}

} // namespace vanillahatch
