package quarantine

import (
	"slices"
	"time"
)

// Verdict says where a request must not be placed.
type Verdict struct {
	// Barred are the versions at whose servers it must not be placed, RetryAfter is when it
	// may be tried there.
	Barred     []string
	RetryAfter time.Duration
	// Own is true if the request itself is barred, whatever parts of its prompt are.
	Own bool
	// trials are the parts whose trial the request is, by version.
	trials map[string][]Part
}

// Allows reports whether the request may be placed at a version.
func (v *Verdict) Allows(version string) bool { return !slices.Contains(v.Barred, version) }

// Check returns at which of the versions a request must not be placed. Rank tells how many
// entries come before this one in making a trial of a part.
func (g *Guard) Check(now time.Duration, request *Request, versions []string, rank func(Part) int) Verdict {
	var v Verdict
	if g.held == 0 {
		return v
	}
	for _, version := range versions {
		wait, own, trials := g.check(now, request, version, rank)
		switch {
		case wait > 0:
			v.Own = v.Own || own
			if len(v.Barred) == 0 || wait < v.RetryAfter {
				v.RetryAfter = wait
			}
			v.Barred = append(v.Barred, version)
		case len(trials) > 0:
			if v.trials == nil {
				v.trials = make(map[string][]Part)
			}
			v.trials[version] = trials
		}
	}
	return v
}

// check returns how long a request must not be placed at a version, and whether for a part
// that is its own, or the parts whose trial it would be there.
func (g *Guard) check(now time.Duration, request *Request, version string, rank func(Part) int) (wait time.Duration, own bool, trials []Part) {
	for i, part := range slices.Concat(request.Parts, request.Own) {
		b, barred := g.barFor(now, spot{part, request.release(version)})
		if !barred || !b.binds(request.Customer) {
			continue
		}
		due := b.Next + time.Duration(rank(part))*trialStagger
		if now >= due {
			trials = append(trials, part)
			continue
		}
		wait = max(wait, due-now, minRetryAfter)
		own = own || i >= len(request.Parts)
	}
	return wait, own, trials
}

// barFor returns the bar of a part at a release. A part that is barred at other releases, and
// on which no answer has begun at this one, is barred here as well.
func (g *Guard) barFor(now time.Duration, s spot) (b Bar, barred bool) {
	if own := g.barAt(s); own != nil {
		return own.Bar, true
	}
	if len(g.bars[s.part]) == 0 {
		return Bar{}, false
	}
	if _, begun := g.lastBegun(s); begun {
		return Bar{}, false
	}
	return g.inherited(now, s), true
}

// inherited returns the bar at a release that follows from those at others. Its first trial
// is due at once, unless servers of the same version have crashed under the part with several
// models: which model it is makes no difference then. It is not kept, as callers name the
// models.
func (g *Guard) inherited(now time.Duration, s spot) Bar {
	b := Bar{Part: s.part, Release: s.release}
	models, sameVersion := make(map[string]bool), false
	for release, other := range g.bars[s.part] {
		b.All = b.All || other.All || len(models) > 0 && other.Customer != b.Customer
		b.Customer = other.Customer
		b.Trials, b.Next, b.LastCrash = max(b.Trials, other.Trials), max(b.Next, other.Next), max(b.LastCrash, other.LastCrash)
		models[release.Model] = true
		sameVersion = sameVersion || release.Version == s.release.Version
	}
	if !sameVersion || len(models) == 1 {
		b.Next = now
	}
	return b
}

// Tried records that a request was placed at a version. It returns the bars whose trial
// this is, which the other entries have to be told of.
func (g *Guard) Tried(now time.Duration, request *Request, version string, v Verdict) []Bar {
	var tell []Bar
	for _, part := range v.trials[version] {
		s := spot{part, request.release(version)}
		told, barred := g.barFor(now, s)
		if !barred {
			continue
		}
		b := g.barAt(s)
		if b == nil {
			b = &bar{Bar: told}
			g.put(now, b)
		}
		b.Trials++
		b.Next = now + trialWait(b.Trials)
		tell = append(tell, g.repeated(now, b))
	}
	return tell
}

// trialWait returns the time from a trial, counted from 1, to the next one.
func trialWait(trials int) time.Duration {
	wait := firstTrial
	for range trials {
		if wait *= trialFactor; wait >= maxTrialWait {
			return maxTrialWait
		}
	}
	return wait
}

// Suspicious reports whether servers have ended under a request or one of its parts since an
// answer last began on it.
func (g *Guard) Suspicious(request *Request) bool {
	parts := slices.Concat(request.Parts, request.Own)
	if slices.ContainsFunc(parts, func(part Part) bool { return len(g.bars[part]) > 0 }) {
		return true
	}
	for s := range g.suspects {
		if slices.Contains(parts, s.part) {
			return true
		}
	}
	return false
}
