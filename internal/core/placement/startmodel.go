package placement

import (
	"math"
	"time"
)

const (
	// initialFixed is the assumed fixed part of the time until an answer begins, in milliseconds,
	// until it has been learned. minFixed and maxFixed bound it.
	initialFixed       = 4.0
	minFixed, maxFixed = 0.5, 500.0
	// priorWeight is the weight of the assumed values, in observations.
	priorWeight = 4.0
	// keptWeight is the part of the weight of earlier observations that is kept with each new one.
	keptWeight = 0.99
	// maxDeviation bounds how far one observation may be from the prediction, as a ratio: an answer
	// that was held up tells little of the engine's speed.
	maxDeviation = 2.0
	// shortWork and longWork are the amounts of work, in tokens, at which the assumed values count.
	shortWork, longWork = 500.0, 10_000.0
)

// Load pattern: prompts whose lengths differ by a factor of 100, at engines that take tens of milliseconds for
// the first token of any prompt. One speed for both would be too low for long prompts, which then seem to take
// twice their time, and too high for short ones.

// startModel predicts the time until the answers of a service's engines begin. It has a part in
// proportion to the work before the answer, in which other prompts wait, and a fixed part, in
// which they don't. It is the line of least squares through the recent observations. Their weights
// fall with the predicted time, since longer times vary more.
type startModel struct {
	// rate is the speed of one engine, in tokens of work per millisecond.
	rate float64
	// fixed is the fixed part, in milliseconds.
	fixed float64
	// The decaying sums over the observations of the weight, and of its products with work x and time y.
	w, wx, wy, wxx, wxy float64
}

func newStartModel() *startModel {
	m := &startModel{rate: initialRate, fixed: initialFixed}
	for _, work := range []float64{shortWork, longWork} {
		m.add(work, m.predict(work), priorWeight/2)
	}
	return m
}

// predict returns the time until an answer begins that has an amount of work before it, in milliseconds.
func (m *startModel) predict(work float64) float64 { return m.fixed + work/m.rate }

// add adds an observation with a weight in observations.
func (m *startModel) add(work, took, observations float64) {
	predicted := m.predict(work)
	weight := observations / predicted
	m.w += weight
	m.wx += weight * work
	m.wy += weight * took
	m.wxx += weight * work * work
	m.wxy += weight * work * took
}

// learn adds the time until an answer began that had an amount of work before it, in tokens, of which its own
// is exact and the rest an estimate.
func (m *startModel) learn(ahead, own, took float64) {
	work := ahead + own
	predicted := m.predict(work)
	took = math.Min(math.Max(took, predicted/maxDeviation), predicted*maxDeviation)
	for _, sum := range []*float64{&m.w, &m.wx, &m.wy, &m.wxx, &m.wxy} {
		*sum *= keptWeight
	}
	m.add(work, took, own/work)
	m.fit()
}

// fit sets the line of least squares.
func (m *startModel) fit() {
	spread := m.w*m.wxx - m.wx*m.wx
	if spread <= 0 {
		return
	}
	slope := math.Min(math.Max((m.w*m.wxy-m.wx*m.wy)/spread, 1/maxRate), 1/minRate)
	m.rate = 1 / slope
	m.fixed = math.Min(math.Max((m.wy-slope*m.wx)/m.w, minFixed), maxFixed)
}

// startModelOf returns the model of a service.
func (p *Placer) startModelOf(service string) *startModel {
	m := p.start[service]
	if m == nil {
		m = newStartModel()
		p.start[service] = m
	}
	return m
}

// learn adjusts the model of a service from the time until an answer of this entry began. The
// time is divided by the server's slowness, so that the model is that of an average server.
func (p *Placer) learn(now time.Duration, j *job) {
	s := j.server
	took := milliseconds(now - j.placed - 2*s.Delay)
	if s.CacheTokens == 0 || took <= 0 {
		return
	}
	model := p.startModelOf(s.Service)
	p.comparePace(now, s, took/model.predict(j.ahead+j.Work), true)
	model.learn(j.ahead, j.Work, took/s.slowness(now))
	p.learnWork(s.Service, j.Work)
}
