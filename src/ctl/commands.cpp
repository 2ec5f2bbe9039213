#include "ctl/commands.h"

#include "ctl/exit_codes.h"

namespace vanillahatch::ctl {

int RunCommand(CommandContext& aContext)
{
  if (const auto code = RunChange(aContext)) {
    return *code;
  }
  if (const auto code = RunView(aContext)) {
    return *code;
  }
  aContext.err_ << "vhctl: unknown command or missing arguments\n"
                << UsageText();
  return kUsage;
}

} // namespace vanillahatch::ctl
