#include "vanillahatch/shell/events.h"

#include <algorithm>
#include <array>

namespace vanillahatch {

namespace {

constexpr std::array kCatalogue = {
  EventEntry{ Event::kProcessStarted, "process-started" },
  EventEntry{ Event::kProcessStopping, "process-stopping" },
  EventEntry{ Event::kProcessStopped, "process-stopped" },
  EventEntry{ Event::kSettingsRefused, "settings-refused" },
  EventEntry{ Event::kRouteChosen, "route-chosen" },
  EventEntry{ Event::kJobRefused, "job-refused" },
  EventEntry{ Event::kJobAnswered, "job-answered" },
  EventEntry{ Event::kAttemptFailed, "attempt-failed" },
  EventEntry{ Event::kLateAnswerDiscarded, "late-answer-discarded" },
  EventEntry{ Event::kHealthChanged, "health-changed" },
  EventEntry{ Event::kClaimDecided, "claim-decided" },
  EventEntry{ Event::kClaimAbandoned, "claim-abandoned" },
  EventEntry{ Event::kClaimLeftOpen, "claim-left-open" },
  EventEntry{ Event::kLedgerMember, "ledger-member" },
  EventEntry{ Event::kLedgerCatchingUp, "ledger-catching-up" },
  EventEntry{ Event::kLedgerFloorRaised, "ledger-floor-raised" },
  EventEntry{ Event::kLedgerStoreFailed, "ledger-store-failed" },
  EventEntry{ Event::kUpstreamAnnounced, "upstream-announced" },
  EventEntry{ Event::kUpstreamDeparted, "upstream-departed" },
  EventEntry{ Event::kUpstreamExpired, "upstream-expired" },
  EventEntry{ Event::kGrantReceived, "grant-received" },
  EventEntry{ Event::kGrantRevoked, "grant-revoked" },
  EventEntry{ Event::kGrantorNew, "grantor-new" },
  EventEntry{ Event::kRequestMalformed, "request-malformed" },
  EventEntry{ Event::kTokenRefused, "token-refused" },
  EventEntry{ Event::kChangeDecided, "change-decided" },
  EventEntry{ Event::kRevisionApplied, "revision-applied" },
  EventEntry{ Event::kControlUnreachable, "control-unreachable" },
  EventEntry{ Event::kGrantorProposed, "grantor-proposed" },
  EventEntry{ Event::kLogRoleChanged, "log-role-changed" },
  EventEntry{ Event::kLogMembersChanged, "log-members-changed" },
  EventEntry{ Event::kLogDiskLost, "log-disk-lost" },
  EventEntry{ Event::kLogDiskFailed, "log-disk-failed" },
  EventEntry{ Event::kLogCompacted, "log-compacted" },
  EventEntry{ Event::kLogRestored, "log-restored" },
  EventEntry{ Event::kLogEntryUnreadable, "log-entry-unreadable" },
  EventEntry{ Event::kOverloaded, "overloaded" },
  EventEntry{ Event::kLogLinesDropped, "log-lines-dropped" },
  EventEntry{ Event::kHandlerFailed, "handler-failed" },
  EventEntry{ Event::kJobAccepted, "job-accepted" },
  EventEntry{ Event::kJobCancelled, "job-cancelled" },
  EventEntry{ Event::kCallAnswered, "call-answered" },
  EventEntry{ Event::kCallRefused, "call-refused" },
  EventEntry{ Event::kRunOrdered, "run-ordered" },
  EventEntry{ Event::kRunEnded, "run-ended" },
  EventEntry{ Event::kRunStopped, "run-stopped" },
  EventEntry{ Event::kRunInDoubt, "run-in-doubt" },
  EventEntry{ Event::kStartRefused, "start-refused" },
  EventEntry{ Event::kRunPaced, "run-paced" },
  EventEntry{ Event::kStartWithheld, "start-withheld" },
  EventEntry{ Event::kInstanceReported, "instance-reported" },
  EventEntry{ Event::kInstanceLeft, "instance-left" },
  EventEntry{ Event::kInstanceBelief, "instance-belief" },
  EventEntry{ Event::kConfigDecided, "config-decided" },
  EventEntry{ Event::kWaveDecided, "wave-decided" },
  EventEntry{ Event::kMachineOrdered, "machine-ordered" },
  EventEntry{ Event::kMachineAnswered, "machine-answered" },
  EventEntry{ Event::kPoolMeasured, "pool-measured" },
  EventEntry{ Event::kAdviceTaken, "advice-taken" },
  EventEntry{ Event::kDispatchMeasured, "dispatch-measured" },
  EventEntry{ Event::kSchedulerStarted, "scheduler-started" },
  EventEntry{ Event::kSchedulerStopped, "scheduler-stopped" },
  EventEntry{ Event::kProposalFailed, "proposal-failed" },
  EventEntry{ Event::kSchedulerDeposed, "scheduler-deposed" },
  EventEntry{ Event::kRelayOpened, "relay-opened" },
  EventEntry{ Event::kRelayClosed, "relay-closed" },
  EventEntry{ Event::kAuditFinding, "audit-finding" },
  EventEntry{ Event::kLeaderLease, "leader-lease" },
  EventEntry{ Event::kLeaderFound, "leader-found" },
  EventEntry{ Event::kLeaderLost, "leader-lost" },
  EventEntry{ Event::kSettingsReloaded, "settings-reloaded" },
  EventEntry{ Event::kCallsUnauthorized, "calls-unauthorized" },
  EventEntry{ Event::kConnectionsLimited, "connections-limited" },
  EventEntry{ Event::kCustomerMeasured, "customer-measured" },
  EventEntry{ Event::kStepBeyondCap, "step-beyond-cap" },
  EventEntry{ Event::kNearWaitEnded, "near-wait-ended" },
};

} // namespace

std::span<const EventEntry> EventCatalogue()
{
  return kCatalogue;
}

std::string_view NameOf(Event aEvent)
{
  const auto* const it =
    std::find_if(kCatalogue.begin(), kCatalogue.end(), [&](const auto& aEntry) {
      return aEntry.event_ == aEvent;
    });
  return it != kCatalogue.end() ? it->name_ : "unknown";
}

} // namespace vanillahatch
