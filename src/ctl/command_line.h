// Parses vhctl's command line: command words (a group, a verb, names) and
// options.
#pragma once

#include "vanillahatch/core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillahatch::ctl {

struct CommandLine
{
  std::vector<std::string> words_; // for example "pool", "create", "billing"
  std::string configFile_;
  std::string changeId_; // empty: vhctl generates one
  std::string author_;   // empty: "operator"
  std::optional<uint64_t> expectedRevision_;
  Millis timeout_ = Seconds(10); // of one request
  int64_t watchSeconds_ = 0;     // zero: until interrupted
  bool json_ = false;
  // Options of individual commands; times and values are unparsed.
  std::string service_, reason_, until_, starts_, scope_, setting_, value_;
  uint32_t floor_ = 0, ceiling_ = 0, maxUnavailable_ = 0;
  uint32_t priority_ = 0, rackSpread_ = 0;
  bool spare_ = false;
};

// Nothing, with `aExitCode` set, if the program must exit at once: after --help
// or --version, or on a usage error, which has been printed.
std::optional<CommandLine> ParseCommandLine(int aArgc,
                                            char** aArgv,
                                            int& aExitCode);

// The list of commands and their options.
std::string UsageText();

} // namespace vanillahatch::ctl
