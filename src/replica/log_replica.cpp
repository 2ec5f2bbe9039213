#include "replica/log_replica.h"

#include "vanillahatch/shell/log.h"

#include <algorithm>
#include <random>

namespace vanillahatch {

namespace {

constexpr size_t kRingEvents = 4096;
constexpr Millis kCommitTimeout = Seconds(5);
constexpr Millis kLongestWait = Seconds(1);

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

std::vector<std::string> LogReplicaStatus::OtherMembers(
  const std::string& aSelf) const
{
  std::vector<std::string> others;
  for (const std::string& member : members_) {
    const std::string name = member.substr(0, member.rfind('/'));
    if (name != aSelf) {
      others.push_back(name);
    }
  }
  return others;
}

grpc::ServerUnaryReactor* LogReplica::LogService::Exchange(
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

LogReplica::LogReplica(LogReplicaOptions aOptions,
                       ReplicatedState& aState,
                       const Clock& aClock)
  : options_(std::move(aOptions))
  , state_(aState)
  , clock_(aClock)
  , ring_(kRingEvents)
  , store_({ .folder_ = options_.dataFolder_, .sync_ = options_.sync_ })
{
}

LogReplica::~LogReplica()
{
  Stop();
}

bool LogReplica::Start()
{
  if (!Open()) {
    return false;
  }
  peers_ = std::make_unique<LogPeers>(
    options_.resolver_, [this](v1::PeerBatch aBatch) {
      // A full ring loses the answer, as the network might.
      (void)ring_.TryPush(PeerEvent{ .batch_ = std::move(aBatch) });
    });
  thread_ = std::thread([this] { Run(); });
  return true;
}

bool LogReplica::Open()
{
  auto contents = store_.Load();
  const bool isLost = !contents;
  if (isLost) {
    LogWarning(Event::kLogDiskLost, { { "reason", contents.error().detail_ } });
    if (const auto created = store_.Create(); !created) {
      LogError(Event::kLogDiskFailed,
               { { "detail", created.error().detail_ } });
      return false;
    }
  }
  ControlLogOptions logOptions{ .self_ = options_.self_,
                                .replicas_ = options_.replicas_,
                                .mayFound_ = options_.mayFound_,
                                .openMembership_ = options_.openMembership_,
                                .seed_ = FreshSeed(),
                                .timing_ = options_.timing_,
                                .tellCommitAtOnce_ =
                                  options_.tellCommitAtOnce_ };
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

void LogReplica::Stop()
{
  stopping_ = true;
  ring_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
  peers_.reset();
}

void LogReplica::Propose(std::string aPayload, const Done& aDone)
{
  Input input =
    ProposalEvent{ .payload_ = std::move(aPayload), .done_ = aDone };
  if (!ring_.TryPush(std::move(input))) {
    aDone({ .status_ = ProposalStatus::kOverloaded });
  }
}

void LogReplica::RunAt(Millis aDueAt,
                       std::function<void()> aWork,
                       const std::function<void()>& aRefused)
{
  Input input = WorkEvent{ .dueAt_ = aDueAt,
                           .work_ = std::move(aWork),
                           .refused_ = aRefused };
  if (!ring_.TryPush(std::move(input))) {
    aRefused();
  }
}

void LogReplica::SetReplicas(std::vector<std::string> aNames)
{
  RunAt(
    clock_.Now(),
    [this, names = std::move(aNames)] { log_->SetReplicas(names); },
    [] {}); // a stopping replica asks nobody
}

LogReplicaStatus LogReplica::Status() const
{
  std::lock_guard lock(statusMutex_);
  return status_;
}

void LogReplica::Run()
{
  bool holds = Perform();
  while (holds && !stopping_) {
    TakeInputs();
    RunDueWork();
    holds = Perform();
  }
  isLeader_ = false;
  leaderTerm_ = 0;
  permittedUntil_ = 0;
  FinishPeerReplies();
  FailWaiting(true);
  RefuseRest();
}

void LogReplica::TakeInputs()
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

void LogReplica::RefuseRest()
{
  for (WorkEvent& work : work_) {
    work.refused_();
  }
  work_.clear();
  ring_.Close();
  while (std::optional<Input> input = ring_.PopFor(Millis(0))) {
    if (auto* proposal = std::get_if<ProposalEvent>(&*input)) {
      proposal->done_({ .status_ = ProposalStatus::kOverloaded });
    } else if (auto* work = std::get_if<WorkEvent>(&*input)) {
      work->refused_();
    } else if (auto* peer = std::get_if<PeerEvent>(&*input);
               peer->answer_.reactor_ != nullptr) {
      peer->answer_.reactor_->Finish(
        grpc::Status(grpc::StatusCode::UNAVAILABLE, "stopping"));
    }
  }
}

Millis LogReplica::NextWake() const
{
  Millis wait = std::min(kLongestWait, log_->NextTickAt() - clock_.Now());
  for (const WorkEvent& work : work_) {
    wait = std::min(wait, work.dueAt_ - clock_.Now());
  }
  return std::max(wait, Millis(1));
}

void LogReplica::Handle(PeerEvent& aEvent)
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

void LogReplica::Handle(ProposalEvent& aEvent)
{
  const auto position = log_->Propose(clock_.Now(), std::move(aEvent.payload_));
  if (position) {
    waiting_[position.value().index_] = {
      .term_ = position.value().term_,
      .until_ = clock_.Now() + kCommitTimeout,
      .done_ = std::move(aEvent.done_),
    };
    return;
  }
  const bool isLost = position.error() == ProposeError::kNotLeader;
  aEvent.done_({ .status_ = isLost ? ProposalStatus::kNotLeader
                                   : ProposalStatus::kOverloaded,
                 .leader_ = log_->LeaderName() });
}

void LogReplica::Handle(WorkEvent& aEvent)
{
  work_.push_back(std::move(aEvent));
}

void LogReplica::RunDueWork()
{
  const Millis now = clock_.Now();
  std::vector<WorkEvent> due;
  std::erase_if(work_, [&](WorkEvent& aWork) {
    if (aWork.dueAt_ > now) {
      return false;
    }
    due.push_back(std::move(aWork));
    return true;
  });
  for (const WorkEvent& work : due) {
    work.work_();
  }
}

bool LogReplica::Perform()
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

bool LogReplica::Store(const LogActions& aActions)
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

void LogReplica::StopForDisk(const StoreError& aError)
{
  LogError(Event::kLogDiskFailed, { { "detail", aError.detail_ } });
  if (options_.onDiskFailure_) {
    options_.onDiskFailure_(aError.detail_);
  }
}

// A message to a replica whose call waits goes into the answer of that call.
void LogReplica::SendAll(std::vector<v1::PeerMessage> aMessages)
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

void LogReplica::FinishPeerReplies()
{
  for (auto& [from, answer] : peerReplies_) {
    answer.reactor_->Finish(grpc::Status::OK);
  }
  peerReplies_.clear();
}

bool LogReplica::Apply(const LogActions& aActions)
{
  if (aActions.restored_) {
    if (!state_.Restore(*aActions.restored_)) {
      StopForDisk({ .code_ = StoreErrorCode::kCorrupt,
                    .detail_ = "the snapshot's state cannot be read" });
      return false;
    }
    LogInfo(Event::kLogRestored,
            { { "index", log_->History().BaseIndex() },
              { "bytes", aActions.restored_->size() } });
  }
  for (const v1::LogEntry& entry : aActions.committed_) {
    std::string reply;
    if (entry.has_payload()) {
      reply = state_.Apply(entry.payload());
    }
    const auto waiting = waiting_.find(entry.index());
    if (waiting == waiting_.end()) {
      continue;
    }
    // Another entry at this index: the proposal was overwritten.
    const bool isOwn = waiting->second.term_ == entry.term();
    waiting->second.done_({ .status_ = isOwn ? ProposalStatus::kCommitted
                                             : ProposalStatus::kNotLeader,
                            .reply_ = std::move(reply),
                            .leader_ = log_->LeaderName() });
    waiting_.erase(waiting);
  }
  return true;
}

// Once this replica no longer leads, or a quorum was too slow, it cannot know
// what became of them.
void LogReplica::FailWaiting(bool aAll)
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
    done(
      { .status_ = ProposalStatus::kUnknown, .leader_ = log_->LeaderName() });
  }
}

void LogReplica::MaybeCompact()
{
  const uint64_t kept = log_->AppliedIndex() - log_->History().BaseIndex();
  const bool isLong = kept >= options_.compactEntries_;
  const bool isLarge = kept > 0 && store_.LogBytes() > options_.compactBytes_;
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

void LogReplica::Publish()
{
  LogReplicaStatus fresh{
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
  const uint64_t leaderTerm = log_->IsLeaderInForce() ? log_->Term() : 0;
  isLeader_ = leaderTerm != 0;
  permittedUntil_ = log_->PermittedUntil().Count();
  const bool isChanged = leaderTerm_.exchange(leaderTerm) != leaderTerm;
  if (isChanged && options_.onLeadership_) {
    options_.onLeadership_();
  }
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
