package routing

import "time"

// The model of a server before anything was learned.
const (
	// prefillSpeedup is how many times faster than decoding with all slots in
	// use a model engine works through a prompt.
	prefillSpeedup = 10.0
	// idleGapRatio is the time between two tokens of a lone request, as a part
	// of that with all slots in use.
	idleGapRatio = 0.5
	// defaultResidence is the time of one request, in seconds.
	defaultResidence = 0.05
	// defaultOutputTokens sizes the first guess of a model engine's residence.
	defaultOutputTokens = 128.0
)

// learnWeight is the weight of a new sample in the learned averages.
const learnWeight = 0.1

// The bounds of a learned value, relative to its first guess.
const (
	minLearnedRatio = 0.1
	maxLearnedRatio = 20.0
)

// reportHalfTrust is the age in seconds at which a report counts half.
const reportHalfTrust = 5.0

// fullCacheUse is the used share of the KV cache from which requests wait.
const fullCacheUse = 0.9

// server is what a Router knows about one backend server.
type server struct {
	Server
	usable bool
	// group is the server's service; nil once the server was removed.
	group *group
	// position is the server's index in its tier.
	tier     *tier
	position int
	// excluded is the number of the call of Pick that must not choose it.
	excluded uint64
	// marked is the number of the call of Pick for which cached holds.
	marked uint64
	// cached is the number of prompt tokens expected in the prefix cache.
	cached float64

	slots float64
	// network is the time in seconds there and back.
	network float64
	// pricePerSecond is the price of the VM.
	pricePerSecond float64
	// gap is the time in seconds between two tokens with all slots in use;
	// zero for application servers.
	gap learned
	// prefill is the time in seconds for one prompt token.
	prefill learned
	// residence is the time in seconds that a request holds a slot.
	residence learned
	// backlog is the number of prompt tokens that this entry sent and that
	// the server is not expected to have worked through at backlogAt.
	backlog   float64
	backlogAt time.Duration

	own     int
	history ownHistory
	// others estimates the other entries' requests at reportedAt.
	others   float64
	reported bool
	// ownAtReport is this entry's number in flight at reportedAt.
	ownAtReport int
	reportedAt  time.Duration
	kvUsed      float64

	ejection ejection
	cacheSeq uint64
	// cacheMissed counts the cache events that were missing.
	cacheMissed uint64
}

// learned is a moving average that starts from a guess and stays near it.
type learned struct {
	guess, value float64
}

// reset takes over a new guess; the learned value is kept if it is the same.
func (l *learned) reset(guess float64) {
	if l.guess != guess {
		l.guess, l.value = guess, guess
	}
}

func (l *learned) add(sample float64) {
	sample = min(max(sample, l.guess*minLearnedRatio), l.guess*maxLearnedRatio)
	l.value += learnWeight * (sample - l.value)
}

// addLow is add for samples that may hold waiting as well: larger ones count
// for less.
func (l *learned) addLow(sample float64) {
	if sample > l.value {
		sample = l.value + lowSampleRatio*(min(sample, 2*l.value)-l.value)
	}
	l.add(sample)
}

// lowSampleRatio is the weight of samples above the learned value in addLow.
const lowSampleRatio = 0.25

func newServer(config Server) *server {
	s := &server{usable: true}
	s.configure(config)
	return s
}

// configure takes over new configuration and keeps what was learned.
func (s *server) configure(config Server) {
	s.Server = config
	s.slots = float64(max(1, config.Slots))
	s.network = 2 * config.Delay.Seconds()
	s.pricePerSecond = config.PricePerHour / time.Hour.Seconds()
	if config.TokensPerSecond <= 0 {
		s.gap.reset(0)
		s.prefill.reset(0)
		s.residence.reset(defaultResidence)
		return
	}
	s.gap.reset(s.slots / config.TokensPerSecond)
	s.prefill.reset(1 / (prefillSpeedup * config.TokensPerSecond))
	s.residence.reset(defaultOutputTokens * s.gap.guess)
}

// started records a request with the given number of prompt tokens that are
// not expected in the cache.
func (s *server) started(now time.Duration, fresh float64) {
	s.backlog = s.prefillBacklog(now) + fresh
	s.backlogAt = now
	s.own++
	if s.group != nil {
		s.group.ownSum++
	}
	s.history.set(now, s.own)
}

// prefillBacklog estimates the prompt tokens that are still to be worked
// through for this entry's requests.
func (s *server) prefillBacklog(now time.Duration) float64 {
	if s.backlog == 0 {
		return 0
	}
	done := (now - s.backlogAt).Seconds() / s.prefill.value
	return max(0, s.backlog-done)
}

func (s *server) finished(now time.Duration, o Outcome) {
	inFlight := s.inFlight(now)
	if s.own == 0 {
		return
	}
	s.own--
	if s.group != nil {
		s.group.ownSum--
	}
	s.history.set(now, s.own)
	switch o.Result {
	case ResultConnectFailed:
		s.ejection.failed(now)
	case ResultCompleted:
		s.ejection.succeeded()
		s.learn(o, inFlight)
	case ResultFailed, ResultRefused:
		s.ejection.succeeded()
	case ResultCancelled:
		s.ejection.probing = false
	}
}

// learn takes over the times of a request that completed while inFlight
// requests were in flight.
func (s *server) learn(o Outcome, inFlight float64) {
	elapsed := o.Elapsed.Seconds() - s.network
	if elapsed <= 0 {
		return
	}
	if s.gap.guess == 0 {
		if inFlight <= s.slots {
			s.residence.add(elapsed)
		}
		return
	}
	first := o.FirstToken.Seconds() - s.network
	if o.OutputTokens > 1 && o.FirstToken > 0 && o.Elapsed > o.FirstToken {
		gap := (o.Elapsed - o.FirstToken).Seconds() / float64(o.OutputTokens-1)
		s.gap.add(gap / s.batchFactor(inFlight))
	}
	fresh := o.Load.PromptTokens - max(0, o.CachedTokens)
	if fresh >= minPrefillSample && first > 0 && inFlight < s.slots {
		s.prefill.addLow(first / float64(fresh))
	}
	if inFlight <= s.slots {
		s.residence.add(elapsed)
	}
}

// minPrefillSample is the fewest fresh prompt tokens from which the prefill
// rate is learned.
const minPrefillSample = 64

// batchFactor is the time between two tokens with n requests in flight, as a
// part of that with all slots in use.
func (s *server) batchFactor(n float64) float64 {
	used := min(1, n/s.slots)
	return idleGapRatio + (1-idleGapRatio)*used
}

// report takes over the server's own report.
func (s *server) report(now time.Duration, report Report) {
	if report.Slots > 0 {
		s.slots = float64(report.Slots)
	}
	at := now - report.Age
	s.ownAtReport = s.history.at(at)
	others := max(0, float64(report.Running+report.Waiting-s.ownAtReport))
	if s.group != nil {
		s.group.noteOthers(s, others)
	}
	s.others = others
	s.reported = true
	s.reportedAt = at
	s.kvUsed = report.KVUsed
}

// trust is the weight of the last report, from 1 when it is fresh to 0.
func (s *server) trust(now time.Duration) float64 {
	if !s.reported {
		return 0
	}
	age := max(0, (now - s.reportedAt).Seconds())
	return reportHalfTrust / (reportHalfTrust + age)
}

// inFlight estimates the requests of all entries at the server. The older the
// report, the nearer the other entries' part is to the mean of the service.
// What this entry changed since the report is expected of the others too: they
// saw the same report.
func (s *server) inFlight(now time.Duration) float64 {
	trust := s.trust(now)
	var mean, ratio float64
	if s.group != nil {
		mean = s.group.meanOthers()
		ratio = s.group.othersPerOwn()
	}
	since := followRatio * ratio * float64(s.own-s.ownAtReport)
	return float64(s.own) + max(0, trust*(s.others+since)+(1-trust)*mean)
}

// followRatio is the part of this entry's changes since a report that each
// other entry is expected to make as well.
const followRatio = 0.4

// estimate predicts one request at one server. Times are in seconds.
type estimate struct {
	first, completion, gap float64
	// cost is the price of the server's time that the request takes.
	cost float64
	// load is the estimated number of requests in flight per slot.
	load float64
}

// expect predicts the request's times with the given number of prompt tokens
// in the prefix cache.
func (s *server) expect(now time.Duration, request *Request, cached float64) estimate {
	n := s.inFlight(now)
	wait := excess(n+1-s.slots) * s.residence.value / s.slots
	if s.kvUsed > fullCacheUse {
		full := (s.kvUsed - fullCacheUse) / (1 - fullCacheUse)
		wait += full * s.trust(now) * s.residence.value
	}
	e := estimate{load: n / s.slots}
	if s.gap.guess == 0 {
		e.completion = s.network + wait + s.residence.value
		e.first = e.completion
		e.cost = s.pricePerSecond * s.residence.value / s.slots
		return e
	}
	prefill := max(0, float64(request.PromptTokens)-cached) * s.prefill.value
	output := float64(request.OutputTokens)
	e.gap = s.gap.value * s.batchFactor(n+1)
	e.first = s.network + wait + prefill + s.prefillBacklog(now)*s.prefill.value
	e.completion = e.first + output*e.gap
	e.cost = s.pricePerSecond * (prefill + output*s.gap.value/s.slots)
	return e
}

// slotDoubt is how many slots the estimate of requests in flight may be off.
const slotDoubt = 3.0

// excess is the expected number of requests beyond the slots when the estimate
// says x: it rises smoothly from 0 at -slotDoubt to x at slotDoubt.
func excess(x float64) float64 {
	switch {
	case x <= -slotDoubt:
		return 0
	case x >= slotDoubt:
		return x
	}
	return (x + slotDoubt) * (x + slotDoubt) / (4 * slotDoubt)
}

// ownHistory keeps this entry's recent numbers of requests in flight.
type ownHistory struct {
	samples [historySamples]ownSample
	last    int
}

// historyStep is the least time between two samples; together the samples
// cover the age of a usual report.
const (
	historyStep    = 250 * time.Millisecond
	historySamples = 16
)

type ownSample struct {
	at    time.Duration
	count int32
}

// set records the number in flight from now on.
func (h *ownHistory) set(now time.Duration, count int) {
	if now-h.samples[h.last].at >= historyStep {
		h.last = (h.last + 1) % historySamples
		h.samples[h.last].at = now
	}
	h.samples[h.last].count = int32(count)
}

// at returns the number in flight at the given time.
func (h *ownHistory) at(t time.Duration) int {
	for i := range historySamples {
		sample := &h.samples[(h.last-i+historySamples)%historySamples]
		if sample.at <= t {
			return int(sample.count)
		}
	}
	return int(h.samples[(h.last+1)%historySamples].count)
}
