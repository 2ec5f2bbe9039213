#define BOOST_TEST_MODULE program
#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/program.h"

#include <boost/test/unit_test.hpp>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace vanillahatch;

namespace {

constexpr int kTestExitCode = 7;
constexpr std::chrono::seconds kMaxTimeToEnd(10);
constexpr std::chrono::milliseconds kPollInterval(10);

struct WaitsForGood
{
  ~WaitsForGood()
  {
    for (;;) {
      std::this_thread::sleep_for(kMaxTimeToEnd);
    }
  }
};

// The exit code of the process, or -1 if it had to be killed.
int AwaitEnd(pid_t aProcess)
{
  const auto giveUpAt = std::chrono::steady_clock::now() + kMaxTimeToEnd;
  int status = 0;
  while (waitpid(aProcess, &status, WNOHANG) == 0) {
    if (std::chrono::steady_clock::now() >= giveUpAt) {
      kill(aProcess, SIGKILL);
      waitpid(aProcess, &status, 0);
      return -1;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace

// Guards against a process that has stopped but does not end, so that it is not
// started again: the destructor of a library's static object waits for good.
BOOST_AUTO_TEST_CASE(ProcessEndsAlthoughAStaticDestructorWaits)
{
  const pid_t child = fork();
  BOOST_REQUIRE(child >= 0);
  if (child == 0) {
    static const WaitsForGood object;
    {
      const LogSystem log("n", {});
      LogInfo(Event::kProcessStopped, { { "node", "n" } });
    }
    EndProcess(kTestExitCode);
  }
  BOOST_TEST(AwaitEnd(child) == kTestExitCode);
}
