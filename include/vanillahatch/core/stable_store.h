// Where a state machine's records last: an append-only log of records and one
// snapshot, both durable only once `Sync` has returned.
//
// The file implementation is in the shell; tests use a small fake that can
// lose unsynced records, tear the last one and vanish altogether.
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
  kIo,      // the disk refused; the process must not go on as if it held
  kCorrupt, // a record before the last fails its checksum
  kMissing, // the data folder is empty: first start or a lost disk
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
  bool tornTail_ = false;            // the last record was cut off
};

class StableStore
{
public:
  virtual ~StableStore() = default;
  virtual Result<StoreContents, StoreError> Load() = 0;
  virtual Result<void, StoreError> Append(std::string_view aRecord) = 0;
  virtual Result<void, StoreError> Sync() = 0;
  // Replaces snapshot and log at once: after a crash either the old pair or
  // the new pair is found, never a mixture.
  virtual Result<void, StoreError> Compact(
    std::string_view aSnapshot,
    std::span<const std::string> aRecords) = 0;
};

} // namespace vanillahatch
