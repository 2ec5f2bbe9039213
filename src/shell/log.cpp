#include "vanillahatch/shell/log.h"

#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>

namespace vanillahatch {

namespace {

constexpr unsigned kQueueLines = 8192;
constexpr const char* kPattern = "%D{%Y-%m-%dT%H:%M:%S.%q}Z %p %m%n";

std::unique_ptr<log4cplus::Initializer> gInitializer; // NOLINT

log4cplus::Logger& Root()
{
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

// Values with spaces or quotes are quoted so that lines stay parseable.
void AppendValue(std::string& aLine, std::string_view aValue)
{
  const bool plain =
    !aValue.empty() && aValue.find_first_of(" \"\\=\n\r\t") == aValue.npos;
  if (plain) {
    aLine += aValue;
    return;
  }
  aLine += '"';
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      aLine += '\\';
    }
    aLine += (c == '\n' || c == '\r') ? ' ' : c;
  }
  aLine += '"';
}

void Write(log4cplus::LogLevel aLevel, Event aEvent, LogFields aFields)
{
  if (!gInitializer || !Root().isEnabledFor(aLevel)) {
    return;
  }
  std::string line = "event=" + std::to_string(static_cast<int>(aEvent));
  line += " name=";
  line += NameOf(aEvent);
  for (const LogField& field : aFields) {
    line += ' ';
    line += field.Key();
    line += '=';
    AppendValue(line, field.Value());
  }
  Root().forcedLog(aLevel, line);
}

} // namespace

LogSystem::LogSystem(std::string_view aNode,
                     const std::filesystem::path& aFolder)
{
  gInitializer = std::make_unique<log4cplus::Initializer>();
  log4cplus::SharedAppenderPtr sink;
  if (aFolder.empty()) {
    sink = new log4cplus::ConsoleAppender(true, true);
  } else {
    std::filesystem::create_directories(aFolder);
    const auto file = aFolder / (std::string(aNode) + ".log");
    constexpr long kMaxFileBytes = 256L << 20;
    sink = new log4cplus::RollingFileAppender(
      file.string(), kMaxFileBytes, 3, false, true);
  }
  sink->setLayout(std::make_unique<log4cplus::PatternLayout>(kPattern));
  log4cplus::SharedAppenderPtr async(
    new log4cplus::AsyncAppender(sink, kQueueLines));
  Root().addAppender(async);
  Root().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

LogSystem::~LogSystem()
{
  Root().removeAllAppenders();
  gInitializer.reset();
}

void LogInfo(Event aEvent, LogFields aFields)
{
  Write(log4cplus::INFO_LOG_LEVEL, aEvent, aFields);
}

void LogWarning(Event aEvent, LogFields aFields)
{
  Write(log4cplus::WARN_LOG_LEVEL, aEvent, aFields);
}

void LogError(Event aEvent, LogFields aFields)
{
  Write(log4cplus::ERROR_LOG_LEVEL, aEvent, aFields);
}

} // namespace vanillahatch
