/*
 * Orders to a backend server by an old leader (term 1) and a new one (term 2).
 *
 * Time passes in steps. Each leader's clock may deviate by DRIFT steps in the
 * course of a lease: the old leader's clock may be slow, the new leader's fast.
 * The old leader may be frozen for any time, which means that it takes no
 * steps. An order reaches the server within its deadline or never, unless the
 * server checks fencing numbers: then it may arrive at any time.
 *
 * With CHECKED the server refuses older fencing numbers. Without it the server
 * ignores them, and leaders send orders only within their lease.
 *
 * Checked: once an order of the new leader was applied, no order of the old
 * leader is; no leader sends an order after the end of its lease.
 *
 * Mutations, each of which must be found:
 *   NO_WAIT             the new leader does not wait until the old lease ends
 *   NO_DRIFT            it waits without a margin for clock drift
 *   NO_ROOM             an order's deadline may be later than the lease's end
 *   NO_LEASE_CHECK      the old leader does not check its lease
 *   LEASE_FROM_ANSWER   the lease counts from the arrival of the quorum's answer,
 *                       not from the sending of the heartbeat
 *   FREEZE_BEFORE_SEND  the old leader freezes between checking its lease and
 *                       sending
 *   NUMBER_IGNORED      (CHECKED) the server does not compare the numbers
 */
/* Times are in steps. The new leader waits for a lease and for the error of both
   leaders' clocks. */
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

/* Old leader: age of its lease on its own clock, and by how many steps that
   clock is slow. */
byte leaseAge;
byte oldClockLag;
bool checkedLease;
bool heartbeat;

/* New leader: time since its election on its own clock, and by how many steps
   that clock is fast. */
byte sinceElection;
byte newClockLead;

/* Orders in flight of the old and the new leader: steps that are left for the
   arrival, 0 if there is none. With CHECKED it stays 1 once an order was sent,
   which may arrive at any time. */
byte oldInFlight;
byte newInFlight;

/* Server: highest fencing number, and whether an order of the new leader was
   applied. */
byte highest;
bool newApplied;

inline send_old() {
  oldInFlight = DEADLINE + 1;
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
  oldInFlight = 0
#endif
}

inline apply_new() {
  highest = 2;
  newApplied = true;
#ifndef CHECKED
  newInFlight = 0
#endif
}

inline tick() {
  now++;
  if
  :: oldInFlight > 0 -> oldInFlight--
  :: else
  fi;
  if
  :: newInFlight > 0 -> newInFlight--
  :: else
  fi
}

init {
end:
  do
  /* Time passes; clocks may deviate within the bound. */
  :: atomic {
       now < HORIZON ->
       if
       :: leaseAge <= LEASE -> leaseAge++
       :: leaseAge > LEASE
       :: oldClockLag < DRIFT -> oldClockLag++
       fi;
       if
       :: elected && sinceElection < WAIT -> sinceElection++
       :: elected && sinceElection < WAIT && newClockLead < DRIFT -> newClockLead++; sinceElection = sinceElection + 2
       :: !elected || sinceElection >= WAIT
       fi;
#ifdef CHECKED
       now++
#else
       d_step { tick() }
#endif
     }
  /* The quorum renews the old leader's lease until it votes for the new one. */
  :: d_step { !elected -> leaseAge = 0; oldClockLag = 0; heartbeat = true }
#ifdef LEASE_FROM_ANSWER
  :: d_step { heartbeat -> leaseAge = 0; oldClockLag = 0; heartbeat = false }
#endif
  :: d_step { !elected -> elected = true }
  /* The old leader sends an order. */
#ifdef CHECKED
  :: d_step { oldInFlight = 1 }
  :: d_step { elected -> newInFlight = 1 }
#else
#ifdef NO_LEASE_CHECK
  :: d_step { oldInFlight == 0 -> send_old() }
#endif
#ifdef NO_ROOM
  :: d_step { leaseAge < LEASE && oldInFlight == 0 -> send_old() }
#endif
#ifdef FREEZE_BEFORE_SEND
  :: d_step { leaseAge + DEADLINE < LEASE -> checkedLease = true }
  :: d_step { checkedLease && oldInFlight == 0 -> send_old() }
#endif
  :: d_step { leaseAge + DEADLINE < LEASE && oldInFlight == 0 -> send_old() }
  /* The new leader sends an order after its wait. */
#ifdef NO_WAIT
  :: d_step { elected && newInFlight == 0 -> newInFlight = DEADLINE + 1 }
#endif
  :: d_step { elected && sinceElection >= WAIT && newInFlight == 0 -> newInFlight = DEADLINE + 1 }
#endif
  /* Orders reach the server, possibly more than once. */
  :: d_step { oldInFlight > 0 -> apply_old() }
  :: d_step { newInFlight > 0 -> apply_new() }
  od
}
