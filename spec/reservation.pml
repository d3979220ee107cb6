/*
 * Requests that may not be repeated: reserve, dispatch, record.
 *
 * Callers send the same request, under one idempotency key, through two
 * entries at once. The replicated record is one atomic register, which
 * election.pml justifies. Messages are sets: one that was sent may arrive at
 * any later time, again and out of order, or never, also after its sender was
 * killed. An attempt is one incarnation of an entry; a killed entry starts
 * again once, without memory.
 *
 * Checked: the request runs at most once while its record stands; an attempt
 * whose caller was told "not run" has not run and never will.
 *
 * Mutations, each of which must be found:
 *   DISPATCH_EARLY     dispatch does not wait for the reservation's commit
 *   OWNER_BY_NAME      a reservation belongs to an entry, not its incarnation
 *   RESEND_DISPATCH    an attempt whose answer is lost is dispatched again
 *   NOT_RUN_LATE       a lost answer is told as "not run"
 *   ABANDON_IGNORED    an owner that gave up its attempt dispatches it
 *   GONE_IS_NOT_RUN    a vanished owner is taken as not having dispatched
 *   RECORD_ANY_OWNER   "not run" is recorded whoever owns the reservation
 */
#define ATTEMPTS 4
#define NOBODY 7
#define ENTRY(a) ((a) & 1)
#define OTHER(a) ((a) ^ 1)
#define BIT(a) (1 << (a))

/* States of the record. */
#define FREE 0
#define RESERVED 1
#define ANSWERED 2
#define UNKNOWN 3

/* States of an attempt at its entry. Attempts 0 and 1 are the entries' first
   incarnations, 2 and 3 their second ones. */
#define ABSENT 0
#define IDLE 1
#define RESERVING 2
#define WAITING 3
#define DISPATCHED 4
#define ABANDONED 5
#define FINISHED 6
#define KILLED 7

byte record = FREE;
byte owner = NOBODY;
byte attempt[ATTEMPTS];

/* Messages that were sent, one bit an attempt. */
byte reserveSent;
byte granted;
byte refused;
byte onWire;
byte answered;
byte recordAnswer;
byte recordUnknown;
byte recordNotRun;
byte abandonAsked;
byte abandonDone;
byte ownerGone;

/* What happened. */
byte ran;
byte toldNotRun;
byte runs;
byte a;

inline owns(x, result) {
#ifdef OWNER_BY_NAME
  result = (owner != NOBODY && ENTRY(owner) == ENTRY(x))
#else
  result = (owner == x)
#endif
}

/* The caller of an attempt is told that it did not run. */
inline tell_not_run(x) {
  assert(!(ran & BIT(x)));
  toldNotRun = toldNotRun | BIT(x)
}

/* The backend server runs what was handed over; a second copy would run too. */
inline execute(x) {
  onWire = onWire & ~BIT(x);
  runs++;
  assert(runs <= 1);
  assert(!(toldNotRun & BIT(x)));
  ran = ran | BIT(x);
  answered = answered | BIT(x)
}

inline dispatch(x) {
  attempt[x] = DISPATCHED;
  onWire = onWire | BIT(x)
}

/* The record is committed as free again if it still belongs to the attempt. */
inline commit_not_run(x) {
  owns(x, mine);
#ifdef RECORD_ANY_OWNER
  mine = true;
#endif
  if
  :: record == RESERVED && mine -> record = FREE; owner = NOBODY
  :: else
  fi;
  mine = false
}

bool mine;

init {
  attempt[0] = IDLE;
  attempt[1] = IDLE;
end:
  do
  :: atomic {
       if
       :: a = 0
       :: a = 1
       :: a = 2
       :: a = 3
       fi;
       if
       /* The entry asks for the reservation, and asks again. */
       :: attempt[a] == IDLE ->
          d_step { attempt[a] = RESERVING; reserveSent = reserveSent | BIT(a); a = 0 }
#ifdef DISPATCH_EARLY
       :: attempt[a] == RESERVING ->
          d_step { dispatch(a); a = 0 }
#endif
       /* The reservation is committed, refused, or found to be the caller's. */
       :: reserveSent & BIT(a) ->
          d_step {
            owns(a, mine);
            if
            :: record == FREE -> record = RESERVED; owner = a; granted = granted | BIT(a)
            :: record == RESERVED && mine -> granted = granted | BIT(a)
            :: else -> refused = refused | BIT(a)
            fi;
            mine = false; a = 0
          }
       /* The owner learns of it and dispatches in a later step. */
       :: (granted & BIT(a)) && attempt[a] == RESERVING ->
          d_step { attempt[a] = WAITING; a = 0 }
       :: attempt[a] == WAITING ->
          d_step { dispatch(a); a = 0 }
       /* The connection could not be opened: no byte was handed over. */
       :: attempt[a] == WAITING ->
          d_step { attempt[a] = ABANDONED; recordNotRun = recordNotRun | BIT(a); tell_not_run(a); a = 0 }
       /* The reservation was not confirmed in time: given up for good. */
       :: attempt[a] == RESERVING ->
          d_step { attempt[a] = ABANDONED; recordNotRun = recordNotRun | BIT(a); tell_not_run(a); a = 0 }
       /* The server runs it, also after its owner was killed. */
       :: onWire & BIT(a) ->
          d_step { execute(a); a = 0 }
       /* The message to the server is lost. */
       :: onWire & BIT(a) ->
          d_step { onWire = onWire & ~BIT(a); a = 0 }
       /* The answer arrives, or the connection breaks. */
       :: (answered & BIT(a)) && attempt[a] == DISPATCHED ->
          d_step { attempt[a] = FINISHED; recordAnswer = recordAnswer | BIT(a); a = 0 }
       :: attempt[a] == DISPATCHED ->
          d_step { attempt[a] = FINISHED; recordUnknown = recordUnknown | BIT(a); a = 0 }
#ifdef RESEND_DISPATCH
       :: attempt[a] == DISPATCHED && !(onWire & BIT(a)) ->
          d_step { onWire = onWire | BIT(a); a = 0 }
#endif
#ifdef NOT_RUN_LATE
       :: attempt[a] == DISPATCHED ->
          d_step { attempt[a] = FINISHED; recordNotRun = recordNotRun | BIT(a); tell_not_run(a); a = 0 }
#endif
       /* Outcomes are committed. */
       :: recordAnswer & BIT(a) ->
          d_step {
            owns(a, mine);
            if
            :: record == RESERVED && mine -> record = ANSWERED
            :: else
            fi;
            mine = false; a = 0
          }
       :: recordUnknown & BIT(a) ->
          d_step {
            owns(a, mine);
            if
            :: record == RESERVED && mine -> record = UNKNOWN
            :: else
            fi;
            mine = false; a = 0
          }
       :: recordNotRun & BIT(a) ->
          d_step { commit_not_run(a); a = 0 }
       /* A refused duplicate asks the owner to give up its attempt. It is told
          "not run" itself, as it never dispatched. */
       :: (refused & BIT(a)) && attempt[a] == RESERVING ->
          d_step {
            attempt[a] = FINISHED;
            if
            :: owner != NOBODY -> abandonAsked = abandonAsked | BIT(owner)
            :: else
            fi;
            tell_not_run(a);
            a = 0
          }
       /* The owner answers it. */
       :: (abandonAsked & BIT(a)) && (attempt[a] == WAITING || attempt[a] == RESERVING) ->
          d_step {
            abandonDone = abandonDone | BIT(a);
            tell_not_run(a);
#ifndef ABANDON_IGNORED
            attempt[a] = ABANDONED;
#endif
            a = 0
          }
       :: (abandonAsked & BIT(a)) && (attempt[a] == KILLED) ->
          d_step { ownerGone = ownerGone | BIT(a); a = 0 }
       /* The duplicate records what the owner said. */
       :: abandonDone & BIT(a) ->
          d_step { recordNotRun = recordNotRun | BIT(a); a = 0 }
       :: ownerGone & BIT(a) ->
          d_step {
#ifdef GONE_IS_NOT_RUN
            recordNotRun = recordNotRun | BIT(a);
#else
            recordUnknown = recordUnknown | BIT(a);
#endif
            a = 0
          }
       /* An entry is killed and starts again. */
       :: a < 2 && attempt[a] != KILLED ->
          d_step { attempt[a] = KILLED; attempt[a + 2] = IDLE; a = 0 }
       :: a >= 2 && attempt[a] != KILLED && attempt[a] != ABSENT ->
          d_step { attempt[a] = KILLED; a = 0 }
       :: else -> a = 0
       fi
     }
  od
}
