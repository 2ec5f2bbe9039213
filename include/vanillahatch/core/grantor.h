// Grants entries leases on the instances of one data centre, so that an
// instance is used for exactly one pool at any moment.
//
// Each holder has a session with a table of grants and one lease on the whole
// table. Every request renews the lease, so that an idle session costs one
// small message a renewal interval however many instances it covers. Rules:
//
// - A grant of (pool, epoch) is issued only if no other holder may hold a grant
//   of another (pool, epoch) on the instance: every such grant was revoked and
//   the revocation acknowledged, or its lease has expired.
// - The holder counts its lease from when it sent the request; the grantor
//   from when it replied, which is later, and for longer by one part in
//   `kClockRateBound`. Clocks may have any offset.
// - A restarted grantor has lost its tables. Until the longest lease of its
//   predecessor has expired it renews only grants that their holders list as
//   held. It rejects requests addressed to the predecessor.
// - The drain of an instance is confirmed when no grant on it is outstanding
//   and no holder has work in flight on it. If the lease of a holder expires,
//   the grantor waits `unreleasedGrace_` longer for its work to finish.
//
// An instance without membership belongs to the implicit pool named like its
// service, with epoch 0. Once a pool's contract names the service the grantor
// proposes the first memberships, a few instances at a time.
//
// A deterministic state machine without I/O.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/grant_share.h"
#include "vanillahatch/core/ids.h"

#include "config.pb.h"
#include "control.pb.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace vanillahatch {

struct GrantorOptions
{
  DataCentreName dataCentre_;
  std::string incarnation_; // unique to each start
  Millis leaseDuration_ = Seconds(2);
  Millis unreleasedGrace_ = Seconds(30);
  // All entries of the deployment. Once each has a session with a restarted
  // grantor, the grantor knows of all work in flight.
  std::set<NodeName> expectedHolders_;
};

// The pool that an instance serves, and the epoch of that membership.
struct Assignment
{
  PoolName pool_;
  uint64_t epoch_ = 0;

  friend auto operator<=>(const Assignment&, const Assignment&) = default;
};

class Grantor
{
public:
  // The rates of two clocks may differ by one part in this many.
  static constexpr int64_t kClockRateBound = 100;

  // Returns how long the grantor must treat a lease of `aLease` as unexpired.
  static constexpr Millis GrantorLeaseDuration(Millis aLease)
  {
    return aLease + aLease / kClockRateBound + Millis(1);
  }

  Grantor(GrantorOptions aOptions,
          std::unique_ptr<ShareStrategy> aShareStrategy,
          Millis aNow);

  void OnState(const v1::FleetState& aState);
  v1::GrantReply OnRequest(const v1::GrantRequest& aRequest, Millis aNow);
  // Expires leases and returns the changes to propose. Their ids are
  // deterministic, so that a repeated proposal has no effect; the caller sets
  // author and time.
  std::vector<v1::Change> OnTick(Millis aNow);

  size_t LiveSessionCount() const;
  size_t OutstandingGrantCount() const;

private:
  struct MembershipState
  {
    Assignment assignment_;
    bool draining_ = false;
    bool drained_ = false;
    uint64_t revision_ = 0;
  };

  struct SessionKey
  {
    NodeName holder_;
    std::string session_;

    friend auto operator<=>(const SessionKey&, const SessionKey&) = default;
  };

  struct ReportedInstance
  {
    ServiceName service_;
    GrantShare total_; // the instance's slots and connections
    std::set<SessionKey> reportedBy_;
  };

  struct TableEntry
  {
    Assignment assignment_;
    GrantShare share_;
    uint64_t changedInVersion_ = 0; // version of the table
    bool revoked_ = false;          // and the revocation not acknowledged
  };

  struct Session
  {
    uint64_t sequence_ = 0; // of the last request
    Millis leaseExpiresAt_;
    bool expired_ = false;
    std::map<InstanceName, TableEntry> table_;
    std::set<InstanceName> busy_;       // revoked, with work in flight
    std::set<InstanceName> unreleased_; // held or busy at lease expiry
  };

  using Assignments = std::map<InstanceName, std::set<Assignment>>;

  bool IsRecovering(Millis aNow) const { return aNow < recoveryEndsAt_; }
  void RecordHeldGrants(Session& aSession,
                        const v1::GrantRequest& aRequest,
                        Millis aNow);
  void RecordReportedInstances(const SessionKey& aKey,
                               const v1::GrantRequest& aRequest);
  void Acknowledge(Session& aSession, uint64_t aVersion);
  void ExpireSessions(Millis aNow);
  void RemoveSession(const SessionKey& aKey);
  // Returns the assignment that may be granted on the instance, or nullptr.
  const Assignment* FindGrantable(const InstanceName& aInstance, Millis aNow);
  Assignments OutstandingAssignments() const;
  void Recompute(Millis aNow);
  void RevokeGrants(Session& aSession, Millis aNow);
  void IssueGrants(Session& aSession,
                   size_t aHolderIndex,
                   size_t aHolderCount,
                   Assignments& aOutstanding,
                   Millis aNow);
  void FillReply(const Session& aSession,
                 const v1::GrantRequest& aRequest,
                 v1::GrantReply& aReply) const;
  bool MayBeInUse(const InstanceName& aInstance, Millis aNow) const;
  bool KnowsAllWorkInFlight(Millis aNow) const;
  void ProposeConfirmations(Millis aNow, std::vector<v1::Change>& aChanges);
  void ProposeMemberships(Millis aNow, std::vector<v1::Change>& aChanges);

  GrantorOptions options_;
  std::unique_ptr<ShareStrategy> shareStrategy_;
  Millis recoveryEndsAt_;
  // Grants that holders listed as held during recovery.
  std::map<InstanceName, Assignment> confirmed_;
  std::map<InstanceName, MembershipState> memberships_; // of this data centre
  std::set<InstanceName> remoteInstances_;              // of other data centres
  std::map<ServiceName, PoolName> poolByService_;
  std::map<InstanceName, ReportedInstance> reported_;
  std::map<InstanceName, Assignment> implicitAssignments_; // without membership
  std::map<SessionKey, Session> sessions_;
  uint64_t version_ = 1; // of all tables
  bool dirty_ = true;    // the tables have to be recomputed
  bool wasRecovering_ = true;
  Millis nextProposalsAt_;
};

} // namespace vanillahatch
