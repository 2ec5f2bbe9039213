/* broken: DISPATCH_BEFORE_DURABLE WIPED_REPLICA_ANSWERS ABANDON_AFTER_DISPATCH OLD_VOTES_COUNT */
/*
 * One key of the ledger: three replicas, two claimants with an abandon and a
 * new claim, kill of a claimant, and one replica that loses its disk and comes
 * back under a new identity. Requests are kept once sent and may reach a
 * replica at any later time or never, so that loss, delay and reordering are
 * all covered; a reply may be lost.
 *
 * Model                 Code
 * Fast/Prepare/Accept   ClaimRegister::Vote
 * Choose                ClaimQuorum::Candidate, ClaimProposer::Successor
 * Count                 ClaimProposer::IsValid and Granted
 * Join, Copy            ClaimRegister::Copy, ClaimCatchUp
 */
#define N 3
#define NONE 0
#define HELD_A 1
#define HELD_B 2
#define GONE 3  /* abandoned by A */

/* Ballots: 0 fast; 1 A claims; 3 A abandons; B claims with 2 or with 4. */
#define BALLOTS 5

byte promised[N];
byte acceptedBallot[N];
byte value[N];
bool knowsNew[N];     /* has heard of replica 0's new identity */
bool member0 = true;  /* replica 0 votes */
byte identity0 = 0;

byte proposal[BALLOTS]; /* value sent with accept; 0 is not sent yet */
bool fastA = false, fastB = false; /* sent on the fast ballot */

byte dispatches = 0;

/* Replies that a proposer has: bit per replica; the identity of replica 0
 * under which its vote was given; whether a vote knew of the new identity. */
#define ALL 7
#define BIT(i) (1 << (i))

inline Tell(i, seen, id0, knew) {
  seen = seen | BIT(i);
  if
  :: i == 0 -> id0 = identity0
  :: else -> knew = knew || knowsNew[i]
  fi
}

#ifdef OLD_VOTES_COUNT
#define VALID(seen, id0, knew) (seen)
#else
#define VALID(seen, id0, knew) \
  (((seen) & 1) && (id0) == 0 && (knew) -> ((seen) & 6) : (seen))
#endif
#define MAJORITY(s) ((s) == 3 || (s) == 5 || (s) == 6 || (s) == 7)

#define ALIVE(i) ((i) != 0 || member0)

/* One claimant: `fastVote` is its value. */
proctype Claimant(bool isA) {
  byte mine = (isA -> HELD_A : HELD_B);
  byte ballot, seen, id0, best, bestValue, fastAs, fastBs, v, i;
  bool knew, granted;
  byte stage;  /* 0 fast, 1 first ballot, 2 A: abandon */

  /* ---- fast ballot ---- */
  seen = 0; id0 = 0; knew = false;
  if :: isA -> fastA = true :: else -> fastB = true fi;
#ifdef DISPATCH_BEFORE_DURABLE
  if :: isA -> granted = true; goto Dispatch :: else fi;
#endif
  do
  :: atomic { seen != ALL ->
       if :: !(seen & 1) && ALIVE(0) -> i = 0
          :: !(seen & 2) -> i = 1
          :: !(seen & 4) -> i = 2
          :: else -> break
       fi;
       if
       :: promised[i] == 0 &&
          (value[i] == NONE || (value[i] == mine && acceptedBallot[i] == 0)) ->
            value[i] = mine; acceptedBallot[i] = 0;
            Tell(i, seen, id0, knew)
       :: else -> break
       fi; i = 0 }
  :: atomic { VALID(seen, id0, knew) == ALL -> granted = true; break }
  :: break
  od;
  atomic { i = 0; if :: granted -> seen = 0; id0 = 0; knew = 0; goto Dispatch
                     :: else fi }

  /* ---- ballots with two phases ---- */
Round:
  atomic { stage++;
    if :: isA && stage == 1 -> ballot = 1
       :: isA && stage == 2 -> ballot = 3
       :: !isA && stage == 1 -> if :: ballot = 2 :: ballot = 4 fi
       :: else -> goto End
    fi }
  atomic { seen = 0; id0 = 0; knew = false; best = 0; bestValue = NONE;
           fastAs = 0; fastBs = 0 }
  do
  :: atomic { !MAJORITY(VALID(seen, id0, knew)) ->
       if :: !(seen & 1) && ALIVE(0) -> i = 0
          :: !(seen & 2) -> i = 1
          :: !(seen & 4) -> i = 2
          :: else -> goto Round
       fi;
       if
       :: promised[i] < ballot ->
            promised[i] = ballot;
            Tell(i, seen, id0, knew);
            if
            :: value[i] != NONE && acceptedBallot[i] == 0 ->
                 fastAs = fastAs + (value[i] == HELD_A -> 1 : 0);
                 fastBs = fastBs + (value[i] == HELD_B -> 1 : 0)
            :: value[i] != NONE && acceptedBallot[i] > best ->
                 best = acceptedBallot[i]; bestValue = value[i]
            :: else
            fi
       :: else -> goto Round
       fi; i = 0 }
  :: atomic { MAJORITY(VALID(seen, id0, knew)) -> break }
  :: goto Round /* given up, or killed: see End */
  od;
  /* A majority of two was heard: a value voted by both may be decided. */
  atomic {
    if
    :: best == 0 && fastAs >= 2 -> bestValue = HELD_A
    :: best == 0 && fastBs >= 2 -> bestValue = HELD_B
    :: else
    fi;
    if
    :: isA && ballot == 1 && (bestValue == NONE) -> v = HELD_A
    :: isA && ballot == 3 && (bestValue == NONE || bestValue == HELD_A) ->
         v = GONE
    :: !isA && (bestValue == NONE || bestValue == GONE) -> v = HELD_B
    :: else -> v = bestValue
    fi;
    proposal[ballot] = v;
    seen = 0; id0 = 0; knew = false; fastAs = 0; fastBs = 0;
    best = 0; bestValue = NONE
  }
  do
  :: atomic { !MAJORITY(VALID(seen, id0, knew)) ->
       if :: !(seen & 1) && ALIVE(0) -> i = 0
          :: !(seen & 2) -> i = 1
          :: !(seen & 4) -> i = 2
          :: else -> goto Round
       fi;
       if
       :: promised[i] <= ballot ->
            promised[i] = ballot; acceptedBallot[i] = ballot; value[i] = v;
            Tell(i, seen, id0, knew)
       :: else -> goto Round
       fi; i = 0 }
  :: atomic { MAJORITY(VALID(seen, id0, knew)) -> break }
  :: goto Round
  od;
  atomic { seen = 0; id0 = 0; knew = false;
    if
    :: v == mine && ballot != 3 -> v = 0; goto Dispatch
    :: isA && ballot == 3 -> goto End
    :: else -> v = 0; goto Round
    fi }

Dispatch:
  if
  :: atomic { dispatches++;
       assert(dispatches <= 1) }  /* the promise: at most one dispatch */
#ifdef ABANDON_AFTER_DISPATCH
     ; if :: atomic { isA && stage < 2 -> stage = 1; goto Round }
          :: goto End fi
#endif
  :: atomic { isA && stage < 2 -> stage = 1; goto Round } /* gives it up */
  :: goto End /* killed before it dispatched */
  fi;
End:
  atomic { stage = 0; ballot = 0; v = 0; granted = false; seen = 0; id0 = 0;
           knew = false; best = 0; bestValue = 0; fastAs = 0; fastBs = 0 }
}

#define DELIVER(i, b) \
  atomic { ALIVE(i) && proposal[b] != NONE && promised[i] <= b && \
           acceptedBallot[i] < b -> \
           promised[i] = b; acceptedBallot[i] = b; value[i] = proposal[b] }
#define DELIVER_FAST(i, sent, vote) \
  atomic { ALIVE(i) && sent && promised[i] == 0 && value[i] == NONE -> \
           value[i] = vote }

/* Requests that were sent reach replicas late, after the claimant is gone. */
active proctype Network() {
end:
  do
  :: DELIVER(0, 1)
  :: DELIVER(1, 1)
  :: DELIVER(2, 1)
  :: DELIVER(0, 2)
  :: DELIVER(1, 2)
  :: DELIVER(2, 2)
  :: DELIVER(0, 3)
  :: DELIVER(1, 3)
  :: DELIVER(2, 3)
  :: DELIVER(0, 4)
  :: DELIVER(1, 4)
  :: DELIVER(2, 4)
  :: DELIVER_FAST(0, fastA, HELD_A)
  :: DELIVER_FAST(0, fastB, HELD_B)
  :: DELIVER_FAST(1, fastA, HELD_A)
  :: DELIVER_FAST(1, fastB, HELD_B)
  :: DELIVER_FAST(2, fastA, HELD_A)
  :: DELIVER_FAST(2, fastB, HELD_B)
  od
}

/* Replica 0 loses its disk once and comes back. */
active proctype LostDisk() {
  byte p, b, v, p2, b2, v2;
endBefore:
  atomic { true -> member0 = false; promised[0] = 0; acceptedBallot[0] = 0;
           value[0] = NONE }
#ifdef WIPED_REPLICA_ANSWERS
  member0 = true;
  goto Never;
#endif
  /* Both others void the old identity and give their state. */
  atomic { knowsNew[1] = true; p = promised[1]; b = acceptedBallot[1];
           v = value[1] }
  atomic {
    knowsNew[2] = true; p2 = promised[2]; b2 = acceptedBallot[2];
    v2 = value[2];
    if
    :: b2 > b -> b = b2; v = v2
    :: b == 0 && b2 == 0 && v != v2 -> v = NONE /* lone fast votes */
    :: else
    fi;
    identity0 = 1; member0 = true;
    promised[0] = (p2 > p -> p2 : p); acceptedBallot[0] = b; value[0] = v;
    p = 0; b = 0; v = 0; p2 = 0; b2 = 0; v2 = 0
  }
Never:
  skip
}

init { atomic { run Claimant(true); run Claimant(false) } }
