package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Guard is one entry's part in the quarantine.
type Guard struct {
	random   *rand.Rand
	crashes  []*crash
	suspects map[spot]*suspect
	// begun holds the shared parts on which answers have begun, and answered the requests'
	// own, of which there are many more.
	begun, answered *recency
	// begins counts the answers that have begun here.
	begins map[Release]uint64
	bars   map[Part]map[Release]*bar
	held   int
}

// bar is a Bar that this entry knows.
type bar struct {
	Bar
	// repeatAt is when it is repeated to the other entries.
	repeatAt time.Duration
}

// New returns a Guard that bars nothing.
func New(seed uint64) *Guard {
	return &Guard{
		random:   rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		suspects: make(map[spot]*suspect),
		begun:    newRecency(maxBegun),
		answered: newRecency(maxBegun),
		begins:   make(map[Release]uint64),
		bars:     make(map[Part]map[Release]*bar),
	}
}

// Bars returns the number of bars.
func (g *Guard) Bars() int { return g.held }

// Begun records that an answer has begun here on a request with the parts. It returns the
// parts under suspicion, which the other entries have to be told of, and the bars that
// end.
func (g *Guard) Begun(now time.Duration, release Release, parts, own []Part) (tell Acquittal, ended []Bar) {
	if _, known := g.begins[release]; !known && len(g.begins) >= maxBegun {
		clear(g.begins)
	}
	g.begins[release]++
	tell = Acquittal{Release: release, At: now, Parts: g.underSuspicion(release, parts), Own: g.underSuspicion(release, own)}
	return tell, g.Acquit(Acquittal{Release: release, At: now, Parts: parts, Own: own})
}

func (g *Guard) underSuspicion(release Release, parts []Part) (suspected []Part) {
	for _, part := range parts {
		if s := (spot{part, release}); g.suspects[s] != nil || g.barAt(s) != nil {
			suspected = append(suspected, part)
		}
	}
	return suspected
}

// Acquit records that an answer began, here or elsewhere. It returns the bars that end.
func (g *Guard) Acquit(a Acquittal) (ended []Bar) {
	for _, part := range a.Parts {
		ended = append(ended, g.acquit(g.begun, a.At, spot{part, a.Release})...)
	}
	for _, part := range a.Own {
		ended = append(ended, g.acquit(g.answered, a.At, spot{part, a.Release})...)
	}
	return ended
}

func (g *Guard) acquit(table *recency, at time.Duration, s spot) []Bar {
	table.note(s, at)
	if known := g.suspects[s]; known != nil {
		known.drop(at)
		if len(known.hits) == 0 {
			delete(g.suspects, s)
		}
	}
	if b := g.barAt(s); b != nil && b.LastCrash < at {
		g.remove(s)
		return []Bar{b.Bar}
	}
	return nil
}

// lastBegun returns when an answer last began on a part, and false if that is not known.
func (g *Guard) lastBegun(s spot) (time.Duration, bool) {
	if at, known := g.begun.last(s); known {
		return at, true
	}
	return g.answered.last(s)
}

// Crashed records a crash that this or another entry saw. It returns the bars that are new
// or hold for more customers than before.
func (g *Guard) Crashed(now time.Duration, c Crash) []Bar {
	c.At = min(c.At, now)
	end := g.crashOf(c.Instance, c.Release, c.At)
	if changed, explained := g.explain(now, &c); explained {
		end.explained = true
		return changed
	}
	h := hit{crash: end, placed: c.Placed, request: c.Request, customer: c.Customer, head: c.Head, unsure: c.Unsure}
	for _, part := range c.Parts[:min(len(c.Parts), MaxParts)] {
		g.suspect(now, spot{part, c.Release}, h, false)
	}
	for _, part := range c.Own[:min(len(c.Own), MaxOwn)] {
		g.suspect(now, spot{part, c.Release}, h, true)
	}
	if worst, found := g.worst(c.all(), c.Release); found {
		return []Bar{g.barSuspect(now, worst)}
	}
	return nil
}

// Open returns a crash with those parts on which no answer has begun here since. The others
// are no evidence, and the entries that did not hear of these answers need not be told.
func (g *Guard) Open(c Crash) Crash {
	begun := func(part Part) bool {
		last, known := g.lastBegun(spot{part, c.Release})
		return known && last >= c.At
	}
	c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), begun)
	c.Own = slices.DeleteFunc(slices.Clone(c.Own), begun)
	return c
}

// suspect adds a crash to the evidence against a part, unless an answer has begun on it since.
func (g *Guard) suspect(now time.Duration, s spot, h hit, own bool) {
	if last, known := g.lastBegun(s); known && last >= h.crash.at {
		return
	}
	g.suspectOf(now, s, own).add(h)
}

// explain looks for barred parts among those of a crash. It returns the bars that hold for
// more customers than before.
func (g *Guard) explain(now time.Duration, c *Crash) (changed []Bar, explained bool) {
	for _, part := range c.all() {
		b := g.barAt(spot{part, c.Release})
		if b == nil {
			continue
		}
		explained = true
		b.LastCrash = max(b.LastCrash, c.At)
		if b.Trials == 0 {
			b.Next = max(b.Next, c.At+firstTrialAlone)
		}
		// A request that was only waiting may have met its server's end by chance.
		if c.Head && !b.binds(c.Customer) {
			b.All = true
			changed = append(changed, g.repeated(now, b))
		}
	}
	return changed, explained
}

// worst returns the part to bar: the one with the most evidence, and of equal ones the last
// in the prompt, which the fewest requests share. The evidence against the others is
// explained then.
func (g *Guard) worst(parts []Part, release Release) (worst spot, found bool) {
	heaviest := 0.0
	for _, part := range parts {
		s := spot{part, release}
		if weight := g.guilt(s); weight > 0 && weight >= heaviest {
			worst, heaviest, found = s, weight, true
		}
	}
	return worst, found && !g.rivalled(worst, parts)
}

// rivalled reports whether a part that is a request's own has barely enough hits, and parts of
// other requests were hit by the same crashes, so that a further one has to tell which it is.
func (g *Guard) rivalled(s spot, parts []Part) bool {
	known := g.suspects[s]
	if weight, _ := known.weigh(); !known.own || weight > g.needed(s, known) {
		return false
	}
	for other, rival := range g.suspects {
		if other.release == s.release && !slices.Contains(parts, other.part) && rival.hitByAll(known) {
			return true
		}
	}
	return false
}

// guilt returns the weight of the evidence against a part as a multiple of what bars it, or
// 0 if it does not suffice.
func (g *Guard) guilt(s spot) float64 {
	known := g.suspects[s]
	if known == nil {
		return 0
	}
	weight, unexplained := known.weigh()
	needed := g.needed(s, known)
	requests, instances := known.distinct()
	if !unexplained || weight < needed {
		return 0
	}
	several := requests >= requestsNeeded && (instances > 1 || g.othersBegan(s.release, known))
	if !several && g.barredElsewhere(s) == nil {
		return 0
	}
	return weight / needed
}

// needed returns the weight that bars a part.
func (g *Guard) needed(s spot, known *suspect) float64 {
	if g.barredElsewhere(s) != nil {
		return crashesElsewhere
	}
	_, acquitted := g.lastBegun(s)
	needed := crashesNeededAlone
	if g.othersBegan(s.release, known) || known.own && !acquitted && g.atAllEnds(s.release, known) {
		needed = crashesNeeded
	}
	if acquitted {
		needed *= acquittedFactor
	}
	return needed
}

// atAllEnds reports whether the hits came in quick succession, and each server of the release
// that ended meanwhile, for no reason that is known, ended under the suspect.
func (g *Guard) atAllEnds(release Release, known *suspect) bool {
	first, last := known.hits[0].crash.at, known.hits[len(known.hits)-1].crash.at
	if last-first > succession {
		return false
	}
	hits, ends := make(map[*crash]bool), 0
	for _, h := range known.hits {
		hits[h.crash] = true
	}
	for _, c := range g.crashes {
		if c.release == release && !c.explained && c.at >= first {
			ends++
		}
	}
	return len(hits) >= ends
}

func (g *Guard) othersBegan(release Release, known *suspect) bool {
	return g.begins[release] >= known.others+othersNeeded
}

// barSuspect bars a part and takes the crashes under it as explained.
func (g *Guard) barSuspect(now time.Duration, s spot) Bar {
	known := g.suspects[s]
	last := known.hits[len(known.hits)-1].crash.at
	wait := firstTrialAlone
	switch {
	case known.own:
		wait = firstTrialOwn
	case g.othersBegan(s.release, known):
		wait = firstTrial
	}
	for _, h := range known.hits {
		h.crash.explained = true
	}
	customer, one := known.oneCustomer()
	b := &bar{Bar: Bar{Part: s.part, Release: s.release, Customer: customer, All: !one, Next: last + wait, LastCrash: last}}
	if other := g.barredElsewhere(s); other != nil {
		b.Trials, b.Next = other.Trials, max(other.Next, now+firstTrial)
		b.All = b.All || !other.binds(customer)
	}
	delete(g.suspects, s)
	g.put(now, b)
	return g.repeated(now, b)
}

// put adds a bar, and removes the one with the oldest crash if there are too many.
func (g *Guard) put(now time.Duration, b *bar) {
	s := spot{b.Part, b.Release}
	if g.barAt(s) != nil {
		g.held--
		delete(g.bars[s.part], s.release)
	}
	if g.held >= maxBars {
		g.Expire(now)
	}
	if g.held >= maxBars {
		g.remove(g.oldest())
	}
	if g.bars[s.part] == nil {
		g.bars[s.part] = make(map[Release]*bar)
	}
	g.bars[s.part][s.release] = b
	g.held++
}

func (g *Guard) oldest() spot {
	var oldest *bar
	for _, byRelease := range g.bars {
		for _, b := range byRelease {
			if oldest == nil || b.LastCrash < oldest.LastCrash {
				oldest = b
			}
		}
	}
	return spot{oldest.Part, oldest.Release}
}

func (g *Guard) remove(s spot) {
	if g.barAt(s) == nil {
		return
	}
	g.held--
	delete(g.bars[s.part], s.release)
	if len(g.bars[s.part]) == 0 {
		delete(g.bars, s.part)
	}
}

func (g *Guard) barAt(s spot) *bar { return g.bars[s.part][s.release] }

// barredElsewhere returns a bar of the part at another release of the service, or nil.
func (g *Guard) barredElsewhere(s spot) *bar {
	for release, b := range g.bars[s.part] {
		if release != s.release {
			return b
		}
	}
	return nil
}

// Expire forgets bars that are long over.
func (g *Guard) Expire(now time.Duration) {
	for _, byRelease := range maps.Clone(g.bars) {
		for _, b := range maps.Clone(byRelease) {
			if now-b.LastCrash > barForgotten && now > b.Next {
				g.remove(spot{b.Part, b.Release})
			}
		}
	}
}
