package placement

import "time"

const (
	// After a pause, work returns in steps: each allows twice as many attempts as the
	// one before and ends when as many have been answered. The pause is over
	// after the step with maxStep attempts.
	firstStep = 1
	maxStep   = 32
	// stepTimeout is the time after which a step begins again, if its attempts got no
	// answer.
	stepTimeout = time.Second
	// minReturn is the shortest wait until a server is expected to take more work.
	minReturn = 100 * time.Millisecond
)

// suspension is a pause that a server has asked this entry for, and the return of work
// after it.
type suspension struct {
	until time.Duration
	// step is the number of attempts that the current step allows; sent and answered
	// count its attempts. It began at stepAt.
	step, sent, answered int
	stepAt               time.Duration
}

// takes reports whether the server may get another attempt of this entry.
func (s *suspension) takes(now time.Duration) bool {
	return now >= s.until && (s.sent < s.step || now-s.stepAt >= stepTimeout)
}

// returnsIn is the time until the server may get another attempt.
func (s *suspension) returnsIn(now time.Duration) time.Duration {
	return max(s.until-now, minReturn)
}

func (s *suspension) placed(now time.Duration) {
	if s.sent == 0 || now-s.stepAt >= stepTimeout {
		s.sent, s.answered, s.stepAt = 0, 0, now
	}
	s.sent++
}

// answeredOne counts an answer to an attempt placed after the pause. It returns true
// when the last step has ended.
func (s *suspension) answeredOne() bool {
	if s.answered++; s.answered < s.step {
		return false
	}
	over := s.step >= maxStep
	s.step, s.sent, s.answered = 2*s.step, 0, 0
	return over
}

// Suspend records that a server wants no work from this entry for a time. The longest
// pause that it asked for counts. Suspend returns false if the server was suspended
// before.
func (p *Placer) Suspend(now time.Duration, instance string, pause time.Duration) bool {
	s, known := p.suspended[instance]
	if !known {
		s = &suspension{}
		p.suspended[instance] = s
	}
	began := !known || now >= s.until
	*s = suspension{until: max(s.until, now+pause), step: firstStep}
	return began
}

// Takes reports whether this entry may place an attempt at a server now.
func (p *Placer) Takes(now time.Duration, instance string) bool {
	s := p.suspended[instance]
	return !p.IsLeaving(instance) && (s == nil || s.takes(now))
}

// Takers returns the servers that may get a request now, whatever limiter it has.
func (p *Placer) Takers(now time.Duration, request *Request) []string {
	var takers []string
	for _, s := range p.byName[request.Service] {
		if request.allows(s) && p.Takes(now, s.Name) {
			takers = append(takers, s.Name)
		}
	}
	return takers
}

// SoonestReturn returns the time until a server of the service takes work again. It
// returns false unless all servers that don't leave are suspended.
func (p *Placer) SoonestReturn(now time.Duration, service string) (time.Duration, bool) {
	return p.soonestReturn(now, &Request{Service: service})
}

// SoonestReturnOf is SoonestReturn for the servers of one version.
func (p *Placer) SoonestReturnOf(now time.Duration, service, version string) (time.Duration, bool) {
	return p.soonestReturn(now, &Request{Service: service, Pinned: true, Version: version})
}

func (p *Placer) soonestReturn(now time.Duration, request *Request) (time.Duration, bool) {
	soonest, found := time.Duration(0), false
	for _, server := range p.byName[request.Service] {
		if !request.allows(server) || p.IsLeaving(server.Name) {
			continue
		}
		if p.Takes(now, server.Name) {
			return 0, false
		}
		if wait := p.suspended[server.Name].returnsIn(now); !found || wait < soonest {
			soonest, found = wait, true
		}
	}
	return soonest, found
}

// NoteInvalidPause returns true the first time that it is called for a known server.
func (p *Placer) NoteInvalidPause(instance string) bool {
	s := p.servers[instance]
	if s == nil || s.invalidPause {
		return false
	}
	s.invalidPause = true
	return true
}

// placedAt counts an attempt of this entry at a server whose pause has ended.
func (p *Placer) placedAt(now time.Duration, placed *Job) {
	if s := p.suspended[placed.Server]; s != nil && placed.ID.Origin == p.origin && now >= s.until {
		s.placed(now)
	}
}

// answered counts the answer to an attempt of this entry that was placed after a pause.
func (p *Placer) answered(j *job) {
	s := p.suspended[j.Server]
	if s != nil && j.ID.Origin == p.origin && j.placed >= s.until && s.answeredOne() {
		delete(p.suspended, j.Server)
	}
}

// expireSuspensions forgets pauses that are over at instances that are not listed.
func (p *Placer) expireSuspensions(now time.Duration) {
	for instance, s := range p.suspended {
		if now >= s.until && !p.listed[instance] {
			delete(p.suspended, instance)
		}
	}
}
