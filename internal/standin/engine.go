package standin

import (
	"errors"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"
)

// phase is where a stream stands.
type phase int

const (
	phaseWaiting phase = iota
	phasePrefill
	phaseDecode
	phasePaused
	phaseDone
	phaseCancelled
)

// stream is one answer being generated. Its fields are guarded by the
// engine's lock.
type stream struct {
	id       string
	request  string // request ID and attempt
	key      string // prompt key, which its tokens start with
	model    string
	chat     bool
	tokens   int // to generate
	prompt   int // prompt tokens
	priority int
	order    int // of arrival

	phase       phase
	produced    int
	prefillLeft float64
	blocks      []string // cache blocks of the prompt
	readers     int
	unread      time.Time // when the last reader left
	changed     chan struct{}
}

// wake lets the stream's readers look again.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// engineStats counts the work of an engine.
type engineStats struct {
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	DecodedTokens int64 `json:"decoded_tokens"`
	Cancelled     int64 `json:"cancelled"`
	// RefusedLeaving counts requests that came while the engine was leaving.
	RefusedLeaving int64 `json:"refused_leaving"`
	Exported       int64 `json:"exported"`
	Imported       int64 `json:"imported"`
	Resumed        int64 `json:"resumed"`
}

// engineLoad is what an engine reports.
type engineLoad struct {
	running, waiting int
	kvUsed           float64
}

var errBusy = errors.New("the queue is full")

// engine generates tokens for many streams in one batch: each step computes
// some prompt tokens and one token for every decoding stream, and takes longer
// the larger the batch is.
type engine struct {
	opts Options
	held func() int // tokens at which streams are held; 0 for none

	mu       sync.Mutex
	stepping bool
	arrivals int
	running  []*stream
	waiting  []*stream
	streams  map[string]*stream
	cache    *prefixCache
	load     *delayLine[engineLoad]
	expired  time.Time // when streams were last expired
	stats    engineStats
}

func newEngine(opts Options, held func() int) *engine {
	return &engine{
		opts:    opts,
		held:    held,
		streams: make(map[string]*stream),
		cache:   newPrefixCache(opts),
		load:    newDelayLine[engineLoad](opts.ReportLag),
	}
}

// newStream describes a request that has not been submitted.
func newStream(prompt string, tokens int) *stream {
	return &stream{
		key:     PromptKey(prompt),
		tokens:  tokens,
		prompt:  PromptTokens(prompt),
		blocks:  cacheBlocks(prompt),
		changed: make(chan struct{}),
	}
}

// submit queues a stream, or returns errBusy. A stream that already has
// tokens keeps them and needs no prefill.
func (e *engine) submit(s *stream) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) >= e.opts.Slots && len(e.waiting) >= e.opts.QueueLimit {
		return errBusy
	}
	e.arrivals++
	s.order = e.arrivals
	s.id = e.opts.Name + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(e.arrivals)
	s.unread = time.Now()
	e.streams[s.id] = s
	e.enqueue(s)
	return nil
}

func (e *engine) enqueue(s *stream) {
	s.phase = phaseWaiting
	e.waiting = append(e.waiting, s)
	e.admit(time.Now())
	e.start()
}

// start runs the batch loop unless it runs already.
func (e *engine) start() {
	if !e.stepping {
		e.stepping = true
		go e.loop()
	}
}

// loop steps until no stream is left to keep.
func (e *engine) loop() {
	for {
		e.mu.Lock()
		now := time.Now()
		e.expire(now)
		e.admit(now)
		if len(e.running) == 0 && len(e.streams) == 0 {
			e.stepping = false
			e.mu.Unlock()
			return
		}
		pause, prefill := e.plan()
		e.mu.Unlock()
		time.Sleep(pause)
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
		e.place(s, now)
	}
	e.report(now)
}

// before orders waiting streams by priority and arrival.
func (s *stream) before(other *stream) bool {
	if s.priority != other.priority {
		return s.priority < other.priority
	}
	return s.order < other.order
}

// place gives a stream its slot and works out what its prefill costs.
func (e *engine) place(s *stream, now time.Time) {
	if s.produced > 0 {
		s.phase = phaseDecode
		return
	}
	s.phase = phasePrefill
	cached := min(e.cache.hit(s.blocks), s.prompt)
	e.stats.CachedTokens += int64(cached)
	s.prefillLeft = float64(s.prompt - cached)
	e.cache.store(s.blocks, e.opts.KVTokens-e.active(), now)
}

// active returns the tokens of KV cache that running streams hold.
func (e *engine) active() int {
	sum := 0
	for _, s := range e.running {
		sum += s.prompt + s.produced
	}
	return sum
}

const (
	// prefillShare is the time that one step gives to prefill at most.
	prefillShare = 20 * time.Millisecond
	// expireEvery is the time between two looks for unread streams.
	expireEvery = 50 * time.Millisecond
	// idlePause is the step while only kept streams are left.
	idlePause = 10 * time.Millisecond
)

// plan returns how long the next step takes and how many prompt tokens it
// computes.
func (e *engine) plan() (time.Duration, float64) {
	var left float64
	decoding := 0
	for _, s := range e.running {
		left += s.prefillLeft
		if s.phase == phaseDecode {
			decoding++
		}
	}
	if len(e.running) == 0 {
		return idlePause, 0
	}
	prefill := math.Min(left, e.opts.PrefillTokensPerSecond*prefillShare.Seconds())
	seconds := prefill / e.opts.PrefillTokensPerSecond
	if decoding > 0 {
		growth := e.opts.BatchSlowdown * float64(decoding-1) / float64(max(e.opts.Slots-1, 1))
		seconds += (1 + growth) / e.opts.TokensPerSecond
	}
	return time.Duration(seconds * float64(time.Second)), prefill
}

// step adds a token to each decoding stream and spends the prompt tokens on
// the streams in prefill, first come first served.
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

// produce adds one token.
func (e *engine) produce(s *stream) {
	s.phase = phaseDecode
	if held := e.held(); held > 0 && s.produced >= held {
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

// expire drops streams that nobody has read for the time they are kept.
func (e *engine) expire(now time.Time) {
	if now.Sub(e.expired) < expireEvery {
		return
	}
	e.expired = now
	for _, s := range e.streams {
		if s.readers == 0 && now.Sub(s.unread) > e.opts.KeepStreams {
			e.remove(s)
		}
	}
}

// remove ends a stream and forgets it.
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

// cancel ends a stream; it reports false if there is none of that ID.
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

// open adds a reader. A paused stream goes on.
func (e *engine) open(id string) *stream {
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

// closeReader takes a reader away.
func (e *engine) closeReader(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.unread = time.Now()
}

// look returns how far a stream is and a channel that is closed on progress.
func (e *engine) look(s *stream) (produced int, at phase, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.produced, s.phase, s.changed
}

// report records the load from now on.
func (e *engine) report(now time.Time) {
	used := 1.0
	if e.opts.KVTokens > 0 {
		used = math.Min(1, float64(e.active()+e.cache.tokens)/float64(e.opts.KVTokens))
	}
	e.load.add(now, engineLoad{len(e.running), len(e.waiting), used})
}

// reported returns the load as it was the report lag ago.
func (e *engine) reported() engineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load.at(time.Now())
}

// counted returns the statistics.
func (e *engine) counted() engineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}
