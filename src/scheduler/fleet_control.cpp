#include "scheduler/fleet_control.h"

#include "scheduler/await_proposal.h"
#include "vanillahatch/shell/log.h"

namespace vanillahatch {

namespace asio = boost::asio;

FleetControl::FleetControl(JobStoreHost& aStore,
                           LogReplica& aReplica,
                           FleetDriver& aDriver)
  : store_(aStore)
  , replica_(aReplica)
  , driver_(aDriver)
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

// Only what changes the state goes into the log; the rest renews what the
// leader believes of the instance.
asio::awaitable<ControlReply> FleetControl::Report(InstanceReport aReport,
                                                   Millis aClock)
{
  if (!replica_.IsLeader()) {
    co_return ControlReply{ .status_ = ControlStatus::kNotLeader,
                            .leader_ = replica_.Status().leader_ };
  }
  const InstanceKey key = ToKey(aReport.record_);
  uint64_t& latest = sequences_[key];
  if (aReport.sequence_ < latest) {
    co_return ControlReply{ .status_ = ControlStatus::kOk }; // overtaken
  }
  latest = aReport.sequence_;
  v1::JobChanges changes = driver_.ChangesFor(aReport);
  ControlReply reply{ .status_ = ControlStatus::kOk };
  if (changes.changes_size() > 0) {
    reply = co_await Commit(std::move(changes));
    LogInfo(Event::kInstanceReported,
            { { "instance", key.id_ },
              { "born", key.bornUnixMs_ },
              { "service", aReport.record_.service() },
              { "ready", aReport.isReady_ ? "yes" : "no" },
              { "outcome", static_cast<int>(reply.status_) } });
  }
  if (reply.status_ == ControlStatus::kOk) {
    driver_.OnReport(key, aClock);
  }
  co_return reply;
}

asio::awaitable<ControlReply> FleetControl::Leave(std::string aInstance)
{
  v1::JobChanges changes = driver_.ChangesForLeave(aInstance);
  const ControlReply reply = co_await Commit(std::move(changes));
  LogInfo(Event::kInstanceLeft,
          { { "instance", aInstance },
            { "outcome", static_cast<int>(reply.status_) } });
  driver_.Wake();
  co_return reply;
}

} // namespace vanillahatch
