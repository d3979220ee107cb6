package soak

import (
	"slices"
	"time"
)

// The bounds that the deployment states.
const (
	// applyBound is the time from the acknowledgement of a document until every entry
	// in touch obeys it.
	applyBound = 2 * time.Second
	// outerBound is what an unstable core adds to applyBound at most.
	outerBound = 5 * time.Second
	// stability is the time without a disturbance after which an entry is in touch
	// and the core is stable.
	stability = 3 * time.Second
	// rollbackSlack is the time after which an entry that has obeyed a document may
	// not obey an older one.
	rollbackSlack = 250 * time.Millisecond
	// listBound is the time from the listing of a service's first backend server
	// until its routes are served.
	listBound = 2 * time.Second
)

// undisturbed reports whether an entry ran without a disturbance in the stability
// time before t: no kill, start, stop or pause of its process and no starvation of the
// machine, at any moment of that time. A reload and busy processors disturb nothing.
func (h *History) undisturbed(entry string, t time.Duration) bool {
	return !slices.ContainsFunc(h.Disturbances, func(d Disturbance) bool {
		return (d.Target == entry || d.Target == anyTarget) && d.overlaps(t-stability, t)
	})
}

func (d *Disturbance) overlaps(from, to time.Duration) bool {
	return d.From <= to && (d.To == 0 || d.To >= from)
}

// startsOrEnds reports whether the disturbance starts or ends in a time.
func (d *Disturbance) startsOrEnds(from, to time.Duration) bool {
	return d.From >= from && d.From <= to || d.To != 0 && d.To >= from && d.To <= to
}

// coreStable reports whether the core was stable in the stability time before t. No
// replica was killed, started, stopped, paused or resumed, its connections
// were not reset, and its links were neither cut nor healed, in that time. No replica
// was slowed at any moment of it. And more than half of the replicas ran and were
// connected all the while. A replica that has been away since before that time does
// not make the core unstable.
func (h *History) coreStable(t time.Duration) bool {
	for i := range h.Disturbances {
		d := &h.Disturbances[i]
		if !slices.Contains(h.Replicas, d.Target) {
			continue
		}
		if d.startsOrEnds(t-stability, t) || d.Effect == EffectSlowed && d.overlaps(t-stability, t) {
			return false
		}
	}
	return h.coreMajority(t-stability, t)
}

// coreMajority reports whether more than half of the replicas ran, connected and not
// slowed, at every moment of a time.
func (h *History) coreMajority(from, to time.Duration) bool {
	moments := []time.Duration{from}
	for _, d := range h.Disturbances {
		if d.From > from && d.From <= to {
			moments = append(moments, d.From)
		}
	}
	for _, t := range moments {
		away := make(map[string]bool)
		for _, d := range h.Disturbances {
			if d.Effect != EffectMoment && slices.Contains(h.Replicas, d.Target) && d.overlaps(t, t) {
				away[d.Target] = true
			}
		}
		if 2*(len(h.Replicas)-len(away)) <= len(h.Replicas) {
			return false
		}
	}
	return true
}

// inTouch reports whether an entry is in touch at t: in all of the stability time
// before t its process ran undisturbed, the core was stable, and it had a path in both
// directions to every running replica that itself reached more than half of the
// replicas. The proxies cut a replica off from all others at once, entries and
// replicas, so that the last condition holds whenever the core is stable: a replica
// that an entry can't reach reaches no other one in both directions.
func (h *History) inTouch(entry string, t time.Duration) bool {
	return h.undisturbed(entry, t) && h.coreStable(t)
}

// due reports whether an entry must obey at t a document that was acknowledged at
// acked. It must after applyBound if it is in touch at t. An unstable core stretches
// the bound by outerBound at most: after both, the entry must if it is undisturbed at
// t and more than half of the replicas have run, connected and not slowed, since the
// acknowledgement.
func (h *History) due(entry string, acked, t time.Duration) bool {
	switch {
	case t <= acked+applyBound:
		return false
	case h.inTouch(entry, t):
		return true
	}
	return t > acked+applyBound+outerBound && h.undisturbed(entry, t) && h.coreMajority(acked, t)
}
