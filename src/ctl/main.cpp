// vhctl: command-line client of the operators' HTTP API.
#include "ctl/commands.h"
#include "ctl/exit_codes.h"
#include "vanillahatch/shell/program.h"

#include <iostream>

using namespace vanillahatch;

int main(int aArgc, char** aArgv)
{
  int exitCode = ctl::kOk;
  const auto line = ctl::ParseCommandLine(aArgc, aArgv, exitCode);
  if (!line) {
    return exitCode;
  }
  const auto settings = LoadOrReport(line->configFile_, exitCode);
  if (!settings) {
    return exitCode;
  }
  const auto token = Token::Load(settings->operatorTokenFile_);
  if (!token) {
    std::cerr << "vhctl: " << token.error() << "\n";
    return ctl::kSettings;
  }
  ctl::ApiClient api(*settings, token.value(), line->timeout_);
  ctl::CommandContext context{ .line_ = *line,
                               .settings_ = *settings,
                               .api_ = api,
                               .out_ = std::cout,
                               .err_ = std::cerr };
  return ctl::RunCommand(context);
}
