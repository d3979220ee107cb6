/*
 * Revisions of the configuration: how changes are accepted, and which revision
 * the entries have in force.
 *
 * The log is abstracted to the number of the last committed revision, which
 * election.pml justifies: an accepted change is stored by a quorum, two of the
 * three replicas, the third one catches up later, and each replica learns with
 * a delay up to where its log is committed. Messages may be lost, repeated and
 * delayed. An entry has no disk, so it loses its revision when it restarts. It
 * serves requests only with a revision in force.
 *
 * Without HOME_REPLICA, entries take revisions from any replica and start with
 * a linearizable read; a restarted entry that can reach no quorum stays down.
 * With it, the replica of the entry's own zone is the only source, and an entry
 * may start from it without a quorum.
 *
 * Checked: the revision in force at an entry never decreases; of two changes
 * with the same base revision only one is accepted; a change that is sent again
 * gets its first answer and is not applied again.
 *
 * Mutations, each of which must be found:
 *   NO_BASE_CHECK     a change is accepted whatever its base revision
 *   NO_CHANGE_ID      a change that is sent again is treated as a new one
 *   TAKE_OLDER        a running entry takes any revision that a replica answers
 *   ANY_REPLICA       a restarted entry takes the revision that any one replica
 *                     knows to be committed
 *   QUORUM_OF_KNOWN   it takes the higher of the revisions that two replicas know
 *                     to be committed
 *   HOME_NOT_FIRST    (HOME_REPLICA) a running entry also asks other replicas
 *   HOME_NOT_SYNCED   (HOME_REPLICA) a restarted replica no longer knows up to
 *                     where its log is committed
 */
#define REPLICAS 3
#define ENTRIES 2
#define CHANGES 3
#define FIRST 1
#define NONE 0
#define CONFLICT 99

/* The last committed revision, and for each replica the last revision that it
   stores and the last one that it knows to be committed. */
byte committed = FIRST;
byte stored[REPLICAS];
byte known[REPLICAS];

/* Base revision and first answer of each change, and the number of accepted
   changes for each base revision. */
byte base[CHANGES];
byte answer[CHANGES];
byte winners[CHANGES + 2];

/* Revision in force at each entry, and the highest that it has had. */
byte inForce[ENTRIES];
byte highest[ENTRIES];
/* Scratch variables, cleared after each use. */
byte x, y, z, r;

/* An entry puts a revision in force. */
inline enforce(e, revision) {
  inForce[e] = revision;
  assert(inForce[e] >= highest[e]);
  highest[e] = inForce[e]
}

/* The leader accepts or refuses a change; replicas i and j store an accepted
   one. */
inline decide(id, i, j) {
  r = CONFLICT;
#ifdef NO_BASE_CHECK
  r = committed + 1;
#else
  if
  :: base[id] == committed -> r = committed + 1
  :: else
  fi;
#endif
#ifndef NO_CHANGE_ID
  if
  :: answer[id] != NONE -> r = answer[id]
  :: else
  fi;
#endif
  if
  :: r != CONFLICT && r > committed && r <= CHANGES + 1 ->
     committed = r;
     stored[i] = r;
     stored[j] = r;
     winners[base[id]]++;
     assert(winners[base[id]] <= 1)
  :: else
  fi;
  assert(answer[id] == NONE || answer[id] == r);
  answer[id] = r;
  r = 0
}

inline pick(result, limit) {
  result = 0;
  do
  :: result < limit - 1 -> result++
  :: break
  od
}

init {
  d_step {
    stored[0] = FIRST; stored[1] = FIRST; stored[2] = FIRST;
    known[0] = FIRST; known[1] = FIRST; known[2] = FIRST
  };
end:
  do
  /* An operator reads the revision in force and sends a change. */
  :: atomic {
       pick(x, CHANGES);
       if
       :: base[x] == 0 -> base[x] = committed
       :: base[x] != 0 ->
          pick(y, REPLICAS);
          skip;
          d_step {
            z = (y + 1) % REPLICAS;
            decide(x, y, z);
            z = 0
          }
       fi;
       d_step { x = 0; y = 0 }
     }
  /* A replica stores the next revision, or learns that one is committed. */
  :: atomic {
       pick(x, REPLICAS);
       if
       :: stored[x] < committed -> stored[x]++
       :: known[x] < stored[x] && known[x] < committed -> known[x]++
#ifdef HOME_NOT_SYNCED
       :: known[x] > FIRST -> known[x]--
#endif
       :: else
       fi;
       x = 0
     }
  /* A running entry polls a replica. */
  :: atomic {
       pick(x, ENTRIES);
#ifdef HOME_REPLICA
#ifdef HOME_NOT_FIRST
       pick(y, REPLICAS);
#else
       y = 0;
#endif
#else
       pick(y, REPLICAS);
#endif
       if
#ifdef TAKE_OLDER
       :: inForce[x] != NONE -> enforce(x, known[y])
#else
       :: inForce[x] != NONE && known[y] > inForce[x] -> enforce(x, known[y])
#endif
       :: else
       fi;
       d_step { x = 0; y = 0 }
     }
  /* An entry starts with a linearizable read, or from its own zone's replica. */
  :: atomic {
       pick(x, ENTRIES);
       if
#ifdef ANY_REPLICA
       :: inForce[x] == NONE -> pick(y, REPLICAS); skip; enforce(x, known[y])
#endif
#ifdef QUORUM_OF_KNOWN
       :: inForce[x] == NONE ->
          pick(y, REPLICAS);
          skip;
          z = (y + 1) % REPLICAS;
          r = known[y];
          if
          :: known[z] > r -> r = known[z]
          :: else
          fi;
          enforce(x, r);
          r = 0
#endif
#ifdef HOME_REPLICA
       :: inForce[x] == NONE -> enforce(x, known[0])
#else
       :: inForce[x] == NONE -> enforce(x, committed)
#endif
       :: else
       fi;
       d_step { x = 0; y = 0; z = 0 }
     }
  /* An entry restarts. */
  :: atomic {
       pick(x, ENTRIES);
       if
       :: inForce[x] != NONE -> inForce[x] = NONE
       :: else
       fi;
       x = 0
     }
  od
}
