package codec

import (
	"math"
	"time"

	"waxwingcart/internal/core/quarantine"
	"waxwingcart/internal/wire"
)

// CrashToWire converts a crash, whose times are given as ages.
func CrashToWire(now time.Duration, c quarantine.Crash) *wire.Crash {
	return &wire.Crash{
		Instance: c.Instance, Service: c.Release.Service, Version: c.Release.Version, Model: c.Release.Model,
		AgeMs: toMilliseconds(now - c.At), WaitedMs: toMilliseconds(c.At - c.Placed),
		Request: c.Request, Customer: c.Customer, Head: c.Head, Unsure: c.Unsure, Parts: partsToWire(c.Parts), Own: partsToWire(c.Own),
	}
}

// CrashFromWire is the inverse of CrashToWire. It keeps at most quarantine.MaxParts shared
// parts and quarantine.MaxOwn others.
func CrashFromWire(now time.Duration, c *wire.Crash) quarantine.Crash {
	at := now - fromMilliseconds(int64(c.AgeMs))
	return quarantine.Crash{
		Instance: c.Instance, Release: quarantine.Release{Service: c.Service, Version: c.Version, Model: c.Model},
		At: at, Placed: at - fromMilliseconds(int64(c.WaitedMs)),
		Request: c.Request, Customer: c.Customer, Head: c.Head, Unsure: c.Unsure,
		Parts: partsFromWire(c.Parts, quarantine.MaxParts), Own: partsFromWire(c.Own, quarantine.MaxOwn),
	}
}

// AcquittedToWire converts an acquittal, whose time is given as an age.
func AcquittedToWire(now time.Duration, a quarantine.Acquittal) *wire.Acquitted {
	return &wire.Acquitted{
		Service: a.Release.Service, Version: a.Release.Version, Model: a.Release.Model,
		Parts: partsToWire(a.Parts), Own: partsToWire(a.Own), AgeMs: toMilliseconds(now - a.At),
	}
}

// AcquittedFromWire is the inverse of AcquittedToWire, with the bounds of CrashFromWire.
func AcquittedFromWire(now time.Duration, a *wire.Acquitted) quarantine.Acquittal {
	return quarantine.Acquittal{
		Release: quarantine.Release{Service: a.Service, Version: a.Version, Model: a.Model}, At: now - fromMilliseconds(int64(a.AgeMs)),
		Parts: partsFromWire(a.Parts, quarantine.MaxParts), Own: partsFromWire(a.Own, quarantine.MaxOwn),
	}
}

// BarToWire converts a bar, whose times are given relative to now.
func BarToWire(now time.Duration, b quarantine.Bar) *wire.Bar {
	return &wire.Bar{
		Part: uint64(b.Part), Service: b.Release.Service, Version: b.Release.Version, Model: b.Release.Model, Customer: b.Customer, All: b.All,
		Trials: uint32(b.Trials), NextMs: uint64(max(b.Next-now, 0).Milliseconds()), CrashAgeMs: uint64(max(now-b.LastCrash, 0).Milliseconds()),
	}
}

// BarFromWire is the inverse of BarToWire.
func BarFromWire(now time.Duration, b *wire.Bar) quarantine.Bar {
	return quarantine.Bar{
		Part: quarantine.Part(b.Part), Release: quarantine.Release{Service: b.Service, Version: b.Version, Model: b.Model}, Customer: b.Customer, All: b.All,
		Trials: int(min(b.Trials, maxTrials)), Next: now + relative(b.NextMs), LastCrash: now - relative(b.CrashAgeMs),
	}
}

const (
	// maxTrials and maxRelative bound what another process may say.
	maxTrials   = 1 << 10
	maxRelative = 24 * time.Hour
)

func relative(ms uint64) time.Duration {
	return min(fromMilliseconds(int64(min(ms, math.MaxInt64))), maxRelative)
}

func toMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func partsToWire(parts []quarantine.Part) []uint64 {
	list := make([]uint64, len(parts))
	for i, part := range parts {
		list[i] = uint64(part)
	}
	return list
}

// partsFromWire returns at most that many parts.
func partsFromWire(parts []uint64, most int) []quarantine.Part {
	list := make([]quarantine.Part, min(len(parts), most))
	for i := range list {
		list[i] = quarantine.Part(parts[i])
	}
	return list
}

// SightingToWire converts a sighting, whose time is given as an age.
func SightingToWire(now time.Duration, s quarantine.Sighting) *wire.SightResponse {
	return &wire.SightResponse{Contact: wire.Contact(s.Contact), Answered: s.Answered, AnswerAgeMs: toMilliseconds(now - s.AnsweredAt)}
}

// SightingFromWire is the inverse of SightingToWire.
func SightingFromWire(now time.Duration, s *wire.SightResponse) quarantine.Sighting {
	contact := quarantine.Contact(s.Contact)
	if s.Contact < 0 || contact > quarantine.ContactOpen {
		contact = quarantine.ContactNone
	}
	return quarantine.Sighting{Contact: contact, Answered: s.Answered, AnsweredAt: now - fromMilliseconds(int64(s.AnswerAgeMs))}
}
