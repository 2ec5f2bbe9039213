#include "entry/grant_client.h"

#include "vanillahatch/shell/grantor_choice.h"
#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/rpc.h"

#include <chrono>

namespace vanillahatch {

namespace {

constexpr std::chrono::milliseconds kTickInterval(20);

} // namespace

GrantClient::GrantClient(const Settings& aSettings,
                         const EntrySettings& aSelf,
                         const std::string& aSession,
                         GrantsCallback aDeliver)
  : settings_(aSettings)
  , self_(aSelf.name_)
  , session_(aSession)
  , deliver_(std::move(aDeliver))
{
  thread_ = std::thread([this] { Run(); });
}

GrantClient::~GrantClient()
{
  stopping_ = true;
  thread_.join();
  // Calls in flight call back into this object; each has a deadline.
  for (;;) {
    {
      std::lock_guard lock(mutex_);
      if (callsInFlight_ == 0) {
        return;
      }
    }
    std::this_thread::sleep_for(kTickInterval);
  }
}

void GrantClient::PutUpstream(const UpstreamFact& aFact)
{
  std::lock_guard lock(mutex_);
  if (Grantor* previous = FindGrantor(aFact.instance_);
      previous != nullptr &&
      dataCentreByInstance_[aFact.instance_] != aFact.dataCentre_) {
    previous->holder_.RemoveUpstream(aFact.instance_);
  }
  dataCentreByInstance_[aFact.instance_] = aFact.dataCentre_;
  auto it = grantors_.find(aFact.dataCentre_);
  if (it == grantors_.end()) {
    const ControlSettings& control =
      GrantorOf(aFact.dataCentre_, settings_.controls_);
    it =
      grantors_
        .emplace(
          aFact.dataCentre_,
          Grantor{
            .holder_ = GrantHolder({ .holder_ = self_, .session_ = session_ }),
            .stub_ = v1::ControlService::NewStub(MakeChannel(control.rpc_)) })
        .first;
  }
  it->second.holder_.PutUpstream(aFact);
}

void GrantClient::RemoveUpstream(const InstanceName& aInstance)
{
  std::lock_guard lock(mutex_);
  Grantor* grantor = FindGrantor(aInstance);
  if (grantor == nullptr) {
    return;
  }
  grantor->holder_.RemoveUpstream(aInstance);
  if (!grantor->attemptsInFlight_.contains(aInstance)) {
    dataCentreByInstance_.erase(aInstance);
  }
}

void GrantClient::OnAttemptStarted(const InstanceName& aInstance)
{
  std::lock_guard lock(mutex_);
  if (Grantor* grantor = FindGrantor(aInstance); grantor != nullptr) {
    ++grantor->attemptsInFlight_[aInstance];
  }
}

void GrantClient::OnAttemptEnded(const InstanceName& aInstance)
{
  std::lock_guard lock(mutex_);
  Grantor* grantor = FindGrantor(aInstance);
  if (grantor == nullptr) {
    return;
  }
  const auto it = grantor->attemptsInFlight_.find(aInstance);
  if (it != grantor->attemptsInFlight_.end() && --it->second == 0) {
    grantor->attemptsInFlight_.erase(it);
  }
}

void GrantClient::OnGrantsApplied()
{
  std::lock_guard lock(mutex_);
  ++appliedBatches_;
}

void GrantClient::Report(Metrics& aMetrics) const
{
  std::lock_guard lock(mutex_);
  size_t grants = 0;
  for (const auto& [dataCentre, grantor] : grantors_) {
    grants += grantor.holder_.Grants(clock_.Now()).size();
  }
  aMetrics.Set("vh_grants_held", static_cast<double>(grants));
}

void GrantClient::Run()
{
  while (!stopping_) {
    TickAll();
    std::this_thread::sleep_for(kTickInterval);
  }
}

void GrantClient::TickAll()
{
  std::lock_guard lock(mutex_);
  for (auto& [dataCentre, grantor] : grantors_) {
    if (!grantor.undelivered_.empty()) {
      DeliverChanges(grantor);
    }
    if (appliedBatches_ < deliveredBatches_ || !grantor.undelivered_.empty()) {
      continue;
    }
    auto request =
      grantor.holder_.Tick(clock_.Now(), grantor.attemptsInFlight_);
    if (request) {
      Send(dataCentre, grantor, std::move(*request));
    }
  }
}

void GrantClient::Send(const DataCentreName& aDataCentre,
                       Grantor& aGrantor,
                       v1::GrantRequest aRequest)
{
  auto call = std::make_shared<Call>();
  call->request_ = std::move(aRequest);
  call->request_.set_data_centre(aDataCentre.Str());
  SetDeadline(call->context_, GrantHolderOptions().requestTimeout_);
  ++callsInFlight_;
  aGrantor.stub_->async()->Renew(
    &call->context_,
    &call->request_,
    &call->reply_,
    [this, call, aDataCentre](const grpc::Status& aStatus) {
      if (aStatus.ok()) {
        OnReply(aDataCentre, call->reply_);
      }
      std::lock_guard lock(mutex_);
      --callsInFlight_;
    });
}

void GrantClient::OnReply(const DataCentreName& aDataCentre,
                          const v1::GrantReply& aReply)
{
  std::lock_guard lock(mutex_);
  Grantor& grantor = grantors_.at(aDataCentre);
  if (aReply.present()) {
    LogInfo(Event::kGrantorNew,
            { { "data_centre", aDataCentre.View() },
              { "incarnation", aReply.incarnation() } });
  }
  for (const v1::TableChange& change : aReply.changes()) {
    LogInfo(change.revoked() ? Event::kGrantRevoked : Event::kGrantReceived,
            { { "instance", change.instance() },
              { "pool", change.pool() },
              { "epoch", change.epoch() } });
  }
  if (grantor.holder_.OnReply(aReply, clock_.Now())) {
    std::vector<Grant> changes = grantor.holder_.TakeChanges();
    std::move(
      changes.begin(), changes.end(), std::back_inserter(grantor.undelivered_));
    DeliverChanges(grantor);
  }
}

void GrantClient::DeliverChanges(Grantor& aGrantor)
{
  if (aGrantor.undelivered_.empty() || !deliver_(aGrantor.undelivered_)) {
    return;
  }
  aGrantor.undelivered_.clear();
  ++deliveredBatches_;
}

GrantClient::Grantor* GrantClient::FindGrantor(const InstanceName& aInstance)
{
  const auto dataCentre = dataCentreByInstance_.find(aInstance);
  if (dataCentre == dataCentreByInstance_.end()) {
    return nullptr;
  }
  const auto grantor = grantors_.find(dataCentre->second);
  return grantor != grantors_.end() ? &grantor->second : nullptr;
}

} // namespace vanillahatch
