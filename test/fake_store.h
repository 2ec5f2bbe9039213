// A StableStore in memory that simulates crashes and disk loss.
//
// The store outlives the state machine that writes to it, as a disk outlives a
// process: `Crash` drops unsynced records, `CrashTorn` also marks the tail as
// torn if there were any, `Wipe` removes all contents.
#pragma once

#include "vanillahatch/core/stable_store.h"

namespace vanillahatch {

class FakeStore : public StableStore
{
public:
  Result<StoreContents, StoreError> Load() override
  {
    if (!exists_) {
      return StoreError{ .code_ = StoreErrorCode::kMissing, .detail_ = "fake" };
    }
    return durable_;
  }

  void Create()
  {
    exists_ = true;
    durable_ = {};
    unsynced_.clear();
  }

  Result<void, StoreError> Append(std::string_view aRecord) override
  {
    unsynced_.emplace_back(aRecord);
    return success();
  }

  Result<void, StoreError> Sync() override
  {
    for (std::string& record : unsynced_) {
      durable_.records_.push_back(std::move(record));
      durable_.tornTail_ = false;
    }
    unsynced_.clear();
    ++syncs_;
    return success();
  }

  Result<void, StoreError> Compact(
    std::string_view aSnapshot,
    std::span<const std::string> aRecords) override
  {
    exists_ = true;
    durable_ = { .snapshot_ = std::string(aSnapshot),
                 .records_ = { aRecords.begin(), aRecords.end() } };
    unsynced_.clear();
    return success();
  }

  void Crash() { unsynced_.clear(); }

  void CrashTorn()
  {
    durable_.tornTail_ = !unsynced_.empty();
    unsynced_.clear();
  }

  void Wipe()
  {
    exists_ = false;
    durable_ = {};
    unsynced_.clear();
  }

  bool Exists() const { return exists_; }
  size_t SyncedRecords() const { return durable_.records_.size(); }
  size_t Syncs() const { return syncs_; }

private:
  bool exists_ = false;
  StoreContents durable_;
  std::vector<std::string> unsynced_;
  size_t syncs_ = 0; // calls of Sync
};

} // namespace vanillahatch
