#include "entry/control_client.h"

#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/rpc.h"
#include "vanillahatch/shell/scope_guard.h"

#include <algorithm>
#include <chrono>

namespace vanillahatch {

namespace {

// A call waits for a new revision at the replica for `kPollWait`; its deadline
// is `kReplyMargin` later.
constexpr Millis kPollWait = Seconds(1);
constexpr Millis kReplyMargin = Millis(500);
constexpr Millis kRetryDelay = Millis(100); // after a failed call
constexpr Millis kProbeInterval = Millis(2000);

void Sleep(Millis aDuration)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aDuration.Count()));
}

} // namespace

ControlClient::ControlClient(const EntrySettings& aSelf,
                             std::span<const ControlSettings> aControls,
                             AppliedCallback aOnApplied)
  : self_(aSelf.name_)
  , onApplied_(std::move(aOnApplied))
  , view_({ .controls_ = aControls.size() }, clock_.Now())
  , state_(std::make_shared<v1::FleetState>())
{
  std::vector<ControlSettings> ordered(aControls.begin(), aControls.end());
  std::stable_partition(
    ordered.begin(), ordered.end(), [&](const ControlSettings& aControl) {
      return aControl.dataCentre_ == aSelf.dataCentre_;
    });
  for (const ControlSettings& control : ordered) {
    controls_.push_back(
      { .name_ = control.name_.Str(),
        .stub_ = v1::ControlService::NewStub(MakeChannel(control.rpc_)) });
  }
  thread_ = std::thread([this] { Run(); });
}

ControlClient::~ControlClient()
{
  stopping_ = true;
  {
    std::lock_guard lock(callMutex_);
    if (call_ != nullptr) {
      call_->TryCancel();
    }
  }
  thread_.join();
}

uint64_t ControlClient::Revision() const
{
  std::lock_guard lock(mutex_);
  return view_.Revision();
}

bool ControlClient::Ready() const
{
  std::lock_guard lock(mutex_);
  return view_.Ready(clock_.Now());
}

std::shared_ptr<const v1::FleetState> ControlClient::State() const
{
  std::lock_guard lock(mutex_);
  return state_;
}

std::string ControlClient::StatusJson() const
{
  std::lock_guard lock(mutex_);
  const Millis now = clock_.Now();
  return "\"revision\":" + std::to_string(view_.Revision()) +
         ",\"highest_seen\":" + std::to_string(view_.HighestKnownRevision()) +
         ",\"stale\":" + (view_.Stale(now) ? "true" : "false") +
         ",\"held_ms\":" +
         std::to_string((now - view_.RevisionAdoptedAt()).Count()) +
         ",\"control_silent_ms\":" +
         std::to_string((now - view_.LastContactAt()).Count());
}

void ControlClient::Report(Metrics& aMetrics) const
{
  std::lock_guard lock(mutex_);
  const Millis now = clock_.Now();
  const auto seconds = [](Millis aDuration) {
    return static_cast<double>(aDuration.Count()) / 1000.0;
  };
  aMetrics.Set("vh_config_revision", static_cast<double>(view_.Revision()));
  aMetrics.Set("vh_config_highest_seen",
               static_cast<double>(view_.HighestKnownRevision()));
  aMetrics.Set("vh_config_stale", view_.Stale(now) ? 1 : 0);
  aMetrics.Set("vh_config_held_seconds",
               seconds(now - view_.RevisionAdoptedAt()));
  aMetrics.Set("vh_control_silent_seconds",
               seconds(now - view_.LastContactAt()));
}

void ControlClient::Run()
{
  SyncUntilReady();
  Millis nextProbe = clock_.Now() + kProbeInterval;
  while (!stopping_) {
    const bool isReachable = SyncOnce(current_, kPollWait);
    RecordReachable(isReachable);
    if (!isReachable) {
      current_ = (current_ + 1) % controls_.size();
      Sleep(kRetryDelay);
    }
    if (clock_.Now() >= nextProbe) {
      SyncWithNextControl();
      nextProbe = clock_.Now() + kProbeInterval;
    }
  }
}

void ControlClient::SyncUntilReady()
{
  while (!stopping_ && !Ready()) {
    bool isAnyReachable = false;
    for (size_t i = 0; i < controls_.size() && !stopping_; ++i) {
      isAnyReachable = SyncOnce(i, Millis(0)) || isAnyReachable;
    }
    RecordReachable(isAnyReachable);
    if (!Ready()) {
      Sleep(kRetryDelay);
    }
  }
}

void ControlClient::SyncWithNextControl()
{
  lastProbed_ = (lastProbed_ + 1) % controls_.size();
  if (lastProbed_ == current_) {
    return;
  }
  const uint64_t oldRevision = Revision();
  SyncOnce(lastProbed_, Millis(0));
  if (Revision() > oldRevision) {
    current_ = lastProbed_;
  }
}

bool ControlClient::SyncOnce(size_t aControl, Millis aWait)
{
  grpc::ClientContext context;
  SetDeadline(context, aWait + kReplyMargin);
  {
    std::lock_guard lock(callMutex_);
    call_ = &context;
  }
  const ScopeGuard clearCall([this] {
    std::lock_guard lock(callMutex_);
    call_ = nullptr;
  });
  v1::SyncRequest request;
  request.set_entry(self_.Str());
  request.set_known_revision(Revision());
  request.set_wait_ms(static_cast<uint32_t>(aWait.Count()));
  v1::SyncReply reply;
  const Control& control = controls_[aControl];
  if (!control.stub_->Sync(&context, request, &reply).ok()) {
    return false;
  }
  std::shared_ptr<const v1::FleetState> state;
  {
    std::lock_guard lock(mutex_);
    if (!view_.OnSyncReply(control.name_, reply, clock_.Now())) {
      return true;
    }
    state_ = std::make_shared<v1::FleetState>(view_.State());
    state = state_;
  }
  LogInfo(Event::kRevisionApplied,
          { { "revision", state->revision() }, { "from", control.name_ } });
  onApplied_(*state);
  return true;
}

void ControlClient::RecordReachable(bool aIsReachable)
{
  if (!aIsReachable && isReachable_) {
    LogWarning(Event::kControlUnreachable, { { "revision", Revision() } });
  }
  isReachable_ = aIsReachable;
}

} // namespace vanillahatch
