// The replicated fleet configuration: the result of all accepted changes, with
// its revision.
//
// Every control replica applies the same changes in the same order and so holds
// the same state, byte for byte. Entries adopt accepted changes (`Adopt`).
//
// Rules:
// - Changes are idempotent by change id: a resend gets the first answer and
//   changes nothing. The last `kMaxKeptAnswers` answers are kept; a new id
//   whose `proposed_at_unix_ms` is not later than the latest evicted one is
//   refused, since it may be a resend. The kept answers are part of the
//   snapshot.
// - `expected_revision` of a change by an operator must not be older than the
//   last change by an operator: of two changes based on one revision exactly
//   one is accepted. For a change of a membership it must not be older than the
//   last change of that membership, so that the planner's moves do not make
//   operators' changes fail. A refused change gets CHANGE_CONFLICT and the
//   current value.
// - The only source of time is `proposed_at_unix_ms` of the changes.
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
  static constexpr size_t kMaxKeptAnswers = 4096;
  static constexpr Millis kMaxExceptionSpan = Seconds(90LL * 24 * 3600);
  // Ended exceptions and maintenances stay listed for this time.
  static constexpr Millis kEndedRetention = Seconds(24LL * 3600);
  static constexpr int kMaxExceptions = 2000;
  static constexpr int kMaxPools = 1000;
  static constexpr uint32_t kMaxPoolInstances = 100'000;

  // Applies the next change of the log and returns its outcome.
  v1::ChangeReply Apply(const v1::Change& aChange);

  // Applies a change that was accepted as revision `aRevision`. Returns false
  // and changes nothing unless it directly follows the current revision.
  bool Adopt(const v1::Change& aChange, uint64_t aRevision);

  // Replaces the state by one sent by a control replica. Returns false and
  // changes nothing if it is older than the current state.
  bool AdoptState(const v1::FleetState& aState);

  // Serializes all replicated data; equal histories give equal bytes.
  std::string Snapshot() const;
  // Replaces all data. Returns false if `aBytes` cannot be parsed.
  bool RestoreSnapshot(std::string_view aBytes);

  const v1::FleetState& State() const { return state_; }
  uint64_t Revision() const { return state_.revision(); }

private:
  v1::ChangeReply Evaluate(const v1::Change& aChange) const;
  void StoreAnswer(const v1::Change& aChange, const v1::ChangeReply& aReply);

  v1::FleetState state_;
  std::deque<v1::AnsweredChange> answers_; // oldest first
  std::map<std::string, v1::ChangeReply, std::less<>> answerById_;
  int64_t evictedUntil_ = 0; // Unix ms
};

const v1::Membership* FindMembership(const v1::FleetState& aState,
                                     std::string_view aInstance);
const v1::PoolContract* FindPool(const v1::FleetState& aState,
                                 std::string_view aPool);

} // namespace vanillahatch
