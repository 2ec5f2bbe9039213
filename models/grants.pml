/* broken: MOVE_WITHOUT_EXPIRY FROZEN_HOLDER_ACTS RESTART_WITHOUT_WAIT LEASE_FROM_REPLY OLD_REPLY_TAKEN OLD_REQUEST_TAKEN EQUAL_SPANS */
/*
 * Grants on one instance and its move from one pool (epoch 1) to another
 * (epoch 2): two holders, one grantor that may restart once, messages that are
 * lost, repeated and late (a cut is a run of losses in either direction), and
 * holders that stop between any two steps (a freeze).
 *
 * Safety: whenever a holder acts under a grant, no other holder may act under
 * a grant of another epoch; and when a drain is confirmed nobody may still act
 * under the old epoch.
 *
 * Each -D switch above takes one rule away and must give a counterexample.
 *
 * What answers to what in the code:
 *   G_SPAN             Grantor::OwnSpan
 *   Request            Grantor::OnRequest (sequence, incarnation, Acknowledge,
 *                      TakeHeld, Revoke, Give)
 *   Confirm            Grantor::ProposeConfirmations, FleetConfig's check of
 *                      AssignInstance (drained, epoch + 1)
 *   Restart            Grantor's constructor (recoveredAt_)
 *   Send, Reply        GrantHolder::Tick, GrantHolder::OnReply
 *   Act                the check of Grant::expiresAt_ at dispatch (EntryCore)
 *   Tick               time: GrantHolder::LapseAt, Grantor::LapseSessions
 */

#define HOLDERS 2
#define SPAN 2          /* the lease as an exact holder counts it, in ticks */
#ifdef EQUAL_SPANS
#define G_SPAN SPAN
#else
#define G_SPAN (SPAN + 1) /* as the grantor counts it */
#endif
#ifndef REQUESTS
#define REQUESTS 1      /* under way at once */
#endif
#ifndef MAX_SEQUENCE
#define MAX_SEQUENCE 2  /* requests of one holder */
#endif

/* The control log. */
byte logEpoch = 1;
bool logDraining = false;
bool logDrained = false;

/* The grantor; what it knows of the log may be old. */
byte knownEpoch = 1;
bool knownDraining = false;
byte incarnation = 0;
byte recovering = 0;          /* ticks */
byte proven = 0;              /* epoch that a holder showed meanwhile */
byte lastSequence[HOLDERS];
byte table[HOLDERS];          /* epoch granted, 0: none */
bool revoked[HOLDERS];
byte grantorLease[HOLDERS];   /* ticks */

/* The holders. */
byte held[HOLDERS];           /* epoch, 0: none */
byte lease[HOLDERS];          /* ticks */
byte pending[HOLDERS];        /* what a reply to the last request may give */
byte sequence[HOLDERS];
bool waiting[HOLDERS];
byte seenIncarnation[HOLDERS];

/* holder, sequence, incarnation, held epoch */
chan requests = [REQUESTS] of { byte, byte, byte, byte };
/* sequence, incarnation, present, epoch */
chan replies[HOLDERS] = [1] of { byte, byte, bool, byte };

#define other(h) (1 - (h))
#ifdef MOVE_WITHOUT_EXPIRY
#define isFree(h, epoch) true
#define nothingOut true
#else
#define isFree(h, epoch) (table[other(h)] == 0 || table[other(h)] == epoch)
#define nothingOut (table[0] == 0 && table[1] == 0)
#endif
#define mayAct(h) (held[h] != 0 && lease[h] > 0)

inline Act(h)
{
  assert(!(mayAct(other(h)) && held[other(h)] != actingEpoch))
}

inline Answer(h, s, present, epoch)
{
  if
  :: nfull(replies[h]) -> replies[h]!s, incarnation, present, epoch
  :: skip /* lost */
  fi
}

inline Request(h, s, i, has)
{
  if
  :: i != incarnation ->
    Answer(h, s, true, 0)
#ifndef OLD_REQUEST_TAKEN
  :: i == incarnation && s <= lastSequence[h] ->
    skip
  :: i == incarnation && s > lastSequence[h] ->
#else
  :: i == incarnation ->
#endif
    lastSequence[h] = s;
    if
    :: has == 0 -> /* everything revoked is in force at the holder */
      table[h] = 0;
      revoked[h] = false
    :: has != 0 && table[h] == 0 -> /* of the predecessor */
      table[h] = has;
      if
      :: recovering > 0 -> proven = has; revoked[h] = false
      :: else -> revoked[h] = true
      fi
    :: else
    fi;
    grantorLease[h] = G_SPAN;
    wanted = (knownDraining -> 0 : knownEpoch);
    if
    :: recovering > 0 && proven != wanted -> wanted = 0
    :: else
    fi;
    if
    :: table[h] != 0 && table[h] != wanted -> revoked[h] = true
    :: else
    fi;
    if
    :: table[h] == 0 && wanted != 0 && isFree(h, wanted) -> table[h] = wanted; revoked[h] = false
    :: else
    fi;
    Answer(h, s, false, (revoked[h] -> 0 : table[h]))
  fi
}

/* Variables that are no longer needed would only multiply the states. */
inline Forget()
{
  h = 0; s = 0; i = 0; has = 0; wanted = 0
}

active proctype Grantor()
{
  byte h, s, i, has, wanted;
  bool restarted = false;
  do
  :: atomic { requests?h, s, i, has -> Request(h, s, i, has); Forget() }
  :: atomic { /* repeated */
      requests?<h, s, i, has> -> Request(h, s, i, has); Forget() }
  :: atomic { requests?h, s, i, has -> Forget() } /* lost */
  :: atomic { knownEpoch != logEpoch || knownDraining != logDraining ->
      knownEpoch = logEpoch;
      knownDraining = logDraining }
  :: atomic { /* Confirm */
      knownDraining && logDraining && !logDrained && recovering == 0 && knownEpoch == logEpoch && nothingOut ->
      assert(!mayAct(0) && !mayAct(1));
      logDrained = true }
  :: atomic { !restarted -> /* Restart */
      restarted = true;
      incarnation = 1;
      table[0] = 0; table[1] = 0;
      revoked[0] = false; revoked[1] = false;
      grantorLease[0] = 0; grantorLease[1] = 0;
      lastSequence[0] = 0; lastSequence[1] = 0;
      proven = 0;
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
  :: atomic { /* Send; an earlier request under way is given up */
      sequence[me] < MAX_SEQUENCE ->
      sequence[me] = sequence[me] + 1;
      waiting[me] = true;
      /* A slow clock counts the lease for up to a tick longer. */
      if
      :: pending[me] = SPAN
      :: pending[me] = SPAN + 1
      fi;
      if
      :: nfull(requests) ->
        requests!me, sequence[me], seenIncarnation[me], held[me]
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
        :: present -> seenIncarnation[me] = i
        :: else ->
          held[me] = epoch;
#ifdef LEASE_FROM_REPLY
          lease[me] = (epoch != 0 -> SPAN + 1 : 0);
#else
          lease[me] = (epoch != 0 -> pending[me] : 0);
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
      skip }; /* anything may happen between the check and the act */
    atomic {
#endif
      Act(me);
      actingEpoch = 0 }
  od
}

/* The operators' side: one drain, perhaps taken back, and one move. */
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

/* Time passes for all at once. */
inline Pass(h)
{
  lease[h] = (lease[h] > 0 -> lease[h] - 1 : 0);
  pending[h] = (pending[h] > 0 -> pending[h] - 1 : 0);
  if
  :: lease[h] == 0 -> held[h] = 0
  :: else
  fi
}

inline PassAtGrantor(h)
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
      Pass(0);
      Pass(1);
      PassAtGrantor(0);
      PassAtGrantor(1);
      recovering = (recovering > 0 -> recovering - 1 : 0);
      proven = (recovering > 0 -> proven : 0) }
  od
}

init { atomic { run Holder(0); run Holder(1) } }
