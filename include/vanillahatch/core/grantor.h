// Gives entries leases on the instances of one data centre, so that an
// instance is used for exactly one pool at any moment.
//
// Each holder has a session with a table of grants and one lease on all of
// it; every request renews the lease, so that an idle session costs one small
// message a period however many instances it covers. Rules:
//
// - A grant of (pool, epoch) is given only while no other holder may still
//   hold a grant of another (pool, epoch) on the instance: every such grant
//   was revoked and the revocation acknowledged, or its lease has run out.
// - The holder counts its lease from before it asked, the grantor from after
//   it answered and longer by `kClockRateBound`. Clocks need not agree.
// - A restarted grantor has forgotten its tables. Until the longest lease of
//   its predecessor has run out it gives only what a holder proves that it
//   still holds. Requests made to the predecessor are refused.
// - The drain of an instance is confirmed when no grant on it is outstanding
//   and no holder has work in flight on it. For a holder that fell silent the
//   grantor waits `unreleasedGrace_` after its lease.
//
// An instance without membership stands in the implicit pool named like its
// service, with epoch 0. Once a pool's contract names the service the grantor
// proposes the first membership, a few instances at a time.
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
  std::string incarnation_; // new with each start
  Millis lease_ = Seconds(2);
  Millis unreleasedGrace_ = Seconds(30);
  // All entries of the deployment; when each has a session with a restarted
  // grantor, none can have work in flight that it does not know of.
  std::set<NodeName> holders_;
};

// What an instance is used for.
struct Assignment
{
  PoolName pool_;
  uint64_t epoch_ = 0;

  friend auto operator<=>(const Assignment&, const Assignment&) = default;
};

class Grantor
{
public:
  // Two clocks may differ in rate by one part in this many.
  static constexpr int64_t kClockRateBound = 100;

  // How long the grantor must take a lease of `aLease` for live.
  static constexpr Millis OwnSpan(Millis aLease)
  {
    return aLease + aLease / kClockRateBound + Millis(1);
  }

  Grantor(GrantorOptions aOptions,
          std::unique_ptr<ShareStrategy> aShares,
          Millis aNow);

  void OnState(const v1::FleetState& aState);
  v1::GrantReply OnRequest(const v1::GrantRequest& aRequest, Millis aNow);
  // Lets time pass. Returns the changes to be proposed, with ids of their own
  // that make repeated proposals harmless; author and time are the shell's.
  std::vector<v1::Change> OnTick(Millis aNow);

  size_t LiveSessions() const;
  size_t OutstandingGrants() const;

private:
  struct Member
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

  struct Seen
  {
    ServiceName service_;
    GrantShare whole_;
    std::set<SessionKey> by_;
  };

  struct Given
  {
    Assignment assignment_;
    GrantShare share_;
    uint64_t changedAt_ = 0; // version of the table
    bool revoked_ = false;   // not yet acknowledged
  };

  struct Session
  {
    uint64_t sequence_ = 0;
    Millis leaseUntil_;
    bool lapsed_ = false;
    std::map<InstanceName, Given> table_;
    std::set<InstanceName> busy_;       // revoked, with work in flight
    std::set<InstanceName> unreleased_; // held when the lease ran out
  };

  using Assignments = std::map<InstanceName, std::set<Assignment>>;

  bool IsRecovering(Millis aNow) const { return aNow < recoveredAt_; }
  void TakeHeld(Session& aSession,
                const v1::GrantRequest& aRequest,
                Millis aNow);
  void TakeSeen(const SessionKey& aKey, const v1::GrantRequest& aRequest);
  void Acknowledge(Session& aSession, uint64_t aVersion);
  void LapseSessions(Millis aNow);
  void ForgetSession(const SessionKey& aKey);
  // The assignment that may be granted now, or none.
  const Assignment* Wanted(const InstanceName& aInstance, Millis aNow);
  Assignments LiveAssignments() const;
  void Recompute(Millis aNow);
  void Revoke(Session& aSession, Millis aNow);
  void Give(Session& aSession,
            size_t aIndex,
            size_t aHolders,
            Assignments& aLive,
            Millis aNow);
  void FillReply(const Session& aSession,
                 const v1::GrantRequest& aRequest,
                 v1::GrantReply& aReply) const;
  bool MayBeBusy(const InstanceName& aInstance, Millis aNow) const;
  bool HoldersKnown(Millis aNow) const;
  void ProposeConfirmations(Millis aNow, std::vector<v1::Change>& aChanges);
  void ProposeMemberships(Millis aNow, std::vector<v1::Change>& aChanges);

  GrantorOptions options_;
  std::unique_ptr<ShareStrategy> shares_;
  Millis recoveredAt_;
  std::map<InstanceName, Assignment> proven_; // while recovering
  std::map<InstanceName, Member> members_;    // of this data centre
  std::set<InstanceName> foreign_;            // of other data centres
  std::map<ServiceName, PoolName> poolByService_;
  std::map<InstanceName, Seen> seen_;
  std::map<InstanceName, Assignment> implicit_; // for those without membership
  std::map<SessionKey, Session> sessions_;
  uint64_t version_ = 1;
  bool dirty_ = true;
  bool wasRecovering_ = true;
  Millis nextProposals_;
};

} // namespace vanillahatch
