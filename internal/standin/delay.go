package standin

import "time"

// delayedValue returns a value as it was a fixed time ago. Callers must hold the
// owner's lock.
type delayedValue[T any] struct {
	lag     time.Duration
	changes []change[T]
}

type change[T any] struct {
	at    time.Time
	value T
}

func newDelayedValue[T any](lag time.Duration) *delayedValue[T] {
	return &delayedValue[T]{lag: lag}
}

// set changes the value as of now.
func (d *delayedValue[T]) set(now time.Time, value T) {
	d.changes = append(d.changes, change[T]{now, value})
	d.prune(now)
}

// get returns the value as it was at now minus the lag, or the zero value if none had
// been set by then.
func (d *delayedValue[T]) get(now time.Time) T {
	d.prune(now)
	var value T
	if len(d.changes) > 0 && !d.changes[0].at.After(now.Add(-d.lag)) {
		value = d.changes[0].value
	}
	return value
}

// prune drops the changes before the newest one that is at least the lag old; get no
// longer needs them.
func (d *delayedValue[T]) prune(now time.Time) {
	cutoff := now.Add(-d.lag)
	keep := 0
	for i, c := range d.changes {
		if !c.at.After(cutoff) {
			keep = i
		}
	}
	d.changes = d.changes[keep:]
}
