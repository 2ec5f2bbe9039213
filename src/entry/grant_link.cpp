#include "entry/grant_link.h"

#include "vanillahatch/shell/grantor_choice.h"
#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/rpc.h"

#include <chrono>

namespace vanillahatch {

namespace {

constexpr std::chrono::milliseconds kTick(20);

} // namespace

GrantLink::GrantLink(const Settings& aSettings,
                     const EntrySettings& aSelf,
                     const std::string& aSession,
                     Sink aSink)
  : settings_(aSettings)
  , self_(aSelf.name_)
  , session_(aSession)
  , sink_(std::move(aSink))
{
  thread_ = std::thread([this] { Run(); });
}

GrantLink::~GrantLink()
{
  stopping_ = true;
  thread_.join();
  // Calls under way call back into this object; each has a deadline.
  for (;;) {
    {
      std::lock_guard lock(mutex_);
      if (calls_ == 0) {
        return;
      }
    }
    std::this_thread::sleep_for(kTick);
  }
}

void GrantLink::PutUpstream(const UpstreamFact& aFact)
{
  std::lock_guard lock(mutex_);
  if (Line* before = LineOf(aFact.instance_);
      before != nullptr && dataCentres_[aFact.instance_] != aFact.dataCentre_) {
    before->holder_.RemoveUpstream(aFact.instance_);
  }
  dataCentres_[aFact.instance_] = aFact.dataCentre_;
  auto it = lines_.find(aFact.dataCentre_);
  if (it == lines_.end()) {
    const ControlSettings& grantor =
      GrantorOf(aFact.dataCentre_, settings_.controls_);
    it =
      lines_
        .emplace(
          aFact.dataCentre_,
          Line{
            .holder_ = GrantHolder({ .holder_ = self_, .session_ = session_ }),
            .stub_ = v1::ControlService::NewStub(MakeChannel(grantor.rpc_)) })
        .first;
  }
  it->second.holder_.PutUpstream(aFact);
}

void GrantLink::RemoveUpstream(const InstanceName& aInstance)
{
  std::lock_guard lock(mutex_);
  Line* line = LineOf(aInstance);
  if (line == nullptr) {
    return;
  }
  line->holder_.RemoveUpstream(aInstance);
  if (!line->inFlight_.contains(aInstance)) {
    dataCentres_.erase(aInstance);
  }
}

void GrantLink::Begun(const InstanceName& aInstance)
{
  std::lock_guard lock(mutex_);
  if (Line* line = LineOf(aInstance); line != nullptr) {
    ++line->inFlight_[aInstance];
  }
}

void GrantLink::Ended(const InstanceName& aInstance)
{
  std::lock_guard lock(mutex_);
  Line* line = LineOf(aInstance);
  if (line == nullptr) {
    return;
  }
  const auto it = line->inFlight_.find(aInstance);
  if (it != line->inFlight_.end() && --it->second == 0) {
    line->inFlight_.erase(it);
  }
}

void GrantLink::OnHandled()
{
  std::lock_guard lock(mutex_);
  ++handled_;
}

void GrantLink::Report(Metrics& aMetrics) const
{
  std::lock_guard lock(mutex_);
  size_t grants = 0;
  for (const auto& [dataCentre, line] : lines_) {
    grants += line.holder_.Grants(clock_.Now()).size();
  }
  aMetrics.Set("vh_grants_held", static_cast<double>(grants));
}

void GrantLink::Run()
{
  while (!stopping_) {
    TickAll();
    std::this_thread::sleep_for(kTick);
  }
}

void GrantLink::TickAll()
{
  std::lock_guard lock(mutex_);
  for (auto& [dataCentre, line] : lines_) {
    if (!line.unsent_.empty()) {
      PassOn(line);
    }
    if (handled_ < passedOn_ || !line.unsent_.empty()) {
      continue;
    }
    auto request = line.holder_.Tick(clock_.Now(), line.inFlight_);
    if (request) {
      Send(dataCentre, line, std::move(*request));
    }
  }
}

void GrantLink::Send(const DataCentreName& aDataCentre,
                     Line& aLine,
                     v1::GrantRequest aRequest)
{
  auto call = std::make_shared<Call>();
  call->request_ = std::move(aRequest);
  call->request_.set_data_centre(aDataCentre.Str());
  SetDeadline(call->context_, GrantHolderOptions().requestTimeout_);
  ++calls_;
  aLine.stub_->async()->Renew(
    &call->context_,
    &call->request_,
    &call->reply_,
    [this, call, aDataCentre](const grpc::Status& aStatus) {
      if (aStatus.ok()) {
        OnReply(aDataCentre, call->reply_);
      }
      std::lock_guard lock(mutex_);
      --calls_;
    });
}

void GrantLink::OnReply(const DataCentreName& aDataCentre,
                        const v1::GrantReply& aReply)
{
  std::lock_guard lock(mutex_);
  Line& line = lines_.at(aDataCentre);
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
  if (line.holder_.OnReply(aReply, clock_.Now())) {
    std::vector<Grant> changes = line.holder_.TakeChanges();
    std::move(changes.begin(), changes.end(), std::back_inserter(line.unsent_));
    PassOn(line);
  }
}

void GrantLink::PassOn(Line& aLine)
{
  if (aLine.unsent_.empty() || !sink_(aLine.unsent_)) {
    return;
  }
  aLine.unsent_.clear();
  ++passedOn_;
}

GrantLink::Line* GrantLink::LineOf(const InstanceName& aInstance)
{
  const auto dataCentre = dataCentres_.find(aInstance);
  if (dataCentre == dataCentres_.end()) {
    return nullptr;
  }
  const auto line = lines_.find(dataCentre->second);
  return line != lines_.end() ? &line->second : nullptr;
}

} // namespace vanillahatch
