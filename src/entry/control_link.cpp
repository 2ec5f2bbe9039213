#include "entry/control_link.h"

#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/rpc.h"
#include "vanillahatch/shell/scope_guard.h"

#include <algorithm>
#include <chrono>

namespace vanillahatch {

namespace {

constexpr Millis kWait = Seconds(1);        // at the replica, for a change
constexpr Millis kAnswerTime = Millis(500); // beyond the wait
constexpr Millis kRetryPause = Millis(100); // after a failed call
constexpr Millis kProbePeriod = Millis(2000);

void Sleep(Millis aSpan)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aSpan.Count()));
}

} // namespace

ControlLink::ControlLink(const EntrySettings& aSelf,
                         std::span<const ControlSettings> aControls,
                         Applied aApplied)
  : self_(aSelf.name_)
  , applied_(std::move(aApplied))
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

ControlLink::~ControlLink()
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

uint64_t ControlLink::Revision() const
{
  std::lock_guard lock(mutex_);
  return view_.Revision();
}

bool ControlLink::Ready() const
{
  std::lock_guard lock(mutex_);
  return view_.Ready(clock_.Now());
}

std::shared_ptr<const v1::FleetState> ControlLink::State() const
{
  std::lock_guard lock(mutex_);
  return state_;
}

std::string ControlLink::StatusJson() const
{
  std::lock_guard lock(mutex_);
  const Millis now = clock_.Now();
  return "\"revision\":" + std::to_string(view_.Revision()) +
         ",\"highest_seen\":" + std::to_string(view_.HighestSeen()) +
         ",\"stale\":" + (view_.Stale(now) ? "true" : "false") +
         ",\"held_ms\":" + std::to_string((now - view_.HeldSince()).Count()) +
         ",\"control_silent_ms\":" +
         std::to_string((now - view_.LastHeard()).Count());
}

void ControlLink::Report(Metrics& aMetrics) const
{
  std::lock_guard lock(mutex_);
  const Millis now = clock_.Now();
  const auto seconds = [](Millis aSpan) {
    return static_cast<double>(aSpan.Count()) / 1000.0;
  };
  aMetrics.Set("vh_config_revision", static_cast<double>(view_.Revision()));
  aMetrics.Set("vh_config_highest_seen",
               static_cast<double>(view_.HighestSeen()));
  aMetrics.Set("vh_config_stale", view_.Stale(now) ? 1 : 0);
  aMetrics.Set("vh_config_held_seconds", seconds(now - view_.HeldSince()));
  aMetrics.Set("vh_control_silent_seconds", seconds(now - view_.LastHeard()));
}

void ControlLink::Run()
{
  AskAll();
  Millis nextProbe = clock_.Now() + kProbePeriod;
  while (!stopping_) {
    const bool reached = SyncOnce(current_, kWait);
    NoteReached(reached);
    if (!reached) {
      current_ = (current_ + 1) % controls_.size();
      Sleep(kRetryPause);
    }
    if (clock_.Now() >= nextProbe) {
      Probe();
      nextProbe = clock_.Now() + kProbePeriod;
    }
  }
}

void ControlLink::AskAll()
{
  while (!stopping_ && !Ready()) {
    bool reached = false;
    for (size_t i = 0; i < controls_.size() && !stopping_; ++i) {
      reached = SyncOnce(i, Millis(0)) || reached;
    }
    NoteReached(reached);
    if (!Ready()) {
      Sleep(kRetryPause);
    }
  }
}

void ControlLink::Probe()
{
  probed_ = (probed_ + 1) % controls_.size();
  if (probed_ == current_) {
    return;
  }
  const uint64_t before = Revision();
  SyncOnce(probed_, Millis(0));
  if (Revision() > before) {
    current_ = probed_;
  }
}

bool ControlLink::SyncOnce(size_t aControl, Millis aWait)
{
  grpc::ClientContext context;
  SetDeadline(context, aWait + kAnswerTime);
  {
    std::lock_guard lock(callMutex_);
    call_ = &context;
  }
  const ScopeGuard forget([this] {
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
  applied_(*state);
  return true;
}

void ControlLink::NoteReached(bool aReached)
{
  if (!aReached && reached_) {
    LogWarning(Event::kControlUnreachable, { { "revision", Revision() } });
  }
  reached_ = aReached;
}

} // namespace vanillahatch
