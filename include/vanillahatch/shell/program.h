// What every program of ours does the same way: command line, settings, log,
// and the wait for a stop signal.
#pragma once

#include "vanillahatch/shell/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <optional>
#include <string>

namespace vanillahatch {

// Exit codes, the same in every program.
constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitRuntime = 4;

struct ProgramArguments
{
  std::string configFile_;
  std::string node_;
};

// Reads `--config`, `--node`, `--check`, `--version` and `--help`. Without a
// value the program is to end at once with `aExitCode`.
std::optional<ProgramArguments> ParseArguments(int aArgc,
                                               char** aArgv,
                                               std::string_view aProgram,
                                               int& aExitCode);

// Loads the settings or prints every error and sets `aExitCode`.
std::optional<Settings> LoadOrReport(const std::string& aFile, int& aExitCode);

} // namespace vanillahatch
