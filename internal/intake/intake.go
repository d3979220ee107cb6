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
)

// causeHeader is the cause of headers without room.
const causeHeader = "header"

// Budget is the memory of a process for what its callers make it hold. It is safe for
// concurrent use. A nil Budget has no limit.
type Budget struct {
	size    int64
	used    atomic.Int64
	started time.Time
	logger  *log.Logger
	shed    *prometheus.CounterVec
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

// Used returns the bytes held.
func (b *Budget) Used() int64 { return b.used.Load() }

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
	for waited := time.Duration(0); ; waited += roomCheck {
		used := b.used.Add(bytes)
		if used > b.size/exportPart {
			b.export()
		}
		if used <= b.size {
			return true
		}
		// A request that is alone is served.
		if s != nil && used == s.bytes.Load()+bytes {
			return true
		}
		b.makeRoom(used - b.size + b.size/freedPart)
		if b.used.Load() <= b.size+b.size/overPart {
			return true
		}
		b.used.Add(-bytes)
		if waited >= maxRoomWait || s != nil && s.err() != nil {
			return false
		}
		time.Sleep(roomCheck)
	}
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

// holders returns the shares that can give way, and the bytes of those that have and
// still hold them. The caller holds mu.
func (b *Budget) holders() (holders []intake.Holder, pending int64) {
	for _, s := range b.shares {
		s.mu.Lock()
		state, cause := s.state, s.cause
		s.mu.Unlock()
		bytes := s.bytes.Load()
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
