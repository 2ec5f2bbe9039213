#define BOOST_TEST_MODULE confirmed_reads
#include "scheduler/confirmed_reads.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

struct ReadsFixture
{
  void Read()
  {
    reads_.Confirm([this](const ProposalResult& aResult) {
      ++(aResult.status_ == ProposalStatus::kCommitted ? confirmed_ : failed_);
    });
  }
  void EndRound(ProposalStatus aStatus = ProposalStatus::kCommitted)
  {
    const ConfirmedReads::Done done = std::exchange(round_, nullptr);
    BOOST_REQUIRE(done);
    done({ .status_ = aStatus });
  }

  ConfirmedReads::Done round_; // under way
  int rounds_ = 0;
  int confirmed_ = 0;
  int failed_ = 0;
  ConfirmedReads reads_{ [this](ConfirmedReads::Done aDone) {
    ++rounds_;
    round_ = std::move(aDone);
  } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Reads, ReadsFixture)

BOOST_AUTO_TEST_CASE(ReaderIsNotConfirmedByARoundThatBeganBeforeIt)
{
  Read();
  Read();
  EndRound();
  BOOST_TEST(confirmed_ == 1);
  EndRound();
  BOOST_TEST(confirmed_ == 2);
  BOOST_TEST(rounds_ == 2);
}

BOOST_AUTO_TEST_CASE(AllThatWaitShareTheNextRound)
{
  for (int i = 0; i < 50; ++i) {
    Read();
  }
  EndRound();
  EndRound();
  BOOST_TEST(confirmed_ == 50);
  BOOST_TEST(rounds_ == 2);
}

BOOST_AUTO_TEST_CASE(FailedRoundFailsItsReadersOnly)
{
  Read();
  Read();
  EndRound(ProposalStatus::kNotLeader);
  BOOST_TEST(failed_ == 1);
  EndRound();
  BOOST_TEST(confirmed_ == 1);
  Read();
  BOOST_TEST(rounds_ == 3);
}

BOOST_AUTO_TEST_SUITE_END()
