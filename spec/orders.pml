/*
 * Orders to a backend server by an old leader (term 1) and a new one (term 2).
 *
 * Time passes in steps. Each leader's clock may run wrong by DRIFT steps in
 * the course of a lease: the old leader's slow, the new leader's fast. The old
 * leader may be frozen for any time, which here means that it does not act. An
 * order reaches the server within its deadline or never, unless the server
 * checks fencing numbers: then it may arrive at any time.
 *
 * CHECKED sets the server to refuse older fencing numbers. Without it the
 * server ignores them, and leaders send only inside their lease.
 *
 * Checked: once an order of the new leader was applied, none of the old leader
 * is; no order is sent by a leader whose lease is over.
 *
 * Mutations, each of which must be found:
 *   NO_WAIT             the new leader does not wait out the old lease
 *   NO_DRIFT            it waits without a margin for drift
 *   NO_ROOM             an order's deadline may lie after the lease
 *   NO_LEASE_CHECK      the old leader does not check its lease
 *   LEASE_FROM_ANSWER   the lease starts when the quorum's answer arrives
 *   FREEZE_BEFORE_SEND  the old leader freezes between check and send
 *   NUMBER_IGNORED      (CHECKED) the server does not compare the numbers
 */
#define LEASE 4
#define DRIFT 1
#define DEADLINE 1
#define HORIZON 16
#ifdef NO_DRIFT
#define WAIT LEASE
#else
#define WAIT (LEASE + 2 * DRIFT)
#endif

byte now;
bool elected;

/* Old leader: age of its lease on its own clock. */
byte age;
byte slow;
bool checkedLease;
bool heartbeat;

/* New leader: time since its election on its own clock. */
byte waited;
byte fast;

/* Orders under way: time left, or 1 for good on a CHECKED server. */
byte flight1;
byte flight2;

/* The server. */
byte highest;
bool newApplied;

inline order_old() {
  flight1 = DEADLINE + 1;
  checkedLease = false;
#ifndef CHECKED
  assert(!newApplied)
#endif
}

inline apply_old() {
#ifdef CHECKED
#ifdef NUMBER_IGNORED
  assert(!newApplied);
#else
  if
  :: highest <= 1 -> assert(!newApplied); highest = 1
  :: else
  fi
#endif
#else
  assert(!newApplied);
  flight1 = 0
#endif
}

inline apply_new() {
  highest = 2;
  newApplied = true;
#ifndef CHECKED
  flight2 = 0
#endif
}

inline tick() {
  now++;
  if
  :: flight1 > 0 -> flight1--
  :: else
  fi;
  if
  :: flight2 > 0 -> flight2--
  :: else
  fi
}

init {
end:
  do
  /* Time passes; clocks may be wrong within the bound. */
  :: atomic {
       now < HORIZON ->
       if
       :: age <= LEASE -> age++
       :: age > LEASE
       :: slow < DRIFT -> slow++
       fi;
       if
       :: elected && waited < WAIT -> waited++
       :: elected && waited < WAIT && fast < DRIFT -> fast++; waited = waited + 2
       :: !elected || waited >= WAIT
       fi;
#ifdef CHECKED
       now++
#else
       d_step { tick() }
#endif
     }
  /* The quorum renews the old leader's lease until it votes for the new one. */
  :: d_step { !elected -> age = 0; slow = 0; heartbeat = true }
#ifdef LEASE_FROM_ANSWER
  :: d_step { heartbeat -> age = 0; slow = 0; heartbeat = false }
#endif
  :: d_step { !elected -> elected = true }
  /* The old leader sends an order. */
#ifdef CHECKED
  :: d_step { flight1 = 1 }
  :: d_step { elected -> flight2 = 1 }
#else
#ifdef NO_LEASE_CHECK
  :: d_step { flight1 == 0 -> order_old() }
#endif
#ifdef NO_ROOM
  :: d_step { age < LEASE && flight1 == 0 -> order_old() }
#endif
#ifdef FREEZE_BEFORE_SEND
  :: d_step { age + DEADLINE < LEASE -> checkedLease = true }
  :: d_step { checkedLease && flight1 == 0 -> order_old() }
#endif
  :: d_step { age + DEADLINE < LEASE && flight1 == 0 -> order_old() }
  /* The new leader sends one after it has waited. */
#ifdef NO_WAIT
  :: d_step { elected && flight2 == 0 -> flight2 = DEADLINE + 1 }
#endif
  :: d_step { elected && waited >= WAIT && flight2 == 0 -> flight2 = DEADLINE + 1 }
#endif
  /* Orders reach the server, also more than once. */
  :: d_step { flight1 > 0 -> apply_old() }
  :: d_step { flight2 > 0 -> apply_new() }
  od
}
