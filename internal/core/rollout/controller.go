package rollout

import (
	"fmt"
	"math"
	"time"
)

// step is a part of a roll-out.
type step struct {
	// from is when the step may begin, as a part of the duration, and share the part of the
	// requests that go to the target.
	from, share float64
}

// steps are the steps of a roll-out. A version that becomes bad must have got at most a tenth of
// the requests, so the steps above it come as late as the streams of the old version allow: they have
// to end between the beginning of the last step and completeBy.
var steps = [...]step{{0, 0.07}, {0.56, 0.2}, {0.64, 0.5}, {0.72, 1}}

const lastStep = len(steps) - 1

const (
	// initialRequests may go to the target at once. With what is sent until failures are known it
	// stays below the 50 requests that are allowed beyond a tenth.
	initialRequests = 30
	// maxInitialDraw bounds one grant of the first step, so that the requests come from many entries.
	maxInitialDraw = 2
	// stepSlack is the number of requests beyond its share that a later step may use.
	stepSlack = 10
	// finalFactor and finalSlack give leases of the last step that bursts don't exhaust.
	finalFactor, finalSlack = 4, 200
	// minResponses is the number of responses of the target that the first step needs, and
	// minStepBegun the number of answers that must have begun in each later one: streams may last
	// longer than a step.
	minResponses, minStepBegun = 15, 8
	// minStepTime is the shortest time in a step, as a part of the duration: entries draw and the
	// answers begin meanwhile.
	minStepTime = 0.04
	// completeFrom and completeBy are the parts of the duration between which a good roll-out completes:
	// once no request runs at the old version, or at the latest.
	completeFrom, completeBy = 0.8, 0.95
	// decideMargin is how long before the deadline a roll-out ends in any case, for the commit.
	decideMargin = 400 * time.Millisecond
	// termWait is how long a new leader grants nothing, while entries report what the leases of the
	// leader before were used for. It is the longest interval between two draws.
	termWait = 1200 * time.Millisecond
	// reportLife is how long an entry's report counts as the present state.
	reportLife = 3 * time.Second
	// window is the time over which recent evidence is judged by itself, in samples of sampleTime.
	// In a sum over all time a fault that begins late would be diluted.
	window     = 3 * time.Second
	sampleTime = 250 * time.Millisecond
	// maxKeys bounds the versions and routes that are judged by themselves.
	maxKeys = 256
	// fullWindow is the number of samples from which thirds of the window are compared.
	fullWindow = 9
)

// Controller runs one active roll-out at the leader of one term. All times are since the
// order, in the log's agreed time.
type Controller struct {
	rollout  Rollout
	fleet    Fleet
	earliest time.Duration
	entries  map[uint64]*entry
	// requests, used and evidence are sums over all entries since the order; used includes what was
	// granted and not returned.
	requests, used uint64
	evidence       Evidence
	samples        []sample
	step           int
	// began is the state when the step began.
	began began
	// seenStep is the highest step that entries reported on the first draws of the term.
	seenStep int
	decision *Decision
}

type entry struct {
	last Report
	at   time.Duration
	// granted is the number of requests granted since the last report. Those of earlier answers are
	// counted in the report, or were lost with the answer.
	granted uint64
}

// used returns the requests that were sent or may be.
func (e *entry) used() uint64 { return e.last.Sent + e.last.Held + e.granted }

type sample struct {
	at       time.Duration
	evidence Evidence
}

type began struct {
	at             time.Duration
	requests, used uint64
	evidence       Evidence
}

// New returns a Controller. It grants nothing for some time if another leader may have granted
// leases before.
func New(now time.Duration, rollout Rollout, first bool) *Controller {
	c := &Controller{rollout: rollout, entries: make(map[uint64]*entry), evidence: make(Evidence), earliest: now}
	if !first {
		c.earliest = now + termWait
	}
	c.begin(now, 0)
	return c
}

// Rollout returns the roll-out as it was ordered.
func (c *Controller) Rollout() Rollout { return c.rollout }

// SetFleet tells how many servers there are.
func (c *Controller) SetFleet(fleet Fleet) { c.fleet = fleet }

// Draw takes a report and returns a lease.
func (c *Controller) Draw(now time.Duration, report Report) Lease {
	lease := Lease{Service: c.rollout.Service, Target: c.rollout.Target, Number: c.rollout.Number, State: StateActive}
	failures := c.evidence.total(true).Failures
	taken := report.Number == c.rollout.Number && c.take(now, report)
	if c.evidence.total(true).Failures > failures {
		// Other evidence waits for the next Tick: judging costs more than a draw.
		c.judge(now)
	}
	if c.decision != nil && c.decision.State == StateReverted || now < c.earliest || c.fleet.Target == 0 {
		return lease
	}
	lease.Step, lease.Final = c.step, c.step == lastStep
	lease.Servers = c.servers()
	if !taken {
		// The entry learns of the roll-out with this answer, and counts from then on.
		return lease
	}
	lease.Requests = c.grant(report)
	c.entries[report.Incarnation].granted += uint64(lease.Requests)
	c.used += uint64(lease.Requests)
	return lease
}

// take adds what an entry has counted since its last report, and returns false if a newer one
// has arrived before.
func (c *Controller) take(now time.Duration, report Report) bool {
	e := c.entries[report.Incarnation]
	if e == nil {
		e = &entry{}
		c.entries[report.Incarnation] = e
		c.seenStep = max(c.seenStep, min(report.Step, lastStep))
	}
	if report.Sequence < e.last.Sequence {
		return false
	}
	c.requests += report.Requests - min(e.last.Requests, report.Requests)
	for key, counts := range report.Evidence {
		c.evidence.add(c.bounded(key), counts.since(e.last.Evidence[key]))
	}
	before := e.used()
	e.last, e.at, e.granted = report, now, 0
	c.used += e.used() - before
	return true
}

// bounded returns the key under which counts are kept: entries may count different routes.
func (c *Controller) bounded(key Key) Key {
	if _, known := c.evidence[key]; !known && len(c.evidence) >= maxKeys {
		key.Route = otherRoutes
	}
	return key
}

// grant returns the number of requests that an entry may send.
func (c *Controller) grant(report Report) int {
	wanted := max(report.Wanted-int(min(report.Held, math.MaxInt32)), 0)
	if c.step == lastStep {
		return max(finalFactor*report.Wanted+finalSlack-int(min(report.Held, math.MaxInt32)), 0)
	}
	left := c.allowed() - float64(c.used)
	if left < 1 {
		return 0
	}
	if c.step == 0 {
		wanted = min(wanted, maxInitialDraw)
	}
	return min(wanted, int(left))
}

// allowed returns the number of requests that may have been granted in this step.
func (c *Controller) allowed() float64 {
	if c.step == 0 {
		return initialRequests + steps[0].share*float64(c.requests)
	}
	return float64(c.began.used) + stepSlack + steps[c.step].share*float64(c.requests-c.began.requests)
}

// servers returns the number of the target's servers among which the requests are spread: as many as
// get the load that an old server had, so that faults under load show.
func (c *Controller) servers() int {
	if c.step == lastStep {
		return c.fleet.Target
	}
	return min(max(int(math.Round(steps[c.step].share*float64(c.fleet.Old))), 1), c.fleet.Target)
}

// begin begins a step.
func (c *Controller) begin(now time.Duration, step int) {
	c.step = step
	c.began = began{at: now, requests: c.requests, used: c.used, evidence: copyEvidence(c.evidence)}
}

func copyEvidence(e Evidence) Evidence { return e.since(nil) }

// judge samples the evidence and decides if it is bad.
func (c *Controller) judge(now time.Duration) {
	if c.decision != nil {
		return
	}
	if found := c.verdict(); found.bad {
		c.decision = &Decision{State: StateReverted, Cause: found.cause}
	}
}

// verdict judges all evidence and, by themselves, that of the last seconds and of their thirds.
func (c *Controller) verdict() verdict {
	all := judge(c.evidence)
	if all.bad || len(c.samples) == 0 {
		return all
	}
	before := c.samples[0].evidence
	recent := judge(c.evidence.since(before))
	if recent.bad {
		recent.cause += " lately"
		return recent
	}
	// A second in which one machine was slow must not hold the steps for long.
	recent.chance = min(recent.chance*manyLooks, recent.slowChance*manyLooks, all.chance)
	// Slow spans that prove something are a third of the window apart.
	third, twoThirds := c.samples[len(c.samples)/3].evidence, c.samples[2*len(c.samples)/3].evidence
	first, last := judge(third.since(before)), judge(c.evidence.since(twoThirds))
	if len(c.samples) >= fullWindow && first.slow != "" && last.slow != "" {
		return verdict{bad: true, cause: first.slow + ", then " + last.slow}
	}
	earlier, later := judge(before), judge(c.evidence.since(third))
	if earlier.slow != "" && later.slow != "" {
		return verdict{bad: true, cause: earlier.slow + ", then " + later.slow}
	}
	return recent
}

// Tick makes the steps that are due, and returns the decision once there is one. The caller commits
// it, and calls Tick until it is committed.
func (c *Controller) Tick(now time.Duration) *Decision {
	c.judge(now)
	if c.decision != nil {
		return c.decision
	}
	if n := len(c.samples); n == 0 || now-c.samples[n-1].at >= sampleTime {
		c.samples = append(c.samples, sample{at: now, evidence: copyEvidence(c.evidence)})
		for len(c.samples) > 1 && now-c.samples[1].at >= window {
			c.samples = c.samples[1:]
		}
	}
	if now >= c.earliest && c.step < lastStep && c.mayStep(now) {
		c.begin(now, max(c.step+1, c.resumed()))
	}
	c.end(now)
	return c.decision
}

// resumed returns the step that the leader before had reached.
func (c *Controller) resumed() int {
	if c.step > 0 {
		return 0
	}
	return c.seenStep
}

// part returns a part of the duration.
func (c *Controller) part(p float64) time.Duration {
	return time.Duration(p * float64(c.rollout.Duration()))
}

// mayStep reports whether the step before gave enough good evidence for the next one.
func (c *Controller) mayStep(now time.Duration) bool {
	if now < c.part(steps[c.step+1].from) || now-c.began.at < c.part(minStepTime) {
		return false
	}
	if c.step == 0 && c.evidence.total(true).Responses < minResponses {
		return false
	}
	return (c.step == 0 || c.begunInStep() >= minStepBegun) && c.verdict().chance >= stepLevel
}

// begunInStep returns the number of the target's answers that began in this step.
func (c *Controller) begunInStep() uint64 {
	_, all := c.evidence.since(c.began.evidence).total(true).from(0)
	return all
}

// end decides on a roll-out whose time is over, or which is done.
func (c *Controller) end(now time.Duration) {
	good := c.step == lastStep && c.verdict().chance >= completeLevel && now-c.began.at >= c.part(minStepTime) &&
		c.begunInStep() >= minStepBegun
	last := min(c.part(completeBy), c.rollout.Duration()-decideMargin)
	switch {
	case good && now >= c.part(completeFrom) && c.oldRunning(now) == 0:
		c.decision = &Decision{State: StateComplete, Cause: c.summary() + "; no request runs at the old version"}
	case good && now >= last:
		c.decision = &Decision{State: StateComplete, Cause: fmt.Sprintf("%s; %d requests run at the old version", c.summary(), c.oldRunning(now))}
	case now < c.rollout.Duration()-decideMargin:
	case c.fleet.Target == 0:
		c.decision = &Decision{State: StateReverted, Cause: "the target has no ready server"}
	default:
		c.decision = &Decision{State: StateReverted, Cause: "too little good evidence: " + c.summary()}
	}
}

// oldRunning returns the number of requests at other versions, as entries reported it since the last step
// reached them.
func (c *Controller) oldRunning(now time.Duration) int {
	running := 0
	for _, e := range c.entries {
		if now-e.at > reportLife {
			continue
		}
		running += e.last.Old
		if e.last.Step < lastStep {
			running++
		}
	}
	return running
}

// summary describes the evidence.
func (c *Controller) summary() string {
	target, old := c.evidence.total(true), c.evidence.total(false)
	slow, _ := target.from(slowFrom[0])
	oldSlow, _ := old.from(slowFrom[0])
	return fmt.Sprintf("step %d of %d, %d responses of the target, %d failed, %d slow; %d of the old version, %d failed, %d slow",
		c.step+1, len(steps), target.Responses, target.Failures, slow, old.Responses, old.Failures, oldSlow)
}

// Status describes the state of a roll-out for logs and metrics.
type Status struct {
	Step           int
	Requests, Used uint64
	Failures       uint64
	Responses      uint64
	Old            int
	Summary        string
}

// Status returns the present state.
func (c *Controller) Status(now time.Duration) Status {
	target := c.evidence.total(true)
	return Status{
		Step: c.step, Requests: c.requests, Used: c.used, Failures: target.Failures, Responses: target.Responses,
		Old: c.oldRunning(now), Summary: c.summary(),
	}
}
