#include "replica/log_replica.h"

#include "vanillahatch/shell/log.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <random>

namespace vanillahatch {

namespace {

constexpr size_t kRingCapacity = 4096;
constexpr Millis kCommitTimeout = Seconds(5);
constexpr Millis kMaxWait = Seconds(1);

uint64_t RandomSeed()
{
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

std::string MemberText(const v1::LogMember& aMember)
{
  return aMember.name() + "/" + std::to_string(aMember.incarnation());
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

ProposalStatus ToStatus(ProposeError aError)
{
  switch (aError) {
    case ProposeError::kNotLeader:
      return ProposalStatus::kNotLeader;
    case ProposeError::kTooLarge:
      return ProposalStatus::kUnreadable;
    default:
      return ProposalStatus::kOverloaded;
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
               .pendingReply_ = { .reactor_ = reactor, .reply_ = aReply } };
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
  , ring_(kRingCapacity)
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
      // If the ring is full, the reply is dropped; messages may be lost anyway.
      (void)ring_.TryPush(PeerEvent{ .batch_ = std::move(aBatch) });
    });
  thread_ = std::thread([this] { Run(); });
  return true;
}

bool LogReplica::Open()
{
  auto contents = store_.Load();
  const bool hasNoContents = !contents;
  if (hasNoContents) {
    LogWarning(Event::kLogDiskLost, { { "reason", contents.error().detail_ } });
    if (const auto created = store_.Create(); !created) {
      LogError(Event::kLogDiskFailed,
               { { "detail", created.error().detail_ } });
      return false;
    }
  }
  ControlLogOptions logOptions{ .self_ = options_.self_,
                                .replicas_ = options_.replicas_,
                                .mayBootstrap_ = options_.mayBootstrap_,
                                .openMembership_ = options_.openMembership_,
                                .toleratedLosses_ = options_.toleratedLosses_,
                                .seed_ = RandomSeed(),
                                .timing_ = options_.timing_,
                                .sendCommitImmediately_ =
                                  options_.sendCommitImmediately_ };
  try {
    log_ =
      std::make_unique<ControlLog>(std::move(logOptions),
                                   hasNoContents ? nullptr : &contents.value(),
                                   clock_.Now());
  } catch (const std::runtime_error& error) {
    LogError(Event::kLogDiskFailed, { { "detail", error.what() } });
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
    aDone({ .status_ = ring_.IsClosed() ? ProposalStatus::kNotLeader
                                        : ProposalStatus::kOverloaded });
  }
}

void LogReplica::RunAt(Millis aDueAt,
                       std::function<void()> aWork,
                       const std::function<void()>& aOnRejected)
{
  Input input = WorkEvent{ .dueAt_ = aDueAt,
                           .work_ = std::move(aWork),
                           .onRejected_ = aOnRejected };
  if (!ring_.TryPush(std::move(input))) {
    aOnRejected();
  }
}

void LogReplica::SetReplicas(std::vector<std::string> aNames)
{
  RunAt(
    clock_.Now(),
    [this, names = std::move(aNames)] { log_->SetReplicas(names); },
    [] {}); // not needed by a replica that is stopping
}

void LogReplica::Leave(const std::function<void()>& aMayStop)
{
  RunAt(
    clock_.Now(),
    [this, aMayStop] {
      onMayStop_ = aMayStop;
      log_->Leave(clock_.Now());
    },
    aMayStop);
}

LogReplicaStatus LogReplica::Status() const
{
  std::lock_guard lock(statusMutex_);
  return status_;
}

void LogReplica::Run()
{
  bool isStorageOk = PerformActions();
  while (isStorageOk && !stopping_) {
    ProcessInputs();
    // Before the sync, which a slow disk may prolong beyond the leader lease.
    PublishLeaderLease();
    RunDueWork();
    isStorageOk = PerformActions();
  }
  isLeader_ = false;
  leaderTerm_ = 0;
  leaseExpiresAtMs_ = 0;
  FinishPendingReplies();
  FailPendingProposals(true);
  RejectRemainingInputs();
}

void LogReplica::ProcessInputs()
{
  std::optional<Input> input = ring_.PopFor(NextWait());
  log_->Tick(clock_.Now());
  size_t processed = 0;
  while (input) {
    std::visit([this](auto& aInput) { Handle(aInput); }, *input);
    if (++processed == options_.maxBatch_) {
      return;
    }
    input = ring_.PopFor(Millis(0));
  }
}

void LogReplica::RejectRemainingInputs()
{
  for (WorkEvent& work : scheduledWork_) {
    work.onRejected_();
  }
  scheduledWork_.clear();
  ring_.Close();
  while (std::optional<Input> input = ring_.PopFor(Millis(0))) {
    if (auto* proposal = std::get_if<ProposalEvent>(&*input)) {
      proposal->done_({ .status_ = ProposalStatus::kNotLeader });
    } else if (auto* work = std::get_if<WorkEvent>(&*input)) {
      work->onRejected_();
    } else if (auto* peer = std::get_if<PeerEvent>(&*input);
               peer->pendingReply_.reactor_ != nullptr) {
      peer->pendingReply_.reactor_->Finish(
        grpc::Status(grpc::StatusCode::UNAVAILABLE, "stopping"));
    }
  }
}

Millis LogReplica::NextWait() const
{
  Millis wait = std::min(kMaxWait, log_->NextTickAt() - clock_.Now());
  for (const WorkEvent& work : scheduledWork_) {
    wait = std::min(wait, work.dueAt_ - clock_.Now());
  }
  return std::max(wait, Millis(1));
}

void LogReplica::Handle(PeerEvent& aEvent)
{
  for (const v1::PeerMessage& message : aEvent.batch_.messages()) {
    log_->Receive(clock_.Now(), message);
  }
  if (aEvent.pendingReply_.reactor_ != nullptr) {
    const bool isEmpty = aEvent.batch_.messages().empty();
    const std::string from =
      isEmpty ? std::string() : aEvent.batch_.messages(0).from().name();
    pendingReplies_.emplace(from, aEvent.pendingReply_);
  }
}

void LogReplica::Handle(ProposalEvent& aEvent)
{
  const auto position = log_->Propose(clock_.Now(), std::move(aEvent.payload_));
  if (position) {
    pendingProposals_[position.value().index_] = {
      .term_ = position.value().term_,
      .timeoutAt_ = clock_.Now() + kCommitTimeout,
      .done_ = std::move(aEvent.done_),
    };
    return;
  }
  aEvent.done_(
    { .status_ = ToStatus(position.error()), .leader_ = log_->LeaderName() });
}

void LogReplica::Handle(WorkEvent& aEvent)
{
  scheduledWork_.push_back(std::move(aEvent));
}

void LogReplica::RunDueWork()
{
  const Millis now = clock_.Now();
  std::vector<WorkEvent> due;
  std::erase_if(scheduledWork_, [&](WorkEvent& aWork) {
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

bool LogReplica::PerformActions()
{
  while (log_->HasActions()) {
    LogActions actions = log_->TakeActions();
    SendAll(std::move(actions.early_));
    if (!Store(actions)) {
      return false;
    }
    SendAll(std::move(actions.messages_));
    if (!Apply(actions)) {
      return false;
    }
    log_->OnSynced();
  }
  FailPendingProposals(!log_->IsLeader());
  FinishPendingReplies();
  if (!MaybeCompact()) {
    return false;
  }
  PublishStatus();
  ReportMayStop();
  return true;
}

bool LogReplica::Store(const LogActions& aActions)
{
  if (aActions.compaction_) {
    const auto compacted = store_.Compact(aActions.compaction_->snapshot_,
                                          aActions.compaction_->records_);
    if (!compacted) {
      ReportDiskFailure(compacted.error());
      return false;
    }
  }
  if (aActions.records_.empty()) {
    return true;
  }
  for (const std::string& record : aActions.records_) {
    if (const auto appended = store_.Append(record); !appended) {
      ReportDiskFailure(appended.error());
      return false;
    }
  }
  if (const auto synced = store_.Sync(); !synced) {
    ReportDiskFailure(synced.error());
    return false;
  }
  return true;
}

void LogReplica::ReportDiskFailure(const StoreError& aError)
{
  LogError(Event::kLogDiskFailed, { { "detail", aError.detail_ } });
  if (options_.onDiskFailure_) {
    options_.onDiskFailure_(aError.detail_);
  }
}

// Messages to a replica with a pending call are sent in the reply to that call.
void LogReplica::SendAll(std::vector<v1::PeerMessage> aMessages)
{
  std::map<std::string, v1::PeerBatch> batches;
  for (v1::PeerMessage& message : aMessages) {
    const std::string to = message.to();
    const auto pending = pendingReplies_.find(to);
    v1::PeerBatch& batch =
      pending != pendingReplies_.end() ? *pending->second.reply_ : batches[to];
    *batch.add_messages() = std::move(message);
  }
  for (auto& [to, batch] : batches) {
    peers_->Send(to, std::move(batch));
  }
}

void LogReplica::FinishPendingReplies()
{
  for (auto& [from, reply] : pendingReplies_) {
    reply.reactor_->Finish(grpc::Status::OK);
  }
  pendingReplies_.clear();
}

bool LogReplica::Apply(const LogActions& aActions)
{
  if (aActions.restored_) {
    if (!state_.Restore(*aActions.restored_)) {
      ReportDiskFailure(
        { .code_ = StoreErrorCode::kCorrupt,
          .detail_ = "the state in the snapshot cannot be parsed" });
      return false;
    }
    LogInfo(Event::kLogRestored,
            { { "index", log_->History().SnapshotIndex() },
              { "bytes", aActions.restored_->size() } });
  }
  for (const v1::LogEntry& entry : aActions.committed_) {
    std::optional<std::string> reply = std::string();
    if (entry.has_payload()) {
      reply = state_.Apply(entry.payload());
    }
    if (!reply) {
      LogError(Event::kLogEntryUnreadable,
               { { "index", entry.index() },
                 { "term", entry.term() },
                 { "bytes", entry.payload().size() } });
    }
    const auto proposal = pendingProposals_.find(entry.index());
    if (proposal == pendingProposals_.end()) {
      continue;
    }
    ProposalStatus status = ProposalStatus::kCommitted;
    if (proposal->second.term_ != entry.term()) {
      status = ProposalStatus::kNotLeader; // overwritten by another entry
    } else if (!reply) {
      status = ProposalStatus::kUnreadable;
    }
    proposal->second.done_({ .status_ = status,
                             .reply_ = std::move(reply).value_or(""),
                             .leader_ = log_->LeaderName() });
    pendingProposals_.erase(proposal);
  }
  return true;
}

// Fails proposals that timed out, or all of them if this replica is no longer
// the leader: whether they will be committed is then unknown.
void LogReplica::FailPendingProposals(bool aAll)
{
  const Millis now = clock_.Now();
  std::vector<Done> failed;
  std::erase_if(pendingProposals_, [&](auto& aItem) {
    const bool mustFail = aAll || aItem.second.timeoutAt_ <= now;
    if (mustFail) {
      failed.push_back(std::move(aItem.second.done_));
    }
    return mustFail;
  });
  for (const Done& done : failed) {
    done(
      { .status_ = ProposalStatus::kUnknown, .leader_ = log_->LeaderName() });
  }
}

bool LogReplica::MaybeCompact()
{
  const uint64_t appliedEntries =
    log_->AppliedIndex() - log_->History().SnapshotIndex();
  const bool isLong = appliedEntries >= options_.compactEntries_;
  const bool isLarge =
    appliedEntries > 0 && store_.LogBytes() > options_.compactBytes_;
  if (log_->HasActions() || (!isLong && !isLarge)) {
    return true;
  }
  log_->Compact(state_.Snapshot());
  const LogActions actions = log_->TakeActions();
  if (!Store(actions)) {
    return false;
  }
  log_->OnSynced();
  LogInfo(Event::kLogCompacted,
          { { "index", log_->History().SnapshotIndex() } });
  return true;
}

void LogReplica::ReportMayStop()
{
  if (onMayStop_ && log_->MayStop()) {
    std::exchange(onMayStop_, nullptr)();
  }
}

void LogReplica::PublishLeaderLease()
{
  leaseExpiresAtMs_ = log_->LeaderLeaseExpiresAt().Count();
}

void LogReplica::PublishStatus()
{
  LogReplicaStatus current{
    .role_ = RoleName(*log_),
    .leader_ = log_->LeaderName(),
    .term_ = log_->Term(),
    .commitIndex_ = log_->CommitIndex(),
    .snapshotIndex_ = log_->History().SnapshotIndex(),
    .incarnation_ = log_->Self().incarnation(),
  };
  for (const auto& member : log_->History().Latest().config_.members()) {
    current.members_.push_back(MemberText(member));
  }
  for (const auto& member : log_->Lost().Members()) {
    current.lostMembers_.push_back(MemberText(member));
  }
  const uint64_t leaderTerm = log_->IsEstablishedLeader() ? log_->Term() : 0;
  isLeader_ = leaderTerm != 0;
  PublishLeaderLease();
  const bool isChanged = leaderTerm_.exchange(leaderTerm) != leaderTerm;
  if (isChanged && options_.onLeadershipChange_) {
    options_.onLeadershipChange_();
  }
  std::lock_guard lock(statusMutex_);
  if (current.role_ != status_.role_ || current.term_ != status_.term_) {
    LogInfo(Event::kLogRoleChanged,
            { { "role", current.role_ },
              { "term", current.term_ },
              { "leader", current.leader_ } });
  }
  if (current.members_ != status_.members_ ||
      current.lostMembers_ != status_.lostMembers_) {
    LogInfo(Event::kLogMembersChanged,
            { { "members", boost::algorithm::join(current.members_, ",") },
              { "lost", boost::algorithm::join(current.lostMembers_, ",") } });
  }
  status_ = std::move(current);
}

} // namespace vanillahatch
