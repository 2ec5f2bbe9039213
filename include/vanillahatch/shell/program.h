// Common start-up code of the programs: command line, settings and log.
//
//   int main(int aArgc, char** aArgv)
//   {
//     return RunNode(aArgc, aArgv, "vh-ledger", &Settings::ledgers_,
//                    [](const Settings& aSettings, const LedgerSettings& aSelf)
//                    { return Run(aSettings, aSelf); });
//   }
#pragma once

#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/settings.h"
#include "vanillahatch/shell/token.h"

#include <algorithm>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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
// value the program must exit immediately with `aExitCode`.
std::optional<ProgramArguments> ParseArguments(int aArgc,
                                               char** aArgv,
                                               std::string_view aProgram,
                                               int& aExitCode);

// Ends the process without the destructors of static objects: those of
// libraries may wait for their threads for good.
[[noreturn]] void EndProcess(int aExitCode);

// Loads the settings or prints every error and sets `aExitCode`.
std::optional<Settings> LoadOrReport(const std::string& aFile, int& aExitCode);

// Runs a program that is one node of a deployment: reads arguments and
// settings, finds the node among `aNodes`, starts the log and calls `aRun`,
// whose result is the exit code. Ends the process after it. An exception from
// `aRun` is printed, and the exit code is then kExitRuntime.
template<class Node, class Run>
int RunNode(int aArgc,
            char** aArgv,
            std::string_view aProgram,
            std::vector<Node> Settings::*aNodes,
            Run aRun)
{
  int exitCode = kExitOk;
  const auto arguments = ParseArguments(aArgc, aArgv, aProgram, exitCode);
  if (!arguments) {
    return exitCode;
  }
  const auto settings = LoadOrReport(arguments->configFile_, exitCode);
  if (!settings) {
    return exitCode;
  }
  const std::vector<Node>& nodes = (*settings).*aNodes;
  const auto self =
    std::find_if(nodes.begin(), nodes.end(), [&](const Node& aNode) {
      return aNode.name_.Str() == arguments->node_;
    });
  if (self == nodes.end()) {
    std::cerr << aProgram << ": the settings contain no node named "
              << arguments->node_ << "\n";
    return kExitSettings;
  }
  exitCode = kExitRuntime;
  {
    const LogSystem log(arguments->node_, settings->logFolder_);
    try {
      exitCode = aRun(*settings, *self);
    } catch (const std::exception& error) {
      std::cerr << aProgram << ": " << error.what() << "\n";
    }
  }
  EndProcess(exitCode);
}

// Loads a token or prints the error.
std::optional<Token> LoadTokenOrReport(const std::filesystem::path& aFile);

} // namespace vanillahatch
