/* broken: WIPED_VOTES VOTE_NOT_SYNCED ENTRY_NOT_SYNCED VOTE_BY_NAME NEW_CONFIG_ALONE */
/*
 * The control log: elections, replication, crash, lost disk, replacement.
 *
 * Three replicas, terms up to TERMS, logs up to LENGTH entries, at most LOSSES
 * lost disks (each replica loses its disk once at most). Messages are not
 * queued: whatever a leader of a term has said may arrive at any later moment,
 * any number of times, in any order, or never; so loss, delay, repetition and
 * reordering are all explored. Pre-vote, check-quorum and timeouts serve
 * liveness only; here a replica may call an election at any moment. A snapshot
 * is a prefix of the log and so is covered by REPLICATE.
 *
 * Each action answers to code:
 *   Configurations   LogHistory::Latest, BeforeLatest; ControlLog::IsConfigPending
 *   QUORUM           ControlLog::HasQuorum, AgreedIndex
 *   CALL_ELECTION    ControlLog::StartElection
 *   VOTE             ControlLog::OnVoteRequest, IsUpToDate
 *   WIN              ControlLog::CountVotes, BecomeLeader
 *   PROPOSE          ControlLog::Propose, AppendOwn
 *   REPLICATE        ControlLog::OnAppend, TakeEntries, SetCommit
 *   COMMIT           ControlLog::CommitAcknowledged
 *   REPLACE          ControlLog::OnHello, MaybeReplace
 *   CRASH            ControlLog::Recover (what LogRecord keeps)
 *   LOSE_DISK        ControlLog::StartBlank
 *
 * Asserted: one leader a term; a new leader holds every entry committed in an
 * earlier term; what is committed at an index never changes.
 */
#ifndef TERMS
#if defined(WIPED_VOTES) || defined(VOTE_BY_NAME) || defined(NEW_CONFIG_ALONE)
#define TERMS 3
#else
#define TERMS 2
#endif
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#define LENGTH 2

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* An entry is term * 4 + kind; kind 0 is data, kind k+1 replaces replica k. */
#define DATA(t) ((t) * 4)
#define REPLACES(t, k) ((t) * 4 + (k) + 1)
#define TERM_OF(e) ((e) / 4)
#define KIND_OF(e) ((e) % 4)

/* Bit k is the first incarnation of replica k, bit k+3 the one after. */
#define SELF(r) (1 << ((r) + 3 * inc[r]))
#define FOUNDERS 7

/* What a vote is given to: one incarnation, never a name alone. */
#ifdef VOTE_BY_NAME
#define CANDIDACY(r) ((r) + 1)
#else
#define CANDIDACY(r) ((r) + 1 + 3 * inc[r])
#endif

#define ENTRY(r, i) log[(r) * LENGTH + (i) - 1]
#define SAID(t, i) said[(t) * LENGTH + (i) - 1]
#define ACKS(t, i) acks[(t) * LENGTH + (i) - 1]

/* What a replica keeps on disk. */
byte term[3], votedFor[3], length[3], log[3 * LENGTH], known[3];
/* What it forgets when it crashes. */
byte role[3], votes[3];
/* Incarnations, and disks lost so far. */
byte inc[3], lost;

/* Per term: its leader + 1, what the leader has said and who stored it. */
byte leaderOf[TERMS + 1], saidLength[TERMS + 1], saidCommit[TERMS + 1];
byte said[(TERMS + 1) * LENGTH], acks[(TERMS + 1) * LENGTH];

/* Observer: what was ever committed. */
byte committed[LENGTH], committedIn[LENGTH]; /* and in which term */

hidden byte i, newer, older, at;

#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + \
                  (((m) >> 3) & 1) + (((m) >> 4) & 1) + (((m) >> 5) & 1))
#ifdef NEW_CONFIG_ALONE
#define QUORUM(m) (COUNT((m) & newer) >= 2)
#else
#define QUORUM(m) (COUNT((m) & newer) >= 2 && COUNT((m) & older) >= 2)
#endif

/* The configuration of r's log in `newer`; while it is not known to be
   committed, the one before it in `older`, else the same. */
inline Configurations(r)
{
  newer = FOUNDERS; older = FOUNDERS; at = 0; i = 1;
  do
  :: i <= length[r] ->
     if
     :: KIND_OF(ENTRY(r, i)) != 0 ->
        older = newer; at = i;
        newer = (newer & ~(1 << (KIND_OF(ENTRY(r, i)) - 1))) |
                (1 << (KIND_OF(ENTRY(r, i)) + 2))
     :: else -> skip
     fi;
     i++
  :: else -> break
  od;
  if
  :: at <= known[r] -> older = newer
  :: else -> skip
  fi
}

#define LAST_TERM(r) (length[r] == 0 -> 0 : TERM_OF(ENTRY(r, length[r])))
#define UP_TO_DATE(c, r) (LAST_TERM(c) > LAST_TERM(r) || \
  (LAST_TERM(c) == LAST_TERM(r) && length[c] >= length[r]))

inline AdoptTerm(r, t)
{
  if
  :: (t) > term[r] -> term[r] = t; votedFor[r] = 0
  :: else -> skip
  fi;
  role[r] = FOLLOWER; votes[r] = 0
}

#define CALL_ELECTION(r) d_step { term[r] < TERMS -> \
  Configurations(r); \
  if \
  :: (newer & SELF(r)) != 0 -> \
     term[r]++; role[r] = CANDIDATE; votedFor[r] = CANDIDACY(r); votes[r] = SELF(r) \
  :: else -> skip \
  fi }

#define VOTE(r, c) d_step { \
  role[c] == CANDIDATE && term[c] >= term[r] && \
    !(term[c] == term[r] && role[r] == LEADER) -> \
  if \
  :: term[c] > term[r] -> AdoptTerm(r, term[c]) \
  :: else -> skip \
  fi; \
  Configurations(r); \
  if \
  :: (newer & SELF(r)) != 0 && (votedFor[r] == 0 || votedFor[r] == CANDIDACY(c)) && \
     UP_TO_DATE(c, r) -> \
     votedFor[r] = CANDIDACY(c); votes[c] = votes[c] | SELF(r) \
  :: else -> skip \
  fi }

#define WIN(c) d_step { role[c] == CANDIDATE -> \
  Configurations(c); \
  if \
  :: QUORUM(votes[c]) -> \
     assert(leaderOf[term[c]] == 0); \
     role[c] = LEADER; votes[c] = 0; leaderOf[term[c]] = c + 1; \
     saidLength[term[c]] = length[c]; i = 1; \
     do \
     :: i <= LENGTH -> \
        assert(committed[i - 1] == 0 || committedIn[i - 1] >= term[c] || \
               (i <= length[c] && ENTRY(c, i) == committed[i - 1])); \
        SAID(term[c], i) = (i <= length[c] -> ENTRY(c, i) : 0); \
        ACKS(term[c], i) = (i <= length[c] -> SELF(c) : 0); \
        i++ \
     :: else -> break \
     od \
  :: else -> skip \
  fi }

inline AppendOwn(c, e)
{
  length[c]++;
  ENTRY(c, length[c]) = e;
  saidLength[term[c]] = length[c];
  SAID(term[c], length[c]) = e;
  ACKS(term[c], length[c]) = SELF(c)
}

#define PROPOSE(c) d_step { role[c] == LEADER && length[c] < LENGTH -> \
  AppendOwn(c, DATA(term[c])) }

/* The leader of term t has sent its entry n with the one before it. */
#define REPLICATE(r, t, n) d_step { \
  leaderOf[t] != 0 && leaderOf[t] != r + 1 && t >= term[r] && \
    n <= saidLength[t] && length[r] >= n - 1 && \
    (n == 1 || ENTRY(r, (n == 1 -> 1 : n - 1)) == \
               SAID(t, (n == 1 -> 1 : n - 1))) -> \
  AdoptTerm(r, t); \
  if \
  :: length[r] >= n && ENTRY(r, n) == SAID(t, n) -> skip \
  :: else -> \
     assert(known[r] < n); \
     i = n; \
     do \
     :: i <= LENGTH -> ENTRY(r, i) = 0; i++ \
     :: else -> break \
     od; \
     ENTRY(r, n) = SAID(t, n); length[r] = n \
  fi; \
  i = 1; \
  do \
  :: i <= n -> ACKS(t, i) = ACKS(t, i) | SELF(r); i++ \
  :: else -> break \
  od; \
  if \
  :: saidCommit[t] > known[r] && known[r] < n -> \
     known[r] = (saidCommit[t] < n -> saidCommit[t] : n) \
  :: else -> skip \
  fi }

#define COMMIT(c, n) d_step { role[c] == LEADER && n <= length[c] && \
    n > known[c] && TERM_OF(ENTRY(c, n)) == term[c] -> \
  Configurations(c); \
  if \
  :: QUORUM(ACKS(term[c], n)) -> \
     known[c] = n; saidCommit[term[c]] = n; i = 1; \
     do \
     :: i <= n -> \
        assert(committed[i - 1] == 0 || committed[i - 1] == ENTRY(c, i)); \
        if \
        :: committed[i - 1] == 0 -> \
           committed[i - 1] = ENTRY(c, i); committedIn[i - 1] = term[c] \
        :: else -> skip \
        fi; \
        i++ \
     :: else -> break \
     od \
  :: else -> skip \
  fi }

/* The wiped replica k has caught up, nothing is pending, and the leader has
   committed an entry of its own term. */
#define REPLACE(c, k) d_step { role[c] == LEADER && length[c] < LENGTH && \
    inc[k] == 1 && known[c] > 0 && TERM_OF(ENTRY(c, known[c])) == term[c] && \
    (ACKS(term[c], known[c]) & SELF(k)) != 0 -> \
  Configurations(c); \
  if \
  :: (newer & SELF(k)) == 0 && newer == older -> \
     AppendOwn(c, REPLACES(term[c], k)) \
  :: else -> skip \
  fi }

#ifdef VOTE_NOT_SYNCED
#define FORGET(r) votedFor[r] = 0
#else
#ifdef ENTRY_NOT_SYNCED
#define FORGET(r) \
  if \
  :: length[r] > known[r] -> ENTRY(r, length[r]) = 0; length[r]-- \
  :: else -> skip \
  fi
#else
#define FORGET(r) skip
#endif
#endif
#define CRASH(r) d_step { true -> \
  role[r] = FOLLOWER; votes[r] = 0; FORGET(r) }

#ifdef WIPED_VOTES
#define NEW_INCARNATION(r) skip
#else
#define NEW_INCARNATION(r) inc[r] = 1
#endif
#define LOSE_DISK(r) d_step { lost < LOSSES && inc[r] == 0 -> \
  lost++; \
  term[r] = 0; votedFor[r] = 0; length[r] = 0; known[r] = 0; \
  role[r] = FOLLOWER; votes[r] = 0; i = 1; \
  do \
  :: i <= LENGTH -> ENTRY(r, i) = 0; i++ \
  :: else -> break \
  od; \
  NEW_INCARNATION(r) }

#define OF_REPLICA(r) \
  :: CALL_ELECTION(r) \
  :: WIN(r) \
  :: PROPOSE(r) \
  :: COMMIT(r, 1) \
  :: COMMIT(r, 2) \
  :: CRASH(r) \
  :: LOSE_DISK(r) \
  :: REPLICATE(r, 1, 1) \
  :: REPLICATE(r, 1, 2) \
  :: REPLICATE(r, 2, 1) \
  :: REPLICATE(r, 2, 2) \
  :: REPLICATE(r, TERMS - 1, 1) \
  :: REPLICATE(r, TERMS - 1, 2) \
  :: REPLICATE(r, TERMS, 1) \
  :: REPLICATE(r, TERMS, 2)
#define OF_PAIR(r, s) \
  :: VOTE(r, s) \
  :: REPLACE(r, s)

active proctype Cluster()
{
end:
  do
  OF_REPLICA(0)
  OF_REPLICA(1)
  OF_REPLICA(2)
  OF_PAIR(0, 1)
  OF_PAIR(0, 2)
  OF_PAIR(1, 0)
  OF_PAIR(1, 2)
  OF_PAIR(2, 0)
  OF_PAIR(2, 1)
  od
}
