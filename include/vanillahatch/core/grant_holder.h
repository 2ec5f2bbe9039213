// An entry's client of the grantor of one data centre: requests and renews the
// grants, keeps the table of granted ones, and expires it in time.
//
//   if (auto request = holder.Tick(now, inFlight)) { send(*request); }
//   if (holder.OnReply(reply, now)) { apply holder.TakeChanges(); }
//
// At most one request is in flight; the reply to an earlier one is ignored.
// A request acknowledges what earlier replies revoked, so the caller must have
// applied the changes that it took before it calls `Tick` again.
//
// A deterministic state machine without I/O.
#pragma once

#include "vanillahatch/core/grant.h"
#include "vanillahatch/core/upstream.h"

#include "control.pb.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillahatch {

struct GrantHolderOptions
{
  NodeName holder_;
  std::string session_; // unique to each start of the entry
  Millis renewInterval_ = Millis(500);
  Millis requestTimeout_ = Millis(800);
};

class GrantHolder
{
public:
  using InFlight = std::map<InstanceName, uint32_t>;

  explicit GrantHolder(GrantHolderOptions aOptions);

  // Adds, updates or removes a live upstream of the data centre.
  void PutUpstream(const UpstreamFact& aFact);
  void RemoveUpstream(const InstanceName& aInstance);

  // Returns the request to send, if one is due. `aInFlight` counts the attempts
  // in flight on each instance of the data centre.
  std::optional<v1::GrantRequest> Tick(Millis aNow, const InFlight& aInFlight);
  // Returns whether the reply granted, renewed or revoked grants.
  bool OnReply(const v1::GrantReply& aReply, Millis aNow);

  // Returns the grants that `OnReply` changed since the last call: renewed ones
  // with their new expiry, revoked ones with an expiry in the past.
  std::vector<Grant> TakeChanges();

  // Returns the grants that are unexpired at `aNow`.
  std::vector<Grant> Grants(Millis aNow) const;

private:
  void ExpireTable(Millis aNow);
  void AddHeldGrants(v1::GrantRequest& aRequest) const;
  void AddUpstreamChanges(v1::GrantRequest& aRequest);
  void ApplyTableChanges(const v1::GrantReply& aReply);
  void Revoke(const InstanceName& aInstance);

  GrantHolderOptions options_;
  std::map<InstanceName, Grant> table_;
  std::vector<Grant> changedGrants_;
  std::map<InstanceName, v1::SeenInstance> upstreams_;
  std::map<InstanceName, v1::SeenInstance> unsentChanges_;
  // Sent in the request in flight.
  std::map<InstanceName, v1::SeenInstance> unansweredChanges_;
  std::string incarnation_;    // the grantor's, empty until its first reply
  uint64_t sequence_ = 0;      // of the last request
  uint64_t knownVersion_ = 0;  // of the table; 0: no table
  bool awaitingReply_ = false; // for the reply to request `sequence_`
  Millis sentAt_;
  Millis nextRequestAt_;
  Millis expiresAt_; // of every grant in the table
};

} // namespace vanillahatch
