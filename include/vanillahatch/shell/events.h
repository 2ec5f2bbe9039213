// The numbered events that the programs log. docs/EVENTS.md describes each;
// events_test checks that both list the same numbers and names.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace vanillahatch {

enum class Event : uint16_t
{
  kProcessStarted = 100,
  kProcessStopping = 101,
  kProcessStopped = 102,
  kSettingsRefused = 103,
  kRouteChosen = 200,
  kJobRefused = 201,
  kJobAnswered = 202,
  kAttemptFailed = 203,
  kLateAnswerDiscarded = 204,
  kHealthChanged = 205,
  kClaimDecided = 210,
  kClaimAbandoned = 211,
  kClaimLeftOpen = 212,
  kLedgerMember = 213,
  kLedgerCatchingUp = 214,
  kLedgerFloorRaised = 215,
  kLedgerStoreFailed = 216,
  kUpstreamAnnounced = 300,
  kUpstreamDeparted = 301,
  kUpstreamExpired = 302,
  kGrantReceived = 303,
  kGrantRevoked = 304,
  kGrantorNew = 305,
  kRequestMalformed = 310,
  kTokenRefused = 311,
  kChangeDecided = 400,
  kRevisionApplied = 401,
  kControlUnreachable = 402,
  kGrantorProposed = 403,
  kLogRoleChanged = 420,
  kLogMembersChanged = 421,
  kLogDiskLost = 422,
  kLogDiskFailed = 423,
  kLogCompacted = 424,
  kLogRestored = 425,
  kLogEntryUnreadable = 426,
  kOverloaded = 500,
  kLogLinesDropped = 501,
  kHandlerFailed = 502,
  kJobAccepted = 600,
  kJobCancelled = 601,
  kCallAnswered = 602,
  kCallRefused = 603,
  kRunOrdered = 610,
  kRunEnded = 611,
  kRunStopped = 612,
  kRunInDoubt = 613,
  kStartRefused = 614,
  kRunPaced = 615,
  kStartWithheld = 616,
  kInstanceReported = 620,
  kInstanceLeft = 621,
  kInstanceBelief = 622,
  kConfigDecided = 630,
  kWaveDecided = 631,
  kMachineOrdered = 632,
  kMachineAnswered = 633,
  kPoolMeasured = 634,
  kAdviceTaken = 635,
  kDispatchMeasured = 636,
  kSchedulerStarted = 640,
  kSchedulerStopped = 641,
  kProposalFailed = 642,
  kSchedulerDeposed = 643,
  kRelayOpened = 644,
  kRelayClosed = 645,
  kAuditFinding = 646,
  kLeaderLease = 647,
  kLeaderFound = 650,
  kLeaderLost = 651,
  kSettingsReloaded = 652,
  kCallsUnauthorized = 660,
  kConnectionsLimited = 665,
  kCustomerMeasured = 670,
  kStepBeyondCap = 671,
  kNearWaitEnded = 675,
};

struct EventEntry
{
  Event event_;
  std::string_view name_;
};

std::span<const EventEntry> EventCatalogue();
std::string_view NameOf(Event aEvent);

} // namespace vanillahatch
