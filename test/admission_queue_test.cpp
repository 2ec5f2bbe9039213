#define BOOST_TEST_MODULE admission_queue
#include "vanillahatch/core/admission_queue.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace vanillahatch;

namespace {

WaitingJob MakeJob(uint64_t aNumber,
                   const char* aMember,
                   Priority aPriority = Priority::kNormal)
{
  return { .number_ = JobNumber(aNumber),
           .member_ = MemberName(aMember),
           .priority_ = aPriority,
           .arrivedAt_ = Millis(0),
           .deadline_ = Seconds(10) };
}

// Dispatches `aCount` jobs at `aNow` and returns their numbers in order.
std::vector<uint64_t> Dispatch(AdmissionQueue& aQueue,
                               size_t aCount,
                               Millis aNow)
{
  std::vector<uint64_t> dispatched;
  aQueue.VisitInOrder(
    1,
    [&](const WaitingJob& aJob) {
      if (dispatched.size() == aCount) {
        return VisitResult::kKeep;
      }
      dispatched.push_back(static_cast<uint64_t>(aJob.number_));
      return VisitResult::kDispatched;
    },
    aNow);
  return dispatched;
}

} // namespace

BOOST_AUTO_TEST_CASE(FloodOfOneMemberDoesNotDelayAnother)
{
  AdmissionQueue queue;
  for (uint64_t i = 1; i <= 100; ++i) {
    queue.Push(MakeJob(i, "flood"));
  }
  queue.Push(MakeJob(200, "light"));
  const std::vector<uint64_t> dispatched = Dispatch(queue, 2, Millis(1));
  BOOST_TEST(std::count(dispatched.begin(), dispatched.end(), 200U) == 1);
}

BOOST_AUTO_TEST_CASE(DispatchesAreProportionalToMemberWeight)
{
  AdmissionQueue queue;
  const MemberLimit limit{ .member_ = MemberName("double"), .weight_ = 2 };
  queue.SetLimits({ &limit, 1 });
  for (uint64_t i = 0; i < 100; ++i) {
    queue.Push(MakeJob(i, "double"));
    queue.Push(MakeJob(1000 + i, "single"));
  }
  const std::vector<uint64_t> dispatched = Dispatch(queue, 60, Millis(1));
  const auto doubleWeightJobs =
    std::count_if(dispatched.begin(), dispatched.end(), [](uint64_t aJob) {
      return aJob < 1000;
    });
  BOOST_TEST(doubleWeightJobs >= 39);
  BOOST_TEST(doubleWeightJobs <= 41);
}

BOOST_AUTO_TEST_CASE(UrgentJobIsServedFirst)
{
  AdmissionQueue queue;
  queue.Push(MakeJob(1, "a"));
  queue.Push(MakeJob(2, "b", Priority::kUrgent));
  const std::vector<uint64_t> expected{ 2, 1 };
  const std::vector<uint64_t> dispatched = Dispatch(queue, 2, Millis(1));
  BOOST_TEST(dispatched == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(RequeuedJobIsServedBeforeLaterArrivals)
{
  AdmissionQueue queue;
  queue.Push(MakeJob(1, "a"));
  Dispatch(queue, 1, Millis(1));
  queue.Push(MakeJob(2, "b"));
  queue.Requeue(MakeJob(1, "a"));
  BOOST_TEST(Dispatch(queue, 1, Millis(2)).front() == 1U);
}

BOOST_AUTO_TEST_CASE(JobBeyondTheQueueOrMemberLimitIsRefused)
{
  AdmissionQueue queue({ .maxWaiting_ = 3 });
  const MemberLimit limit{ .member_ = MemberName("a"), .maxWaiting_ = 1 };
  queue.SetLimits({ &limit, 1 });
  queue.Push(MakeJob(1, "a"));
  const auto check = [&](const char* aMember) {
    return queue.Check(MakeJob(9, aMember), Millis(0), Millis(0));
  };
  BOOST_TEST((check("a") == AdmissionResult::kMemberLimit));
  BOOST_TEST((check("b") == AdmissionResult::kAdmitted));
  queue.Push(MakeJob(2, "b"));
  queue.Push(MakeJob(3, "c"));
  BOOST_TEST((check("b") == AdmissionResult::kQueueFull));
}

BOOST_AUTO_TEST_CASE(JobWhoseExpectedWaitExceedsItsDeadlineIsRefused)
{
  AdmissionQueue queue;
  for (uint64_t i = 0; i < 600; ++i) {
    queue.Push(MakeJob(i, "a"));
  }
  // One dispatch every 10 ms for 1 s: the 500 waiting jobs take about 5 s.
  for (int64_t ms = 10; ms <= 1000; ms += 10) {
    Dispatch(queue, 1, Millis(ms));
  }
  WaitingJob job = MakeJob(900, "a");
  const Millis now(1000);
  job.deadline_ = now + Seconds(1);
  BOOST_TEST((queue.Check(job, Millis(5), now) ==
              AdmissionResult::kDeadlineUnreachable));
  job.deadline_ = now + Seconds(6);
  BOOST_TEST((queue.Check(job, Millis(5), now) == AdmissionResult::kAdmitted));
}

BOOST_AUTO_TEST_CASE(JobWithLessTimeLeftThanTheMinRunTimeIsRefused)
{
  AdmissionQueue queue;
  WaitingJob job = MakeJob(1, "a");
  job.deadline_ = Millis(20);
  BOOST_TEST((queue.Check(job, Millis(30), Millis(0)) ==
              AdmissionResult::kDeadlineUnreachable));
}

BOOST_AUTO_TEST_CASE(RemovedJobIsNotOffered)
{
  AdmissionQueue queue;
  queue.Push(MakeJob(1, "a"));
  BOOST_TEST(queue.Remove(JobNumber(1)));
  BOOST_TEST(!queue.Remove(JobNumber(1)));
  BOOST_TEST(Dispatch(queue, 1, Millis(1)).empty());
}
