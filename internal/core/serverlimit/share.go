package serverlimit

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// grantLife is how long a granted request may be used. It covers the time between two
	// renewals of a large deployment.
	grantLife = time.Second
	// leaderSilent is the time without a grant that knows of a server after which an entry
	// uses its part of offlineShare of the limit.
	leaderSilent = 3 * time.Second
	// offlineShare is the part of each limit that entries without a leader share. Together
	// with what the others are granted it stays below the servers' tolerance.
	offlineShare = 0.5
	// demandWindow is the time constant of the averages of demand and supply.
	demandWindow = 2 * time.Second
	// maxWanted bounds the requests to one server that an entry asks for at once.
	maxWanted = 64
	// maxRank is the least urgent rank that is told apart.
	maxRank = 9
	// minWait and maxWait bound the time that the callers of refused requests are told.
	minWait = 50 * time.Millisecond
	maxWait = 10 * time.Second
)

// Share is one entry's part of the limits.
type Share struct {
	random  *rand.Rand
	entries int
	servers map[string]*server
	limited int
	// unreadable holds the servers that have named a limit that can't be read.
	unreadable map[string]bool
}

// server is a server that has named a limit.
type server struct {
	word Word
	// granted is the number of requests that may be sent until expires.
	granted int
	expires time.Duration
	// back is the number of requests that were granted and not used.
	back int
	// waiting is the number of requests that wait for the next grant, awaitedAt when one last
	// would have waited if the leader had one to grant, and availableAt when the
	// leader expects to have one to grant.
	waiting     int
	awaitedAt   time.Duration
	availableAt time.Duration
	// knownAt is when a grant last knew of the server.
	knownAt time.Duration
	// offline is the level of the bucket that is used without a leader.
	offline  float64
	filledAt time.Duration
	// demand are the requests by rank that would have been sent here, and supply those that
	// were granted.
	demand  [maxRank + 1]average
	supply  average
	refused average
}

// average is an exponentially decaying count.
type average struct {
	sum float64
	at  time.Duration
}

func (a *average) decayed(now time.Duration) float64 {
	return a.sum * math.Exp(-float64(max(now-a.at, 0))/float64(demandWindow))
}

func (a *average) add(now time.Duration, n float64) {
	a.sum, a.at = a.decayed(now)+n, now
}

// NewShare returns a Share without limits.
func NewShare(seed uint64) *Share {
	return &Share{random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), entries: 1, servers: make(map[string]*server), unreadable: make(map[string]bool)}
}

// Observe applies the word of an answer. It reports whether the server's limit has
// changed.
func (s *Share) Observe(now time.Duration, instance string, word Word) bool {
	known := s.servers[instance]
	if known == nil {
		if word.PerSecond == 0 || len(s.servers) >= maxWords {
			return false
		}
		s.servers[instance] = &server{word: word, knownAt: now, filledAt: now}
		s.count()
		return true
	}
	if !word.replaces(known.word) {
		return false
	}
	changed := word.PerSecond != known.word.PerSecond || word.Brittle != known.word.Brittle
	known.word = word
	if changed {
		s.count()
	}
	return changed
}

// NoteUnreadable returns true the first time that a server names a limit that can't be read.
func (s *Share) NoteUnreadable(instance string) bool {
	if s.unreadable[instance] || len(s.unreadable) >= maxWords {
		return false
	}
	s.unreadable[instance] = true
	return true
}

func (s *Share) count() {
	s.limited = 0
	for _, known := range s.servers {
		if known.word.PerSecond > 0 {
			s.limited++
		}
	}
}

// Any reports whether a server names a limit.
func (s *Share) Any() bool { return s.limited > 0 }

// Limited reports whether a server names a limit.
func (s *Share) Limited(instance string) bool { return s.known(instance) != nil }

// PerSecond returns the limit of a server, or 0 if it names none.
func (s *Share) PerSecond(instance string) float64 {
	if known := s.known(instance); known != nil {
		return known.word.PerSecond
	}
	return 0
}

// Brittle reports whether a server falls over when it turns too many requests away.
func (s *Share) Brittle(instance string) bool {
	known := s.known(instance)
	return known != nil && known.word.Brittle
}

// known returns the state of a server that names a limit, or nil.
func (s *Share) known(instance string) *server {
	if known := s.servers[instance]; known != nil && known.word.PerSecond > 0 {
		return known
	}
	return nil
}

// Takes reports whether a request of a rank may be sent to a server now; 0 is the most
// urgent rank. Of what was granted, less urgent requests get what more urgent ones leave.
func (s *Share) Takes(now time.Duration, instance string, rank int) bool {
	known := s.known(instance)
	if known == nil {
		return true
	}
	if !known.holds(now, s.entries) {
		return false
	}
	supply, urgent := known.supply.decayed(now), 0.0
	rank = min(max(rank, 0), maxRank)
	for r := range rank {
		urgent += known.demand[r].decayed(now)
	}
	own := known.demand[rank].decayed(now)
	return urgent == 0 || supply >= urgent+own || s.random.Float64()*own < supply-urgent
}

// holds reports whether the entry may send a request to the server.
func (k *server) holds(now time.Duration, entries int) bool {
	if k.granted > 0 && now >= k.expires {
		k.back += k.granted
		k.granted = 0
	}
	k.fill(now, entries)
	return k.granted > 0 || k.offline >= 1
}

// fill adds what an entry without a leader may send.
func (k *server) fill(now time.Duration, entries int) {
	elapsed := (now - max(k.filledAt, k.knownAt+leaderSilent)).Seconds()
	if elapsed > 0 {
		k.offline = min(k.offline+elapsed*offlineShare*k.word.rate()/float64(max(entries, 1)), 1)
	}
	k.filledAt = now
}

// Want records a request that would be sent to a server if the limit allowed it.
func (s *Share) Want(now time.Duration, instance string, rank int) {
	if known := s.known(instance); known != nil {
		known.demand[min(max(rank, 0), maxRank)].add(now, 1)
	}
}

// Use takes one request of what may be sent to a server.
func (s *Share) Use(now time.Duration, instance string) {
	known := s.known(instance)
	switch {
	case known == nil:
	case known.granted > 0:
		known.granted--
	default:
		known.offline = max(known.offline-1, 0)
	}
}

// Return undoes Use for a request that is not sent.
func (s *Share) Return(now time.Duration, instance string) {
	if known := s.known(instance); known != nil && now < known.expires {
		known.granted++
	}
}

// Await records a request that waits for the next grant of one of the servers. It returns
// false if the leader is not expected to grant one now.
func (s *Share) Await(now time.Duration, instances []string) bool {
	awaits := false
	for _, instance := range instances {
		known := s.known(instance)
		if known == nil {
			continue
		}
		known.awaitedAt = now
		if now >= known.availableAt && now-known.knownAt < leaderSilent {
			known.waiting++
			awaits = true
		}
	}
	return awaits
}

// Refused records a request that none of the servers could take, and returns when it may
// be sent again: by then this entry will have been granted a request for each that it has
// refused lately.
func (s *Share) Refused(now time.Duration, instances []string) time.Duration {
	rate, waiting := 0.0, 1.0
	for _, instance := range instances {
		known := s.known(instance)
		if known == nil {
			continue
		}
		rate += known.word.rate() / float64(max(s.entries, 1))
		known.refused.add(now, 1/float64(len(instances)))
		waiting += known.refused.decayed(now)
	}
	if rate == 0 {
		return minWait
	}
	return min(max(time.Duration(waiting/rate*float64(time.Second)), minWait), maxWait)
}

// Renewal returns the next report to the leader.
func (s *Share) Renewal(now time.Duration) Report {
	report := Report{Words: make(map[string]Word, len(s.servers)), Wanted: make(map[string]int), Back: make(map[string]int)}
	for instance, known := range s.servers {
		if now-known.word.Read > wordKept {
			delete(s.servers, instance)
			s.count()
			continue
		}
		report.Words[instance] = known.word
		if known.word.PerSecond == 0 {
			continue
		}
		known.holds(now, s.entries)
		if known.back > 0 {
			report.Back[instance], known.back = known.back, 0
		}
		ahead := known.expected(now, s.random)
		if known.scarce(now, s.entries) {
			ahead = 0
		}
		if wanted := min(known.waiting+ahead, maxWanted) - known.granted; wanted > 0 {
			report.Wanted[instance] = wanted
		}
		known.waiting = 0
	}
	return report
}

// expected returns how many requests the entry will send to the server within the life of a
// grant, if the limit allows it. The fraction is rounded at random.
func (k *server) expected(now time.Duration, random *rand.Rand) int {
	demand := 0.0
	for rank := range k.demand {
		demand += k.demand[rank].decayed(now)
	}
	return int(demand*grantLife.Seconds()/demandWindow.Seconds() + random.Float64())
}

// scarce reports whether requests wait for grants, and the limit gives each entry less than
// one in the life of a grant: those that were granted ahead would be missing where requests
// wait.
func (k *server) scarce(now time.Duration, entries int) bool {
	share := k.word.rate() * grantLife.Seconds() / float64(max(entries, 1))
	return k.awaitedAt > 0 && now-k.awaitedAt < demandWindow && share < 1
}

// Granted applies the leader's answer to a report. Entries is the number of entries that
// share the limits.
func (s *Share) Granted(now time.Duration, grant Grant, entries int) (changed []string) {
	s.entries = max(entries, 1)
	for instance, word := range grant.Words {
		if s.Observe(now, instance, word) {
			changed = append(changed, instance)
		}
		known := s.servers[instance]
		if known == nil {
			continue
		}
		known.knownAt, known.offline = now, 0
		known.availableAt = now + grant.Wait[instance]
		if n := grant.Granted[instance]; n > 0 {
			known.granted += n
			known.expires = now + grantLife
			known.supply.add(now, float64(n))
		}
	}
	return changed
}
