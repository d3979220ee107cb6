package serverlimit

import "time"

const (
	// bucketTime is the time for which an unused limit accumulates, though minBucket requests
	// always do.
	bucketTime = 500 * time.Millisecond
	minBucket  = 2.0
	// brittleBucket is what accumulates for a brittle server, which has no room for a burst.
	brittleBucket = 1.0
)

// Report is what an entry tells the leader.
type Report struct {
	// Words are those of the servers that the entry knows of, and have named a limit.
	Words map[string]Word
	// Wanted is the number of requests that the entry would send to a server now, and Back
	// the number that it was granted and doesn't use.
	Wanted map[string]int
	Back   map[string]int
}

// Grant answers a Report.
type Grant struct {
	// Words are those of all servers that have named a limit.
	Words map[string]Word
	// Granted is the number of requests that the entry may send to a server, and Wait the time
	// until there is another one.
	Granted map[string]int
	Wait    map[string]time.Duration
}

// Allocator grants requests. Only the leader uses one. A new one grants nothing at once,
// since what the leader before granted is not known.
type Allocator struct {
	buckets map[string]*bucket
}

type bucket struct {
	word     Word
	level    float64
	filledAt time.Duration
}

// NewAllocator returns an Allocator that knows of no limit.
func NewAllocator() *Allocator { return &Allocator{buckets: make(map[string]*bucket)} }

// Renew applies a report and returns what the entry may send.
func (a *Allocator) Renew(now time.Duration, report Report) Grant {
	a.expire(now)
	for instance, word := range report.Words {
		a.learn(now, instance, word)
	}
	grant := Grant{Words: make(map[string]Word, len(a.buckets)), Granted: make(map[string]int), Wait: make(map[string]time.Duration)}
	for instance, b := range a.buckets {
		grant.Words[instance] = b.word
		if b.word.PerSecond == 0 {
			continue
		}
		b.fill(now)
		b.level = min(b.level+float64(max(report.Back[instance], 0)), b.most())
		if n := min(report.Wanted[instance], int(b.level)); n > 0 {
			b.level -= float64(n)
			grant.Granted[instance] = n
		}
		if b.level < 1 {
			grant.Wait[instance] = time.Duration((1 - b.level) / b.word.rate() * float64(time.Second))
		}
	}
	return grant
}

func (a *Allocator) learn(now time.Duration, instance string, word Word) {
	b := a.buckets[instance]
	switch {
	case b == nil:
		if len(a.buckets) < maxWords {
			a.buckets[instance] = &bucket{word: word, filledAt: now}
		}
	case word.replaces(b.word):
		b.fill(now)
		if b.word.PerSecond == 0 {
			b.level = 0
		}
		b.word = word
		b.level = min(b.level, b.most())
	}
}

func (a *Allocator) expire(now time.Duration) {
	for instance, b := range a.buckets {
		if now-b.word.Read > wordKept {
			delete(a.buckets, instance)
		}
	}
}

// most is the number of requests that accumulate.
func (b *bucket) most() float64 {
	if b.word.Brittle {
		return brittleBucket
	}
	return max(b.word.rate()*bucketTime.Seconds(), minBucket)
}

func (b *bucket) fill(now time.Duration) {
	if elapsed := (now - b.filledAt).Seconds(); elapsed > 0 {
		b.level = min(b.level+b.word.rate()*elapsed, b.most())
		b.filledAt = now
	}
}
