#define BOOST_TEST_MODULE claim_register
#include "vanillahatch/core/claim_register.h"

#include "fake_store.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace vanillahatch;
namespace data = boost::unit_test::data;

BOOST_TEST_DONT_PRINT_LOG_VALUE(vanillahatch::RestoreResult)

namespace {

constexpr int64_t kDayMs = 86'400'000;
constexpr int64_t kNowUnixMs = 1'700'000'000'000;

v1::VoteRequest MakeClaim(const std::string& aKey,
                          const std::string& aClaimant,
                          int64_t aIssuedAt = kNowUnixMs)
{
  v1::VoteRequest request;
  request.set_key(aKey);
  request.set_issued_at_unix_ms(aIssuedAt);
  request.mutable_ballot();
  request.mutable_value()->set_phase(v1::CLAIM_HELD);
  request.mutable_value()->set_claimant(aClaimant);
  return request;
}

v1::VoteRequest MakePrepare(const std::string& aKey, uint64_t aRound)
{
  v1::VoteRequest request;
  request.set_key(aKey);
  request.set_issued_at_unix_ms(kNowUnixMs);
  request.mutable_ballot()->set_round(aRound);
  request.mutable_ballot()->set_proposer("p");
  return request;
}

ClaimRegister MakeMember(ClaimRegisterOptions aOptions = {})
{
  ClaimRegister member(aOptions);
  member.Bootstrap();
  return member;
}

} // namespace

BOOST_AUTO_TEST_CASE(ReplicaWithoutIdentityDoesNotVote)
{
  ClaimRegister emptyRegister({});
  const VoteResult voted = emptyRegister.Vote(MakeClaim("k", "a"));
  BOOST_TEST(voted.reply_.status() == v1::VOTE_NOT_MEMBER);
  BOOST_TEST(voted.record_.empty());
  BOOST_TEST(!emptyRegister.Copy({}).reply_.member());
}

BOOST_AUTO_TEST_CASE(FirstClaimOfTheFastBallotIsKept)
{
  ClaimRegister member = MakeMember();
  BOOST_TEST(member.Vote(MakeClaim("k", "a")).reply_.status() ==
             v1::VOTE_GRANTED);
  const VoteResult second = member.Vote(MakeClaim("k", "b"));
  BOOST_TEST(second.reply_.status() == v1::VOTE_REFUSED);
  BOOST_TEST(second.reply_.state().value().claimant() == "a");
}

BOOST_AUTO_TEST_CASE(RepeatedRequestIsGrantedWithoutANewRecord)
{
  ClaimRegister member = MakeMember();
  BOOST_TEST(!member.Vote(MakeClaim("k", "a")).record_.empty());
  const VoteResult again = member.Vote(MakeClaim("k", "a"));
  BOOST_TEST(again.reply_.status() == v1::VOTE_GRANTED);
  BOOST_TEST(again.record_.empty());
}

BOOST_AUTO_TEST_CASE(PromiseRefusesEveryLowerBallot)
{
  ClaimRegister member = MakeMember();
  BOOST_TEST(member.Vote(MakePrepare("k", 2)).reply_.status() ==
             v1::VOTE_GRANTED);
  BOOST_TEST(member.Vote(MakePrepare("k", 1)).reply_.status() ==
             v1::VOTE_REFUSED);
  BOOST_TEST(member.Vote(MakeClaim("k", "a")).reply_.status() ==
             v1::VOTE_REFUSED);
}

BOOST_AUTO_TEST_CASE(RecordsAndSnapshotRestoreTheSameState)
{
  ClaimRegister member = MakeMember();
  StoreContents contents{ .snapshot_ = member.Snapshot() };
  for (const v1::VoteRequest& request :
       { MakeClaim("k", "a"), MakePrepare("k", 3), MakeClaim("l", "b") }) {
    contents.records_.push_back(member.Vote(request).record_);
  }
  ClaimRegister restored({});
  BOOST_TEST(restored.Restore(contents) == RestoreResult::kRestored);
  BOOST_TEST(restored.Snapshot() == member.Snapshot());
  BOOST_TEST(restored.Bytes() == member.Bytes());
}

BOOST_AUTO_TEST_CASE(TornEmptyOrOtherReplicasStoreDoesNotMakeAMember)
{
  const std::string ownSnapshot = MakeMember().Snapshot();
  const std::string otherSnapshot =
    MakeMember({ .replicaIndex_ = 1 }).Snapshot();
  ClaimRegister restored({});
  BOOST_TEST(restored.Restore({}) == RestoreResult::kEmpty);
  BOOST_TEST(
    restored.Restore({ .snapshot_ = ownSnapshot, .tornTail_ = true }) ==
    RestoreResult::kUnusable);
  BOOST_TEST(restored.Restore({ .snapshot_ = otherSnapshot }) ==
             RestoreResult::kUnusable);
  BOOST_TEST(restored.Restore(
               { .snapshot_ = ownSnapshot, .records_ = { "\xff\xff" } }) ==
             RestoreResult::kUnusable);
  BOOST_TEST(!restored.IsMember());
}

BOOST_AUTO_TEST_CASE(RemovedKeyIsRefusedAsExpiredAlsoAfterARestart)
{
  ClaimRegister member = MakeMember();
  member.Vote(MakeClaim("old", "a", kNowUnixMs));
  member.Vote(MakeClaim("young", "a", kNowUnixMs + kDayMs));
  BOOST_TEST(member.Expire(Millis(kNowUnixMs + kDayMs + 1)));
  BOOST_TEST(member.KeyCount() == 1U);
  ClaimRegister restored({});
  BOOST_TEST(restored.Restore({ .snapshot_ = member.Snapshot() }) ==
             RestoreResult::kRestored);
  for (ClaimRegister* each : { &member, &restored }) {
    BOOST_TEST(each->Vote(MakeClaim("old", "b", kNowUnixMs)).reply_.status() ==
               v1::VOTE_EXPIRED);
    // The floor does not fall when the machine's clock steps back.
    BOOST_TEST(!each->Expire(Millis(kNowUnixMs)));
  }
}

BOOST_AUTO_TEST_CASE(ResendWithAnotherIssueTimeIsRefusedForTheFirstClaim)
{
  ClaimRegister member = MakeMember();
  member.Vote(MakeClaim("k", "a", kNowUnixMs));
  const VoteResult later = member.Vote(MakeClaim("k", "b", kNowUnixMs + 5000));
  BOOST_TEST(later.reply_.status() == v1::VOTE_REFUSED);
  BOOST_TEST(later.reply_.state().issued_at_unix_ms() == kNowUnixMs);
}

BOOST_AUTO_TEST_CASE(FullRegisterRemovesTheOldestKeysButNoYoungKey)
{
  constexpr int64_t kMinuteMs = 60'000;
  ClaimRegister member = MakeMember(
    { .maxBytes_ = 100'000, .minRetention_ = Millis(30 * kMinuteMs) });
  int accepted = 0;
  for (int i = 0; i < 2000; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const VoteResult voted =
      member.Vote(MakeClaim(key, "a", kNowUnixMs + int64_t{ 100 } * i));
    accepted += voted.reply_.status() == v1::VOTE_GRANTED ? 1 : 0;
  }
  BOOST_TEST(accepted < 2000);
  BOOST_TEST(member.Bytes() < 100'000U + 1000U);
  // Young keys are kept, and new keys are refused without a vote.
  member.Expire(Millis(kNowUnixMs + kMinuteMs));
  BOOST_TEST(static_cast<int>(member.KeyCount()) == accepted);
  BOOST_TEST(member.Vote(MakeClaim("new", "a", kNowUnixMs + kMinuteMs))
               .reply_.status() == v1::VOTE_OVERLOADED);
  // 40 minutes after the first claim, the oldest quarter is removed.
  BOOST_TEST(member.Expire(Millis(kNowUnixMs + 40 * kMinuteMs)));
  BOOST_TEST(static_cast<int>(member.KeyCount()) < accepted);
  BOOST_TEST(static_cast<int>(member.KeyCount()) > accepted / 2);
  BOOST_TEST(member.Vote(MakeClaim("new", "a", kNowUnixMs + 40 * kMinuteMs))
               .reply_.status() == v1::VOTE_GRANTED);
}

BOOST_AUTO_TEST_CASE(CopyReturnsPagesAndRecordsTheNewIdentityWithTheFirst)
{
  ClaimRegister member = MakeMember();
  const std::string body(100'000, 'x');
  for (int i = 0; i < 30; ++i) {
    v1::VoteRequest request = MakeClaim("key-" + std::to_string(i), "a");
    request.mutable_value()->mutable_outcome()->set_body(body);
    member.Vote(request);
  }
  v1::CopyRequest request;
  request.set_replica(2);
  request.set_identity(5);
  size_t keys = 0;
  int pages = 0;
  for (bool more = true; more; ++pages) {
    const CopyResult copied = member.Copy(request);
    BOOST_TEST(copied.record_.empty() == (pages > 0));
    BOOST_TEST(copied.reply_.identities(2) == 5U);
    keys += static_cast<size_t>(copied.reply_.keys_size());
    request.set_after_key(copied.reply_.keys().rbegin()->key());
    more = copied.reply_.more();
  }
  BOOST_TEST(keys == 30U);
  BOOST_TEST(pages > 1);
}

BOOST_AUTO_TEST_CASE(CopyForAnEarlierIdentityIsRefused)
{
  ClaimRegister member = MakeMember();
  v1::CopyRequest request;
  request.set_replica(2);
  request.set_identity(5);
  BOOST_TEST(member.Copy(request).reply_.member());
  request.set_identity(4);
  BOOST_TEST(!member.Copy(request).reply_.member());
}
