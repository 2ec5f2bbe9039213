#include "vanillahatch/core/log_history.h"

#include <algorithm>

namespace vanillahatch {

bool IsSame(const v1::LogMember& aLeft, const v1::LogMember& aRight)
{
  return aLeft.incarnation() == aRight.incarnation() &&
         aLeft.name() == aRight.name();
}

const v1::LogMember* FindByName(const v1::LogConfig& aConfig,
                                std::string_view aName)
{
  const auto& members = aConfig.members();
  const auto it =
    std::find_if(members.begin(), members.end(), [&](const auto& aMember) {
      return aMember.name() == aName;
    });
  return it != members.end() ? &*it : nullptr;
}

bool Contains(const v1::LogConfig& aConfig, const v1::LogMember& aMember)
{
  const v1::LogMember* found = FindByName(aConfig, aMember.name());
  return found != nullptr && IsSame(*found, aMember);
}

uint64_t LogHistory::LastTerm() const
{
  return entries_.empty() ? snapshot_.term() : entries_.back().term();
}

std::optional<uint64_t> LogHistory::TermAt(uint64_t aIndex) const
{
  if (aIndex == snapshot_.index()) {
    return snapshot_.term();
  }
  if (aIndex < snapshot_.index() || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return At(aIndex).term();
}

const v1::LogEntry& LogHistory::At(uint64_t aIndex) const
{
  return entries_.at(aIndex - snapshot_.index() - 1);
}

void LogHistory::Put(v1::LogEntry aEntry)
{
  const uint64_t index = aEntry.index();
  entries_.resize(index - snapshot_.index() - 1);
  while (configurations_.back().index_ >= index) {
    configurations_.pop_back();
  }
  if (aEntry.has_config()) {
    configurations_.push_back({ .index_ = index, .config_ = aEntry.config() });
  }
  entries_.push_back(std::move(aEntry));
}

void LogHistory::SetSnapshot(v1::LogSnapshot aSnapshot)
{
  const bool agrees = TermAt(aSnapshot.index()) == aSnapshot.term();
  std::vector<Configuration> kept = { { .index_ = aSnapshot.config_index(),
                                        .config_ = aSnapshot.config() } };
  if (agrees) {
    const auto count =
      static_cast<std::ptrdiff_t>(aSnapshot.index() - snapshot_.index());
    entries_.erase(entries_.begin(), entries_.begin() + count);
    for (Configuration& configuration : configurations_) {
      if (configuration.index_ > aSnapshot.index()) {
        kept.push_back(std::move(configuration));
      }
    }
  } else {
    entries_.clear();
  }
  configurations_ = std::move(kept);
  snapshot_ = std::move(aSnapshot);
}

const LogHistory::Configuration& LogHistory::ConfigurationAt(
  uint64_t aIndex) const
{
  const auto it = std::find_if(configurations_.rbegin(),
                               configurations_.rend(),
                               [&](const auto& aConfiguration) {
                                 return aConfiguration.index_ <= aIndex;
                               });
  return it != configurations_.rend() ? *it : configurations_.front();
}

const LogHistory::Configuration* LogHistory::BeforeLatest() const
{
  const size_t count = configurations_.size();
  return count > 1 ? &configurations_[count - 2] : nullptr;
}

} // namespace vanillahatch
