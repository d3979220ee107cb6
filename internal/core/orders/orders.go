// Package orders sends a leader's orders to backend servers with fencing.
//
// Orders are idempotent: each states a desired condition. A backend server that
// checks fencing numbers refuses orders of older terms. For a backend server
// that ignores them, the leader sends an order only if its lease lasts beyond
// the order's deadline, and a new leader sends none until the previous leader's
// lease has expired. Before it sends orders, the dispatcher reads the current
// conditions of a backend server; it then corrects those that differ.
//
// A Dispatcher is a state machine without I/O. The caller must read its clock
// immediately before each step and carry out the effects at once: if the process
// is suspended between the two, an order may be written after its deadline.
package orders

import (
	"maps"
	"slices"
	"time"

	"waxwingcart/internal/core/fleet"
)

// Options configures a Dispatcher. Zero durations take the defaults below.
type Options struct {
	// LeaseDuration is the longest lease that any leader may hold.
	LeaseDuration time.Duration
	// MaxClockDrift is the largest relative difference between the rates of two
	// replicas' clocks, as a fraction.
	MaxClockDrift float64
	// OrderTimeout bounds one order or read. Default 500 ms.
	OrderTimeout time.Duration
	// RetryAfter is the delay before a retry after a failure. Default 1 s.
	RetryAfter time.Duration
	// ReadInterval is the time between two reads of a backend server whose
	// conditions are as desired. Default 30 s.
	ReadInterval time.Duration
}

const (
	defaultOrderTimeout = 500 * time.Millisecond
	defaultRetryAfter   = time.Second
	defaultReadInterval = 30 * time.Second
)

// server is the state of one backend server.
type server struct {
	name    string
	fencing fleet.Fencing
	desired map[Kind]string
	// current holds the last known conditions. It is nil until they are read
	// in this term, and after a failed or refused order or an expired call.
	current map[Kind]string
	call    *call
	nextTry time.Duration
	// applied counts applied orders and failed counts failed calls, for the
	// state dump.
	applied int
	failed  int
}

// call is a read or order in flight. It ends with its result or at its deadline,
// whichever comes first. Each backend server has at most one call in flight, so
// that orders of one leader are not reordered.
type call struct {
	sequence uint64
	read     bool
	kind     Kind
	value    string
	deadline time.Duration
	// abandoned is set if the call failed or belongs to an earlier term. An
	// abandoned order may still be applied until its deadline.
	abandoned bool
}

// Dispatcher keeps backend servers in their desired conditions while its
// replica is leader.
type Dispatcher struct {
	options Options
	// leaseWait is how long a new leader waits until no lease of an earlier
	// leader can be valid any more.
	leaseWait time.Duration
	servers   map[string]*server
	// names holds the keys of servers in sorted order.
	names      []string
	leading    bool
	term       uint64
	waitUntil  time.Duration
	leaseUntil time.Duration
	sequence   uint64
	// highestFencing is the highest fencing number that a backend server
	// reported.
	highestFencing uint64
	staleAnswers   uint64
}

// New returns a dispatcher whose replica is not leader.
func New(options Options) *Dispatcher {
	setDefault(&options.OrderTimeout, defaultOrderTimeout)
	setDefault(&options.RetryAfter, defaultRetryAfter)
	setDefault(&options.ReadInterval, defaultReadInterval)
	return &Dispatcher{
		options:   options,
		leaseWait: maxElapsed(options.LeaseDuration, options.MaxClockDrift),
		servers:   make(map[string]*server),
	}
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// maxElapsed returns the longest time that can elapse on one replica's clock
// while d elapses on another's, given their relative drift.
func maxElapsed(d time.Duration, drift float64) time.Duration {
	return d + time.Duration(float64(d)*drift) + 1
}

// Step applies one event and returns the effects, which the caller must carry
// out at once.
func (d *Dispatcher) Step(now time.Duration, event Event) Effects {
	var effects Effects
	switch e := event.(type) {
	case BecameLeader:
		d.startTerm(now, e.Term)
	case Leased:
		if d.leading && e.Term == d.term {
			d.leaseUntil = max(d.leaseUntil, e.Until)
		}
	case SteppedDown:
		d.leading = false
	case Desired:
		d.setDesired(e)
	case Removed:
		d.remove(e.Server)
	case SendResult:
		d.stepSendResult(now, e)
	case ReadResult:
		d.stepReadResult(now, e)
	case Tick:
	}
	if d.leading && d.highestFencing > d.term {
		d.leading = false
		effects.StepDown = d.highestFencing
	}
	d.dispatch(now, &effects)
	return effects
}

// startTerm makes this replica the leader of a term. It discards what was read
// in earlier terms and abandons their calls. For backend servers that ignore
// fencing numbers this is safe because the calls' deadlines lie within the lease
// that must expire first.
func (d *Dispatcher) startTerm(now time.Duration, term uint64) {
	if term <= d.term {
		return
	}
	d.leading = true
	d.term = term
	d.leaseUntil = 0
	d.waitUntil = now + d.leaseWait
	for _, s := range d.servers {
		s.current = nil
		s.nextTry = 0
		if s.call != nil {
			s.call.abandoned = true
		}
	}
}

func (d *Dispatcher) setDesired(e Desired) {
	s, ok := d.servers[e.Server]
	if !ok {
		s = &server{name: e.Server}
		d.servers[e.Server] = s
		at, _ := slices.BinarySearch(d.names, e.Server)
		d.names = slices.Insert(d.names, at, e.Server)
	}
	s.fencing = e.Fencing
	if !maps.Equal(s.desired, e.Conditions) {
		s.desired = maps.Clone(e.Conditions)
		s.nextTry = 0
	}
}

func (d *Dispatcher) remove(name string) {
	if _, ok := d.servers[name]; !ok {
		return
	}
	delete(d.servers, name)
	at, _ := slices.BinarySearch(d.names, name)
	d.names = slices.Delete(d.names, at, at+1)
}

// serverForCall returns the server whose call in flight a result belongs to. It
// returns nil, and counts a stale answer, if there is none.
func (d *Dispatcher) serverForCall(name string, sequence uint64, read bool) *server {
	s, ok := d.servers[name]
	if !ok || s.call == nil || s.call.sequence != sequence || s.call.read != read || s.call.abandoned {
		d.staleAnswers++
		return nil
	}
	return s
}

func (d *Dispatcher) stepSendResult(now time.Duration, e SendResult) {
	if e.Result == ResultRefused {
		d.highestFencing = max(d.highestFencing, e.Highest)
	}
	s := d.serverForCall(e.Server, e.Sequence, false)
	if s == nil {
		return
	}
	switch e.Result {
	case ResultApplied:
		s.applied++
		if s.current != nil {
			s.current[s.call.kind] = s.call.value
		}
		s.call = nil
	case ResultRefused:
		s.failed++
		s.current = nil
		s.call = nil
		s.nextTry = now + d.options.RetryAfter
	case ResultFailed:
		d.abandonCall(now, s)
	}
}

// abandonCall marks the call in flight as failed. Its effect is unknown, so the
// conditions are read again once its deadline has passed.
func (d *Dispatcher) abandonCall(now time.Duration, s *server) {
	s.failed++
	s.call.abandoned = true
	s.current = nil
	s.nextTry = now + d.options.RetryAfter
}

func (d *Dispatcher) stepReadResult(now time.Duration, e ReadResult) {
	if e.OK {
		d.highestFencing = max(d.highestFencing, e.Highest)
	}
	s := d.serverForCall(e.Server, e.Sequence, true)
	if s == nil {
		return
	}
	s.call = nil
	if !e.OK {
		s.failed++
		s.nextTry = now + d.options.RetryAfter
		return
	}
	s.current = maps.Clone(e.Conditions)
	if s.current == nil {
		s.current = make(map[Kind]string)
	}
	s.nextTry = now + d.options.ReadInterval
}

// dispatch starts a call for each backend server that needs one and has none in
// flight.
func (d *Dispatcher) dispatch(now time.Duration, effects *Effects) {
	for _, name := range d.names {
		s := d.servers[name]
		d.expire(now, s)
		if s.call != nil || !d.mayCall(now, s.fencing) {
			continue
		}
		kind, differs := s.firstDifference()
		switch {
		case s.current == nil || (!differs && now >= s.nextTry):
			if now >= s.nextTry {
				d.read(now, s, effects)
			}
		case differs:
			d.order(now, s, kind, effects)
		}
	}
}

// expire removes a call whose deadline has passed.
func (d *Dispatcher) expire(now time.Duration, s *server) {
	if s.call == nil || now <= s.call.deadline {
		return
	}
	if !s.call.abandoned {
		d.abandonCall(now, s)
	}
	s.call = nil
}

// mayCall reports whether a call may start now. It is checked before each call,
// so that a process that was suspended notices that its lease has expired.
func (d *Dispatcher) mayCall(now time.Duration, fencing fleet.Fencing) bool {
	if !d.leading {
		return false
	}
	if fencing == fleet.FencingChecked {
		return true
	}
	return now >= d.waitUntil && now+d.options.OrderTimeout < d.leaseUntil
}

// firstDifference returns the first kind, in order of name, whose current value
// is not the desired one.
func (s *server) firstDifference() (Kind, bool) {
	for _, kind := range slices.Sorted(maps.Keys(s.desired)) {
		if value, ok := s.current[kind]; !ok || value != s.desired[kind] {
			return kind, true
		}
	}
	return "", false
}

func (d *Dispatcher) read(now time.Duration, s *server, effects *Effects) {
	s.call = d.newCall(now)
	s.call.read = true
	effects.Reads = append(effects.Reads, Read{Server: s.name, Sequence: s.call.sequence, Deadline: s.call.deadline})
}

func (d *Dispatcher) order(now time.Duration, s *server, kind Kind, effects *Effects) {
	s.call = d.newCall(now)
	s.call.kind = kind
	s.call.value = s.desired[kind]
	effects.Sends = append(effects.Sends, Send{
		Server:   s.name,
		Sequence: s.call.sequence,
		Fencing:  d.term,
		Kind:     kind,
		Value:    s.call.value,
		Deadline: s.call.deadline,
	})
}

func (d *Dispatcher) newCall(now time.Duration) *call {
	d.sequence++
	return &call{sequence: d.sequence, deadline: now + d.options.OrderTimeout}
}

// State is the dispatcher's part of the state dump.
type State struct {
	Leading bool   `json:"leading"`
	Term    uint64 `json:"term"`
	// WaitMS is how long the leader still waits for the previous leader's
	// lease to expire.
	WaitMS int64 `json:"wait_ms"`
	// LeaseMS is how long this leader's lease is still valid.
	LeaseMS int64 `json:"lease_ms"`
	// StaleAnswers counts the results that matched no call in flight.
	StaleAnswers uint64        `json:"stale_answers"`
	Servers      []ServerState `json:"servers"`
}

// ServerState is the state of one backend server as shown in the state dump.
type ServerState struct {
	Server  string          `json:"server"`
	Fencing fleet.Fencing   `json:"fencing"`
	Desired map[Kind]string `json:"desired"`
	// Current is missing if the conditions have not been read since the last
	// change of leader or failure.
	Current map[Kind]string `json:"current,omitempty"`
	// Settled is true if all conditions are as desired.
	Settled bool `json:"settled"`
	Applied int  `json:"applied"`
	Failed  int  `json:"failed"`
}

// State returns the dispatcher's state at the given time.
func (d *Dispatcher) State(now time.Duration) State {
	state := State{
		Leading:      d.leading,
		Term:         d.term,
		WaitMS:       max(0, d.waitUntil-now).Milliseconds(),
		LeaseMS:      max(0, d.leaseUntil-now).Milliseconds(),
		StaleAnswers: d.staleAnswers,
	}
	for _, name := range d.names {
		s := d.servers[name]
		_, differs := s.firstDifference()
		state.Servers = append(state.Servers, ServerState{
			Server:  name,
			Fencing: s.fencing,
			Desired: maps.Clone(s.desired),
			Current: maps.Clone(s.current),
			Settled: s.current != nil && !differs,
			Applied: s.applied,
			Failed:  s.failed,
		})
	}
	return state
}
