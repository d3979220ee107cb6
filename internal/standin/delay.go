package standin

import "time"

// delayLine gives a value as it was a fixed time ago. The caller locks.
type delayLine[T any] struct {
	lag     time.Duration
	changes []change[T]
}

type change[T any] struct {
	at    time.Time
	value T
}

func newDelayLine[T any](lag time.Duration) *delayLine[T] {
	return &delayLine[T]{lag: lag}
}

// add sets the value from now on.
func (d *delayLine[T]) add(now time.Time, value T) {
	d.changes = append(d.changes, change[T]{now, value})
	d.prune(now)
}

// at returns the value as it was the lag ago, or the zero value.
func (d *delayLine[T]) at(now time.Time) T {
	d.prune(now)
	var value T
	if len(d.changes) > 0 && !d.changes[0].at.After(now.Add(-d.lag)) {
		value = d.changes[0].value
	}
	return value
}

// prune keeps the newest change that is old enough, and all later ones.
func (d *delayLine[T]) prune(now time.Time) {
	seen := now.Add(-d.lag)
	keep := 0
	for i, c := range d.changes {
		if !c.at.After(seen) {
			keep = i
		}
	}
	d.changes = d.changes[keep:]
}
