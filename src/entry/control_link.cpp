#include "entry/control_link.h"

#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/rpc.h"

#include <algorithm>
#include <chrono>

namespace vanillahatch {

namespace {

constexpr Millis kSyncTimeout = Seconds(1);
constexpr Millis kSyncPeriod = Millis(200);

} // namespace

ControlLink::ControlLink(const EntrySettings& aSelf,
                         std::span<const ControlSettings> aControls,
                         Applied aApplied)
  : self_(aSelf.name_)
  , applied_(std::move(aApplied))
{
  std::vector<ControlSettings> ordered(aControls.begin(), aControls.end());
  std::stable_partition(
    ordered.begin(), ordered.end(), [&](const ControlSettings& aControl) {
      return aControl.dataCentre_ == aSelf.dataCentre_;
    });
  for (const ControlSettings& control : ordered) {
    stubs_.push_back(v1::ControlService::NewStub(MakeChannel(control.rpc_)));
  }
  thread_ = std::thread([this] { Run(); });
}

ControlLink::~ControlLink()
{
  stopping_ = true;
  thread_.join();
}

void ControlLink::Run()
{
  while (!stopping_) {
    const bool reached = SyncOnce();
    if (!reached) {
      current_ = (current_ + 1) % stubs_.size();
    }
    if (reached != reached_) {
      reached_ = reached;
      if (!reached) {
        LogWarning(Event::kControlUnreachable,
                   { { "revision", revision_.load() } });
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kSyncPeriod.Count()));
  }
}

bool ControlLink::SyncOnce()
{
  grpc::ClientContext context;
  SetDeadline(context, kSyncTimeout);
  v1::SyncRequest request;
  request.set_entry(self_.Str());
  request.set_known_revision(config_.Revision());
  v1::SyncReply reply;
  if (!stubs_[current_]->Sync(&context, request, &reply).ok()) {
    return false;
  }
  const uint64_t before = config_.Revision();
  if (reply.has_full()) {
    config_.Restore(reply.full());
  }
  for (const v1::Change& change : reply.deltas()) {
    config_.Apply(change);
  }
  if (config_.Revision() != before) {
    revision_ = config_.Revision();
    LogInfo(Event::kRevisionApplied, { { "revision", config_.Revision() } });
    applied_(config_);
  }
  return true;
}

} // namespace vanillahatch
