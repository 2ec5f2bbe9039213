// The numbered events that the programs log; docs/EVENTS.md explains each, and
// a test holds the two against each other.
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
  kOverloaded = 500,
};

struct EventEntry
{
  Event event_;
  std::string_view name_;
};

std::span<const EventEntry> EventCatalogue();
std::string_view NameOf(Event aEvent);

} // namespace vanillahatch
