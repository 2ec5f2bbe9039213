// vhctl's command line: a group, a verb, names, and options.
#pragma once

#include "vanillahatch/core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillahatch::ctl {

struct CommandLine
{
  std::vector<std::string> words_; // "pool", "create", "billing"
  std::string config_;
  std::string changeId_; // empty: a new one
  std::string author_;
  std::optional<uint64_t> expectedRevision_;
  Millis timeout_ = Seconds(10); // of one call
  int64_t watchSeconds_ = 0;     // zero: until interrupted
  bool json_ = false;
  // Of single commands.
  std::string service_, reason_, until_, starts_, scope_, setting_, value_;
  uint32_t floor_ = 0, ceiling_ = 0, maxUnavailable_ = 0;
  uint32_t priority_ = 0, rackSpread_ = 0;
  bool spare_ = false;
};

// Nothing if the program is to end with `aExitCode` at once.
std::optional<CommandLine> ParseCommandLine(int aArgc,
                                            char** aArgv,
                                            int& aExitCode);

// What the commands are, for people.
std::string UsageText();

} // namespace vanillahatch::ctl
