// A caller's job and the ways it can end.
//
// A refusal says what is known about whether the job ran. `RanVerdict::kNo` is
// a promise: it is used only where no byte of the request can have reached an
// upstream.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/ids.h"

#include <string>
#include <string_view>

namespace vanillahatch {

enum class Repeatability
{
  kRepeatable,
  kAtMostOnce,
};

enum class Priority
{
  kNormal,
  kUrgent,
};

struct JobRequest
{
  JobNumber number_{};
  ServiceName service_;
  MemberName member_;
  Repeatability repeatability_ = Repeatability::kRepeatable;
  Priority priority_ = Priority::kNormal;
  IdempotencyKey key_; // empty for repeatable jobs
  Millis issuedAt_;    // Unix time of the key's first use, given by the caller
  Millis arrivedAt_;   // monotonic
  Millis deadline_;    // monotonic instant by which the answer is due
};

enum class RanVerdict
{
  kNo,
  kUnknown,
};

enum class RefusalCode
{
  kNoSuchService,
  kNoCapacity,
  kQueueFull,
  kDeadlineUnreachable,
  kMemberLimit,
  kLedgerUnavailable,
  kClaimHeld,
  kKeyExpired,
  kUpstreamFailed,
  kDeadlineExceeded,
  kCancelled,
  kStopping,
};

// The stable code that callers see, such as "no-such-service".
std::string_view ToText(RefusalCode aCode);

struct Refusal
{
  RefusalCode code_ = RefusalCode::kNoCapacity;
  RanVerdict ran_ = RanVerdict::kUnknown;
  Millis retryAfter_; // zero: no advice
  std::string detail_;
};

} // namespace vanillahatch
