// A caller's job and the refusals that it can end with.
//
// A refusal states whether the job may have run. `ExecutionStatus::kNotRun` is
// a guarantee: it is used only if no byte of the request can have reached an
// upstream.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/ids.h"

#include <string>
#include <string_view>

namespace vanillahatch {

enum class Repeatability
{
  kRepeatable, // may be sent again after a failed attempt
  kAtMostOnce, // needs a claim on its key; retried only if nothing was sent
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
  Millis issuedAt_;    // Unix time of the key's first use, set by the caller
  Millis arrivedAt_;   // monotonic
  Millis deadline_;    // monotonic; when the answer is due
};

// What is known about whether a refused job ran.
enum class ExecutionStatus
{
  kNotRun,
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

// The stable code in the API, such as "no-such-service".
std::string_view ToText(RefusalCode aCode);

struct Refusal
{
  RefusalCode code_ = RefusalCode::kNoCapacity;
  ExecutionStatus executionStatus_ = ExecutionStatus::kUnknown;
  Millis retryAfter_; // zero: not specified
  std::string detail_;
};

} // namespace vanillahatch
