// vhctl's commands. Each prints its result and returns the exit code
// (exit_codes.h).
#pragma once

#include "ctl/api_client.h"
#include "ctl/command_line.h"

#include <ostream>

namespace vanillahatch::ctl {

struct CommandContext
{
  const CommandLine& line_;
  const Settings& settings_;
  ApiClient& api_;
  std::ostream& out_;
  std::ostream& err_;
};

// Runs the command that the command words name; kUsage if there is none.
int RunCommand(CommandContext& aContext);

// Runs a command that changes the fleet configuration (changes.cpp); nothing if
// the words name none of these.
std::optional<int> RunChange(CommandContext& aContext);

// Runs a read-only command (views.cpp); nothing if the words name none of
// these.
std::optional<int> RunView(CommandContext& aContext);

} // namespace vanillahatch::ctl
