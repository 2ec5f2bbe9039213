// vh-entry: takes callers' jobs and upstreams' announcements.
#include "entry/entry_process.h"
#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/program.h"

#include <algorithm>
#include <iostream>

using namespace vanillahatch;

int main(int aArgc, char** aArgv)
{
  int exitCode = kExitOk;
  const auto arguments = ParseArguments(aArgc, aArgv, "vh-entry", exitCode);
  if (!arguments) {
    return exitCode;
  }
  const auto settings = LoadOrReport(arguments->configFile_, exitCode);
  if (!settings) {
    return exitCode;
  }
  const auto self = std::find_if(
    settings->entries_.begin(), settings->entries_.end(), [&](const auto& aE) {
      return aE.name_.Str() == arguments->node_;
    });
  if (self == settings->entries_.end()) {
    std::cerr << "vh-entry: no [[entry]] named " << arguments->node_ << "\n";
    return kExitSettings;
  }
  auto token = Token::Load(settings->upstreamTokenFile_);
  if (!token) {
    std::cerr << "vh-entry: " << token.error() << "\n";
    return kExitSettings;
  }
  const LogSystem log(arguments->node_, settings->logFolder_);
  try {
    EntryProcess process(*settings, *self, std::move(token).value());
    return process.Run() == 0 ? kExitOk : kExitRuntime;
  } catch (const std::exception& fault) {
    std::cerr << "vh-entry: " << fault.what() << "\n";
    return kExitRuntime;
  }
}
