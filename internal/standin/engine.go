package standin

import (
	"errors"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"
)

// phase is the state of a stream.
type phase int

const (
	phaseWaiting phase = iota
	phasePrefill
	phaseDecode
	phasePaused
	phaseDone
	phaseCancelled
)

// stream is the generation of one answer. The engine's lock guards its fields.
type stream struct {
	id       string
	request  string // request ID with the attempt
	key      string // prompt key, with which each token starts
	model    string
	chat     bool
	tokens   int // to generate
	prompt   int // prompt tokens
	priority int
	arrival  int // position in the order of arrival

	phase       phase
	produced    int
	prefillLeft float64
	blocks      []string // cache blocks of the prompt
	readers     int
	unreadSince time.Time // when the last reader left
	changed     chan struct{}
}

// wake notifies the stream's readers of progress.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// engineStats holds an engine's counters.
type engineStats struct {
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	DecodedTokens int64 `json:"decoded_tokens"`
	Cancelled     int64 `json:"cancelled"`
	// RefusedLeaving counts requests refused because the engine was leaving.
	RefusedLeaving int64 `json:"refused_leaving"`
	Exported       int64 `json:"exported"`
	Imported       int64 `json:"imported"`
	Resumed        int64 `json:"resumed"`
}

// engineLoad is the load of an engine.
type engineLoad struct {
	running, waiting int
	kvUsage          float64
}

var errBusy = errors.New("the queue is full")

// engine simulates a model engine with continuous batching: each step computes some
// prompt tokens and decodes one token for every decoding stream. A step takes longer
// the larger the batch is.
type engine struct {
	opts      Options
	holdAfter func() int // number of tokens after which streams are held; 0 holds none

	mu         sync.Mutex
	looping    bool
	arrivals   int
	running    []*stream
	waiting    []*stream
	streams    map[string]*stream
	cache      *prefixCache
	load       *delayedValue[engineLoad]
	lastExpiry time.Time // when unread streams were last dropped
	stats      engineStats
}

func newEngine(opts Options, holdAfter func() int) *engine {
	return &engine{
		opts:      opts,
		holdAfter: holdAfter,
		streams:   make(map[string]*stream),
		cache:     newPrefixCache(opts),
		load:      newDelayedValue[engineLoad](opts.ReportLag),
	}
}

// newStream returns a stream for submit.
func newStream(prompt string, tokens int) *stream {
	return &stream{
		key:     PromptKey(prompt),
		tokens:  tokens,
		prompt:  PromptTokens(prompt),
		blocks:  cacheBlocks(prompt),
		changed: make(chan struct{}),
	}
}

// submit queues a stream, or returns errBusy if the queue is full. A stream that was
// imported with decoded tokens keeps them and needs no prefill.
func (e *engine) submit(s *stream) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) >= e.opts.Slots && len(e.waiting) >= e.opts.QueueLimit {
		return errBusy
	}
	e.arrivals++
	s.arrival = e.arrivals
	s.id = e.opts.Name + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(e.arrivals)
	s.unreadSince = time.Now()
	e.streams[s.id] = s
	e.enqueue(s)
	return nil
}

func (e *engine) enqueue(s *stream) {
	s.phase = phaseWaiting
	e.waiting = append(e.waiting, s)
	e.admit(time.Now())
	e.ensureLoop()
}

// ensureLoop starts the batch loop unless it is running.
func (e *engine) ensureLoop() {
	if !e.looping {
		e.looping = true
		go e.loop()
	}
}

// loop runs steps until there are no streams left.
func (e *engine) loop() {
	for {
		e.mu.Lock()
		now := time.Now()
		e.expire(now)
		e.admit(now)
		if len(e.running) == 0 && len(e.streams) == 0 {
			e.looping = false
			e.mu.Unlock()
			return
		}
		stepTime, prefill := e.planStep()
		e.mu.Unlock()
		time.Sleep(stepTime)
		e.mu.Lock()
		e.step(prefill)
		e.mu.Unlock()
	}
}

// admit moves the most urgent waiting streams into free slots.
func (e *engine) admit(now time.Time) {
	for len(e.running) < e.opts.Slots && len(e.waiting) > 0 {
		next := 0
		for i, s := range e.waiting {
			if s.before(e.waiting[next]) {
				next = i
			}
		}
		s := e.waiting[next]
		e.waiting = slices.Delete(e.waiting, next, next+1)
		e.running = append(e.running, s)
		e.startRunning(s, now)
	}
	e.recordLoad(now)
}

// before reports whether s is admitted before other: by priority, then by arrival.
func (s *stream) before(other *stream) bool {
	if s.priority != other.priority {
		return s.priority < other.priority
	}
	return s.arrival < other.arrival
}

// startRunning starts an admitted stream: with decoding if it already has tokens,
// otherwise with the prefill of the prompt tokens that are not in the cache.
func (e *engine) startRunning(s *stream, now time.Time) {
	if s.produced > 0 {
		s.phase = phaseDecode
		return
	}
	s.phase = phasePrefill
	cached := min(e.cache.cachedTokens(s.blocks), s.prompt)
	e.stats.CachedTokens += int64(cached)
	s.prefillLeft = float64(s.prompt - cached)
	e.cache.store(s.blocks, e.opts.KVTokens-e.activeTokens(), now)
}

// activeTokens returns the number of KV cache tokens that running streams use.
func (e *engine) activeTokens() int {
	sum := 0
	for _, s := range e.running {
		sum += s.prompt + s.produced
	}
	return sum
}

const (
	// maxPrefillTime bounds the time that one step spends on prefill.
	maxPrefillTime = 20 * time.Millisecond
	// expiryInterval is the time between checks for unread streams.
	expiryInterval = 50 * time.Millisecond
	// idleStepTime is the time of a step when no stream is running.
	idleStepTime = 10 * time.Millisecond
)

// planStep returns how long the next step takes and how many prompt tokens it
// computes.
func (e *engine) planStep() (time.Duration, float64) {
	var left float64
	decoding := 0
	for _, s := range e.running {
		left += s.prefillLeft
		if s.phase == phaseDecode {
			decoding++
		}
	}
	if len(e.running) == 0 {
		return idleStepTime, 0
	}
	prefill := math.Min(left, e.opts.PrefillTokensPerSecond*maxPrefillTime.Seconds())
	seconds := prefill / e.opts.PrefillTokensPerSecond
	if decoding > 0 {
		growth := e.opts.BatchSlowdown * float64(decoding-1) / float64(max(e.opts.Slots-1, 1))
		seconds += (1 + growth) / e.opts.TokensPerSecond
	}
	return time.Duration(seconds * float64(time.Second)), prefill
}

// step adds a token to each decoding stream and distributes the prompt tokens over
// the streams in prefill, in the order in which they were admitted.
func (e *engine) step(prefill float64) {
	for _, s := range e.running {
		switch s.phase {
		case phasePrefill:
			spent := math.Min(prefill, s.prefillLeft)
			prefill -= spent
			s.prefillLeft -= spent
			e.stats.PrefillTokens += int64(math.Round(spent))
			if s.prefillLeft <= 0 {
				e.produce(s)
			}
		case phaseDecode:
			e.produce(s)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool {
		return s.phase != phasePrefill && s.phase != phaseDecode
	})
}

// produce adds one token to a stream, unless it is held.
func (e *engine) produce(s *stream) {
	s.phase = phaseDecode
	if limit := e.holdAfter(); limit > 0 && s.produced >= limit {
		return
	}
	if s.produced < s.tokens {
		s.produced++
		e.stats.DecodedTokens++
	}
	if s.produced >= s.tokens {
		s.phase = phaseDone
	}
	s.wake()
}

// expire removes streams that have had no reader for longer than KeepStreams.
func (e *engine) expire(now time.Time) {
	if now.Sub(e.lastExpiry) < expiryInterval {
		return
	}
	e.lastExpiry = now
	for _, s := range e.streams {
		if s.readers == 0 && now.Sub(s.unreadSince) > e.opts.KeepStreams {
			e.remove(s)
		}
	}
}

// remove drops a stream, which is cancelled unless it is done.
func (e *engine) remove(s *stream) {
	same := func(other *stream) bool { return other == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
	delete(e.streams, s.id)
	if s.phase != phaseDone {
		s.phase = phaseCancelled
	}
	s.wake()
}

// cancel cancels a stream. It reports false if there is no stream with the ID.
func (e *engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil {
		return false
	}
	if s.phase != phaseDone {
		e.stats.Cancelled++
	}
	e.remove(s)
	return true
}

// attachReader adds a reader to a stream and requeues the stream if it is paused. It
// returns nil if there is no stream with the ID.
func (e *engine) attachReader(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil {
		return nil
	}
	s.readers++
	if s.phase == phasePaused {
		e.enqueue(s)
	}
	return s
}

// detachReader removes a reader from a stream.
func (e *engine) detachReader(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.unreadSince = time.Now()
}

// progress returns the number of tokens that a stream has, its phase, and a channel
// that is closed when it gets a token, is paused or ends.
func (e *engine) progress(s *stream) (produced int, current phase, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.produced, s.phase, s.changed
}

// recordLoad records the current load for delayedLoad.
func (e *engine) recordLoad(now time.Time) {
	used := 1.0
	if e.opts.KVTokens > 0 {
		used = math.Min(1, float64(e.activeTokens()+e.cache.tokens)/float64(e.opts.KVTokens))
	}
	e.load.set(now, engineLoad{len(e.running), len(e.waiting), used})
}

// delayedLoad returns the load as it was the report lag ago.
func (e *engine) delayedLoad() engineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load.get(time.Now())
}

// statsSnapshot returns a copy of the counters.
func (e *engine) statsSnapshot() engineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}
