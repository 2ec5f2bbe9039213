// Keeps this entry's configuration up to date: asks the control replicas in
// turn, the own data centre's first, for what came after the held revision.
#pragma once

#include "vanillahatch/core/fleet_config.h"
#include "vanillahatch/shell/settings.h"

#include "control.grpc.pb.h"

#include <atomic>
#include <functional>
#include <memory>
#include <span>
#include <thread>
#include <vector>

namespace vanillahatch {

class ControlLink
{
public:
  using Applied = std::function<void(const FleetConfig&)>;

  // `aApplied` is called on the link's thread after each new revision.
  ControlLink(const EntrySettings& aSelf,
              std::span<const ControlSettings> aControls,
              Applied aApplied);
  ~ControlLink();

  uint64_t Revision() const { return revision_; }
  bool Reached() const { return reached_; }

private:
  void Run();
  bool SyncOnce();

  NodeName self_;
  std::vector<std::unique_ptr<v1::ControlService::Stub>> stubs_;
  size_t current_ = 0;
  FleetConfig config_;
  Applied applied_;
  std::atomic<uint64_t> revision_ = 0;
  std::atomic<bool> reached_ = false;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

} // namespace vanillahatch
