#include "vanillahatch/shell/log.h"

#include "vanillahatch/core/bounded_ring.h"

#include <atomic>
#include <iostream>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <thread>

namespace vanillahatch {

namespace {

constexpr unsigned kQueueLines = 8192;
// Bounds the memory of the queue: values may hold what a peer sent.
constexpr size_t kMaxValueBytes = 512;
constexpr std::string_view kTruncationMark = "...";
// Lines that arrive within this time are written as one batch, so that the
// writer thread of a busy program does not wake up for each line.
constexpr Millis kBatchDelay = Millis(25);
constexpr const char* kPattern = "%D{%Y-%m-%dT%H:%M:%S.%q}Z %p %m%n";

struct Line
{
  log4cplus::LogLevel level_ = log4cplus::INFO_LOG_LEVEL;
  log4cplus::helpers::Time at_;
  std::string text_;
};

// Writes lines on its own thread. If the sink is slower than the program,
// lines are dropped and counted, so that Write() never blocks.
class LineWriter
{
public:
  explicit LineWriter(log4cplus::SharedAppenderPtr aSink)
    : sink_(std::move(aSink))
    , ring_(kQueueLines)
    , thread_([this] { Run(); })
  {
  }
  ~LineWriter()
  {
    ring_.Close();
    thread_.join();
    sink_->close();
  }
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  void Write(Line aLine)
  {
    if (!ring_.TryPush(std::move(aLine))) {
      ++dropped_;
    }
  }
  uint64_t Dropped() const { return dropped_; }

private:
  void Run()
  {
    uint64_t reportedDropped = 0;
    for (;;) {
      std::optional<Line> line = ring_.PopFor(kPopTimeout);
      if (!line && ring_.IsClosed()) {
        return;
      }
      if (!ring_.IsClosed()) {
        std::this_thread::sleep_for(
          std::chrono::milliseconds(kBatchDelay.Count()));
      }
      for (; line; line = ring_.PopFor(Millis(0))) {
        Append(*line);
      }
      Flush();
      const uint64_t dropped = dropped_;
      if (dropped != reportedDropped && ring_.Size() < kQueueLines / 2) {
        Append(
          { .level_ = log4cplus::WARN_LOG_LEVEL,
            .at_ = log4cplus::helpers::now(),
            .text_ = "event=" +
                     std::to_string(static_cast<int>(Event::kLogLinesDropped)) +
                     " name=log-lines-dropped lines=" +
                     std::to_string(dropped - reportedDropped) });
        reportedDropped = dropped;
      }
    }
  }

  void Append(const Line& aLine)
  {
    const log4cplus::spi::InternalLoggingEvent event(
      log4cplus::tstring(),
      aLine.level_,
      log4cplus::tstring(),
      log4cplus::MappedDiagnosticContextMap(),
      aLine.text_,
      log4cplus::tstring(),
      log4cplus::tstring(),
      aLine.at_,
      log4cplus::tstring(),
      0);
    sink_->doAppend(event);
  }

  // The appenders write to these streams without flushing them.
  static void Flush()
  {
    std::cout.flush();
    std::cerr.flush();
  }

  static constexpr Millis kPopTimeout = Seconds(60);

  log4cplus::SharedAppenderPtr sink_;
  BoundedRing<Line> ring_;
  std::atomic<uint64_t> dropped_ = 0;
  std::thread thread_;
};

// Not destroyed: the destructor of log4cplus may not return.
log4cplus::Initializer* gInitializer = nullptr; // NOLINT
std::unique_ptr<LineWriter> gWriter;            // NOLINT

// Values with spaces or quotes are quoted so that lines stay parseable.
void AppendValue(std::string& aLine, std::string_view aValue)
{
  std::string truncated;
  if (aValue.size() > kMaxValueBytes) {
    truncated.append(aValue.substr(0, kMaxValueBytes)).append(kTruncationMark);
    aValue = truncated;
  }
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
  if (!gWriter) {
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
  gWriter->Write({ .level_ = aLevel,
                   .at_ = log4cplus::helpers::now(),
                   .text_ = std::move(line) });
}

} // namespace

LogSystem::LogSystem(std::string_view aNode,
                     const std::filesystem::path& aFolder,
                     LogConsole aConsole)
{
  if (gInitializer == nullptr) {
    gInitializer = new log4cplus::Initializer(); // NOLINT
  }
  log4cplus::SharedAppenderPtr sink;
  if (aFolder.empty()) {
    sink = new log4cplus::ConsoleAppender(
      aConsole == LogConsole::kStandardError, false);
  } else {
    std::filesystem::create_directories(aFolder);
    const auto file = aFolder / (std::string(aNode) + ".log");
    constexpr long kMaxFileBytes = 256L << 20;
    sink = new log4cplus::RollingFileAppender(
      file.string(), kMaxFileBytes, 3, false, true);
  }
  sink->setLayout(std::make_unique<log4cplus::PatternLayout>(kPattern));
  gWriter = std::make_unique<LineWriter>(std::move(sink));
}

LogSystem::~LogSystem()
{
  gWriter.reset();
}

uint64_t LogSystem::DroppedLines()
{
  return gWriter ? gWriter->Dropped() : 0;
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
