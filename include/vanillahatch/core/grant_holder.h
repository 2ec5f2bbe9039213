// An entry's side of the grants of one data centre: asks that data centre's
// grantor, keeps the table it is given, and lets it run out on time.
//
//   if (auto request = holder.Tick(now, inFlight)) { send(*request); }
//   if (holder.OnReply(reply, now)) { pass on holder.TakeChanges(); }
//
// At most one request is under way; the answer to an earlier one is ignored.
// A request acknowledges what earlier answers revoked, so the caller must have
// put the changes taken into force before it calls `Tick` again.
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
  std::string session_; // new with each start of the entry
  Millis period_ = Millis(500);
  Millis timeout_ = Millis(800); // of one request
};

class GrantHolder
{
public:
  using InFlight = std::map<InstanceName, uint32_t>;

  explicit GrantHolder(GrantHolderOptions aOptions);

  // An upstream of the data centre is live, or no longer is.
  void PutUpstream(const UpstreamFact& aFact);
  void RemoveUpstream(const InstanceName& aInstance);

  // The request to send now, if one is due. `aInFlight` counts the attempts
  // on instances of the data centre.
  std::optional<v1::GrantRequest> Tick(Millis aNow, const InFlight& aInFlight);
  // True if grants were given, renewed or revoked.
  bool OnReply(const v1::GrantReply& aReply, Millis aNow);

  // The grants that `OnReply` changed: renewed ones with their new end, and
  // revoked ones with an end in the past.
  std::vector<Grant> TakeChanges();

  // Grants in force at `aNow`.
  std::vector<Grant> Grants(Millis aNow) const;

private:
  void LapseAt(Millis aNow);
  void FillHeld(v1::GrantRequest& aRequest) const;
  void FillSeen(v1::GrantRequest& aRequest);
  void TakeTable(const v1::GrantReply& aReply);
  void Drop(const InstanceName& aInstance);

  GrantHolderOptions options_;
  std::map<InstanceName, Grant> table_;
  std::vector<Grant> changes_;
  std::map<InstanceName, v1::SeenInstance> seen_;
  std::map<InstanceName, v1::SeenInstance> unsent_; // changed since answered
  std::map<InstanceName, v1::SeenInstance> underWay_;
  std::string incarnation_;
  uint64_t sequence_ = 0;
  uint64_t knownVersion_ = 0;
  bool waiting_ = false; // for the answer to `sequence_`
  Millis sentAt_;
  Millis nextAt_;
  Millis expiresAt_; // of every grant in the table
};

} // namespace vanillahatch
