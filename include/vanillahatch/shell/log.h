// Structured log lines: level, event number, event name and `key=value` pairs.
//
//   LogInfo(Event::kRouteChosen, { { "job", "12" }, { "choice", "loops-3" } });
//
// Lines go through a bounded queue to a writer thread of their own. Logging
// never waits: when the queue is full, lines are dropped, counted, and the
// count is logged once there is room.
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

// Owns the logging system of a process; make one first thing in main().
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

  // Lines lost to a full queue since the start.
  static uint64_t DroppedLines();
};

void LogInfo(Event aEvent, LogFields aFields);
void LogWarning(Event aEvent, LogFields aFields);
void LogError(Event aEvent, LogFields aFields);

} // namespace vanillahatch
