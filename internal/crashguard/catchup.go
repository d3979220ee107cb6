package crashguard

import (
	"context"
	"math/rand/v2"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/wire"
)

const (
	// maxAsked is the number of other entries that are asked for their bars, one after the
	// other, until one answers.
	maxAsked = 3
	// askTimeout bounds one of these calls.
	askTimeout = 200 * time.Millisecond
)

// CatchUp asks the other entries what is barred, after a time in which this entry heard
// nothing from them. It returns once one has answered, or maxAsked have not; the leader's
// bars count then.
func (g *Guard) CatchUp(ctx context.Context) {
	peers := g.opts.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), maxAsked)] {
		if g.ask(ctx, peer) {
			return
		}
	}
	g.adoptLeaderBars()
}

// ask asks another entry for its bars and reports whether it answered.
func (g *Guard) ask(ctx context.Context, peer string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := g.opts.Peer(peer).Bars(ctx, &wire.BarsRequest{})
	if err != nil {
		g.opts.Logger.Info().Str("step", "quarantine").Str("peer", peer).Err(err).
			Msg("asking another entry for the barred prompt parts failed; bars are known once they are repeated")
		return false
	}
	now := g.opts.Now()
	for _, b := range response.Bars {
		g.adopt(now, codec.BarFromWire(now, b))
	}
	g.opts.Logger.Info().Str("step", "quarantine").Str("peer", peer).Int("bars", len(response.Bars)).
		Msg("got the prompt parts that are barred at another entry")
	return true
}

// Bars returns the bars for another entry.
func (g *Guard) Bars() *wire.BarsResponse {
	g.mu.Lock()
	now, all := g.opts.Now(), g.core.All()
	g.mu.Unlock()
	response := &wire.BarsResponse{}
	for _, b := range all {
		response.Bars = append(response.Bars, codec.BarToWire(now, b))
	}
	return response
}
