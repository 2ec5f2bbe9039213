#define BOOST_TEST_MODULE member_limits
#include "vanillahatch/core/member_limits.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

constexpr Millis kNow = Seconds(1'000);

v1::FleetState MakeState()
{
  v1::FleetState state;
  (*state.mutable_defaults())["member.max_queued"] = "7";
  v1::Exception& exception = *state.add_exceptions();
  exception.set_name("late-season");
  exception.set_reason("fitters of the north finish a hospital");
  exception.set_scope("member:north");
  exception.set_setting("member.max_queued");
  exception.set_value("40");
  exception.set_ends_at_unix_ms((kNow + Seconds(10)).Count());
  return state;
}

WaitingJob MakeJob(uint64_t aNumber, const char* aMember)
{
  return WaitingJob{ .number_ = JobNumber(aNumber),
                     .member_ = MemberName(aMember),
                     .deadline_ = Seconds(60) };
}

// Pushes jobs of one member until the queue refuses one, up to 100; returns the
// number admitted.
uint32_t PushUntilRefused(AdmissionQueue& aQueue, const char* aMember)
{
  uint32_t count = 0;
  for (uint64_t i = 1; i <= 100; ++i) {
    const WaitingJob job =
      MakeJob(i + 1'000ULL * static_cast<uint64_t>(aMember[0]), aMember);
    if (aQueue.Check(job, Millis(0), Millis(0)) != AdmissionResult::kAdmitted) {
      break;
    }
    aQueue.Push(job);
    ++count;
  }
  return count;
}

} // namespace

BOOST_AUTO_TEST_CASE(ExceptionAppliesToItsMemberAndTheDefaultToOthers)
{
  AdmissionQueue queue;
  queue.SetLimits(EffectiveMemberLimits(MakeState(), kNow));
  BOOST_TEST(PushUntilRefused(queue, "north") == 40U);
  BOOST_TEST(PushUntilRefused(queue, "south") == 7U);
}

BOOST_AUTO_TEST_CASE(DefaultAppliesAfterTheExceptionExpires)
{
  AdmissionQueue queue;
  queue.SetLimits(EffectiveMemberLimits(MakeState(), kNow + Seconds(10)));
  BOOST_TEST(PushUntilRefused(queue, "north") == 7U);
}

BOOST_AUTO_TEST_CASE(NewLimitsApplyToMembersWithWaitingJobs)
{
  AdmissionQueue queue;
  queue.SetLimits(EffectiveMemberLimits(MakeState(), kNow));
  BOOST_TEST(PushUntilRefused(queue, "south") == 7U);
  v1::FleetState wider = MakeState();
  (*wider.mutable_defaults())["member.max_queued"] = "9";
  queue.SetLimits(EffectiveMemberLimits(wider, kNow));
  const WaitingJob eighth = MakeJob(8, "south");
  BOOST_TEST(
    (queue.Check(eighth, Millis(0), Millis(0)) == AdmissionResult::kAdmitted));
}
