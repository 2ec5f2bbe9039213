// Structured log lines: level, event number, event name and `key=value` pairs.
//
//   LogInfo(Event::kRouteChosen, { { "job", "12" }, { "choice", "loops-3" } });
//
// Lines pass through a bounded queue to a writer thread. Logging never blocks:
// when the queue is full, lines are dropped and counted, and the count is
// logged once the queue has space.
#pragma once

#include "vanillahatch/shell/events.h"

#include <filesystem>
#include <initializer_list>
#include <string>
#include <string_view>

namespace vanillahatch {

class LogField
{
public:
  LogField(std::string_view aKey, std::string_view aValue)
    : key_(aKey)
    , value_(aValue)
  {
  }
  template<class Number>
  requires std::is_arithmetic_v<Number> LogField(std::string_view aKey,
                                                 Number aValue)
    : key_(aKey)
    , value_(std::to_string(aValue))
  {
  }

  std::string_view Key() const { return key_; }
  const std::string& Value() const { return value_; }

private:
  std::string_view key_;
  std::string value_;
};

using LogFields = std::initializer_list<LogField>;

enum class LogConsole
{
  kStandardError,
  kStandardOutput,
};

// Owns the logging system of a process; create one at the start of main().
class LogSystem
{
public:
  // Writes to `aFolder`/`aNode`.log, or to the console without a folder.
  LogSystem(std::string_view aNode,
            const std::filesystem::path& aFolder,
            LogConsole aConsole = LogConsole::kStandardError);
  ~LogSystem();
  LogSystem(const LogSystem&) = delete;
  LogSystem& operator=(const LogSystem&) = delete;

  // Number of lines dropped because the queue was full, since the start.
  static uint64_t DroppedLines();
};

void LogInfo(Event aEvent, LogFields aFields);
void LogWarning(Event aEvent, LogFields aFields);
void LogError(Event aEvent, LogFields aFields);

} // namespace vanillahatch
