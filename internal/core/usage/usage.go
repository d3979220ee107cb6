// Package usage counts the calls that began to run, per customer and window of
// wall-clock time, and decides which window the leader reports next.
//
// Entries send the counts of all recent windows with each renewal, so that no
// counts are lost if a message is lost or the leader changes. Once a window has
// been reported, it is never reported with other counts: the counts are committed
// to the log before they are sent, and a new leader sends the committed counts.
package usage

import "time"

const (
	// keepWindows is the number of past windows whose counts an entry sends again.
	// They cover more time than a change of leaders takes.
	keepWindows = 6
	// settleTime is the time after the end of a window in which its counts may
	// still arrive: two renewals of every entry.
	settleTime = 2500 * time.Millisecond
	// reportDeadline is the time after the end of a window after which it is no
	// longer reported.
	reportDeadline = 20 * time.Second
)

// Counts holds the number of calls by customer.
type Counts map[string]uint64

// Clock maps times to windows of a fixed length. Times are durations since 1970.
type Clock struct{ Length time.Duration }

// Window returns the number of the window that contains a time.
func (c Clock) Window(at time.Duration) uint64 { return uint64(at / c.Length) }

// End returns when a window ends.
func (c Clock) End(window uint64) time.Duration { return time.Duration(window+1) * c.Length }

// Counter counts the calls of one entry.
type Counter struct {
	clock   Clock
	windows map[uint64]Counts
	newest  uint64
}

// NewCounter returns a counter for windows of the given length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{clock: Clock{length}, windows: make(map[uint64]Counts)}
}

// Add counts a call that began to run at the given time.
func (c *Counter) Add(at time.Duration, customer string) {
	window := c.clock.Window(at)
	counts := c.windows[window]
	if counts == nil {
		counts = make(Counts)
		c.windows[window] = counts
		c.newest = max(c.newest, window)
		c.forget()
	}
	counts[customer]++
}

func (c *Counter) forget() {
	for window := range c.windows {
		if window+keepWindows < c.newest {
			delete(c.windows, window)
		}
	}
}

// Recent returns the counts of recent windows. The caller must not change them.
func (c *Counter) Recent() map[uint64]Counts { return c.windows }

// Source identifies one incarnation of an entry process.
type Source struct {
	Process     string
	Incarnation uint64
}

// Report holds the counts of one window over all entries.
type Report struct {
	Window uint64
	Counts Counts
}

// Ledger sums the counts of all entries at the leader.
type Ledger struct {
	clock   Clock
	windows map[uint64]*windowCounts
	// firstWindow is the first window that this leader reports.
	firstWindow uint64
}

// windowCounts holds the counts of one window. reported is nil until the window is
// first reported; it then holds the counts that were sent.
type windowCounts struct {
	counts   map[Source]Counts
	reported Counts
	done     bool
}

// NewLedger returns the Ledger of a leader whose term begins now. It includes the
// windows that the previous leader may not have reported in time.
func NewLedger(length, now time.Duration) *Ledger {
	clock := Clock{length}
	return &Ledger{clock: clock, windows: make(map[uint64]*windowCounts), firstWindow: clock.Window(max(now-reportDeadline, 0))}
}

// SetCounts replaces the counts of a source in a window.
func (l *Ledger) SetCounts(source Source, window uint64, counts Counts) {
	if window < l.firstWindow {
		return
	}
	w := l.windows[window]
	if w == nil {
		w = &windowCounts{counts: make(map[Source]Counts)}
		l.windows[window] = w
	}
	w.counts[source] = counts
}

// Due returns the report of the oldest window that is due, or false if none is.
func (l *Ledger) Due(now time.Duration) (Report, bool) {
	var oldestCounts *windowCounts
	var oldest uint64
	for window, w := range l.windows {
		end := l.clock.End(window)
		if now > end+reportDeadline {
			delete(l.windows, window)
			continue
		}
		if w.done || now < end+settleTime || oldestCounts != nil && window > oldest {
			continue
		}
		oldestCounts, oldest = w, window
	}
	if oldestCounts == nil {
		return Report{}, false
	}
	if oldestCounts.reported == nil {
		oldestCounts.reported = oldestCounts.sum()
	}
	return Report{Window: oldest, Counts: oldestCounts.reported}, true
}

// Done records that the report of a window was accepted.
func (l *Ledger) Done(window uint64) {
	if w := l.windows[window]; w != nil {
		w.done = true
	}
}

func (w *windowCounts) sum() Counts {
	total := make(Counts)
	for _, counts := range w.counts {
		for customer, n := range counts {
			total[customer] += n
		}
	}
	return total
}
