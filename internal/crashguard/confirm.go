package crashguard

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/quarantine"
	"waxwingcart/internal/wire"
)

const (
	// probeTimeout bounds the connection that shows whether a server still listens.
	probeTimeout = 150 * time.Millisecond
	// sightReused is how long a sighting, or what was found out of an end, serves other attempts
	// at the server.
	sightReused = 250 * time.Millisecond
	// resetWait is how long after a connection was accepted and reset the answers of the
	// server on other connections are looked for.
	resetWait = 350 * time.Millisecond
	// maxWitnesses is the number of other entries that are asked for what they can say of a
	// server.
	maxWitnesses = 3
	// maxAnswered bounds the servers whose last answer is kept.
	maxAnswered = 1 << 14
)

// sight is a sighting that is under way or just over.
type sight struct {
	at    time.Duration
	done  chan struct{}
	found quarantine.Sighting
}

// finding is whether a server has ended, which serves all attempts that it broke off together.
type finding struct {
	at          time.Duration
	done        chan struct{}
	contact     quarantine.Contact
	ended, sure bool
}

// Answered records that a server has answered a request.
func (g *Guard) Answered(instance string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.answered[instance]; !known && len(g.answered) >= maxAnswered {
		clear(g.answered)
	}
	g.answered[instance] = g.opts.Now()
}

// Sight returns what this entry can say of a server at this moment.
func (g *Guard) Sight(ctx context.Context, instance string) *wire.SightResponse {
	address, known := g.opts.Server(instance)
	if !known {
		return &wire.SightResponse{}
	}
	return codec.SightingToWire(g.opts.Now(), g.sighting(ctx, instance, address))
}

// sighting connects to a server. Calls at the same time share one connection.
func (g *Guard) sighting(ctx context.Context, instance, address string) quarantine.Sighting {
	g.mu.Lock()
	now := g.opts.Now()
	s := g.sights[instance]
	if s == nil || now-s.at >= sightReused {
		s = &sight{at: now, done: make(chan struct{})}
		g.sights[instance] = s
		go g.look(context.WithoutCancel(ctx), s, instance, address)
	}
	g.mu.Unlock()
	<-s.done
	g.mu.Lock()
	defer g.mu.Unlock()
	found := s.found
	found.AnsweredAt, found.Answered = g.answered[instance]
	return found
}

func (g *Guard) look(ctx context.Context, s *sight, instance, address string) {
	s.found.Contact = contactOf(g.opts.Listens(ctx, address, probeTimeout))
	close(s.done)
	time.AfterFunc(sightReused, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.sights[instance] == s {
			delete(g.sights, instance)
		}
	})
}

func contactOf(listens, accepted, answered bool) quarantine.Contact {
	switch {
	case listens:
		return quarantine.ContactOpen
	case accepted:
		return quarantine.ContactReset
	case answered:
		return quarantine.ContactRefused
	default:
		return quarantine.ContactNone
	}
}

// confirm finds out whether a server that broke off an attempt at a time has ended.
func (g *Guard) confirm(ctx context.Context, a Attempt, at time.Duration) *finding {
	g.mu.Lock()
	f := g.findings[a.Instance]
	if f != nil && at-f.at < sightReused {
		g.mu.Unlock()
		<-f.done
		return f
	}
	f = &finding{at: at, done: make(chan struct{})}
	g.findings[a.Instance] = f
	g.mu.Unlock()
	f.contact, f.ended, f.sure = g.findOut(ctx, a, at)
	close(f.done)
	time.AfterFunc(sightReused, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.findings[a.Instance] == f {
			delete(g.findings, a.Instance)
		}
	})
	return f
}

// findOut asks other entries, unless the server still listens.
func (g *Guard) findOut(ctx context.Context, a Attempt, at time.Duration) (own quarantine.Contact, ended, sure bool) {
	found := g.sighting(ctx, a.Instance, a.Address)
	sightings := []quarantine.Sighting{found}
	if ended, sure = quarantine.Ended(at, sightings); !ended {
		return found.Contact, false, sure
	}
	if found.Contact == quarantine.ContactReset {
		time.Sleep(resetWait)
		sightings[0] = g.sighting(ctx, a.Instance, a.Address)
	}
	sightings = append(sightings, g.askWitnesses(ctx, a.Instance)...)
	ended, sure = quarantine.Ended(at, sightings)
	return found.Contact, ended, sure
}

// askWitnesses asks some other entries what they can say of a server.
func (g *Guard) askWitnesses(ctx context.Context, instance string) []quarantine.Sighting {
	peers := g.opts.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), maxWitnesses)]
	ctx, cancel := context.WithTimeout(ctx, probeTimeout+askTimeout)
	defer cancel()
	sightings := make([]quarantine.Sighting, len(peers))
	var asked sync.WaitGroup
	for i, peer := range peers {
		asked.Go(func() {
			response, err := g.opts.Peer(peer).Sight(ctx, &wire.SightRequest{Instance: instance})
			if err != nil {
				g.opts.Logger.Info().Str("step", "broken off").Str("peer", peer).Str("server", instance).Err(err).
					Msg("asking another entry what it can say of a backend server failed")
				return
			}
			sightings[i] = codec.SightingFromWire(g.opts.Now(), response)
		})
	}
	asked.Wait()
	return sightings
}
