/* broken: DISPATCH_BEFORE_DURABLE WIPED_REPLICA_ANSWERS ABANDON_AFTER_DISPATCH OLD_VOTES_COUNT */
/*
 * One key of the ledger: three replicas, two claimants of which A may abandon
 * its claim, a claimant that is killed, and one replica that loses its disk and
 * rejoins under a new identity. A request that was sent may reach a replica at
 * any later time or never, which covers loss, delay and reordering; a reply may
 * be lost. Checked: at most one dispatch of the job.
 *
 * Model                        Code
 * Claimant: votes              ClaimRegister::Vote
 * Claimant: choice of v        ClaimQuorum::Candidate,
 *                              ClaimProposer::ChooseProposal
 * VALID                        ClaimProposer::HasValidReply, GrantedStates
 * LostDisk                     ClaimRegister::Copy, ClaimCatchUp
 */
#define N 3
#define NONE 0
#define HELD_A 1
#define HELD_B 2
#define ABANDONED_A 3

/* Ballots: 0 fast; 1 A claims; 3 A abandons; B claims with 2 or with 4. */
#define BALLOTS 5

byte promised[N];
byte acceptedBallot[N];
byte value[N];
bool knowsNewIdentity[N]; /* has received replica 0's new identity */
bool member0 = true;      /* replica 0 votes */
byte identity0 = 0;        /* of replica 0: 0 old, 1 new */

byte proposal[BALLOTS]; /* value sent with accept; 0 is not sent yet */
bool fastA = false, fastB = false; /* sent in the fast ballot */

byte dispatches = 0;

/* The votes that a claimant has received: a bit per replica; the identity of
 * replica 0 under which it voted; whether a vote reported the new identity. */
#define ALL 7
#define BIT(i) (1 << (i))

inline AddVote(i, votes, voteId0, newKnown) {
  votes = votes | BIT(i);
  if
  :: i == 0 -> voteId0 = identity0
  :: else -> newKnown = newKnown || knowsNewIdentity[i]
  fi
}

#ifdef OLD_VOTES_COUNT
#define VALID(votes, voteId0, newKnown) (votes)
#else
#define VALID(votes, voteId0, newKnown) \
  (((votes) & 1) && (voteId0) == 0 && (newKnown) -> ((votes) & 6) : (votes))
#endif
#define MAJORITY(s) ((s) == 3 || (s) == 5 || (s) == 6 || (s) == 7)

#define CAN_VOTE(i) ((i) != 0 || member0)

/* A claimant: the fast ballot, then ballots with a prepare and an accept. */
proctype Claimant(bool isA) {
  byte ownValue = (isA -> HELD_A : HELD_B);
  byte ballot, votes, voteId0, highestBallot, highestValue;
  byte fastVotesA, fastVotesB, v, i;  /* v: value to propose */
  bool newKnown, granted;
  byte stage;  /* 0 fast, 1 first ballot, 2 A: abandon */

  /* ---- fast ballot ---- */
  votes = 0; voteId0 = 0; newKnown = false;
  if :: isA -> fastA = true :: else -> fastB = true fi;
#ifdef DISPATCH_BEFORE_DURABLE
  if :: isA -> granted = true; goto Dispatch :: else fi;
#endif
  do
  :: atomic { votes != ALL ->
       if :: !(votes & 1) && CAN_VOTE(0) -> i = 0
          :: !(votes & 2) -> i = 1
          :: !(votes & 4) -> i = 2
          :: else -> break
       fi;
       if
       :: promised[i] == 0 &&
          (value[i] == NONE ||
           (value[i] == ownValue && acceptedBallot[i] == 0)) ->
            value[i] = ownValue; acceptedBallot[i] = 0;
            AddVote(i, votes, voteId0, newKnown)
       :: else -> break
       fi; i = 0 }
  :: atomic { VALID(votes, voteId0, newKnown) == ALL -> granted = true; break }
  :: break
  od;
  atomic { i = 0; if :: granted -> votes = 0; voteId0 = 0; newKnown = 0;
                        goto Dispatch
                     :: else fi }

  /* ---- ballots with two phases ---- */
Round:
  atomic { stage++;
    if :: isA && stage == 1 -> ballot = 1
       :: isA && stage == 2 -> ballot = 3
       :: !isA && stage == 1 -> if :: ballot = 2 :: ballot = 4 fi
       :: else -> goto End
    fi }
  atomic { votes = 0; voteId0 = 0; newKnown = false; highestBallot = 0;
           highestValue = NONE; fastVotesA = 0; fastVotesB = 0 }
  do
  :: atomic { !MAJORITY(VALID(votes, voteId0, newKnown)) ->
       if :: !(votes & 1) && CAN_VOTE(0) -> i = 0
          :: !(votes & 2) -> i = 1
          :: !(votes & 4) -> i = 2
          :: else -> goto Round
       fi;
       if
       :: promised[i] < ballot ->
            promised[i] = ballot;
            AddVote(i, votes, voteId0, newKnown);
            if
            :: value[i] != NONE && acceptedBallot[i] == 0 ->
                 fastVotesA = fastVotesA + (value[i] == HELD_A -> 1 : 0);
                 fastVotesB = fastVotesB + (value[i] == HELD_B -> 1 : 0)
            :: value[i] != NONE && acceptedBallot[i] > highestBallot ->
                 highestBallot = acceptedBallot[i]; highestValue = value[i]
            :: else
            fi
       :: else -> goto Round
       fi; i = 0 }
  :: atomic { MAJORITY(VALID(votes, voteId0, newKnown)) -> break }
  :: goto Round /* timeout; for a kill see End */
  od;
  /* Two replicas have voted: a value that both hold may be decided. */
  atomic {
    if
    :: highestBallot == 0 && fastVotesA >= 2 -> highestValue = HELD_A
    :: highestBallot == 0 && fastVotesB >= 2 -> highestValue = HELD_B
    :: else
    fi;
    if
    :: isA && ballot == 1 && (highestValue == NONE) -> v = HELD_A
    :: isA && ballot == 3 &&
       (highestValue == NONE || highestValue == HELD_A) -> v = ABANDONED_A
    :: !isA && (highestValue == NONE || highestValue == ABANDONED_A) ->
         v = HELD_B
    :: else -> v = highestValue
    fi;
    proposal[ballot] = v;
    votes = 0; voteId0 = 0; newKnown = false; fastVotesA = 0;
    fastVotesB = 0; highestBallot = 0; highestValue = NONE
  }
  do
  :: atomic { !MAJORITY(VALID(votes, voteId0, newKnown)) ->
       if :: !(votes & 1) && CAN_VOTE(0) -> i = 0
          :: !(votes & 2) -> i = 1
          :: !(votes & 4) -> i = 2
          :: else -> goto Round
       fi;
       if
       :: promised[i] <= ballot ->
            promised[i] = ballot; acceptedBallot[i] = ballot; value[i] = v;
            AddVote(i, votes, voteId0, newKnown)
       :: else -> goto Round
       fi; i = 0 }
  :: atomic { MAJORITY(VALID(votes, voteId0, newKnown)) -> break }
  :: goto Round
  od;
  atomic { votes = 0; voteId0 = 0; newKnown = false;
    if
    :: v == ownValue && ballot != 3 -> v = 0; goto Dispatch
    :: isA && ballot == 3 -> goto End
    :: else -> v = 0; goto Round
    fi }

Dispatch:
  if
  :: atomic { dispatches++;
       assert(dispatches <= 1) }  /* at most one dispatch */
#ifdef ABANDON_AFTER_DISPATCH
     ; if :: atomic { isA && stage < 2 -> stage = 1; goto Round }
          :: goto End fi
#endif
  :: atomic { isA && stage < 2 -> stage = 1; goto Round } /* abandons */
  :: goto End /* killed before the dispatch */
  fi;
End:
  /* Ended claimants have equal variables, which saves states. */
  atomic { stage = 0; ballot = 0; v = 0; granted = false; votes = 0;
           voteId0 = 0; newKnown = false; highestBallot = 0; highestValue = 0;
           fastVotesA = 0; fastVotesB = 0 }
}

#define DELIVER(i, b) \
  atomic { CAN_VOTE(i) && proposal[b] != NONE && promised[i] <= b && \
           acceptedBallot[i] < b -> \
           promised[i] = b; acceptedBallot[i] = b; value[i] = proposal[b] }
#define DELIVER_FAST(i, sent, vote) \
  atomic { CAN_VOTE(i) && sent && promised[i] == 0 && value[i] == NONE -> \
           value[i] = vote }

/* Delivers requests late, also after their claimant has ended. */
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

/* Replica 0 loses its disk once and rejoins. */
active proctype LostDisk() {
  byte p, b, v, p2, b2, v2;
endBefore:
  atomic { true -> member0 = false; promised[0] = 0; acceptedBallot[0] = 0;
           value[0] = NONE }
#ifdef WIPED_REPLICA_ANSWERS
  member0 = true;
  goto Done;
#endif
  /* Both others void the old identity and send their state. */
  atomic { knowsNewIdentity[1] = true; p = promised[1]; b = acceptedBallot[1];
           v = value[1] }
  atomic {
    knowsNewIdentity[2] = true; p2 = promised[2]; b2 = acceptedBallot[2];
    v2 = value[2];
    if
    :: b2 > b -> b = b2; v = v2
    /* Two differing votes of the fast ballot decide nothing. */
    :: b == 0 && b2 == 0 && v != v2 -> v = NONE
    :: else
    fi;
    identity0 = 1; member0 = true;
    promised[0] = (p2 > p -> p2 : p); acceptedBallot[0] = b; value[0] = v;
    p = 0; b = 0; v = 0; p2 = 0; b2 = 0; v2 = 0
  }
Done:
  skip
}

init { atomic { run Claimant(true); run Claimant(false) } }
