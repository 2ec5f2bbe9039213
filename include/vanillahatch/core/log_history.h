// In-memory log of one control log replica: its snapshot, the entries after it
// and the configurations that they contain.
//
// Does not track which entries are durable or committed; ControlLog does. Index
// 0 with term 0 denotes the position before the first entry.
#pragma once

#include "log.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace vanillahatch {

// True if name and incarnation are equal.
bool IsSame(const v1::LogMember& aLeft, const v1::LogMember& aRight);
// True if `aConfig` contains this incarnation of the member.
bool Contains(const v1::LogConfig& aConfig, const v1::LogMember& aMember);
// Null if there is no member of that name.
const v1::LogMember* FindByName(const v1::LogConfig& aConfig,
                                std::string_view aName);

class LogHistory
{
public:
  uint64_t SnapshotIndex() const { return snapshot_.index(); }
  uint64_t LastIndex() const { return snapshot_.index() + entries_.size(); }
  uint64_t LastTerm() const;
  // nullopt for indexes before the snapshot or after the end.
  std::optional<uint64_t> TermAt(uint64_t aIndex) const;
  // `aIndex` must be after the snapshot and not after the end.
  const v1::LogEntry& At(uint64_t aIndex) const;

  // Stores the entry at its index and removes all later entries. The index
  // must be after the snapshot and at most one after the end.
  void Put(v1::LogEntry aEntry);
  // Replaces the snapshot and removes the entries that it covers. Later entries
  // are kept if the entry at the snapshot's index has the snapshot's term, and
  // are removed otherwise.
  void SetSnapshot(v1::LogSnapshot aSnapshot);
  const v1::LogSnapshot& Snapshot() const { return snapshot_; }

  struct Configuration
  {
    uint64_t index_ = 0;
    v1::LogConfig config_;
  };
  // The configuration of the last configuration entry, committed or not.
  const Configuration& Latest() const { return configurations_.back(); }
  // The configuration in force at `aIndex`.
  const Configuration& ConfigurationAt(uint64_t aIndex) const;
  // The configuration before `Latest()`; null if no earlier one is known.
  const Configuration* BeforeLatest() const;

private:
  v1::LogSnapshot snapshot_;
  std::deque<v1::LogEntry> entries_;
  std::vector<Configuration> configurations_ = { {} };
};

} // namespace vanillahatch
