// The configuration that operators' changes add up to, with its revision.
//
// Every replica applies the same changes in the same order and so holds the
// same state, to the byte. Entries take over what was decided (`Adopt`).
//
// Rules:
// - A change id is answered once. A resend gets the first answer back and
//   changes nothing. The last `kKeptAnswers` answers are remembered; a new id
//   whose `proposed_at_unix_ms` is not later than the latest one forgotten is
//   refused, since it may be a resend. The memory is part of the snapshot.
// - `expected_revision` on a change by an operator must not be older than the
//   last change by an operator: of two made against one revision exactly one
//   is accepted. On a change of a membership it must not be older than the
//   last change of that membership, so that the planner's moves do not make
//   operators' changes fail. The other gets CHANGE_CONFLICT and the value now
//   in force.
// - Time comes from the changes alone (`proposed_at_unix_ms`).
#pragma once

#include "vanillahatch/core/clock.h"

#include "config.pb.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace vanillahatch {

class FleetConfig
{
public:
  static constexpr size_t kKeptAnswers = 4096;
  static constexpr Millis kMaxExceptionSpan = Seconds(90LL * 24 * 3600);
  // How long ended exceptions and maintenances stay listed.
  static constexpr Millis kEndedKept = Seconds(24LL * 3600);
  static constexpr int kMaxExceptions = 2000;
  static constexpr int kMaxPools = 1000;
  static constexpr uint32_t kMaxPoolInstances = 100'000;

  // Applies one change in log order and says what became of it.
  v1::ChangeReply Apply(const v1::Change& aChange);

  // Takes over a change that was accepted as revision `aRevision`. False if
  // it does not follow on the revision held; then nothing changes.
  bool Adopt(const v1::Change& aChange, uint64_t aRevision);

  // Takes over a state sent by a control replica. False if it is older than
  // the one held; then nothing changes.
  bool AdoptState(const v1::FleetState& aState);

  // Everything that replicas agree on; equal histories give equal bytes.
  std::string Snapshot() const;
  // Replaces everything. False if `aBytes` cannot be read.
  bool RestoreSnapshot(std::string_view aBytes);

  const v1::FleetState& State() const { return state_; }
  uint64_t Revision() const { return state_.revision(); }

private:
  v1::ChangeReply Decide(const v1::Change& aChange) const;
  void Remember(const v1::Change& aChange, const v1::ChangeReply& aReply);

  v1::FleetState state_;
  std::deque<v1::AnsweredChange> answers_; // oldest first
  std::map<std::string, v1::ChangeReply, std::less<>> answerById_;
  int64_t forgottenUntil_ = 0; // Unix ms
};

const v1::Membership* FindMembership(const v1::FleetState& aState,
                                     std::string_view aInstance);
const v1::PoolContract* FindPool(const v1::FleetState& aState,
                                 std::string_view aPool);

} // namespace vanillahatch
