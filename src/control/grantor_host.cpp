#include "control/grantor_host.h"

#include "vanillahatch/shell/grantor_choice.h"
#include "vanillahatch/shell/log.h"

#include <chrono>

namespace vanillahatch {

namespace {

constexpr std::chrono::milliseconds kTickInterval(100);

} // namespace

GrantorHost::GrantorHost(const Settings& aSettings,
                         const ControlSettings& aSelf,
                         ControlState& aState,
                         ProposeFunction aPropose)
  : settings_(aSettings)
  , self_(aSelf)
  , state_(aState)
  , propose_(std::move(aPropose))
  , incarnation_(aSelf.name_.Str() + "/" +
                 std::to_string(clock_.UnixNow().Count()))
{
  state_.Subscribe([this] {
    std::lock_guard lock(wakeMutex_);
    stateChanged_ = true;
    wake_.notify_one();
  });
  thread_ = std::thread([this] { Run(); });
}

GrantorHost::~GrantorHost()
{
  {
    std::lock_guard lock(wakeMutex_);
    stopping_ = true;
    wake_.notify_one();
  }
  thread_.join();
}

bool GrantorHost::Renew(const v1::GrantRequest& aRequest,
                        v1::GrantReply& aReply)
{
  std::lock_guard lock(mutex_);
  Grantor* grantor = FindOrCreate(DataCentreName(aRequest.data_centre()));
  if (grantor == nullptr) {
    return false;
  }
  aReply = grantor->OnRequest(aRequest, clock_.Now());
  return true;
}

void GrantorHost::ReportMetrics(Metrics& aMetrics) const
{
  std::lock_guard lock(mutex_);
  size_t sessions = 0;
  size_t grants = 0;
  for (const auto& [dataCentre, grantor] : grantors_) {
    sessions += grantor->LiveSessionCount();
    grants += grantor->OutstandingGrantCount();
  }
  aMetrics.Set("vh_grant_sessions", static_cast<double>(sessions));
  aMetrics.Set("vh_grants_outstanding", static_cast<double>(grants));
}

Grantor* GrantorHost::FindOrCreate(const DataCentreName& aDataCentre)
{
  const auto it = grantors_.find(aDataCentre);
  if (it != grantors_.end()) {
    return it->second.get();
  }
  const bool isResponsible =
    GrantorOf(aDataCentre, settings_.controls_).name_ == self_.name_;
  if (!isResponsible || grantors_.size() >= kMaxDataCentres) {
    return nullptr;
  }
  GrantorOptions options{ .dataCentre_ = aDataCentre,
                          .incarnation_ = incarnation_ };
  for (const EntrySettings& entry : settings_.entries_) {
    options.expectedHolders_.insert(entry.name_);
  }
  // Recovery counts from the first request and not from the start of the
  // process, during which another replica may have been the grantor.
  auto grantor = std::make_unique<Grantor>(
    std::move(options), MakeUndividedSlots(), clock_.Now());
  grantor->OnState(state_.State());
  return grantors_.emplace(aDataCentre, std::move(grantor)).first->second.get();
}

void GrantorHost::Run()
{
  std::unique_lock wake(wakeMutex_);
  while (!stopping_) {
    wake_.wait_for(
      wake, kTickInterval, [this] { return stateChanged_ || stopping_; });
    const bool stateChanged = std::exchange(stateChanged_, false);
    wake.unlock();
    if (stateChanged) {
      UpdateGrantors();
    }
    std::vector<v1::Change> changes;
    {
      std::lock_guard lock(mutex_);
      for (const auto& [dataCentre, grantor] : grantors_) {
        std::vector<v1::Change> due = grantor->OnTick(clock_.Now());
        std::move(due.begin(), due.end(), std::back_inserter(changes));
      }
    }
    for (v1::Change& change : changes) {
      change.set_author(self_.name_.Str());
      change.set_proposed_at_unix_ms(clock_.UnixNow().Count());
      const v1::ChangeReply reply = propose_(change);
      LogInfo(Event::kGrantorProposed,
              { { "change", change.change_id() },
                { "status", v1::ChangeStatus_Name(reply.status()) },
                { "detail", reply.detail() } });
    }
    wake.lock();
  }
}

void GrantorHost::UpdateGrantors()
{
  const v1::FleetState state = state_.State();
  std::lock_guard lock(mutex_);
  for (const auto& [dataCentre, grantor] : grantors_) {
    grantor->OnState(state);
  }
}

} // namespace vanillahatch
