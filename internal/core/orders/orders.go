// Package orders sends a leader's orders to backend servers with fencing.
//
// An order states the desired condition, so that repeating it is harmless. A
// backend server that checks fencing numbers refuses orders of older terms. For
// one that ignores them, an order is sent only inside the lease with room for
// its deadline, and a new leader waits out the old lease before its first
// order. The dispatcher reads back what a backend server has before it orders,
// and corrects the difference.
//
// A Dispatcher is a state machine without I/O. The caller must pass the time
// of its clock just before a step and carry out the effects at once: a process
// that is frozen between the two may still write an order late.
package orders

import (
	"maps"
	"slices"
	"time"

	"waxwingcart/internal/core/fleet"
)

// Options configures a Dispatcher. Zero durations take the defaults given.
type Options struct {
	// LeaseDuration is the longest lease of any leader.
	LeaseDuration time.Duration
	// MaxClockDrift is the largest relative difference in the rate of two
	// replicas' clocks, as a fraction.
	MaxClockDrift float64
	// OrderTimeout bounds one order or read. Default 500 ms.
	OrderTimeout time.Duration
	// RetryAfter is the time between a failure and the next try. Default 1 s.
	RetryAfter time.Duration
	// ReadInterval is the time between two readings of a backend server that
	// has what is desired. Default 30 s.
	ReadInterval time.Duration
}

const (
	defaultOrderTimeout = 500 * time.Millisecond
	defaultRetryAfter   = time.Second
	defaultReadInterval = 30 * time.Second
)

// server is one backend server's conditions as far as known.
type server struct {
	name    string
	fencing fleet.Fencing
	desired map[Kind]string
	// current is nil until it was read in this term.
	current map[Kind]string
	call    *call
	nextTry time.Duration
	// applied and failed count orders, for the dump.
	applied int
	failed  int
}

// call is a read or order under way. It ends by its answer or its deadline,
// whichever comes first; until then the server gets no other, so that orders
// of one leader are not reordered.
type call struct {
	sequence uint64
	read     bool
	kind     Kind
	value    string
	deadline time.Duration
	// lost is set if the call failed: it may still be applied until its
	// deadline.
	lost bool
}

// Dispatcher keeps backend servers at their desired conditions while its
// replica leads.
type Dispatcher struct {
	options  Options
	waitOut  time.Duration
	servers  map[string]*server
	names    []string
	leading  bool
	term     uint64
	waitTill time.Duration
	lease    time.Duration
	sequence uint64
	// refused is the highest fencing number seen that is not our own.
	refused uint64
	stale   uint64
}

// New returns a dispatcher that does not lead.
func New(options Options) *Dispatcher {
	setDefault(&options.OrderTimeout, defaultOrderTimeout)
	setDefault(&options.RetryAfter, defaultRetryAfter)
	setDefault(&options.ReadInterval, defaultReadInterval)
	return &Dispatcher{
		options: options,
		waitOut: stretch(options.LeaseDuration, options.MaxClockDrift),
		servers: make(map[string]*server),
	}
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// stretch returns the time that a clock shows at most while another one
// shows d.
func stretch(d time.Duration, drift float64) time.Duration {
	return d + time.Duration(float64(d)*drift) + 1
}

// Step takes in one event and returns what to do at once.
func (d *Dispatcher) Step(now time.Duration, event Event) Effects {
	var effects Effects
	switch e := event.(type) {
	case Led:
		d.lead(now, e.Term)
	case Leased:
		if d.leading && e.Term == d.term {
			d.lease = max(d.lease, e.Until)
		}
	case SteppedDown:
		d.leading = false
	case Desired:
		d.desire(e)
	case Removed:
		d.remove(e.Server)
	case Answer:
		d.stepAnswer(now, e)
	case Current:
		d.stepCurrent(now, e)
	case Tick:
	}
	if d.leading && d.refused > d.term {
		d.leading = false
		effects.StepDown = d.refused
	}
	d.dispatch(now, &effects)
	return effects
}

// lead starts a term. What was read in earlier terms no longer counts, and
// calls of earlier terms are no longer waited for: their deadlines lie inside
// the lease that is waited out.
func (d *Dispatcher) lead(now time.Duration, term uint64) {
	if term <= d.term {
		return
	}
	d.leading = true
	d.term = term
	d.lease = 0
	d.waitTill = now + d.waitOut
	for _, s := range d.servers {
		s.current = nil
		s.nextTry = 0
		if s.call != nil {
			s.call.lost = true
		}
	}
}

func (d *Dispatcher) desire(e Desired) {
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

// pending returns the server whose call an answer belongs to, or nil if the
// answer is stale.
func (d *Dispatcher) pending(name string, sequence uint64, read bool) *server {
	s, ok := d.servers[name]
	if !ok || s.call == nil || s.call.sequence != sequence || s.call.read != read || s.call.lost {
		d.stale++
		return nil
	}
	return s
}

func (d *Dispatcher) stepAnswer(now time.Duration, e Answer) {
	if e.Result == ResultRefused {
		d.refused = max(d.refused, e.Highest)
	}
	s := d.pending(e.Server, e.Sequence, false)
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
		d.lose(now, s)
	}
}

// lose marks a call as failed. Its effect is unknown, so that the conditions
// are read again after its deadline.
func (d *Dispatcher) lose(now time.Duration, s *server) {
	s.failed++
	s.call.lost = true
	s.current = nil
	s.nextTry = now + d.options.RetryAfter
}

func (d *Dispatcher) stepCurrent(now time.Duration, e Current) {
	if e.OK {
		d.refused = max(d.refused, e.Highest)
	}
	s := d.pending(e.Server, e.Sequence, true)
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

// dispatch starts the next call of each backend server that needs one.
func (d *Dispatcher) dispatch(now time.Duration, effects *Effects) {
	for _, name := range d.names {
		s := d.servers[name]
		d.expire(now, s)
		if s.call != nil || !d.allowed(now, s.fencing) {
			continue
		}
		kind, differs := s.difference()
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

// expire ends a call whose deadline has passed.
func (d *Dispatcher) expire(now time.Duration, s *server) {
	if s.call == nil || now <= s.call.deadline {
		return
	}
	if !s.call.lost {
		d.lose(now, s)
	}
	s.call = nil
}

// allowed tells whether a call may start now. It is asked before each effect,
// so that a process that was frozen sees that its lease is over.
func (d *Dispatcher) allowed(now time.Duration, fencing fleet.Fencing) bool {
	if !d.leading {
		return false
	}
	if fencing == fleet.FencingChecked {
		return true
	}
	return now >= d.waitTill && now+d.options.OrderTimeout < d.lease
}

// difference returns the first kind in order of name that is not as desired.
func (s *server) difference() (Kind, bool) {
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

// State is the dispatcher as the dump shows it.
type State struct {
	Leading bool   `json:"leading"`
	Term    uint64 `json:"term"`
	// WaitMS is how long the earlier leader's lease is still waited out.
	WaitMS int64 `json:"wait_ms"`
	// LeaseMS is how long this leader's lease still holds.
	LeaseMS int64 `json:"lease_ms"`
	// StaleAnswers counts the answers that matched no call.
	StaleAnswers uint64        `json:"stale_answers"`
	Servers      []ServerState `json:"servers"`
}

// ServerState is one backend server as the dump shows it.
type ServerState struct {
	Server  string          `json:"server"`
	Fencing fleet.Fencing   `json:"fencing"`
	Desired map[Kind]string `json:"desired"`
	// Current is missing if it was not read since the last change of leader
	// or failure.
	Current map[Kind]string `json:"current,omitempty"`
	// Settled is true if nothing differs.
	Settled bool `json:"settled"`
	Applied int  `json:"applied"`
	Failed  int  `json:"failed"`
}

// State returns the state at a time.
func (d *Dispatcher) State(now time.Duration) State {
	state := State{
		Leading:      d.leading,
		Term:         d.term,
		WaitMS:       max(0, d.waitTill-now).Milliseconds(),
		LeaseMS:      max(0, d.lease-now).Milliseconds(),
		StaleAnswers: d.stale,
	}
	for _, name := range d.names {
		s := d.servers[name]
		_, differs := s.difference()
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
