package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// foreignSpan is the time over which the least number of requests that reports showed beyond the
	// announced ones is kept, and foreignSpans the number of successive spans that must all show some.
	// Announcements arrive up to 150 ms late, so that single reports show requests that are
	// announced a moment later.
	foreignSpan  = 250 * time.Millisecond
	foreignSpans = 5
	// foreignExpiry is the age at which a report doesn't count any more, and foreignHalfLife
	// that at which the requests that it showed count half.
	foreignExpiry   = 2 * time.Second
	foreignHalfLife = time.Second
	// workStep is the weight of one attempt in the average work of a service.
	workStep = 0.02
	// minFactor and maxFactor bound the factor that a server may report.
	minFactor, maxFactor = 0.1, 100.0
	// maxReported bounds the requests that a report can add to a server.
	maxReported = 4096
)

// Load is what a server reports of itself with a response.
type Load struct {
	// Running and Waiting are numbers of requests. They are negative if not reported.
	Running, Waiting int
	// Factor is how long work takes at the server, as a multiple of the usual time. It is 0 if not
	// reported.
	Factor float64
}

// LoadReport is a server's load as one entry announces it to the others.
type LoadReport struct {
	Load
	// Age is the time from when the response was read until the report was sent.
	Age time.Duration
	// Pace is the time until the response's answer began relative to that predicted at an average
	// server. It is 0 if not known.
	Pace float64
}

// serviceReports is what the reports and answers of a service's servers have shown.
type serviceReports struct {
	// deviation is a low quantile of the logarithm of the time until answers began, relative to that
	// predicted from the servers' reports.
	deviation quantile
	// work is the average work of an attempt, in tokens.
	work float64
}

func (p *Placer) reportsOf(service string) *serviceReports {
	r := p.reports[service]
	if r == nil {
		r = &serviceReports{}
		p.reports[service] = r
	}
	return r
}

// serverLoads is what a server has reported of its load.
type serverLoads struct {
	speed speed
	// foreign tracks the requests that no entry announced, and queued those of them that wait.
	foreign, queued foreign
	// own is the latest load that the server reported to this entry, and ownPace the pace of its latest
	// answer. announce is true until they have been announced.
	own      Load
	ownAt    time.Duration
	ownPace  float64
	announce bool
}

// slowness returns how long work takes at the server now, as a multiple of the time at an average server.
func (s *server) slowness(now time.Duration) float64 { return s.reported(now).slow }

// reported returns what placement uses of the server's reports.
func (s *server) reported(now time.Duration) reported {
	if s.loads == nil {
		return reported{slow: 1, typical: 1}
	}
	return reported{
		slow: s.loads.speed.slowness(now), typical: s.loads.speed.typical(),
		foreign: s.loads.foreign.requests(now), queued: s.loads.queued.requests(now),
	}
}

// reported is what placement uses of a server's reports.
type reported struct {
	// slow is how long work takes now, as a multiple of the time at an average server, and typical
	// how long it usually does.
	slow, typical float64
	// foreign is the number of requests that no entry announced, and queued the number of those of them that
	// wait.
	foreign, queued float64
}

// time returns how long work takes that takes an average server as long as usual, in milliseconds. A disturbance
// delays it by no more than its own duration.
func (r reported) time(usual float64) float64 {
	return math.Min(usual*r.slow, usual*r.typical+milliseconds(disturbanceLife))
}

// ObserveLoad records the load that a server reported in a response to this entry.
func (p *Placer) ObserveLoad(now time.Duration, instance string, load Load) {
	s := p.servers[instance]
	if s == nil {
		return
	}
	p.observe(now, s, load)
	s.loads.own, s.loads.ownAt, s.loads.announce = load, now, true
}

// ObserveAnnounced records the load of a server that another entry announced.
func (p *Placer) ObserveAnnounced(now time.Duration, instance string, report LoadReport) {
	s := p.servers[instance]
	if s == nil || report.Age < 0 || report.Age > foreignExpiry || report.Factor != 0 && !(report.Factor >= minFactor && report.Factor <= maxFactor) {
		return
	}
	at := now - report.Age - p.unseen.delay
	p.observe(at, s, report.Load)
	if report.Pace > 0 {
		p.comparePace(at, s, report.Pace, false)
	}
}

// TakeReport returns what to announce of a server to the other entries: the load of its latest response
// to this entry, unless it has been returned before.
func (p *Placer) TakeReport(now time.Duration, instance string) (LoadReport, bool) {
	s := p.servers[instance]
	if s == nil || s.loads == nil || !s.loads.announce {
		return LoadReport{}, false
	}
	report := LoadReport{Load: s.loads.own, Age: now - s.loads.ownAt, Pace: s.loads.ownPace}
	s.loads.announce, s.loads.ownPace = false, 0
	return report, true
}

// ServerOf returns the server of an attempt, or an empty string if the attempt has ended or is not known.
func (p *Placer) ServerOf(id JobID) string {
	if j := p.jobs[id]; j != nil {
		return j.Server
	}
	return ""
}

// observe records a load that a server reported at a time.
func (p *Placer) observe(at time.Duration, s *server, load Load) {
	if s.loads == nil {
		s.loads = &serverLoads{}
	}
	s.loads.speed.observe(at, load.Factor)
	// Calls at application servers are not announced, and their reports are older than most calls last: entries that
	// go by them all meet at the server that was idle a moment ago.
	if s.CacheTokens > 0 && load.Running >= 0 && load.Waiting >= 0 {
		reported := min(load.Running, maxReported) + min(load.Waiting, maxReported)
		s.loads.foreign.record(at, float64(reported-s.running-len(s.waiting)))
		s.loads.queued.record(at, float64(min(load.Waiting, maxReported)-len(s.waiting)))
	}
}

// foreign tracks the requests at a server that no entry has announced. The least number
// that the reports of the latest spans show counts.
type foreign struct {
	// spans holds the least number in each span, the latest of which began at began; known is the
	// number of successive spans with reports.
	spans [foreignSpans]float64
	known int
	began time.Duration
	least float64
	// at is when the latest report was made.
	at time.Duration
}

func (f *foreign) record(at time.Duration, extra float64) {
	switch {
	case f.known > 0 && at < f.began:
		return
	case f.known == 0 || at-f.at > foreignExpiry:
		*f = foreign{known: 1, began: at}
		f.spans[0] = extra
	case at-f.began >= foreignSpan:
		copy(f.spans[1:], f.spans[:])
		f.spans[0], f.began = extra, at
		f.known = min(f.known+1, foreignSpans)
	default:
		f.spans[0] = math.Min(f.spans[0], extra)
	}
	f.at = max(f.at, at)
	f.least = 0
	if f.known == foreignSpans {
		f.least = math.Max(slices.Min(f.spans[:]), 0)
	}
}

// requests returns the number of these requests, discounted by the age of the report.
func (f *foreign) requests(now time.Duration) float64 {
	age := now - f.at
	if f.least == 0 || age > foreignExpiry {
		return 0
	}
	return f.least * math.Exp2(-float64(max(age, 0))/float64(foreignHalfLife))
}

// meanWork returns the average work of an attempt at a service, in tokens.
func (p *Placer) meanWork(service string) float64 {
	if r := p.reports[service]; r != nil && r.work > 0 {
		return r.work
	}
	return overheadTokens
}

func (p *Placer) learnWork(service string, work float64) {
	r := p.reportsOf(service)
	if r.work == 0 {
		r.work = work
	}
	r.work += workStep * (work - r.work)
}

// learnCallTime adjusts the duration of a call of an application service from an answered attempt.
func (p *Placer) learnCallTime(now time.Duration, j *job) {
	s := j.server
	took := milliseconds(now - j.placed - 2*s.Delay)
	call := p.callTimeOf(s.Service)
	if took > 0 && s.reportsFreeSlot() {
		p.comparePace(now, s, took/call, true)
	}
	p.callTime[s.Service] = call + learnStep*(took/s.slowness(now)-call)
}

// reportsFreeSlot reports whether no request waited for a slot by the server's latest report to this entry. Only then
// is the time of a call evidence against an application server's reports: queues would make all entries leave an
// honest server at once, and meet at the next one.
func (s *server) reportsFreeSlot() bool {
	return s.loads != nil && max(s.loads.own.Running, 0)+max(s.loads.own.Waiting, 0) <= s.Slots
}

// NoteInvalidLoad returns true the first time that it is called for a known server.
func (p *Placer) NoteInvalidLoad(instance string) bool {
	s := p.servers[instance]
	if s == nil || s.invalidLoad {
		return false
	}
	s.invalidLoad = true
	return true
}
