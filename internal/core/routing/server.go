package routing

import "time"

// The initial model of a server, before anything has been learned.
const (
	// prefillSpeedup is the ratio of a model engine's rate of reading a prompt to
	// its decoding rate with all slots in use.
	prefillSpeedup = 10.0
	// idleGapRatio is the ratio of the time between two tokens with a single
	// request in flight to that with all slots in use.
	idleGapRatio = 0.5
	// defaultResidence is the assumed residence time of a request at an application
	// server, in seconds.
	defaultResidence = 0.05
	// defaultOutputTokens is the answer length assumed for the initial residence
	// time at a model engine.
	defaultOutputTokens = 128.0
)

// learnWeight is the weight of a new sample in a learned average.
const learnWeight = 0.1

// The bounds of a learned value, relative to its initial guess.
const (
	minLearnedRatio = 0.1
	maxLearnedRatio = 20.0
)

// halfWeightAge is the age in seconds at which a report has a weight of one half.
const halfWeightAge = 5.0

// kvWaitRatio is the used part of the KV cache above which requests have to wait
// for memory.
const kvWaitRatio = 0.9

// server is the state of one backend server.
type server struct {
	Server
	usable bool
	// group holds the servers of the same service; it is nil once the server has
	// been removed.
	group *group
	// position is the server's index in tier.servers.
	tier     *tier
	position int
	// excluded is the number of the latest call of Pick that must not pick the
	// server.
	excluded uint64
	// marked is the number of the latest call of Pick that set cached.
	marked uint64
	// cached is the number of the request's prompt tokens that are expected in the
	// server's cache.
	cached float64

	slots float64
	// network is the network round-trip time in seconds.
	network float64
	// pricePerSecond is the price of the server's VM.
	pricePerSecond float64
	// gap is the time in seconds between two tokens with all slots in use. It is
	// zero for application servers.
	gap learned
	// prefill is the time in seconds to read one prompt token.
	prefill learned
	// residence is the time in seconds for which a request occupies a slot.
	residence learned
	// backlog is the number of prompt tokens that this entry sent and that the
	// server is expected to have still unread at backlogAt.
	backlog   float64
	backlogAt time.Duration

	ownInFlight int
	history     inFlightHistory
	// others is the estimated number of other entries' requests in flight at
	// reportedAt.
	others   float64
	reported bool
	// ownAtReport is the number of this entry's requests in flight at reportedAt.
	ownAtReport int
	reportedAt  time.Duration
	kvUsed      float64

	ejection ejection
	cacheSeq uint64
	// cacheMissed is the number of cache events that were not received.
	cacheMissed uint64
}

// learned is a moving average that starts at a guess and stays within bounds
// relative to it.
type learned struct {
	guess, value float64
}

// reset sets the guess. The learned value is kept if the guess is unchanged.
func (l *learned) reset(guess float64) {
	if l.guess != guess {
		l.guess, l.value = guess, guess
	}
}

func (l *learned) add(sample float64) {
	sample = min(max(sample, l.guess*minLearnedRatio), l.guess*maxLearnedRatio)
	l.value += learnWeight * (sample - l.value)
}

// addBiased is add for samples that may include waiting time: those above the
// learned value have less weight.
func (l *learned) addBiased(sample float64) {
	if sample > l.value {
		sample = l.value + highSampleWeight*(min(sample, 2*l.value)-l.value)
	}
	l.add(sample)
}

// highSampleWeight is the weight in addBiased of samples above the learned value.
const highSampleWeight = 0.25

func newServer(config Server) *server {
	s := &server{usable: true}
	s.configure(config)
	return s
}

// configure applies a new configuration and keeps learned values.
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

// started records that a request was sent with the given number of prompt tokens
// that are not expected in the cache.
func (s *server) started(now time.Duration, fresh float64) {
	s.backlog = s.prefillBacklog(now) + fresh
	s.backlogAt = now
	s.ownInFlight++
	if s.group != nil {
		s.group.ownInFlightSum++
	}
	s.history.set(now, s.ownInFlight)
}

// prefillBacklog estimates the number of prompt tokens of this entry's requests
// that the server has not read yet.
func (s *server) prefillBacklog(now time.Duration) float64 {
	if s.backlog == 0 {
		return 0
	}
	done := (now - s.backlogAt).Seconds() / s.prefill.value
	return max(0, s.backlog-done)
}

func (s *server) finished(now time.Duration, o Outcome) {
	inFlight := s.inFlight(now)
	if s.ownInFlight == 0 {
		return
	}
	s.ownInFlight--
	if s.group != nil {
		s.group.ownInFlightSum--
	}
	s.history.set(now, s.ownInFlight)
	switch o.Result {
	case ResultUnreachable:
		s.ejection.failed(now)
	case ResultCompleted:
		s.ejection.succeeded()
		s.learn(o, inFlight)
	case ResultFailed, ResultRefused:
		s.ejection.succeeded()
	case ResultAbandoned:
		s.ejection.probing = false
	}
}

// learn adds the timing of a request that completed while the given number of
// requests was in flight.
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
	fresh := o.Size.PromptTokens - max(0, o.CachedTokens)
	if fresh >= minPrefillSample && first > 0 && inFlight < s.slots {
		s.prefill.addBiased(first / float64(fresh))
	}
	if inFlight <= s.slots {
		s.residence.add(elapsed)
	}
}

// minPrefillSample is the minimum of uncached prompt tokens for a sample of the
// prefill time.
const minPrefillSample = 64

// batchFactor returns the ratio of the time between two tokens with n requests in
// flight to that with all slots in use.
func (s *server) batchFactor(n float64) float64 {
	used := min(1, n/s.slots)
	return idleGapRatio + (1-idleGapRatio)*used
}

// report applies the server's own load report.
func (s *server) report(now time.Duration, report Report) {
	if report.Slots > 0 {
		s.slots = float64(report.Slots)
	}
	at := now - report.Age
	s.ownAtReport = s.history.at(at)
	others := max(0, float64(report.Running+report.Waiting-s.ownAtReport))
	if s.group != nil {
		s.group.updateOthers(s, others)
	}
	s.others = others
	s.reported = true
	s.reportedAt = at
	s.kvUsed = report.KVUsed
}

// reportWeight returns the weight of the last report: 1 for a current report,
// falling towards 0 with its age, and 0 without a report.
func (s *server) reportWeight(now time.Duration) float64 {
	if !s.reported {
		return 0
	}
	age := max(0, (now - s.reportedAt).Seconds())
	return halfWeightAge / (halfWeightAge + age)
}

// inFlight estimates the number of requests of all entries in flight at the server.
// The older the report, the closer the estimate for the other entries is to the
// mean of the service. The other entries are assumed to have changed their number
// of requests since the report in the same direction as this one, because they
// acted on the same report.
func (s *server) inFlight(now time.Duration) float64 {
	reportWeight := s.reportWeight(now)
	var mean, ratio float64
	if s.group != nil {
		mean = s.group.meanOthers()
		ratio = s.group.othersPerOwn()
	}
	since := followRatio * ratio * float64(s.ownInFlight-s.ownAtReport)
	return float64(s.ownInFlight) + max(0, reportWeight*(s.others+since)+(1-reportWeight)*mean)
}

// followRatio is the part of this entry's change since a report that each other
// entry is assumed to make as well.
const followRatio = 0.4

// estimate is the prediction for a request at a server. Times are in seconds.
type estimate struct {
	first, completion, gap float64
	// cost is the price of the server time that the request uses.
	cost float64
	// load is the estimated number of requests in flight per slot, without this
	// request.
	load float64
}

// predict estimates the timing and cost of a request of which the given number of
// prompt tokens is in the server's cache.
func (s *server) predict(now time.Duration, request *Request, cached float64) estimate {
	n := s.inFlight(now)
	wait := excess(n+1-s.slots) * s.residence.value / s.slots
	if s.kvUsed > kvWaitRatio {
		full := (s.kvUsed - kvWaitRatio) / (1 - kvWaitRatio)
		wait += full * s.reportWeight(now) * s.residence.value
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

// slotError is the assumed maximum error of the estimated number of requests in
// flight.
const slotError = 3.0

// excess returns the expected number of requests beyond the slots for an estimate
// of x that may be off by slotError. It rises smoothly from 0 at -slotError to x at
// slotError.
func excess(x float64) float64 {
	switch {
	case x <= -slotError:
		return 0
	case x >= slotError:
		return x
	}
	return (x + slotError) * (x + slotError) / (4 * slotError)
}

// inFlightHistory holds recent numbers of this entry's requests in flight.
type inFlightHistory struct {
	samples [historySamples]inFlightSample
	last    int
}

// historyStep is the minimum time between two samples. All samples together cover
// the usual age of a report.
const (
	historyStep    = 250 * time.Millisecond
	historySamples = 16
)

type inFlightSample struct {
	at    time.Duration
	count int32
}

// set records the number of requests in flight from now on.
func (h *inFlightHistory) set(now time.Duration, count int) {
	if now-h.samples[h.last].at >= historyStep {
		h.last = (h.last + 1) % historySamples
		h.samples[h.last].at = now
	}
	h.samples[h.last].count = int32(count)
}

// at returns the number of requests in flight at the given time, or the oldest
// known number before that.
func (h *inFlightHistory) at(t time.Duration) int {
	for i := range historySamples {
		sample := &h.samples[(h.last-i+historySamples)%historySamples]
		if sample.at <= t {
			return int(sample.count)
		}
	}
	return int(h.samples[(h.last+1)%historySamples].count)
}
