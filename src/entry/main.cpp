// vh-entry: accepts callers' jobs and upstreams' announcements.
#include "entry/entry_process.h"
#include "vanillahatch/shell/program.h"

using namespace vanillahatch;

namespace {

int Run(const Settings& aSettings, const EntrySettings& aSelf)
{
  std::optional<Token> token = LoadTokenOrReport(aSettings.upstreamTokenFile_);
  if (!token) {
    return kExitSettings;
  }
  EntryProcess process(aSettings, aSelf, std::move(*token));
  return process.Run() == 0 ? kExitOk : kExitRuntime;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  return RunNode(aArgc, aArgv, "vh-entry", &Settings::entries_, Run);
}
