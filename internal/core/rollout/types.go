package rollout

import "time"

// LeaseLifetime is how long a lease may be used, from the time at which the entry asked for
// it. With the longest interval between two draws, 1.2 s, a decision is in force at an entry
// within 3 s even if it is cut off.
const LeaseLifetime = 1500 * time.Millisecond

// FinalLifetime is the lifetime of a lease of the last step, the longest that is allowed: the old servers
// end when the roll-out is complete, and an entry that misses some answers would still send to them.
const FinalLifetime = 2 * time.Second

// Report is what one entry has counted since it learned of a roll-out. Counts are cumulative.
type Report struct {
	// Number is that of the roll-out.
	Number uint64
	// Incarnation identifies the run of the entry's process.
	Incarnation uint64
	// Sequence numbers the reports of an incarnation.
	Sequence uint64
	// Requests is the number of requests that reached the service, and Sent how many were sent to
	// the target.
	Requests, Sent uint64
	// Returned is the number of requests of leases that expired unused, and Held the number that the
	// entry may still send.
	Returned, Held uint64
	// Wanted is the number of requests that the entry expects within the lifetime of a lease.
	Wanted int
	// Old is the number of requests that run at servers of other versions.
	Old int
	// Step is the highest step of the leases that the entry was granted.
	Step int
	// Evidence holds the counts by version and route.
	Evidence Evidence
}

// Lease is the leader's answer for one roll-out.
type Lease struct {
	Service string
	Target  string
	Number  uint64
	State   State
	// Requests is the number of requests granted with this answer.
	Requests int
	// Servers is the number of the target's servers that get requests. They are the first by name.
	Servers int
	Step    int
	// Final is true in the last step: all requests are to go to the target, also those that are
	// expected to be late there.
	Final bool
}

// Fleet is the number of servers of a service that take work.
type Fleet struct {
	Target, Old int
}

// Decision ends a roll-out.
type Decision struct {
	State State
	Cause string
}
