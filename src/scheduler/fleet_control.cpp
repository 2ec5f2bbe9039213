#include "scheduler/fleet_control.h"

#include "scheduler/await_proposal.h"
#include "vanillahatch/shell/log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace vanillahatch {

namespace asio = boost::asio;

namespace {

constexpr Millis kLeaveCheckInterval = Millis(20);
// Callers give up a call after a second.
constexpr Millis kMaxLeaveWait = Millis(800);

void LogLeave(const InstanceKey& aInstance, const ControlReply& aReply)
{
  LogInfo(Event::kInstanceLeft,
          { { "instance", aInstance.id_ },
            { "born", aInstance.startedUnixMs_ },
            { "outcome", static_cast<int>(aReply.status_) } });
}

} // namespace

FleetControl::FleetControl(JobStoreReplica& aStore,
                           LogReplica& aReplica,
                           FleetDriver& aDriver,
                           const Clock& aClock,
                           std::string aSelfName)
  : store_(aStore)
  , replica_(aReplica)
  , driver_(aDriver)
  , clock_(aClock)
  , selfName_(std::move(aSelfName))
{
}

asio::awaitable<ControlReply> FleetControl::Commit(v1::JobChanges aChanges)
{
  if (!replica_.IsLeader()) {
    co_return ControlReply{ .status_ = ControlStatus::kNotLeader,
                            .leader_ = replica_.Status().leader_ };
  }
  const ProposalResult result =
    co_await AwaitProposal(replica_, aChanges.SerializeAsString());
  switch (result.status_) {
    case ProposalStatus::kCommitted:
      co_return ControlReply{ .status_ = ControlStatus::kOk };
    case ProposalStatus::kNotLeader:
      co_return ControlReply{ .status_ = ControlStatus::kNotLeader,
                              .leader_ = result.leader_ };
    default:
      co_return ControlReply{ .status_ = ControlStatus::kUnavailable };
  }
}

asio::awaitable<ControlReply> FleetControl::PutConfig(v1::FleetDocument aConfig)
{
  const uint64_t version = aConfig.version();
  v1::JobChanges changes;
  *changes.add_changes()->mutable_put_config() = std::move(aConfig);
  const ControlReply reply = co_await Commit(std::move(changes));
  LogInfo(
    Event::kConfigDecided,
    { { "version", version }, { "outcome", static_cast<int>(reply.status_) } });
  driver_.Wake();
  co_return reply;
}

asio::awaitable<ControlReply> FleetControl::GetConfig()
{
  ControlReply reply = co_await Commit({});
  if (reply.status_ == ControlStatus::kOk) {
    reply.document_ = store_.With(
      [](const JobStore& aStore) { return aStore.Config().document(); });
    if (reply.document_.empty()) {
      reply.status_ = ControlStatus::kNotFound;
    }
  }
  co_return reply;
}

asio::awaitable<ControlReply> FleetControl::StartWave(v1::StartWave aWave)
{
  const uint64_t wave = aWave.wave();
  v1::JobChanges changes;
  *changes.add_changes()->mutable_start_wave() = std::move(aWave);
  const ControlReply reply = co_await Commit(std::move(changes));
  LogInfo(Event::kWaveDecided,
          { { "wave", wave }, { "outcome", static_cast<int>(reply.status_) } });
  driver_.Wake();
  co_return reply;
}

asio::awaitable<ControlReply> FleetControl::GetWave(uint64_t aWave)
{
  ControlReply reply = co_await Commit({});
  if (reply.status_ != ControlStatus::kOk) {
    co_return reply;
  }
  const bool isKnown = store_.With(
    [&](const JobStore& aStore) { return aStore.Waves().contains(aWave); });
  if (!isKnown) {
    reply.status_ = ControlStatus::kNotFound;
    co_return reply;
  }
  reply.isCompleted_ = driver_.IsWaveCompleted(aWave);
  co_return reply;
}

// Spreads the reports over the followers by the hash of the instance's id, to
// keep the load off the leader.
std::string FleetControl::ReplicaForReportsOf(
  const std::string& aInstance) const
{
  std::vector<std::string> followers =
    replica_.Status().OtherMembers(selfName_);
  return followers.empty()
           ? selfName_
           : followers[std::hash<std::string>()(aInstance) % followers.size()];
}

// Only a report that changes the state is proposed to the log, by the leader. A
// follower in contact with the leader acknowledges any other. A report is
// neither contact with the instance nor a reading of its clock, since another
// program may have sent it; only the instance's replies to orders are.
asio::awaitable<ControlReply> FleetControl::Report(InstanceReport aReport)
{
  const int64_t startedUnixMs = aReport.record_.born_unix_ms();
  if (!IsPlausibleStart(startedUnixMs, clock_.UnixNow())) {
    co_return ControlReply{ .status_ = ControlStatus::kImplausible };
  }
  if (!replica_.IsLeader()) {
    const LogReplicaStatus status = replica_.Status();
    const bool isRecorded =
      status.role_ == "follower" && store_.With([&](const JobStore& aStore) {
        return IsRecorded(aStore, aReport);
      });
    co_return ControlReply{ .status_ = isRecorded ? ControlStatus::kOk
                                                  : ControlStatus::kNotLeader,
                            .leader_ = status.leader_,
                            .reportTo_ = selfName_ };
  }
  const bool isConsistent = store_.With(
    [&](const JobStore& aStore) { return IsConsistent(aStore, aReport); });
  if (!isConsistent) {
    co_return ControlReply{ .status_ = ControlStatus::kImplausible };
  }
  const InstanceKey key = ToKey(aReport.record_);
  v1::JobChanges changes = store_.With([&](const JobStore& aStore) {
    const bool returns =
      ContradictsFinalState(aStore, aReport) &&
      contradictions_.Add(key, aReport.sequence_, clock_.Now());
    return returns ? ChangesForReturn(aStore, aReport)
                   : ChangesForReport(aStore, aReport);
  });
  const bool changesState = changes.changes_size() > 0;
  ControlReply reply{ .status_ = ControlStatus::kOk };
  if (changesState) {
    reply = co_await Commit(std::move(changes));
    LogInfo(Event::kInstanceReported,
            { { "instance", key.id_ },
              { "born", key.startedUnixMs_ },
              { "service", aReport.record_.service() },
              { "ready", aReport.isReady_ ? "yes" : "no" },
              { "outcome", static_cast<int>(reply.status_) } });
  }
  if (changesState) {
    driver_.Wake();
  }
  reply.reportTo_ = ReplicaForReportsOf(key.id_);
  co_return reply;
}

asio::awaitable<bool> FleetControl::AwaitEndOfTasks(
  const InstanceKey& aInstance)
{
  const std::vector<InstanceKey> leaving = store_.With(
    [&](const JobStore& aStore) { return FindLeaving(aStore, aInstance); });
  for (const InstanceKey& key : leaving) {
    driver_.OnLeave(key);
  }
  const auto giveUpAt = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(kMaxLeaveWait.Count());
  asio::steady_timer timer(co_await asio::this_coro::executor);
  // On another leader `Commit` names that one.
  while (replica_.IsLeader()) {
    const bool mayRun = store_.With(
      [&](const JobStore& aStore) { return MayRunTasks(aStore, leaving); });
    if (!mayRun) {
      co_return true;
    }
    if (std::chrono::steady_clock::now() >= giveUpAt) {
      co_return false;
    }
    boost::system::error_code ignored;
    timer.expires_after(std::chrono::milliseconds(kLeaveCheckInterval.Count()));
    co_await timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return true;
}

asio::awaitable<ControlReply> FleetControl::Leave(InstanceKey aInstance)
{
  if (!IsPlausibleStart(aInstance.startedUnixMs_, clock_.UnixNow())) {
    co_return ControlReply{ .status_ = ControlStatus::kImplausible };
  }
  if (!co_await AwaitEndOfTasks(aInstance)) {
    const ControlReply reply{ .status_ = ControlStatus::kRetryLater };
    LogLeave(aInstance, reply);
    co_return reply;
  }
  v1::JobChanges changes = store_.With(
    [&](const JobStore& aStore) { return ChangesForLeave(aStore, aInstance); });
  const ControlReply reply = co_await Commit(std::move(changes));
  LogLeave(aInstance, reply);
  driver_.Wake();
  co_return reply;
}

} // namespace vanillahatch
