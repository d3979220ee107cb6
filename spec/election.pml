/*
 * Elections, log replication and changes of the set of voters.
 *
 * A node is one incarnation of a replica: a VM that loses its disk returns as
 * a new node. Nodes 0 to 2 are the initial voters, node 3 is the learner that
 * replaces one of them, whether it is lost or not.
 *
 * A replacement takes two changes. The first adds node 3 and names the outgoing
 * voter; until the second, a quorum is a majority of the voters without node 3
 * and a majority of the voters without the outgoing one. The second removes
 * the outgoing voter, or node 3 to give up.
 *
 * The log that the leader of each term has sent is never discarded, so any
 * prefix of it may reach a follower at any later time, repeatedly and out of
 * order. A vote or an acknowledgement takes effect when it is synced to disk.
 *
 * The initial voters are interchangeable, so it is enough to let node 0 be the
 * first to lose its disk and node 1 the second. If none is lost, it is enough to
 * let node 1 be the first leader of term 1, and node 0 the voter it replaces.
 *
 * Checked: at most one leader per term; a committed entry is in the log of
 * every later leader and is never replaced by another one.
 *
 * Variants:
 *   BEGUN             the initial configuration is that between the two changes.
 *                     A change follows an entry of the leader's own term, so that
 *                     two of them fit into a log of 3 entries only.
 *   ADD_FIRST         the rule beside earlier versions: node 3 is added, then any
 *                     voter removed, with a majority of all voters
 *   ONE_ENTRY         a leader appends at most one entry that changes nothing, its first
 *   ONE_VM            node 3 is the next incarnation of node 0 on the same VM, and
 *                     may lose its disk too. Also checked: nodes 1 and 2, whose VMs
 *                     never lose a disk, are a quorum by the log of either
 *
 * Mutations, each of which must be found:
 *   EMPTY_DISK_VOTES  a node that lost its disk continues as the same voter
 *   VOTE_FORGOTTEN    a node loses its vote in a restart
 *   SWAP_VOTER        one change replaces a voter, so that the quorums before and
 *                     after it need not intersect
 *   NEW_MAJORITY_ONLY during a replacement only the voters after it count
 *   OLD_MAJORITY_ONLY during a replacement only the voters before it count
 *   REMOVE_OTHER      a replacement ends with the removal of a third voter
 *   TWO_CHANGES       a second change starts before the first is committed
 *   OLDER_LOG_WINS    votes do not compare the logs
 *   OTHER_VM          with ONE_VM, node 3 replaces a voter on another VM while
 *                     node 0 is a voter
 *   ADD_FIRST         with ONE_VM
 */
#define NODES 4
#ifndef TERMS
#define TERMS 3
#endif
#ifndef SLOTS
#define SLOTS 2
#endif
#ifndef LOSSES
#define LOSSES 1
#endif

#if LOSSES == 0 && !defined(BEGUN)
#define SYMMETRIC
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2
#define LOST 3

#define NOBODY 7
#define BIT(n) (1 << (n))

/* A configuration: one bit for each voter, and the outgoing voter while node 3
   replaces it. */
#define VOTERS(c) ((c) & 15)
#define REPLACING 16
#define OUTGOING(c) ((c) >> 5)
#define REPLACEMENT_OF(n) (REPLACING | ((n) << 5))
#ifndef BEGUN
#define FIRST_CONFIG 7
#elif defined(ADD_FIRST)
#define FIRST_CONFIG 15
#else
#define FIRST_CONFIG (15 | REPLACEMENT_OF(0))
#endif

#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#define MAJORITY(agreeing, set) (2 * COUNT((agreeing) & (set)) > COUNT(set))

/* State and log of each node. A log entry consists of its term and the new
   configuration, which is zero if the entry does not change it. */
byte role[NODES];
byte term[NODES];
byte vote[NODES];
byte votes[NODES];
byte length[NODES];
byte logTerm[NODES * SLOTS];
byte logConfig[NODES * SLOTS];

/* The log that the leader of each term has sent, how many entries of it each
   node has acknowledged, and how many the leader has committed. */
byte leaderOf[TERMS + 1];
byte sentLen[TERMS + 1];
byte sentTerm[(TERMS + 1) * SLOTS];
byte sentConfig[(TERMS + 1) * SLOTS];
byte match[(TERMS + 1) * NODES];
byte commit[TERMS + 1];

/* All entries that were ever committed, and the lowest term whose leader
   committed them. */
byte committedLen;
byte committedTerm[SLOTS];
byte committedConfig[SLOTS];
byte committedIn[SLOTS];

byte losses;
byte restarts;

/* Scratch variables, cleared after each use. */
byte i, n, m, t, c, k;
bool ok;

inline config_of(node, result) {
  result = FIRST_CONFIG;
  i = 0;
  do
  :: i < length[node] ->
     if
     :: logConfig[node * SLOTS + i] != 0 -> result = logConfig[node * SLOTS + i]
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

/* quorum reports whether the nodes that agree are a quorum. */
inline quorum(config, agreeing, result) {
  result = true;
  if
  :: config & REPLACING ->
#ifndef NEW_MAJORITY_ONLY
     result = result && MAJORITY(agreeing, VOTERS(config) & ~BIT(3));
#endif
#ifndef OLD_MAJORITY_ONLY
     result = result && MAJORITY(agreeing, VOTERS(config) & ~BIT(OUTGOING(config)));
#endif
     skip
  :: else -> result = MAJORITY(agreeing, VOTERS(config))
  fi
}

/* check_progress asserts that the nodes whose VMs never lost a disk can elect a
   leader by the log of each of them. */
inline check_progress(node) {
#ifdef ONE_VM
  if
  :: node == 1 || node == 2 ->
     config_of(node, c);
     quorum(c, BIT(1) | BIT(2), ok);
     assert(ok);
     c = 0;
     ok = false
  :: else
  fi
#else
  skip
#endif
}

inline last_term(node, result) {
  if
  :: length[node] == 0 -> result = 0
  :: else -> result = logTerm[node * SLOTS + length[node] - 1]
  fi
}

inline select_node(result) {
  if
  :: result = 0
  :: result = 1
  :: result = 2
  :: result = 3
  fi
}

inline select_term(result) {
  result = 1;
  do
  :: result < TERMS -> result++
  :: break
  od
}

/* A restarted node keeps its term, vote and log, and is a follower. */
inline restart(node) {
  role[node] = FOLLOWER;
  votes[node] = 0
}

/* A node becomes a candidate in the next term. */
inline campaign(node) {
  term[node]++;
  role[node] = CANDIDATE;
  vote[node] = node;
  votes[node] = BIT(node)
}

/* up_to_date reports whether the candidate's log is at least as up to date as
   the voter's. */
inline up_to_date(candidate, voter, result) {
  last_term(candidate, t);
  last_term(voter, c);
  result = (t > c) || (t == c && length[candidate] >= length[voter]);
#ifdef OLDER_LOG_WINS
  result = true;
#endif
  t = 0;
  c = 0
}

inline grant(candidate, voter) {
  if
  :: term[voter] < term[candidate] ->
     term[voter] = term[candidate];
     role[voter] = FOLLOWER;
     vote[voter] = NOBODY;
     votes[voter] = 0
  :: else
  fi;
  up_to_date(candidate, voter, ok);
  if
  :: ok && (vote[voter] == NOBODY || vote[voter] == candidate) ->
     vote[voter] = candidate;
     votes[candidate] = votes[candidate] | BIT(voter)
  :: else
  fi;
  ok = false
}

/* A candidate with the votes of a quorum of its latest configuration becomes
   leader. */
inline win(node) {
  assert(leaderOf[term[node]] == NOBODY);
  leaderOf[term[node]] = node;
  role[node] = LEADER;
  i = 0;
  do
  :: i < committedLen ->
     if
     :: committedIn[i] < term[node] ->
        assert(i < length[node]);
        assert(logTerm[node * SLOTS + i] == committedTerm[i]);
        assert(logConfig[node * SLOTS + i] == committedConfig[i])
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0;
  publish(node)
}

/* publish records a leader's log as sent: it may reach any follower from now
   on. */
inline publish(node) {
  t = term[node];
  sentLen[t] = length[node];
  i = 0;
  do
  :: i < length[node] ->
     sentTerm[t * SLOTS + i] = logTerm[node * SLOTS + i];
     sentConfig[t * SLOTS + i] = logConfig[node * SLOTS + i];
     i++
  :: else -> break
  od;
  match[t * NODES + node] = length[node];
  i = 0;
  t = 0
}

inline append(node, config) {
  logTerm[node * SLOTS + length[node]] = term[node];
  logConfig[node * SLOTS + length[node]] = config;
  length[node]++;
  check_progress(node);
  publish(node)
}

/* A follower accepts the first k entries that the leader of term t sent. */
inline receive(node) {
  if
  :: term[node] < t ->
     term[node] = t;
     vote[node] = NOBODY
  :: else
  fi;
  role[node] = FOLLOWER;
  votes[node] = 0;
  ok = (length[node] >= k);
  i = 0;
  do
  :: i < k ->
     if
     :: i >= length[node] || logTerm[node * SLOTS + i] != sentTerm[t * SLOTS + i] -> ok = false
     :: else
     fi;
     logTerm[node * SLOTS + i] = sentTerm[t * SLOTS + i];
     logConfig[node * SLOTS + i] = sentConfig[t * SLOTS + i];
     i++
  :: else -> break
  od;
  if
  :: ok
  :: else -> truncate(node, k)
  fi;
  if
  :: match[t * NODES + node] < k -> match[t * NODES + node] = k
  :: else
  fi;
  i = 0;
  ok = false;
  check_progress(node)
}

inline truncate(node, size) {
  length[node] = size;
  i = size;
  do
  :: i < SLOTS ->
     logTerm[node * SLOTS + i] = 0;
     logConfig[node * SLOTS + i] = 0;
     i++
  :: else -> break
  od
}

/* acknowledged sets result to the nodes that have acknowledged k entries of the
   leader of term t. */
inline acknowledged(result) {
  result = 0;
  i = 0;
  do
  :: i < NODES ->
     if
     :: match[t * NODES + i] >= k -> result = result | BIT(i)
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

/* The leader of term t commits its first k entries; the last one is of its own
   term. */
inline commit_prefix() {
  commit[t] = k;
  i = 0;
  do
  :: i < k ->
     if
     :: i < committedLen ->
        assert(committedTerm[i] == sentTerm[t * SLOTS + i]);
        assert(committedConfig[i] == sentConfig[t * SLOTS + i]);
        if
        :: t < committedIn[i] -> committedIn[i] = t
        :: else
        fi
     :: else ->
        committedTerm[i] = sentTerm[t * SLOTS + i];
        committedConfig[i] = sentConfig[t * SLOTS + i];
        committedIn[i] = t;
        committedLen++
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

#ifdef ONE_VM
#define MAY_LOSE(n) (n == 3 * losses)
#else
#define MAY_LOSE(n) (n == losses)
#endif

#ifdef ONE_ENTRY
#define MAY_APPEND(n) (length[n] == 0 || logTerm[n * SLOTS + length[n] - 1] != term[n])
#else
#define MAY_APPEND(n) true
#endif

inline lose_disk(node) {
  losses++;
  truncate(node, 0);
  votes[node] = 0;
#ifdef EMPTY_DISK_VOTES
  term[node] = 0;
  vote[node] = NOBODY;
  role[node] = FOLLOWER;
#else
  term[node] = 0;
  vote[node] = 0;
  role[node] = LOST;
#endif
  i = 0
}

/* MAY_REPLACE tells whether the leader n may begin to replace this voter. */
#if defined(ONE_VM) && defined(OTHER_VM)
#define MAY_REPLACE(outgoing) (role[0] == LOST)
#elif defined(ONE_VM)
#define MAY_REPLACE(outgoing) (role[0] == LOST && outgoing == 0)
#elif defined(SYMMETRIC)
#define MAY_REPLACE(outgoing) (term[n] > 1 || outgoing == 0)
#else
#define MAY_REPLACE(outgoing) true
#endif

/* next_config sets c to the configuration that the leader n proposes; 0 means no
   change. The leader does not remove itself. */
inline next_config() {
  config_of(n, c);
#ifdef SWAP_VOTER
  if
  :: !(c & BIT(3)) && role[0] == LOST -> c = (c | BIT(3)) & ~BIT(0)
  :: !(c & BIT(3)) && role[1] == LOST -> c = (c | BIT(3)) & ~BIT(1)
  :: !(c & BIT(3)) && role[2] == LOST -> c = (c | BIT(3)) & ~BIT(2)
  :: else -> c = 0
  fi
#elif defined(ADD_FIRST)
  if
  :: !(c & BIT(3)) && MAY_REPLACE(0) -> c = c | BIT(3)
  :: (c & BIT(3)) && (c & BIT(0)) && n != 0 -> c = c & ~BIT(0)
  :: (c & BIT(3)) && (c & BIT(1)) && n != 1 -> c = c & ~BIT(1)
  :: (c & BIT(3)) && (c & BIT(2)) && n != 2 -> c = c & ~BIT(2)
  :: else -> c = 0
  fi
#else
  if
  :: !(c & BIT(3)) && n != 0 && MAY_REPLACE(0) -> c = c | BIT(3) | REPLACEMENT_OF(0)
  :: !(c & BIT(3)) && n != 1 && MAY_REPLACE(1) -> c = c | BIT(3) | REPLACEMENT_OF(1)
  :: !(c & BIT(3)) && n != 2 && MAY_REPLACE(2) -> c = c | BIT(3) | REPLACEMENT_OF(2)
  :: (c & REPLACING) && n != OUTGOING(c) -> c = VOTERS(c) & ~BIT(OUTGOING(c))
  :: (c & REPLACING) && n != 3 -> c = VOTERS(c) & ~BIT(3)
#ifdef REMOVE_OTHER
  :: (c & REPLACING) && n != 0 && OUTGOING(c) != 0 -> c = VOTERS(c) & ~BIT(0)
  :: (c & REPLACING) && n != 1 && OUTGOING(c) != 1 -> c = VOTERS(c) & ~BIT(1)
  :: (c & REPLACING) && n != 2 && OUTGOING(c) != 2 -> c = VOTERS(c) & ~BIT(2)
#endif
  :: else -> c = 0
  fi
#endif
}

/* change_allowed reports whether the leader n may change the voters: it has
   committed an entry in its own term, and no earlier change is pending. */
inline change_allowed(result) {
  t = term[n];
  result = (commit[t] > 0);
#ifndef TWO_CHANGES
  i = commit[t];
  do
  :: i < length[n] ->
     if
     :: logConfig[n * SLOTS + i] != 0 -> result = false
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0;
#endif
  t = 0
}

init {
  d_step {
    i = 0;
    do
    :: i < NODES -> vote[i] = NOBODY; i++
    :: else -> break
    od;
    i = 0;
    do
    :: i <= TERMS -> leaderOf[i] = NOBODY; i++
    :: else -> break
    od;
    i = 0
  };
end:
  do
  :: atomic {
       select_node(n);
       if
       :: role[n] != LOST && role[n] != LEADER && term[n] < TERMS ->
          d_step {
            config_of(n, c);
            ok = (c & BIT(n)) != 0;
            c = 0;
            if
            :: ok -> campaign(n)
            :: else
            fi;
            ok = false; n = 0
          }
       :: role[n] == CANDIDATE ->
          select_node(m);
          if
          :: m != n && role[m] != LOST && term[m] <= term[n] ->
             d_step { grant(n, m); n = 0; m = 0 }
          :: else -> d_step { n = 0; m = 0 }
          fi
       :: role[n] == CANDIDATE ->
          d_step {
            config_of(n, c);
            quorum(c, votes[n], ok);
#ifdef SYMMETRIC
            ok = ok && (term[n] > 1 || n == 1 || leaderOf[1] != NOBODY);
#endif
            c = 0;
            if
            :: ok -> win(n)
            :: else
            fi;
            ok = false; n = 0
          }
       :: role[n] == LEADER && length[n] < SLOTS && MAY_APPEND(n) ->
          d_step { append(n, 0); n = 0 }
       :: role[n] == LEADER && length[n] < SLOTS ->
          change_allowed(ok);
          if
          :: ok ->
             next_config();
             if
             :: c != 0 -> d_step { append(n, c) }
             :: else
             fi
          :: else
          fi;
          d_step { c = 0; ok = false; n = 0 }
       :: role[n] != LOST ->
          select_term(t);
          if
          :: t >= term[n] && leaderOf[t] != NOBODY && leaderOf[t] != n && sentLen[t] > 0 ->
             k = 1;
             do
             :: k < sentLen[t] -> k++
             :: break
             od;
             skip;
             d_step { receive(n); k = 0; t = 0; n = 0 }
          :: else -> d_step { t = 0; n = 0 }
          fi
       :: role[n] == LEADER && commit[term[n]] < length[n] ->
          d_step {
            t = term[n];
            k = length[n];
            ok = false;
            do
            :: k > commit[t] && !ok ->
               if
               :: sentTerm[t * SLOTS + k - 1] == t ->
                  config_of(n, c);
                  acknowledged(m);
                  quorum(c, m, ok)
               :: else
               fi;
               if
               :: !ok -> k--
               :: else
               fi
            :: else -> break
            od;
            if
            :: ok -> commit_prefix()
            :: else
            fi;
            ok = false; k = 0; t = 0; m = 0; c = 0; n = 0
          }
       :: role[n] != LOST && losses < LOSSES && MAY_LOSE(n) ->
          d_step { lose_disk(n); n = 0 }
       :: role[n] == LEADER || role[n] == CANDIDATE ->
          d_step { restart(n); n = 0 }
#ifdef VOTE_FORGOTTEN
       :: role[n] == FOLLOWER && restarts == 0 ->
          d_step { restarts = 1; vote[n] = NOBODY; n = 0 }
#endif
       :: else -> n = 0
       fi
     }
  od
}
