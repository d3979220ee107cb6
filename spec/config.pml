/*
 * Revisions of the configuration: acceptance, and what entries have in force.
 *
 * The log is abstracted to the number of the last committed revision, which
 * election.pml justifies: an accepted change is stored by a quorum of three
 * replicas, the third one catches up later, and each replica learns late up
 * to where its log is committed. Messages may be lost, repeated and delayed.
 * An entry has no disk: a restart forgets its revision. It serves only with a
 * revision in force.
 *
 * Without HOME_REPLICA, entries take revisions from any replica, and start by
 * a linearizable read; a cut-off entry that was restarted stays down. With it,
 * the zone's own replica is the only source, and a cut-off entry may start
 * from it.
 *
 * Checked: the revision in force never goes down at an entry; of two changes
 * with the same base revision one wins; a change that is sent again gets its
 * first answer and is not applied again.
 *
 * Mutations, each of which must be found:
 *   NO_BASE_CHECK     a change is accepted whatever its base revision
 *   NO_CHANGE_ID      a change that is sent again counts as another one
 *   TAKE_OLDER        a running entry takes whatever a replica answers
 *   ANY_REPLICA       a restarted entry takes the answer of one replica
 *   QUORUM_OF_KNOWN   it takes the highest committed revision that two know
 *   HOME_NOT_FIRST    (HOME_REPLICA) a running entry also asks other replicas
 *   HOME_NOT_SYNCED   (HOME_REPLICA) a restarted replica has forgotten up to
 *                     where its log is committed
 */
#define REPLICAS 3
#define ENTRIES 2
#define CHANGES 3
#define FIRST 1
#define NONE 0
#define CONFLICT 99

byte committed = FIRST;
byte stored[REPLICAS];
byte known[REPLICAS];

byte base[CHANGES];
byte answer[CHANGES];
byte winners[CHANGES + 2];

byte inForce[ENTRIES];
byte highest[ENTRIES];
byte x, y, z, r;

/* An entry puts a revision in force. */
inline enforce(e, revision) {
  inForce[e] = revision;
  assert(inForce[e] >= highest[e]);
  highest[e] = inForce[e]
}

/* The leader decides on a change; replicas i and j store it. */
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
  /* A replica catches up, or learns what is committed. */
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
  /* A running entry asks a replica. */
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
  /* An entry starts by a linearizable read. */
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
  /* An entry is restarted. */
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
