// The entries of one replica of the control log after its snapshot, with the
// configurations that they contain.
//
// Pure bookkeeping: what is durable, committed or agreed is the business of
// ControlLog. Index 0 with term 0 stands before the first entry.
#pragma once

#include "log.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace vanillahatch {

bool IsSame(const v1::LogMember& aLeft, const v1::LogMember& aRight);
bool Contains(const v1::LogConfig& aConfig, const v1::LogMember& aMember);
const v1::LogMember* FindByName(const v1::LogConfig& aConfig,
                                std::string_view aName);

class LogHistory
{
public:
  uint64_t BaseIndex() const { return base_.index(); }
  uint64_t LastIndex() const { return base_.index() + entries_.size(); }
  uint64_t LastTerm() const;
  // Nothing for indexes before the snapshot or after the end.
  std::optional<uint64_t> TermAt(uint64_t aIndex) const;
  // `aIndex` must lie after the snapshot and up to the end.
  const v1::LogEntry& At(uint64_t aIndex) const;

  // Takes the entry at its index and drops every later one. The index must
  // be at most one after the end.
  void Put(v1::LogEntry aEntry);
  // Forgets entries up to the snapshot; those after it are kept if the entry
  // at the snapshot's index agrees, and are dropped otherwise.
  void Rebase(v1::LogSnapshot aSnapshot);
  const v1::LogSnapshot& Base() const { return base_; }

  struct Configuration
  {
    uint64_t index_ = 0;
    v1::LogConfig config_;
  };
  const Configuration& Latest() const { return configurations_.back(); }
  // The configuration in force at `aIndex`.
  const Configuration& ConfigurationAt(uint64_t aIndex) const;
  // Null if the latest is the first that is known.
  const Configuration* BeforeLatest() const;

private:
  v1::LogSnapshot base_;
  std::deque<v1::LogEntry> entries_;
  std::vector<Configuration> configurations_ = { {} };
};

} // namespace vanillahatch
