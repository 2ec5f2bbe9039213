/* broken: WIPED_VOTES VOTE_NOT_SYNCED ENTRY_NOT_SYNCED VOTE_BY_NAME NEW_CONFIG_ALONE */
/*
 * Safety of the control log: elections, replication, crash, lost disk and
 * replacement of replicas.
 *
 * Three replicas, terms up to TERMS, logs up to LENGTH entries, at most LOSSES
 * lost disks (each replica loses its disk once at most). Messages are not
 * queued: whatever a leader of a term has sent may arrive at any later time,
 * any number of times, in any order, or never; so loss, delay, duplication and
 * reordering are all explored. Pre-vote, check-quorum and timeouts serve
 * liveness only; here a replica may start an election at any time. A snapshot
 * is a prefix of the log and so is covered by REPLICATE.
 *
 * Each action models this code:
 *   Configurations   LogHistory::Latest, BeforeLatest; ControlLog::IsConfigPending
 *   QUORUM           ControlLog::HasQuorum, MajorityMatchIndex
 *   START_ELECTION   ControlLog::StartElection
 *   VOTE             ControlLog::OnVoteRequest, IsUpToDate
 *   WIN              ControlLog::CountVotes, BecomeLeader
 *   PROPOSE          ControlLog::Propose, AppendAsLeader
 *   REPLICATE        ControlLog::OnAppend, AppendEntries, SetCommit
 *   COMMIT           ControlLog::AdvanceCommitIndex
 *   REPLACE          ControlLog::OnHello, MaybeAddLearner
 *   CRASH            ControlLog::Recover (the state in LogRecord)
 *   LOSE_DISK        ControlLog::StartBlank
 *
 * Asserted: at most one leader per term; a new leader holds every entry
 * committed in an earlier term; the entry committed at an index never changes.
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
#define REPLACEMENT(t, k) ((t) * 4 + (k) + 1)
#define TERM_OF(e) ((e) / 4)
#define KIND_OF(e) ((e) % 4)

/* Members as a bit set: bit k is the first incarnation of replica k, bit k+3
   its second one. */
#define SELF(r) (1 << ((r) + 3 * incarnation[r]))
#define INITIAL_CONFIG 7

/* The candidate in votedFor: one incarnation, never a name alone. */
#ifdef VOTE_BY_NAME
#define VOTE_VALUE(r) ((r) + 1)
#else
#define VOTE_VALUE(r) ((r) + 1 + 3 * incarnation[r])
#endif

#define ENTRY(r, i) log[(r) * LENGTH + (i) - 1]
#define SENT(t, i) sentEntries[(t) * LENGTH + (i) - 1]
#define ACKS(t, i) acks[(t) * LENGTH + (i) - 1]

/* Durable state of the replicas. */
byte term[3], votedFor[3], length[3], log[3 * LENGTH], commitIndex[3];
/* State that is lost in a crash. */
byte role[3], votes[3];
/* 0 or 1 for the first or second incarnation; number of disks lost so far. */
byte incarnation[3], lostDisks;

/* Per term: its leader + 1, the entries and commit index that the leader has
   sent, and the members that stored each entry. */
byte leaderOf[TERMS + 1], sentLength[TERMS + 1], sentCommit[TERMS + 1];
byte sentEntries[(TERMS + 1) * LENGTH], acks[(TERMS + 1) * LENGTH];

/* Used by assertions only: the first entry committed at each index, and the
   term in which it was committed. */
byte committed[LENGTH], committedInTerm[LENGTH];

hidden byte i, newConfig, oldConfig, configIndex;

#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + \
                  (((m) >> 3) & 1) + (((m) >> 4) & 1) + (((m) >> 5) & 1))
#ifdef NEW_CONFIG_ALONE
#define QUORUM(m) (COUNT((m) & newConfig) >= 2)
#else
#define QUORUM(m) (COUNT((m) & newConfig) >= 2 && COUNT((m) & oldConfig) >= 2)
#endif

/* Sets newConfig to the latest configuration in r's log, and oldConfig to the
   one before it while the latest is not known to be committed, else to the
   same. */
inline Configurations(r)
{
  newConfig = INITIAL_CONFIG; oldConfig = INITIAL_CONFIG;
  configIndex = 0; i = 1;
  do
  :: i <= length[r] ->
     if
     :: KIND_OF(ENTRY(r, i)) != 0 ->
        oldConfig = newConfig; configIndex = i;
        newConfig = (newConfig & ~(1 << (KIND_OF(ENTRY(r, i)) - 1))) |
                (1 << (KIND_OF(ENTRY(r, i)) + 2))
     :: else -> skip
     fi;
     i++
  :: else -> break
  od;
  if
  :: configIndex <= commitIndex[r] -> oldConfig = newConfig
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

#define START_ELECTION(r) d_step { term[r] < TERMS -> \
  Configurations(r); \
  if \
  :: (newConfig & SELF(r)) != 0 -> \
     term[r]++; role[r] = CANDIDATE; votedFor[r] = VOTE_VALUE(r); votes[r] = SELF(r) \
  :: else -> skip \
  fi }

#define VOTE(r, c) d_step { \
  role[c] == CANDIDATE && term[c] >= term[r] && \
    !(term[c] == term[r] && role[r] == LEADER) -> \
  if \
  :: term[c] > term[r] -> AdoptTerm(r, term[c]) \
  :: else -> skip \
  fi; \
  if \
  :: (votedFor[r] == 0 || votedFor[r] == VOTE_VALUE(c)) && \
     UP_TO_DATE(c, r) -> \
     votedFor[r] = VOTE_VALUE(c); votes[c] = votes[c] | SELF(r) \
  :: else -> skip \
  fi }

#define WIN(c) d_step { role[c] == CANDIDATE -> \
  Configurations(c); \
  if \
  :: QUORUM(votes[c]) -> \
     assert(leaderOf[term[c]] == 0); \
     role[c] = LEADER; votes[c] = 0; leaderOf[term[c]] = c + 1; \
     sentLength[term[c]] = length[c]; i = 1; \
     do \
     :: i <= LENGTH -> \
        assert(committed[i - 1] == 0 || committedInTerm[i - 1] >= term[c] || \
               (i <= length[c] && ENTRY(c, i) == committed[i - 1])); \
        SENT(term[c], i) = (i <= length[c] -> ENTRY(c, i) : 0); \
        ACKS(term[c], i) = (i <= length[c] -> SELF(c) : 0); \
        i++ \
     :: else -> break \
     od \
  :: else -> skip \
  fi }

inline AppendAsLeader(c, e)
{
  length[c]++;
  ENTRY(c, length[c]) = e;
  sentLength[term[c]] = length[c];
  SENT(term[c], length[c]) = e;
  ACKS(term[c], length[c]) = SELF(c)
}

#define PROPOSE(c) d_step { role[c] == LEADER && length[c] < LENGTH -> \
  AppendAsLeader(c, DATA(term[c])) }

/* Replica r receives entry n from the leader of term t, with the entry before
   it. */
#define REPLICATE(r, t, n) d_step { \
  leaderOf[t] != 0 && leaderOf[t] != r + 1 && t >= term[r] && \
    n <= sentLength[t] && length[r] >= n - 1 && \
    (n == 1 || ENTRY(r, (n == 1 -> 1 : n - 1)) == \
               SENT(t, (n == 1 -> 1 : n - 1))) -> \
  AdoptTerm(r, t); \
  if \
  :: length[r] >= n && ENTRY(r, n) == SENT(t, n) -> skip \
  :: else -> \
     assert(commitIndex[r] < n); \
     i = n; \
     do \
     :: i <= LENGTH -> ENTRY(r, i) = 0; i++ \
     :: else -> break \
     od; \
     ENTRY(r, n) = SENT(t, n); length[r] = n \
  fi; \
  i = 1; \
  do \
  :: i <= n -> ACKS(t, i) = ACKS(t, i) | SELF(r); i++ \
  :: else -> break \
  od; \
  if \
  :: sentCommit[t] > commitIndex[r] && commitIndex[r] < n -> \
     commitIndex[r] = (sentCommit[t] < n -> sentCommit[t] : n) \
  :: else -> skip \
  fi }

#define COMMIT(c, n) d_step { role[c] == LEADER && n <= length[c] && \
    n > commitIndex[c] && TERM_OF(ENTRY(c, n)) == term[c] -> \
  Configurations(c); \
  if \
  :: QUORUM(ACKS(term[c], n)) -> \
     commitIndex[c] = n; sentCommit[term[c]] = n; i = 1; \
     do \
     :: i <= n -> \
        assert(committed[i - 1] == 0 || committed[i - 1] == ENTRY(c, i)); \
        if \
        :: committed[i - 1] == 0 -> \
           committed[i - 1] = ENTRY(c, i); committedInTerm[i - 1] = term[c] \
        :: else -> skip \
        fi; \
        i++ \
     :: else -> break \
     od \
  :: else -> skip \
  fi }

/* The wiped replica k has caught up, no configuration is pending, and the
   leader has committed an entry of its own term. */
#define REPLACE(c, k) d_step { role[c] == LEADER && length[c] < LENGTH && \
    incarnation[k] == 1 && commitIndex[c] > 0 && \
    TERM_OF(ENTRY(c, commitIndex[c])) == term[c] && \
    (ACKS(term[c], commitIndex[c]) & SELF(k)) != 0 -> \
  Configurations(c); \
  if \
  :: (newConfig & SELF(k)) == 0 && newConfig == oldConfig -> \
     AppendAsLeader(c, REPLACEMENT(term[c], k)) \
  :: else -> skip \
  fi }

#ifdef VOTE_NOT_SYNCED
#define LOSE_UNSYNCED(r) votedFor[r] = 0
#else
#ifdef ENTRY_NOT_SYNCED
#define LOSE_UNSYNCED(r) \
  if \
  :: length[r] > commitIndex[r] -> ENTRY(r, length[r]) = 0; length[r]-- \
  :: else -> skip \
  fi
#else
#define LOSE_UNSYNCED(r) skip
#endif
#endif
#define CRASH(r) d_step { true -> \
  role[r] = FOLLOWER; votes[r] = 0; LOSE_UNSYNCED(r) }

#ifdef WIPED_VOTES
#define NEW_INCARNATION(r) skip
#else
#define NEW_INCARNATION(r) incarnation[r] = 1
#endif
#define LOSE_DISK(r) d_step { lostDisks < LOSSES && incarnation[r] == 0 -> \
  lostDisks++; \
  term[r] = 0; votedFor[r] = 0; length[r] = 0; commitIndex[r] = 0; \
  role[r] = FOLLOWER; votes[r] = 0; i = 1; \
  do \
  :: i <= LENGTH -> ENTRY(r, i) = 0; i++ \
  :: else -> break \
  od; \
  NEW_INCARNATION(r) }

#define REPLICA_ACTIONS(r) \
  :: START_ELECTION(r) \
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
#define PAIR_ACTIONS(r, s) \
  :: VOTE(r, s) \
  :: REPLACE(r, s)

active proctype Cluster()
{
end:
  do
  REPLICA_ACTIONS(0)
  REPLICA_ACTIONS(1)
  REPLICA_ACTIONS(2)
  PAIR_ACTIONS(0, 1)
  PAIR_ACTIONS(0, 2)
  PAIR_ACTIONS(1, 0)
  PAIR_ACTIONS(1, 2)
  PAIR_ACTIONS(2, 0)
  PAIR_ACTIONS(2, 1)
  od
}
