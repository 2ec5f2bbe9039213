// vhctl's exit codes.
#pragma once

namespace vanillahatch::ctl {

enum ExitCode : int
{
  kOk = 0,
  kRefused = 1,  // the change was rejected or the named object does not exist
  kUsage = 2,    // invalid command line
  kSettings = 3, // unusable settings or token
  kUnreachable = 4, // no replica responded: the outcome is unknown
  kConflict = 5,    // another operator changed the configuration first
};

} // namespace vanillahatch::ctl
