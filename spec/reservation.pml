/*
 * Requests that must not be repeated: reservation, dispatch and recording of
 * the outcome.
 *
 * Callers send the same request with one idempotency key through two entries
 * at once. The replicated record is one atomic register, which election.pml
 * justifies. A message may arrive at any time after it was sent, repeatedly
 * and out of order, or never, even after its sender was killed; only a request
 * to the backend server arrives at most once each time it is sent. An attempt
 * is one incarnation of an entry; a killed entry restarts once, with its memory
 * lost.
 *
 * Checked: the request runs at most once while its record exists; an attempt
 * whose caller was told "not run" has not run and never will.
 *
 * Mutations, each of which must be found:
 *   DISPATCH_EARLY     an entry dispatches before the reservation is committed
 *   OWNER_BY_NAME      a reservation belongs to an entry, not to its incarnation
 *   RESEND_DISPATCH    an attempt whose answer is lost is dispatched again
 *   NOT_RUN_LATE       a lost answer is reported as "not run"
 *   ABANDON_IGNORED    an owner dispatches an attempt that it has abandoned
 *   GONE_IS_NOT_RUN    a killed owner is assumed not to have dispatched
 *   RECORD_ANY_OWNER   "not run" is recorded without a check of the owner
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

/* Sets of messages that were sent, one bit per attempt. */
byte reserveSent;
byte granted;
byte refused;
byte inTransit;
byte answered;
byte recordAnswer;
byte recordUnknown;
byte recordNotRun;
byte abandonAsked;
byte abandonDone;
byte ownerGone;

/* Attempts that ran, attempts whose caller was told "not run", the number of
   runs, and the attempt of the current step. */
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

/* The backend server runs the request of an attempt. It does not detect
   duplicates. */
inline execute(x) {
  inTransit = inTransit & ~BIT(x);
  runs++;
  assert(runs <= 1);
  assert(!(toldNotRun & BIT(x)));
  ran = ran | BIT(x);
  answered = answered | BIT(x)
}

inline dispatch(x) {
  attempt[x] = DISPATCHED;
  inTransit = inTransit | BIT(x)
}

/* "Not run" is committed: the record becomes free if it still belongs to the
   attempt. */
inline commit_not_run(x) {
  owns(x, isOwner);
#ifdef RECORD_ANY_OWNER
  isOwner = true;
#endif
  if
  :: record == RESERVED && isOwner -> record = FREE; owner = NOBODY
  :: else
  fi;
  isOwner = false
}

bool isOwner;

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
       /* The entry asks for the reservation; the message may arrive repeatedly. */
       :: attempt[a] == IDLE ->
          d_step { attempt[a] = RESERVING; reserveSent = reserveSent | BIT(a); a = 0 }
#ifdef DISPATCH_EARLY
       :: attempt[a] == RESERVING ->
          d_step { dispatch(a); a = 0 }
#endif
       /* The reservation is granted, confirmed to its owner, or refused. */
       :: reserveSent & BIT(a) ->
          d_step {
            owns(a, isOwner);
            if
            :: record == FREE -> record = RESERVED; owner = a; granted = granted | BIT(a)
            :: record == RESERVED && isOwner -> granted = granted | BIT(a)
            :: else -> refused = refused | BIT(a)
            fi;
            isOwner = false; a = 0
          }
       /* The owner learns that it was granted, and dispatches in a later step. */
       :: (granted & BIT(a)) && attempt[a] == RESERVING ->
          d_step { attempt[a] = WAITING; a = 0 }
       :: attempt[a] == WAITING ->
          d_step { dispatch(a); a = 0 }
       /* The connection could not be opened, so no byte was sent to the server. */
       :: attempt[a] == WAITING ->
          d_step { attempt[a] = ABANDONED; recordNotRun = recordNotRun | BIT(a); tell_not_run(a); a = 0 }
       /* The reservation was not confirmed in time: the attempt is abandoned. */
       :: attempt[a] == RESERVING ->
          d_step { attempt[a] = ABANDONED; recordNotRun = recordNotRun | BIT(a); tell_not_run(a); a = 0 }
       /* The server runs the request, even if its owner has been killed. */
       :: inTransit & BIT(a) ->
          d_step { execute(a); a = 0 }
       /* The message to the server is lost. */
       :: inTransit & BIT(a) ->
          d_step { inTransit = inTransit & ~BIT(a); a = 0 }
       /* The answer arrives, or the connection breaks. */
       :: (answered & BIT(a)) && attempt[a] == DISPATCHED ->
          d_step { attempt[a] = FINISHED; recordAnswer = recordAnswer | BIT(a); a = 0 }
       :: attempt[a] == DISPATCHED ->
          d_step { attempt[a] = FINISHED; recordUnknown = recordUnknown | BIT(a); a = 0 }
#ifdef RESEND_DISPATCH
       :: attempt[a] == DISPATCHED && !(inTransit & BIT(a)) ->
          d_step { inTransit = inTransit | BIT(a); a = 0 }
#endif
#ifdef NOT_RUN_LATE
       :: attempt[a] == DISPATCHED ->
          d_step { attempt[a] = FINISHED; recordNotRun = recordNotRun | BIT(a); tell_not_run(a); a = 0 }
#endif
       /* Outcomes are committed. */
       :: recordAnswer & BIT(a) ->
          d_step {
            owns(a, isOwner);
            if
            :: record == RESERVED && isOwner -> record = ANSWERED
            :: else
            fi;
            isOwner = false; a = 0
          }
       :: recordUnknown & BIT(a) ->
          d_step {
            owns(a, isOwner);
            if
            :: record == RESERVED && isOwner -> record = UNKNOWN
            :: else
            fi;
            isOwner = false; a = 0
          }
       :: recordNotRun & BIT(a) ->
          d_step { commit_not_run(a); a = 0 }
       /* The entry of a refused duplicate asks the owner to abandon its attempt.
          The duplicate's caller is told "not run", as it was never dispatched. */
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
       /* The owner answers that it has abandoned the attempt, or is found to be
          gone. */
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
       /* The entry of the duplicate records the answer of the owner. */
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
       /* An entry is killed; the first incarnation restarts. */
       :: a < 2 && attempt[a] != KILLED ->
          d_step { attempt[a] = KILLED; attempt[a + 2] = IDLE; a = 0 }
       :: a >= 2 && attempt[a] != KILLED && attempt[a] != ABSENT ->
          d_step { attempt[a] = KILLED; a = 0 }
       :: else -> a = 0
       fi
     }
  od
}
