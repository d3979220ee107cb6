package rollout

import "time"

// Began counts an attempt at a server of a version.
func (g *Gate) Began(service, version string) {
	if g.running[service] == nil {
		g.running[service] = make(map[string]int)
	}
	g.running[service][version]++
}

// over counts the end of an attempt.
func (g *Gate) over(service, version string) {
	running := g.running[service]
	if running[version]--; running[version] <= 0 {
		delete(running, version)
	}
	if len(running) == 0 {
		delete(g.running, service)
	}
}

// runningOld returns the number of attempts at versions other than the target.
func (g *Gate) runningOld(service, target string) int {
	sum := 0
	for version, n := range g.running[service] {
		if version != target {
			sum += n
		}
	}
	return sum
}

// Attempt is the end of an attempt.
type Attempt struct {
	Service, Version, Route string
	// Number is that of the roll-out when it began, as Number returned; 0 if there was none.
	Number uint64
	// Counted is false if the attempt ended without a result of the server, and Failed true if that was a
	// failure.
	Counted, Failed bool
	// Begun is true if Started was called. First is the time until the answer began, or until the end
	// if it did not, and Expected the predicted time.
	Begun           bool
	First, Expected time.Duration
}

// IsTarget reports whether an attempt was made at the target of the latest roll-out.
func (g *Gate) IsTarget(a Attempt) bool {
	s := g.services[a.Service]
	return s != nil && s.report.Number == a.Number && s.lease.Target == a.Version
}

// Started counts that an answer began.
func (g *Gate) Started(a Attempt) {
	s := g.services[a.Service]
	if s == nil || s.report.Number != a.Number {
		return
	}
	key := s.key(a)
	counts := s.report.Evidence[key]
	counts.Ratios[Bucket(a.First, a.Expected)]++
	s.report.Evidence[key] = counts
}

func (s *gated) key(a Attempt) Key {
	return Key{Target: a.Version == s.lease.Target, Route: s.route(a.Route)}
}

// abandonedSlow is the multiple of the predicted time from which an attempt that was abandoned before
// its answer began counts as slow.
const abandonedSlow = 2

// Ended counts the end of an attempt that Began counted. It reports whether the leader should know at once.
func (g *Gate) Ended(a Attempt) (urgent bool) {
	g.over(a.Service, a.Version)
	s := g.services[a.Service]
	if s == nil || s.report.Number != a.Number {
		return false
	}
	late := a.Expected > 0 && a.First >= abandonedSlow*a.Expected
	if !a.Counted && !late || !a.Counted && a.Begun {
		return false
	}
	key := s.key(a)
	counts := s.report.Evidence[key]
	if a.Counted {
		counts.Responses++
	}
	if a.Failed {
		counts.Failures++
	}
	if !a.Begun && (!a.Failed || late) {
		counts.Ratios[Bucket(a.First, a.Expected)]++
	}
	s.report.Evidence[key] = counts
	if !key.Target || !a.Failed {
		return false
	}
	s.failures++
	return s.failures == 1 || s.failures == alarmFailures
}

// route returns the key of a route.
func (s *gated) route(name string) string {
	if s.routes[name] {
		return name
	}
	if len(s.routes) >= maxRoutes {
		return otherRoutes
	}
	s.routes[name] = true
	return name
}
