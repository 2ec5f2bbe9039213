// What vhctl tells scripts by its exit code.
#pragma once

namespace vanillahatch::ctl {

enum ExitCode : int
{
  kOk = 0,
  kRefused = 1,     // the change was refused; the message says why
  kUsage = 2,       // the command line is wrong
  kSettings = 3,    // settings or token cannot be used
  kUnreachable = 4, // no replica answered: the outcome is not known
  kConflict = 5,    // another operator was first
};

} // namespace vanillahatch::ctl
