#define BOOST_TEST_MODULE read_barrier
#include "scheduler/read_barrier.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

struct ReadBarrierFixture
{
  void StartRead()
  {
    barrier_.Confirm([this](const ProposalResult& aResult) {
      ++(aResult.status_ == ProposalStatus::kCommitted ? confirmedReads_
                                                       : failedReads_);
    });
  }
  void FinishRound(ProposalStatus aStatus = ProposalStatus::kCommitted)
  {
    const ReadBarrier::Done done = std::exchange(roundDone_, nullptr);
    BOOST_REQUIRE(done);
    done({ .status_ = aStatus });
  }

  ReadBarrier::Done roundDone_; // of the round in flight
  int roundsStarted_ = 0;
  int confirmedReads_ = 0;
  int failedReads_ = 0;
  ReadBarrier barrier_{ [this](ReadBarrier::Done aDone) {
    ++roundsStarted_;
    roundDone_ = std::move(aDone);
  } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReadBarrierTests, ReadBarrierFixture)

BOOST_AUTO_TEST_CASE(ReadIsNotConfirmedByRoundThatStartedBeforeIt)
{
  StartRead();
  StartRead();
  FinishRound();
  BOOST_TEST(confirmedReads_ == 1);
  FinishRound();
  BOOST_TEST(confirmedReads_ == 2);
  BOOST_TEST(roundsStarted_ == 2);
}

BOOST_AUTO_TEST_CASE(AllWaitingReadsShareTheNextRound)
{
  for (int i = 0; i < 50; ++i) {
    StartRead();
  }
  FinishRound();
  FinishRound();
  BOOST_TEST(confirmedReads_ == 50);
  BOOST_TEST(roundsStarted_ == 2);
}

BOOST_AUTO_TEST_CASE(FailedRoundFailsOnlyItsOwnReads)
{
  StartRead();
  StartRead();
  FinishRound(ProposalStatus::kNotLeader);
  BOOST_TEST(failedReads_ == 1);
  FinishRound();
  BOOST_TEST(confirmedReads_ == 1);
  StartRead();
  BOOST_TEST(roundsStarted_ == 3);
}

BOOST_AUTO_TEST_SUITE_END()
