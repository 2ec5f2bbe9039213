/* broken: MOVE_WITHOUT_EXPIRY FROZEN_HOLDER_ACTS RESTART_WITHOUT_WAIT LEASE_FROM_REPLY OLD_REPLY_TAKEN OLD_REQUEST_TAKEN EQUAL_SPANS */
/*
 * Grants on one instance and its move from one pool (epoch 1) to another
 * (epoch 2): two holders, one grantor that may restart once, messages that are
 * lost, repeated and late (a partition is a run of losses in either direction),
 * and holders that stop between any two steps (a suspended process).
 *
 * Safety: whenever a holder acts under a grant, no other holder may act under
 * a grant of another epoch; and when a drain is confirmed nobody may still act
 * under the old epoch.
 *
 * Each -D switch above removes one rule and must give a counterexample.
 *
 * Counterparts in the code:
 *   G_SPAN             Grantor::GrantorLeaseDuration
 *   Request            Grantor::OnRequest (sequence, incarnation, Acknowledge,
 *                      RecordHeldGrants, RevokeGrants, IssueGrants)
 *   Confirm            Grantor::ProposeConfirmations, FleetConfig's check of
 *                      AssignInstance (drained, epoch + 1)
 *   Restart            Grantor's constructor (recoveryEndsAt_)
 *   Send, Reply        GrantHolder::Tick, GrantHolder::OnReply
 *   Act                the check of Dispatch::sendBy_ (HttpClient::Exchange)
 *   Tick               time: GrantHolder::ExpireTable, Grantor::ExpireSessions
 */

#define HOLDERS 2
#define SPAN 2          /* lease in ticks, counted by a holder with an exact clock */
#ifdef EQUAL_SPANS
#define G_SPAN SPAN
#else
#define G_SPAN (SPAN + 1) /* counted by the grantor */
#endif
#ifndef REQUESTS
#define REQUESTS 1      /* in flight at once */
#endif
#ifndef MAX_SEQUENCE
#define MAX_SEQUENCE 2  /* requests of one holder */
#endif

/* The control log. */
byte logEpoch = 1;
bool logDraining = false;
bool logDrained = false;

/* The grantor; its view of the log may be stale. */
byte knownEpoch = 1;
bool knownDraining = false;
byte incarnation = 0;
byte recovering = 0;          /* ticks until recovery ends */
byte confirmed = 0;           /* epoch that a holder listed in recovery */
byte lastSequence[HOLDERS];
byte table[HOLDERS];          /* epoch granted, 0: none */
bool revoked[HOLDERS];
byte grantorLease[HOLDERS];   /* ticks */

/* The holders. */
byte held[HOLDERS];           /* epoch, 0: none */
byte lease[HOLDERS];          /* ticks */
byte pendingLease[HOLDERS];   /* granted by a reply to the last request, ticks */
byte sequence[HOLDERS];
bool waiting[HOLDERS];
byte knownIncarnation[HOLDERS];

/* holder, sequence, incarnation, held epoch */
chan requests = [REQUESTS] of { byte, byte, byte, byte };
/* sequence, incarnation, present, epoch */
chan replies[HOLDERS] = [1] of { byte, byte, bool, byte };

#define other(h) (1 - (h))
#ifdef MOVE_WITHOUT_EXPIRY
#define noOtherEpoch(h, epoch) true
#define noneOutstanding true
#else
#define noOtherEpoch(h, epoch) (table[other(h)] == 0 || table[other(h)] == epoch)
#define noneOutstanding (table[0] == 0 && table[1] == 0)
#endif
#define mayAct(h) (held[h] != 0 && lease[h] > 0)

inline Act(h)
{
  assert(!(mayAct(other(h)) && held[other(h)] != actingEpoch))
}

inline Reply(h, s, present, epoch)
{
  if
  :: nfull(replies[h]) -> replies[h]!s, incarnation, present, epoch
  :: skip /* lost */
  fi
}

inline Request(h, s, i, heldEpoch)
{
  if
  :: i != incarnation ->
    Reply(h, s, true, 0)
#ifndef OLD_REQUEST_TAKEN
  :: i == incarnation && s <= lastSequence[h] ->
    skip
  :: i == incarnation && s > lastSequence[h] ->
#else
  :: i == incarnation ->
#endif
    lastSequence[h] = s;
    if
    :: heldEpoch == 0 -> /* the holder has applied every revocation */
      table[h] = 0;
      revoked[h] = false
    :: heldEpoch != 0 && table[h] == 0 -> /* of the predecessor */
      table[h] = heldEpoch;
      if
      :: recovering > 0 -> confirmed = heldEpoch; revoked[h] = false
      :: else -> revoked[h] = true
      fi
    :: else
    fi;
    grantorLease[h] = G_SPAN;
    target = (knownDraining -> 0 : knownEpoch);
    if
    :: recovering > 0 && confirmed != target -> target = 0
    :: else
    fi;
    if
    :: table[h] != 0 && table[h] != target -> revoked[h] = true
    :: else
    fi;
    if
    :: table[h] == 0 && target != 0 && noOtherEpoch(h, target) -> table[h] = target; revoked[h] = false
    :: else
    fi;
    Reply(h, s, false, (revoked[h] -> 0 : table[h]))
  fi
}

/* Values that are no longer used would only multiply the states. */
inline ClearLocals()
{
  h = 0; s = 0; i = 0; heldEpoch = 0; target = 0
}

active proctype Grantor()
{
  byte h, s, i, heldEpoch, target;
  bool restarted = false;
  do
  :: atomic { requests?h, s, i, heldEpoch -> Request(h, s, i, heldEpoch); ClearLocals() }
  :: atomic { /* repeated */
      requests?<h, s, i, heldEpoch> -> Request(h, s, i, heldEpoch); ClearLocals() }
  :: atomic { requests?h, s, i, heldEpoch -> ClearLocals() } /* lost */
  :: atomic { knownEpoch != logEpoch || knownDraining != logDraining ->
      knownEpoch = logEpoch;
      knownDraining = logDraining }
  :: atomic { /* Confirm */
      knownDraining && logDraining && !logDrained && recovering == 0 && knownEpoch == logEpoch && noneOutstanding ->
      assert(!mayAct(0) && !mayAct(1));
      logDrained = true }
  :: atomic { !restarted -> /* Restart */
      restarted = true;
      incarnation = 1;
      table[0] = 0; table[1] = 0;
      revoked[0] = false; revoked[1] = false;
      grantorLease[0] = 0; grantorLease[1] = 0;
      lastSequence[0] = 0; lastSequence[1] = 0;
      confirmed = 0;
#ifndef RESTART_WITHOUT_WAIT
      recovering = G_SPAN
#endif
    }
  od
}

proctype Holder(byte me)
{
  byte s, i, epoch, actingEpoch;
  bool present;
  do
  :: atomic { /* Send; an earlier request in flight is abandoned */
      sequence[me] < MAX_SEQUENCE ->
      sequence[me] = sequence[me] + 1;
      waiting[me] = true;
      /* A slow clock counts the lease up to a tick longer. */
      if
      :: pendingLease[me] = SPAN
      :: pendingLease[me] = SPAN + 1
      fi;
      if
      :: nfull(requests) ->
        requests!me, sequence[me], knownIncarnation[me], held[me]
      :: skip /* lost */
      fi }
  :: atomic { replies[me]?s, i, present, epoch -> /* Reply */
      if
#ifndef OLD_REPLY_TAKEN
      :: waiting[me] && s == sequence[me] ->
#else
      :: waiting[me] ->
#endif
        waiting[me] = false;
        if
        :: present -> knownIncarnation[me] = i
        :: else ->
          held[me] = epoch;
#ifdef LEASE_FROM_REPLY
          lease[me] = (epoch != 0 -> SPAN + 1 : 0);
#else
          lease[me] = (epoch != 0 -> pendingLease[me] : 0);
#endif
          if
          :: lease[me] == 0 -> held[me] = 0
          :: else
          fi
        fi
      :: else
      fi;
      s = 0; i = 0; epoch = 0; present = false }
  :: atomic { mayAct(me) ->
      actingEpoch = held[me];
#ifdef FROZEN_HOLDER_ACTS
      skip }; /* any step may happen between the check and the act */
    atomic {
#endif
      Act(me);
      actingEpoch = 0 }
  od
}

/* The operators: one drain, perhaps undone, and one move. */
active proctype Operator()
{
  bool undone = false;
  do
  :: atomic { logEpoch == 1 && !logDraining -> logDraining = true }
  :: atomic { logDraining && !undone ->
      undone = true; logDraining = false; logDrained = false }
  :: atomic { logDrained && logDraining ->
      logEpoch = 2; logDraining = false; logDrained = false }
  od
}

/* Time advances for all processes at once. */
inline AdvanceHolder(h)
{
  lease[h] = (lease[h] > 0 -> lease[h] - 1 : 0);
  pendingLease[h] = (pendingLease[h] > 0 -> pendingLease[h] - 1 : 0);
  if
  :: lease[h] == 0 -> held[h] = 0
  :: else
  fi
}

inline AdvanceGrantor(h)
{
  if
  :: grantorLease[h] > 0 ->
    grantorLease[h] = grantorLease[h] - 1;
    if
    :: grantorLease[h] == 0 -> table[h] = 0; revoked[h] = false
    :: else
    fi
  :: else
  fi
}

active proctype Tick()
{
  do
  :: atomic {
      AdvanceHolder(0);
      AdvanceHolder(1);
      AdvanceGrantor(0);
      AdvanceGrantor(1);
      recovering = (recovering > 0 -> recovering - 1 : 0);
      confirmed = (recovering > 0 -> confirmed : 0) }
  od
}

init { atomic { run Holder(0); run Holder(1) } }
