/* broken: HALF_WITHOUT_LOSS SURVIVAL_NOT_KNOWN LOST_MEMBER_COUNTS */
/*
 * Safety of the quorums of an even number of members: a majority, or half of
 * the members if each of them ran after the loss of the same other member.
 *
 * Four members, terms up to TERMS, at most LOSSES members that lose their
 * records for good. The replica that starts again in place of a lost member is
 * another incarnation; it is no member, and only tells of the loss. Changes of
 * the configuration are in control_log.pml. Messages are not queued: what a
 * member has sent may arrive at any later time, any number of times, or never,
 * also after its loss. Who is known to have run after a loss is shared by all
 * members, which allows each of them more quorums than it has in the code.
 *
 * Members 0 and 1 stand for election: each assertion concerns two leaders, and a
 * further candidate only takes votes.
 *
 * A leader appends one entry in its term, so a log is the set of the terms of
 * its entries: bit t-1 is the entry of term t.
 *
 *   QUORUM           QuorumValue
 *   LEARN            ControlLog::RememberLostMembers
 *   START_ELECTION   ControlLog::StartElection
 *   VOTE             ControlLog::OnVoteRequest, IsUpToDate
 *   WIN              ControlLog::CountVotes, BecomeLeader
 *   REPLICATE        ControlLog::OnAppend, AppendEntries
 *   COMMIT           ControlLog::AdvanceCommitIndex
 *
 * Asserted: at most one leader per term; a leader holds every entry committed
 * in an earlier term.
 */
#define TERMS 2
#define LOSSES 2
#define MEMBERS 4

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define BIT(r) (1 << (r))
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + \
                  (((m) >> 3) & 1))
#define LAST_TERM(m) (((m) & 2) != 0 -> 2 : (m))

/* Durable state of the members, and their roles. */
byte term[MEMBERS], entries[MEMBERS], role[MEMBERS];
/* Members whose records are lost; per lost member, those that learned of the
   loss. */
byte lost, survivors[MEMBERS];
/* Per term: the votes for each candidate, the leader + 1, its log, and the
   members that stored it. */
byte votes[(TERMS + 1) * MEMBERS], voted[TERMS + 1];
byte leaderOf[TERMS + 1], sentEntries[TERMS + 1], acks[TERMS + 1];
/* Used by assertions only: per term, the log that its leader committed. */
byte committed[TERMS + 1];

#define VOTES(t, c) votes[(t) * MEMBERS + (c)]

#ifdef HALF_WITHOUT_LOSS
#define HALF(m) (COUNT(m) >= 2)
#else
#ifdef SURVIVAL_NOT_KNOWN
#define HALF_WITHOUT(m, a) ((lost & BIT(a)) != 0 && COUNT((m) & ~BIT(a)) >= 2)
#else
#ifdef LOST_MEMBER_COUNTS
#define HALF_WITHOUT(m, a) ((lost & BIT(a)) != 0 && \
                            COUNT((m) & (survivors[a] | BIT(a))) >= 2)
#else
#define HALF_WITHOUT(m, a) (COUNT((m) & survivors[a]) >= 2)
#endif
#endif
#define HALF(m) (HALF_WITHOUT(m, 0) || HALF_WITHOUT(m, 1) || \
                 HALF_WITHOUT(m, 2) || HALF_WITHOUT(m, 3))
#endif
#define QUORUM(m) (COUNT(m) >= 3 || HALF(m))

#define RUNS(r) ((lost & BIT(r)) == 0)

#define LOSE(r) d_step { RUNS(r) && COUNT(lost) < LOSSES -> \
  lost = lost | BIT(r); role[r] = FOLLOWER }

#define LEARN(r, a) d_step { RUNS(r) && !RUNS(a) && \
    (survivors[a] & BIT(r)) == 0 -> \
  survivors[a] = survivors[a] | BIT(r) }

#define START_ELECTION(r) d_step { RUNS(r) && term[r] < TERMS -> \
  term[r]++; role[r] = CANDIDATE; voted[term[r]] = voted[term[r]] | BIT(r); \
  VOTES(term[r], r) = BIT(r) }

#define VOTE(r, c) d_step { RUNS(r) && role[c] == CANDIDATE && \
    (term[c] > term[r] || \
     (term[c] == term[r] && (voted[term[r]] & BIT(r)) == 0)) -> \
  if \
  :: term[c] > term[r] -> term[r] = term[c]; role[r] = FOLLOWER \
  :: else -> skip \
  fi; \
  if \
  :: LAST_TERM(entries[c]) >= LAST_TERM(entries[r]) -> \
     voted[term[r]] = voted[term[r]] | BIT(r); \
     VOTES(term[r], c) = VOTES(term[r], c) | BIT(r) \
  :: else -> skip \
  fi }

#define WIN(c) d_step { role[c] == CANDIDATE && QUORUM(VOTES(term[c], c)) -> \
  assert(leaderOf[term[c]] == 0); \
  assert(term[c] <= 1 || (committed[1] & ~entries[c]) == 0); \
  role[c] = LEADER; leaderOf[term[c]] = c + 1; \
  entries[c] = entries[c] | BIT(term[c] - 1); \
  sentEntries[term[c]] = entries[c]; acks[term[c]] = BIT(c) }

#define REPLICATE(r, t) d_step { RUNS(r) && leaderOf[t] != 0 && \
    leaderOf[t] != r + 1 && t >= term[r] && (acks[t] & BIT(r)) == 0 -> \
  term[r] = t; role[r] = FOLLOWER; entries[r] = sentEntries[t]; \
  acks[t] = acks[t] | BIT(r) }

#define COMMIT(c) d_step { role[c] == LEADER && QUORUM(acks[term[c]]) && \
    committed[term[c]] == 0 -> \
  committed[term[c]] = entries[c] }

#define MEMBER_ACTIONS(r) \
  :: LOSE(r) \
  :: REPLICATE(r, 1) \
  :: REPLICATE(r, 2)
#define CANDIDATE_ACTIONS(c) \
  :: START_ELECTION(c) \
  :: WIN(c) \
  :: COMMIT(c)
#define PAIR_ACTIONS(r, s) \
  :: LEARN(r, s) \
  :: LEARN(s, r)

active proctype Cluster()
{
end:
  do
  MEMBER_ACTIONS(0)
  MEMBER_ACTIONS(1)
  MEMBER_ACTIONS(2)
  MEMBER_ACTIONS(3)
  CANDIDATE_ACTIONS(0)
  CANDIDATE_ACTIONS(1)
  :: VOTE(0, 1)
  :: VOTE(1, 0)
  :: VOTE(2, 0)
  :: VOTE(2, 1)
  :: VOTE(3, 0)
  :: VOTE(3, 1)
  PAIR_ACTIONS(0, 1)
  PAIR_ACTIONS(0, 2)
  PAIR_ACTIONS(0, 3)
  PAIR_ACTIONS(1, 2)
  PAIR_ACTIONS(1, 3)
  PAIR_ACTIONS(2, 3)
  od
}
