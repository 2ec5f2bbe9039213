// Durable storage of a state machine: an append-only log of records and one
// snapshot. Appended records are durable once `Sync` has returned.
//
// FileStore implements it with files. Tests use FakeStore, which can lose
// unsynced records, tear the last one or lose all contents.
#pragma once

#include "vanillahatch/core/result.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahatch {

enum class StoreErrorCode
{
  kIo,      // a disk operation failed; unsynced records may be lost
  kCorrupt, // a record before the last fails its checksum
  kMissing, // the data folder is empty: first start or lost disk
};

struct StoreError
{
  StoreErrorCode code_ = StoreErrorCode::kIo;
  std::string detail_;
};

struct StoreContents
{
  std::string snapshot_;             // empty: none yet
  std::vector<std::string> records_; // after the snapshot, in order
  bool tornTail_ = false;            // the last record was truncated
};

class StableStore
{
public:
  virtual ~StableStore() = default;
  virtual Result<StoreContents, StoreError> Load() = 0;
  virtual Result<void, StoreError> Append(std::string_view aRecord) = 0;
  virtual Result<void, StoreError> Sync() = 0;
  // Replaces snapshot and log atomically: after a crash `Load` returns either
  // the old pair or the new pair.
  virtual Result<void, StoreError> Compact(
    std::string_view aSnapshot,
    std::span<const std::string> aRecords) = 0;
};

} // namespace vanillahatch
