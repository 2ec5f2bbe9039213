// vhctl's commands. Each prints its outcome and returns the exit code.
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

// Runs the command that the words name.
int RunCommand(CommandContext& aContext);

// Commands that change something (changes.cpp); nothing if the words name
// none of them.
std::optional<int> RunChange(CommandContext& aContext);

// Commands that show something (views.cpp).
std::optional<int> RunView(CommandContext& aContext);

} // namespace vanillahatch::ctl
