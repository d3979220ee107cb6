package quarantine

import "time"

// Adopt applies a bar of another entry. It returns true if it was not known, and the time
// at which an answer began if that proves the bar wrong.
func (g *Guard) Adopt(now time.Duration, told Bar) (adopted bool, begun time.Duration, refuted bool) {
	s := spot{told.Part, told.Release}
	if at, known := g.lastBegun(s); known && at > told.LastCrash {
		return false, at, true
	}
	b := g.barAt(s)
	if b == nil {
		b = &bar{Bar: told}
		delete(g.suspects, s)
		g.put(now, b)
		g.delayRepeat(now, b)
		return true, 0, false
	}
	lacks := g.merge(b, told)
	if !lacks {
		g.delayRepeat(now, b)
	}
	return false, 0, false
}

// merge adds what another entry knows to a bar. It reports whether the other entry lacks
// something.
func (g *Guard) merge(b *bar, told Bar) (lacks bool) {
	if told.Trials > b.Trials {
		b.Trials, b.Next = told.Trials, max(told.Next, b.Next)
	} else if told.Trials < b.Trials {
		lacks = true
	}
	// A told time is late by the datagram's way, which must not add up with each repetition.
	if told.LastCrash > b.LastCrash+sameCrash {
		b.LastCrash = told.LastCrash
	}
	if !b.binds(told.Customer) || told.All {
		lacks = lacks || !told.All
		b.All = true
	} else if b.All {
		lacks = true
	}
	return lacks
}

// All returns the bars that hold.
func (g *Guard) All() []Bar {
	var all []Bar
	for _, byRelease := range g.bars {
		for _, b := range byRelease {
			all = append(all, b.Bar)
		}
	}
	return all
}

// Due returns the bars to repeat now. Each is repeated by whichever entry is first, and the
// others then wait again.
func (g *Guard) Due(now time.Duration) []Bar {
	var due []Bar
	for _, byRelease := range g.bars {
		for _, b := range byRelease {
			if now >= b.repeatAt {
				due = append(due, g.repeated(now, b))
			}
		}
	}
	return due
}

// repeated returns a bar to tell the other entries of now.
func (g *Guard) repeated(now time.Duration, b *bar) Bar {
	g.delayRepeat(now, b)
	return b.Bar
}

func (g *Guard) delayRepeat(now time.Duration, b *bar) {
	b.repeatAt = now + repeatInterval + time.Duration(g.random.Int64N(int64(repeatInterval)))
}
