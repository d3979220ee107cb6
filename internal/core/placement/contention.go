package placement

import (
	"math"
	"time"
)

const (
	// urgentWindow is the time constant of the average of the work placed by rank. It is short against bursts
	// of 3 s and spans several requests of each kind.
	urgentWindow = time.Second
	// maxUrgentLoad bounds the part of the servers' speed that more urgent requests are expected to take.
	maxUrgentLoad = 0.95
	// maxCandidates bounds the servers that are looked at for one request.
	maxCandidates = 128
	// maxWorkRank is the least urgent rank whose work is told apart.
	maxWorkRank = 9
	// slotStep is the weight of one attempt in the averages of how long slots are held. Attempts of 0.1 to 3 s
	// end at once.
	slotStep = 0.02
)

// Contention is what a service's servers can do for a request now. Contrary to Decision it takes into account
// that servers serve waiting requests by rank, and the slots of model engines.
type Contention struct {
	// Servers is the number of servers that may take the request.
	Servers int
	// Start is the predicted time until the answer begins at the best server, Urgent the same for the most
	// urgent rank, and Soon the same if the request waits for the next slot that becomes free at any server
	// and this entry gets its part of them.
	Start, Urgent, Soon time.Duration
	// Alone is the predicted time until the answer begins at the best server if nothing precedes it there.
	Alone time.Duration
	// Work is the work of the request at the best server, in tokens.
	Work float64
	// Rate is the work that all servers do, and Spare the part that more urgent requests leave, in
	// tokens per second.
	Rate, Spare float64
}

// rankWork is the decaying sum of the work placed by all entries, by rank.
type rankWork struct {
	sum [maxWorkRank + 1]float64
	at  time.Duration
}

func (w *rankWork) decay(now time.Duration) {
	if now <= w.at {
		return
	}
	kept := math.Exp(-float64(now-w.at) / float64(urgentWindow))
	for rank := range w.sum {
		w.sum[rank] *= kept
	}
	w.at = now
}

// urgent returns the work per second that is more urgent than a rank.
func (w *rankWork) urgent(now time.Duration, rank int) float64 {
	w.decay(now)
	sum := 0.0
	for r := range min(rank, maxWorkRank+1) {
		sum += w.sum[r]
	}
	return sum / urgentWindow.Seconds()
}

// noteRank adds an attempt to the work by rank.
func (p *Placer) noteRank(now time.Duration, service string, rank int, work float64) {
	w := p.rankWork[service]
	if w == nil {
		w = &rankWork{}
		p.rankWork[service] = w
	}
	w.decay(now)
	w.sum[min(max(rank, 0), maxWorkRank)] += work
}

// Contention returns what the servers of a model service can do for a request. It looks at no more
// servers once one is expected to begin the answer within enough. It returns false for
// services whose servers read no prompts: their calls are not announced one by one.
func (p *Placer) Contention(now time.Duration, request *Request, enough time.Duration, entries int) (Contention, bool) {
	servers := p.byName[request.Service]
	if len(servers) == 0 || servers[0].CacheTokens == 0 {
		return Contention{}, false
	}
	rate := 1000 * p.startModelOf(request.Service).rate * float64(len(servers))
	load := p.urgentLoad(now, request)
	c := Contention{Start: math.MaxInt64, Urgent: math.MaxInt64, Soon: math.MaxInt64, Rate: rate, Spare: rate * (1 - load)}
	p.looked++
	for i := range min(len(servers), maxCandidates) {
		s := servers[(p.looked*maxCandidates+i)%len(servers)]
		if !request.allows(s) || !p.Takes(now, s.Name) || s.full(now, request.Rank) {
			continue
		}
		c.Servers++
		urgent := *request
		urgent.Rank = 0
		l := p.lookAt(now, s, request)
		if start := duration(l.begin + l.slot); start < c.Start {
			c.Start, c.Alone, c.Work = start, duration(l.alone), l.work
		}
		c.Urgent = min(c.Urgent, p.startAt(now, s, &urgent))
		next := p.occupancyOf(s.Service) / float64(max(s.Slots, 1)*len(servers)) * float64(max(entries, 1))
		c.Soon = min(c.Soon, duration(l.begin+math.Min(l.slot, next)))
		if c.Start <= enough {
			break
		}
	}
	return c, true
}

// urgentLoad returns the part of the servers' speed that requests more urgent than this one take.
func (p *Placer) urgentLoad(now time.Duration, request *Request) float64 {
	w := p.rankWork[request.Service]
	if w == nil {
		return 0
	}
	rate := 1000 * p.startModelOf(request.Service).rate * float64(len(p.byName[request.Service]))
	return math.Min(w.urgent(now, request.Rank)/rate, maxUrgentLoad)
}

// look is what a server can do for a request: the time until the answer begins without the wait for a slot,
// that wait, and the time if nothing precedes the request, all in milliseconds, and the work of the request, in tokens.
type look struct{ begin, slot, alone, work float64 }

func (p *Placer) lookAt(now time.Duration, s *server, request *Request) look {
	model, load := p.startModelOf(s.Service), s.reported(now)
	uncached := max(request.Size.PromptTokens-s.cache.cachedTokens(request.Size.Parts, s.CacheTokens), 0)
	work := attemptWork(uncached, request.Size.PromptTokens)
	ahead := s.backlogOf(now, model, request.Rank, load.slow) / (1 - p.urgentLoad(now, request))
	network := milliseconds(2 * s.Delay)
	return look{
		begin: network + load.time(model.predict(work+ahead)), slot: p.slotWait(s, request.Rank),
		alone: network + load.time(model.predict(work)), work: work,
	}
}

// startAt returns the time until the answer begins at a server, by the request's rank.
func (p *Placer) startAt(now time.Duration, s *server, request *Request) time.Duration {
	if s.CacheTokens == 0 {
		_, d := p.evaluate(now, s, &request.Size, 0)
		return d.StartDelay
	}
	l := p.lookAt(now, s, request)
	return duration(l.begin + l.slot)
}

// backlogOf returns the work that a server does before that of a new request of a rank, in tokens. It works on one
// prompt at a time and chooses the next one by rank.
func (s *server) backlogOf(now time.Duration, model *startModel, rank int, slow float64) float64 {
	if len(s.waiting) == 0 {
		return 0
	}
	begun := s.waiting[0]
	done := milliseconds(now-max(begun.placed, s.lastBegun-duration(model.fixed))) * model.rate / slow
	ahead := begun.Work - math.Min(math.Max(done, 0), begun.Work)
	for _, j := range s.waiting[1:] {
		if j.Rank <= rank {
			ahead += j.Work
		}
	}
	return ahead
}

// slotWait returns the expected wait for a slot of a server, in milliseconds. Less urgent requests leave a slot of
// servers that have enough to the most urgent ones.
func (p *Placer) slotWait(s *server, rank int) float64 {
	if s.Slots == 0 {
		return 0
	}
	slots, before := s.Slots, s.running
	if rank > 0 && slots >= minShared {
		slots -= urgentSlots
	}
	for _, j := range s.waiting {
		if j.Rank <= rank {
			before++
		}
	}
	return math.Max(float64(before+1-slots), 0) * p.occupancyOf(s.Service) / float64(s.Slots)
}

// slotTime holds the averages of the times that attempts held a slot, in milliseconds, and of the squares of the times.
type slotTime struct{ mean, square float64 }

func (p *Placer) noteSlot(service string, took time.Duration) {
	held := milliseconds(took)
	t := p.slotTime[service]
	if t == nil {
		t = &slotTime{mean: held, square: held * held}
		p.slotTime[service] = t
	}
	t.mean += slotStep * (held - t.mean)
	t.square += slotStep * (held*held - t.square)
}

// occupancyOf returns the time for which the attempts that hold slots at one moment hold them on average, in
// milliseconds. It exceeds the average of all attempts, since long ones hold more of the slots.
func (p *Placer) occupancyOf(service string) float64 {
	if t := p.slotTime[service]; t != nil && t.mean > 0 {
		return t.square / t.mean
	}
	return milliseconds(initialOccupancy)
}
