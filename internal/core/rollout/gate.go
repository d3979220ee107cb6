package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// rateWindow is the time constant of the average rate of requests from which an entry
	// computes how many it wants.
	rateWindow = 2 * time.Second
	// minRate is the decayed count of requests below which an entry wants none. Idle entries would
	// keep requests from the others until their leases expire.
	minRate = 0.1
	// maxRoutes bounds the routes that are counted by themselves; others are counted together.
	maxRoutes = 48
	// otherRoutes is the key of the routes beyond maxRoutes.
	otherRoutes = "*"
	// alarmFailures is the number of failures under one lease from which an entry sends no more
	// under it and reports at once.
	alarmFailures = 3
	// silentLeader is how long an entry without an answer waits until it believes a list of its own
	// in which a service has servers of one version only.
	silentLeader = 3 * time.Second
)

// Gate decides at one entry which versions a request may be sent to.
type Gate struct {
	incarnation uint64
	services    map[string]*gated
	// known holds the versions of each service that may be used, as a list that came with the leader's
	// answer, or one from before any roll-out, had them.
	known map[string][]string
	// listed holds the versions of each service in the latest list.
	listed map[string][]string
	// listedAt is when the list was put in use, and answeredAt when the leader's roll-outs were last known.
	listedAt, answeredAt time.Duration
	sequence             uint64
	// running holds the numbers of running attempts by service and version, also of services without a
	// roll-out: those that began before its order have to end before it is complete.
	running map[string]map[string]int
}

// gated is a service with a roll-out.
type gated struct {
	lease Lease
	// held is the number of requests that may be sent to the target until expires.
	held    int
	expires time.Duration
	// failures is the number of failures of the target since the last answer.
	failures int
	// demand is the number of requests that wait for a lease since the last report.
	demand int
	report Report
	routes map[string]bool
	// rate is a decaying count of requests, as of ratedAt.
	rate    float64
	ratedAt time.Duration
}

// NewGate returns a Gate that knows of no roll-out.
func NewGate(incarnation uint64) *Gate {
	return &Gate{incarnation: incarnation, services: make(map[string]*gated), known: make(map[string][]string), listed: make(map[string][]string), running: make(map[string]map[string]int)}
}

// Answered takes the leader's answer to a draw: all roll-outs that are active or have ended lately.
// It returns the leases whose state or step is new here.
func (g *Gate) Answered(now, requestedAt time.Duration, leases []Lease) []Lease {
	g.answeredAt = now
	var changed []Lease
	named := make(map[string]bool)
	for _, lease := range leases {
		named[lease.Service] = true
		s := g.services[lease.Service]
		if s == nil || s.lease.Number < lease.Number {
			s = &gated{routes: make(map[string]bool), ratedAt: now, report: Report{Number: lease.Number, Incarnation: g.incarnation, Evidence: make(Evidence)}}
			g.services[lease.Service] = s
			changed = append(changed, lease)
		} else if s.lease.Number > lease.Number || s.lease.State != StateActive && lease.State == StateActive {
			// The answer of a leader that has not learned of the newer state.
			continue
		} else if s.lease.State != lease.State || s.lease.Step != lease.Step {
			changed = append(changed, lease)
		}
		s.renew(now, requestedAt, lease)
	}
	for service := range g.services {
		if !named[service] {
			delete(g.services, service)
		}
	}
	if g.listedAt < requestedAt {
		g.confirm()
	}
	return changed
}

// renew replaces the lease of an entry. Requests that it still holds stay with it until they expire.
func (s *gated) renew(now, requestedAt time.Duration, lease Lease) {
	s.expire(now)
	s.lease = lease
	s.report.Step = max(s.report.Step, lease.Step)
	s.failures = 0
	if lease.State != StateActive {
		s.report.Returned += uint64(s.held)
		s.held = 0
		return
	}
	if lease.Requests == 0 && !lease.Final {
		// What is held expires, so that idle entries keep no requests from others.
		return
	}
	// The time is counted from the request on, so that the lease ends here before the leader may count
	// on it.
	expires := requestedAt + LeaseLifetime
	if lease.Final {
		expires = requestedAt + FinalLifetime
	}
	if now >= expires {
		s.report.Returned += uint64(lease.Requests)
		return
	}
	s.held += lease.Requests
	s.expires = expires
}

// expire returns the requests of a lease that is over.
func (s *gated) expire(now time.Duration) {
	if s.held > 0 && now >= s.expires {
		s.report.Returned += uint64(s.held)
		s.held = 0
	}
}

// Listed takes the versions of each service in a new list. A version that is new in a list that
// did not come with the leader's answer may be the target of a roll-out of which this entry does not know.
func (g *Gate) Listed(now time.Duration, versions map[string][]string, answered bool) {
	g.listed, g.listedAt = versions, now
	if answered {
		g.confirm()
	}
}

// confirm lets all listed versions be used that no roll-out keeps back.
func (g *Gate) confirm() {
	g.known = maps.Clone(g.listed)
}

// Plan says where a request may be sent.
type Plan struct {
	// Prefer is the version to which the request is to be sent if a server of it takes it, and Servers
	// the number of its servers that may be used; empty if there is none.
	Prefer  string
	Servers int
	Final   bool
	// Barred lists the versions to which it must not be sent otherwise.
	Barred []string
}

// Plan returns where a request of a service may be sent, whose servers have the given versions. tried
// is true if it has been sent to the target before.
func (g *Gate) Plan(now time.Duration, service string, versions []string, tried bool) Plan {
	s := g.services[service]
	if s == nil {
		return Plan{Barred: g.unconfirmed(now, service, versions)}
	}
	target := s.lease.Target
	switch s.lease.State {
	case StateComplete:
		if slices.Contains(versions, target) {
			return Plan{Prefer: target, Servers: math.MaxInt, Final: true}
		}
		return Plan{}
	case StateReverted:
		return Plan{Barred: []string{target}}
	}
	s.expire(now)
	if s.held == 0 || s.failures >= alarmFailures || s.lease.Servers == 0 {
		if g.alone(now, versions, target) {
			return Plan{}
		}
		return Plan{Barred: []string{target}}
	}
	if tried {
		return Plan{Barred: []string{target}}
	}
	return Plan{Prefer: target, Servers: s.lease.Servers, Final: s.lease.Final, Barred: []string{target}}
}

// alone reports whether the list has servers of the target only while no leader answers. The platform
// ends the old servers when a roll-out is complete and not before.
func (g *Gate) alone(now time.Duration, versions []string, target string) bool {
	return now-g.answeredAt > silentLeader && len(versions) == 1 && versions[0] == target
}

// unconfirmed returns the versions of a service that may be targets of an unknown roll-out. The only
// version is not: a target runs beside the old version.
func (g *Gate) unconfirmed(now time.Duration, service string, versions []string) []string {
	if len(versions) < 2 {
		return nil
	}
	var unconfirmed []string
	for _, version := range versions {
		if !slices.Contains(g.known[service], version) {
			unconfirmed = append(unconfirmed, version)
		}
	}
	if len(unconfirmed) == len(versions) && now-g.answeredAt > silentLeader {
		return nil
	}
	return unconfirmed
}

// Arrived counts a request that reached a service.
func (g *Gate) Arrived(now time.Duration, service string) {
	s := g.services[service]
	if s == nil {
		return
	}
	s.report.Requests++
	s.rate = s.decayed(now) + 1
	s.ratedAt = now
}

func (s *gated) decayed(now time.Duration) float64 {
	return s.rate * math.Exp(-float64(max(now-s.ratedAt, 0))/float64(rateWindow))
}

// Use takes a request to a version out of the lease, and reports whether it did. It may not be sent
// if ok is false: the version is the target, and there is no lease.
func (g *Gate) Use(now time.Duration, service, version string) (taken, ok bool) {
	s := g.services[service]
	if s == nil || s.lease.State != StateActive || version != s.lease.Target {
		return false, true
	}
	s.expire(now)
	if s.held == 0 {
		return false, false
	}
	s.held--
	s.report.Sent++
	return true, true
}

// Demand asks for a lease for a request that may go to one version only. It reports whether the next
// answer of the leader may bring one: the version is the target, and no lease is held.
func (g *Gate) Demand(now time.Duration, service, version string) bool {
	s := g.services[service]
	if s == nil || s.lease.State != StateActive || version != s.lease.Target || s.lease.Servers == 0 {
		return false
	}
	s.expire(now)
	if s.held > 0 {
		return false
	}
	s.demand++
	return true
}

// Unused returns a request that Use took and that is not sent. It reports whether there is one.
func (g *Gate) Unused(service, version string) bool {
	s := g.services[service]
	if s == nil || s.lease.State != StateActive || version != s.lease.Target || s.report.Sent == 0 {
		return false
	}
	s.report.Sent--
	s.report.Returned++
	return true
}

// Number returns the number of the active roll-out of a service, or 0.
func (g *Gate) Number(service string) uint64 {
	s := g.services[service]
	if s == nil || s.lease.State != StateActive {
		return 0
	}
	return s.report.Number
}

// Reports returns the reports for the leader by service. The caller must not change their evidence.
func (g *Gate) Reports(now time.Duration) map[string]Report {
	if len(g.services) == 0 {
		return nil
	}
	g.sequence++
	reports := make(map[string]Report)
	for service, s := range g.services {
		if s.lease.State != StateActive {
			continue
		}
		s.expire(now)
		report := s.report
		report.Sequence = g.sequence
		report.Held, report.Old = uint64(s.held), g.runningOld(service, s.lease.Target)
		if rate := s.decayed(now); rate >= minRate {
			report.Wanted = int(math.Ceil(rate / rateWindow.Seconds() * LeaseLifetime.Seconds()))
		}
		report.Wanted += s.demand
		s.demand = 0
		report.Evidence = copyEvidence(s.report.Evidence)
		reports[service] = report
	}
	return reports
}
