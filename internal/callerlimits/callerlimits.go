// Package callerlimits keeps the limits of callers' connections by the documents that
// callers may follow now.
package callerlimits

import (
	"sync"
	"time"

	"waxwingcart/internal/core/routes"
)

const (
	// MaxHeaderBytes is the highest limit of a request's header that a document may
	// set. It is the limit of the callers' http.Server.
	MaxHeaderBytes = 1 << 20
	// CallerLag is how long callers may follow a document after the next one is in
	// force here.
	CallerLag = time.Minute
	// TransitTime is how long bytes that a caller sent in time may be under way.
	// Lost packets are sent again within it.
	TransitTime = 5 * time.Second
)

// Limits are the limits of the documents that callers may follow now: the one in force,
// and older ones for a while. It is safe for concurrent use.
type Limits struct {
	// Transit is added to all times.
	Transit time.Duration

	mu    sync.Mutex
	known []knownLimits
}

// knownLimits are the limits of one document.
type knownLimits struct {
	routes.CallerLimits
	// replacedAt is when the next document came into force, or zero.
	replacedAt time.Duration
}

// Set puts the limits of a new document in force.
func (l *Limits) Set(now time.Duration, limits routes.CallerLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []knownLimits
	for _, known := range l.known {
		if known.replacedAt == 0 {
			known.replacedAt = now
		}
		if now-known.replacedAt < CallerLag {
			kept = append(kept, known)
		}
	}
	l.known = append(kept, knownLimits{CallerLimits: limits})
}

// highest returns the highest value of a limit that callers may follow, with fallback
// for a document that does not set it, and without any document.
func (l *Limits) highest(now, fallback time.Duration, limit func(*routes.CallerLimits) time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.known) == 0 {
		return fallback
	}
	highest := time.Duration(0)
	for i := range l.known {
		known := &l.known[i]
		if known.replacedAt > 0 && now-known.replacedAt >= CallerLag {
			continue
		}
		value := limit(&known.CallerLimits)
		if value <= 0 {
			value = fallback
		} else {
			value += l.Transit
		}
		highest = max(highest, value)
	}
	return highest
}

// Idle returns how long a connection may stay idle now.
func (l *Limits) Idle(now, fallback time.Duration) time.Duration {
	return l.highest(now, fallback, func(limits *routes.CallerLimits) time.Duration { return limits.IdleTimeout })
}

// Header returns how long the header of a request may take now.
func (l *Limits) Header(now, fallback time.Duration) time.Duration {
	return l.highest(now, fallback, func(limits *routes.CallerLimits) time.Duration { return limits.HeaderTimeout })
}

// HeaderBytes returns how long the header of a request may be now, in bytes.
func (l *Limits) HeaderBytes(now time.Duration, fallback int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.known) == 0 {
		return fallback
	}
	highest := 0
	for i := range l.known {
		known := &l.known[i]
		if known.replacedAt > 0 && now-known.replacedAt >= CallerLag {
			continue
		}
		value := known.HeaderBytes
		if value <= 0 {
			value = fallback
		}
		highest = max(highest, value)
	}
	return min(highest, MaxHeaderBytes)
}
