package placement

import (
	"math"
	"slices"
	"time"
)

// minChoices is the number of servers among which an entry chooses at least.
const minChoices = 2

// Load pattern: hundreds of entries that learn of each other's placements about 100 ms late. Until then
// the best server is the best for all of them, and a dozen long prompts meet there while others are
// idle. The more work is placed unseen, the fewer servers each entry chooses among, at random; those
// that hold the prompt's shared parts are always among them.

// unseen is what other entries place, as far as this entry has learned of it.
type unseen struct {
	// delay is how late this entry learns of it.
	delay time.Duration
	// work and squares are the decaying sums of the work of attempts and of its squares, by service.
	work, squares map[string]*decayingSum
}

// SetNewsDelay sets how late this entry learns of what other entries place.
func (p *Placer) SetNewsDelay(delay time.Duration) { p.unseen.delay = delay }

// note adds an attempt of another entry.
func (u *unseen) note(now time.Duration, service string, work float64) {
	for sums, amount := range map[*map[string]*decayingSum]float64{&u.work: work, &u.squares: work * work} {
		if *sums == nil {
			*sums = make(map[string]*decayingSum)
		}
		sum := (*sums)[service]
		if sum == nil {
			sum = &decayingSum{}
			(*sums)[service] = sum
		}
		sum.sum, sum.at = sum.decayed(now)+amount, now
	}
}

// attempts returns how many attempts of other entries this one does not know of yet, in attempts of the
// size that most work is done in.
func (u *unseen) attempts(now time.Duration, service string) float64 {
	work, squares := u.work[service], u.squares[service]
	if work == nil || squares.decayed(now) <= 0 {
		return 0
	}
	sum := work.decayed(now)
	return sum / workWindow.Seconds() * u.delay.Seconds() / (squares.decayed(now) / sum)
}

// choices returns the number of servers of n among which to choose.
func (p *Placer) choices(now time.Duration, service string, n int) int {
	attempts := p.unseen.attempts(now, service)
	if attempts <= 1 {
		return n
	}
	return min(max(int(math.Round(float64(n)/attempts)), minChoices), n)
}

// inOrder returns the servers that may take a request, in the order in which they are considered, and the
// number of those to consider first. Servers that hold most of the prompt's shared parts come first.
func (p *Placer) inOrder(now time.Duration, request *Request) (order []*server, first int) {
	for _, s := range p.byName[request.Service] {
		if request.allows(s) && p.Takes(now, s.Name) && !s.full(now, request.Rank) {
			order = append(order, s)
		}
	}
	choices := p.choices(now, request.Service, len(order))
	if choices == len(order) {
		return order, choices
	}
	p.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	shared, holders := request.Size.sharedTokens(), 0
	if shared > 0 {
		for i, s := range order {
			if s.CacheTokens > 0 && 2*s.cache.cachedTokens(request.Size.Parts, s.CacheTokens) > shared {
				order[holders], order[i] = s, order[holders]
				holders++
			}
		}
	}
	if request.Contended && holders > choices {
		holders = choices
		rest := order[holders:]
		p.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	return order, min(holders+choices, len(order))
}

// considered returns the servers to compare: those to consider first, and more as long as all of them
// have prompts waiting or none can take the request. While requests lack room, prompts wait at all servers, and
// comparing all of them would lead all entries to the same one.
func (p *Placer) considered(now time.Duration, request *Request, order []*server, first int, usable func(*server) bool) []*server {
	if request.Contended && slices.ContainsFunc(order[:first], usable) {
		return order[:first]
	}
	step := max(first, minChoices)
	for n := first; n < len(order); n += step {
		if slices.ContainsFunc(order[:n], func(s *server) bool { return len(s.waiting) == 0 && usable(s) }) {
			return order[:n]
		}
	}
	return order
}
