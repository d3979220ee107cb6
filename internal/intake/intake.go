// Package intake bounds what callers make a process hold: the memory of their requests
// and answers, and their connections.
package intake

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/intake"
)

const (
	// freedPart is the part of the budget that is freed beyond what is needed, so that
	// the holders are not gone through for every read.
	freedPart = 16
	// overPart is the part of the budget by which it may be exceeded while victims give
	// their memory back.
	overPart = 8
	// writeBytes is the size of the pieces in which answers are written.
	writeBytes = 64 << 10
	// maxRoomWait is how long a request that needs memory waits for that of victims, and
	// roomCheck how often it looks. Victims give it back in milliseconds, unless the
	// process waits for a processor.
	maxRoomWait = 250 * time.Millisecond
	roomCheck   = 2 * time.Millisecond
	// maxAnswerWait is how long an answer of a backend server waits for memory: by then answers that nobody
	// reads have given way.
	maxAnswerWait = intake.StallTime + maxRoomWait
	// maxWaitingAnswers is how many of them wait. Each of them keeps its request running.
	maxWaitingAnswers = 16
	// exportPart is the part of the budget from whose use on the gauges are exported.
	exportPart = 8
	// logInterval is the shortest time between two log lines about requests that gave way.
	logInterval = time.Second
)

// Errors of a share that gave way.
var (
	// ErrStalled means that the caller sends or reads too slowly.
	ErrStalled = errors.New("the caller is too slow while the memory for callers is used up")
	// ErrFull means that others have the memory.
	ErrFull = errors.New("the memory for callers is used up")
	// ErrBusy means that as many requests run as the process has descriptors for.
	ErrBusy = errors.New("too many requests run")
)

// causeHeader is the cause of headers without room.
const causeHeader = "header"

// Budget is the memory of a process for what its callers make it hold. It is safe for
// concurrent use. A nil Budget has no limit.
type Budget struct {
	size int64
	used atomic.Int64
	// answers counts the bytes of long answers of backend servers, which have memory of their own.
	answers atomic.Int64
	// running counts requests of callers that run, at most maxRunning unless it is zero.
	running    atomic.Int64
	maxRunning int64
	// waitingAnswers counts the long answers that wait for memory.
	waitingAnswers atomic.Int64
	started        time.Time
	logger         *log.Logger
	shed           *prometheus.CounterVec
	// export registers the gauges, which appear once much of the budget is used.
	export func()

	mu     sync.Mutex
	nextID uint64
	shares map[uint64]*Share
	// logged is when the last line was written, unlogged the victims since then.
	logged   time.Time
	unlogged int
}

// NewBudget returns a budget of a size in bytes.
func NewBudget(size int64, logger *log.Logger, registry prometheus.Registerer) *Budget {
	b := &Budget{size: size, started: time.Now(), logger: logger, shares: make(map[uint64]*Share)}
	b.shed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "waxwingcart", Name: "intake_shed_total",
		Help: "Requests and answers that gave way because the memory for callers was used up, by cause.",
	}, []string{"cause"})
	held := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "waxwingcart", Name: "intake_bytes", Help: "Memory that callers make this process hold.",
	}, func() float64 { return float64(b.Used()) })
	limit := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "waxwingcart", Name: "intake_limit_bytes", Help: "Memory that callers may make this process hold.",
	}, func() float64 { return float64(size) })
	registry.MustRegister(b.shed)
	b.export = sync.OnceFunc(func() { registry.MustRegister(held, limit) })
	return b
}

// LimitRequests limits how many requests of callers run at once. It must be called before the first of them.
func (b *Budget) LimitRequests(limit int) { b.maxRunning = int64(limit) }

// Used returns the bytes held.
func (b *Budget) Used() int64 { return b.used.Load() + b.answers.Load() }

// state is what a share's request does.
type state uint8

const (
	stateReading state = iota
	// stateRunning can't give way.
	stateRunning
	stateWriting
)

// Share is what one request holds. Charge and Close are called by one goroutine.
// The methods of a nil Share do nothing.
type Share struct {
	budget *Budget
	id     uint64
	group  string
	since  time.Duration
	bytes  atomic.Int64
	// answers counts the bytes of long answers.
	answers atomic.Int64
	// arrived counts bytes read or written, and last is when the last one was.
	arrived, last atomic.Int64

	mu    sync.Mutex
	state state
	// w is the request's, whose connection's deadlines end a read or write, and conn the
	// connection, or nil.
	w      http.ResponseWriter
	conn   *Conn
	cause  intake.Cause
	closed bool
	// begun is true while the request is counted as running.
	begun atomic.Bool
}

func (b *Budget) now() time.Duration { return time.Since(b.started) }

// Open returns a share of a group, the customer or address, for a body that is about to
// be read. If it gives way, it ends reads and writes of the request's connection by their
// deadlines, and none after Close.
func (b *Budget) Open(group string, w http.ResponseWriter, req *http.Request) *Share {
	if b == nil {
		return nil
	}
	s := &Share{budget: b, group: group, since: b.now(), state: stateReading, w: w, conn: connOf(req)}
	s.last.Store(int64(s.since))
	b.mu.Lock()
	b.nextID++
	s.id = b.nextID
	b.shares[s.id] = s
	b.mu.Unlock()
	return s
}

// Charge holds more bytes, or fewer if they are negative. It returns ErrStalled or
// ErrFull, and holds no more, if the share has given way.
func (s *Share) Charge(bytes int64) error {
	if s == nil {
		return nil
	}
	if bytes <= 0 {
		s.budget.used.Add(bytes)
		s.bytes.Add(bytes)
		return nil
	}
	if !s.budget.take(bytes, s) {
		s.giveWay(intake.CauseShare)
		return s.err()
	}
	s.bytes.Add(bytes)
	if err := s.err(); err != nil {
		return s.undo(bytes, err)
	}
	return nil
}

func (s *Share) undo(bytes int64, err error) error {
	s.budget.used.Add(-bytes)
	s.bytes.Add(-bytes)
	return err
}

// take holds bytes, for a share if it is not nil. If there is no room, others give way,
// and it waits until they have given their memory back. It returns false, and holds
// nothing, if that takes too long or the share itself has given way.
func (b *Budget) take(bytes int64, s *Share) bool {
	return await(maxRoomWait, s, func() bool {
		used := b.used.Add(bytes)
		if used > b.size/exportPart {
			b.export()
		}
		over := used - b.size
		if s != nil {
			// Without a share it is a header, whose request gets an answer at least.
			over = max(over, b.total()-intake.TotalSize(b.size))
		}
		// A request that is alone is served.
		if over <= 0 || s != nil && used-bytes-s.bytes.Load() <= b.size/freedPart {
			return true
		}
		b.makeRoom(over + b.size/freedPart)
		if b.used.Load() <= b.size+b.size/overPart && (s == nil || b.total() <= intake.TotalSize(b.size)) {
			return true
		}
		b.used.Add(-bytes)
		return false
	})
}

// takeAnswer holds bytes of a long answer. If there is no room, answers that nobody reads give way, and it
// waits until they have. Only few wait: others are refused at once.
func (b *Budget) takeAnswer(bytes int64, s *Share) bool {
	size := intake.AnswerSize(b.size)
	ok := func() bool {
		used := b.answers.Add(bytes)
		over := max(used-size, b.total()-intake.TotalSize(b.size))
		if over <= 0 || used-bytes-s.answers.Load() <= size/freedPart {
			return true
		}
		b.answers.Add(-bytes)
		b.makeAnswerRoom(over + size/freedPart)
		return false
	}
	if ok() {
		return true
	}
	defer b.waitingAnswers.Add(-1)
	return b.waitingAnswers.Add(1) <= maxWaitingAnswers && await(maxAnswerWait, s, ok)
}

// begin counts a request that runs. It returns false if there are too many, and answers that nobody reads do
// not give way in time.
func (b *Budget) begin() bool {
	return await(maxRoomWait, nil, func() bool {
		running := b.running.Add(1)
		over := b.total() - intake.TotalSize(b.size)
		if (running <= b.maxRunning || b.maxRunning == 0) && (over <= 0 || running == 1) {
			return true
		}
		b.running.Add(-1)
		if over > 0 {
			b.makeRoom(over + b.size/freedPart)
		} else {
			b.ShedIdle()
		}
		return false
	})
}

// total returns the bytes that a request holds.
func (s *Share) total() int64 {
	bytes := s.bytes.Load() + s.answers.Load()
	if s.begun.Load() {
		bytes += intake.RequestMemory
	}
	return bytes
}

// total returns the bytes that all requests hold.
func (b *Budget) total() int64 {
	return b.used.Load() + b.answers.Load() + b.running.Load()*intake.RequestMemory
}

// await calls ok until it returns true. It returns false after a time, or once a share has given way.
func await(maxWait time.Duration, s *Share, ok func() bool) bool {
	for waited := time.Duration(0); !ok(); waited += roomCheck {
		if waited >= maxWait || s != nil && s.err() != nil {
			return false
		}
		time.Sleep(roomCheck)
	}
	return true
}

// Hold holds bytes that have no share of their own: those of headers. Bodies and answers
// give way to them. It returns false, and holds nothing, if there is no room nevertheless.
func (b *Budget) Hold(bytes int64) bool {
	if b == nil {
		return true
	}
	if !b.take(bytes, nil) {
		b.shed.WithLabelValues(causeHeader).Inc()
		return false
	}
	return true
}

// Release gives back what Hold holds.
func (b *Budget) Release(bytes int64) {
	if b != nil && bytes != 0 {
		b.used.Add(-bytes)
	}
}

// makeRoom lets requests give way until at least need bytes become free.
func (b *Budget) makeRoom(need int64) {
	b.mu.Lock()
	holders, pending := b.holders()
	b.mu.Unlock()
	b.shedAll(intake.Victims(b.now(), holders, need-pending))
}

// makeAnswerRoom lets answers that nobody reads give way until at least need bytes of long answers become free.
func (b *Budget) makeAnswerRoom(need int64) {
	b.mu.Lock()
	all, _ := b.holders()
	answers := all[:0]
	for _, h := range all {
		if held := b.shares[h.ID].answers.Load(); h.Kind == intake.KindAnswer && held > 0 {
			h.Bytes = held
			answers = append(answers, h)
		}
	}
	b.mu.Unlock()
	b.shedAll(intake.Victims(b.now(), answers, need))
}

// holders returns the shares that can give way, and the bytes of those that have and
// still hold them. The caller holds mu.
func (b *Budget) holders() (holders []intake.Holder, pending int64) {
	for _, s := range b.shares {
		s.mu.Lock()
		state, cause := s.state, s.cause
		s.mu.Unlock()
		bytes := s.total()
		switch {
		case cause != "":
			pending += bytes
			continue
		case state == stateRunning || bytes == 0:
			continue
		}
		h := intake.Holder{ID: s.id, Group: s.group, Bytes: bytes, Arrived: s.arrived.Load(), Since: s.since, Last: time.Duration(s.last.Load())}
		if state == stateWriting {
			h.Kind = intake.KindAnswer
		}
		holders = append(holders, h)
	}
	return holders, pending
}

func (b *Budget) shedAll(victims []intake.Victim) {
	freed, shed := int64(0), 0
	for _, victim := range victims {
		b.mu.Lock()
		s := b.shares[victim.ID]
		b.mu.Unlock()
		if s != nil && s.giveWay(victim.Cause) {
			freed += victim.Bytes
			shed++
		}
	}
	if shed > 0 {
		b.report(victims[0], shed, freed)
	}
}

// ShedIdle lets one body or answer that makes no progress give way, whatever memory is
// held: connections are scarce.
func (b *Budget) ShedIdle() {
	if b == nil {
		return
	}
	b.mu.Lock()
	holders, _ := b.holders()
	b.mu.Unlock()
	for _, victim := range intake.Victims(b.now(), holders, 1) {
		if victim.Cause != intake.CauseShare {
			b.shedAll([]intake.Victim{victim})
		}
	}
}

// report logs requests that gave way, at most one line in logInterval.
func (b *Budget) report(first intake.Victim, shed int, freed int64) {
	b.mu.Lock()
	b.unlogged += shed
	count := b.unlogged
	if time.Since(b.logged) < logInterval {
		b.mu.Unlock()
		return
	}
	b.logged, b.unlogged = time.Now(), 0
	b.mu.Unlock()
	b.logger.Warn().Str("step", "intake").Str("cause", string(first.Cause)).Int("shed", count).Int64("freed_bytes", freed).
		Int64("used_bytes", b.used.Load()).Int64("limit_bytes", b.size).Msg("requests of callers gave way")
}
