package replica

import (
	"fmt"
	"strings"
	"time"

	"github.com/phuslu/log"
)

// loopLogInterval is the least time between two lines about a loop that was held up.
const loopLogInterval = time.Second

// loopMonitor measures how long the event loop is kept from its ticks, and by what. A leader
// whose loop is held up sends no heartbeats and handles no answers to them.
type loopMonitor struct {
	logger  *log.Logger
	metrics *metrics

	tickedAt time.Duration
	// busy is the time in handlers since the last tick; longest, an event or a name, took longestTook of it.
	busy        time.Duration
	longest     any
	longestTook time.Duration
	loggedAt    time.Duration
	// unlogged is the number of delays without a line since the last one.
	unlogged int
}

func newLoopMonitor(now time.Duration, logger *log.Logger, metrics *metrics) *loopMonitor {
	return &loopMonitor{logger: logger, metrics: metrics, tickedAt: now, loggedAt: now - loopLogInterval}
}

// handled counts the time of a handler that ran for an event, or for what a name says.
func (m *loopMonitor) handled(what any, took time.Duration) {
	m.busy += took
	if took > m.longestTook {
		m.longest, m.longestTook = what, took
	}
}

// tick records the time since the last tick. A delay as long as the interval of heartbeats is
// logged: if busy_ms is much less than delay_ms, the process did not get the processor.
func (m *loopMonitor) tick(now time.Duration) {
	delay := max(0, now-m.tickedAt-tickInterval)
	m.metrics.loopDelay.Observe(delay.Seconds())
	if delay >= heartbeatInterval {
		m.logDelay(now, delay)
	}
	m.tickedAt, m.busy, m.longest, m.longestTook = now, 0, nil, 0
}

func (m *loopMonitor) logDelay(now, delay time.Duration) {
	if now-m.loggedAt < loopLogInterval {
		m.unlogged++
		return
	}
	m.logger.Warn().Str("step", "event loop").Int64("delay_ms", delay.Milliseconds()).Int64("busy_ms", m.busy.Milliseconds()).
		Str("longest", handlerName(m.longest)).Int64("longest_ms", m.longestTook.Milliseconds()).Int("unlogged", m.unlogged).
		Msg("the event loop of the replica was held up")
	m.loggedAt, m.unlogged = now, 0
}

// handlerName returns a name as it is, and that of an event's type, such as "Receive".
func handlerName(what any) string {
	switch what := what.(type) {
	case nil:
		return ""
	case string:
		return what
	}
	_, name, _ := strings.Cut(fmt.Sprintf("%T", what), ".")
	return name
}
