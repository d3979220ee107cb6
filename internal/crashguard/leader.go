package crashguard

import (
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/quarantine"
	"waxwingcart/internal/wire"
)

// maxReported bounds the bars, and the ended ones, that wait for a call to the leader.
const maxReported = 64

// report is what the leader has not been told yet. It keeps the bars for entries that start
// when no other entry knows them.
type report struct {
	bars  []quarantine.Bar
	ended []endedBar
}

type endedBar struct {
	quarantine.Bar
	at time.Duration
}

// add adds a bar that changed or is repeated, or one that has ended.
func (r *report) add(now time.Duration, b quarantine.Bar, ended bool) {
	if ended && len(r.ended) < maxReported {
		r.ended = append(r.ended, endedBar{b, now})
	}
	if !ended && len(r.bars) < maxReported {
		r.bars = append(r.bars, b)
	}
}

// Report returns what the leader has to be told, once. A lost call does no harm: bars are
// repeated, and each entry that knows a bar reports its end.
func (g *Guard) Report() *wire.News {
	g.mu.Lock()
	now, r := g.opts.Now(), g.report
	g.report = report{}
	g.mu.Unlock()
	if len(r.bars)+len(r.ended) == 0 {
		return nil
	}
	news := &wire.News{}
	for _, b := range r.bars {
		news.Bars = append(news.Bars, codec.BarToWire(now, b))
	}
	for _, e := range r.ended {
		news.Acquitted = append(news.Acquitted, codec.AcquittedToWire(now, quarantine.Acquittal{Release: e.Release, At: e.at, Parts: []quarantine.Part{e.Part}}))
	}
	return news
}

// LeaderBars keeps the bars that the leader knows, in case that CatchUp finds no other
// entry that does.
func (g *Guard) LeaderBars(bars []*wire.Bar) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.opts.Now()
	g.leaderBars = nil
	for _, b := range bars {
		g.leaderBars = append(g.leaderBars, codec.BarFromWire(now, b))
	}
}

// adoptLeaderBars applies the bars that the leader knows.
func (g *Guard) adoptLeaderBars() {
	g.mu.Lock()
	bars := g.leaderBars
	g.leaderBars = nil
	g.mu.Unlock()
	for _, b := range bars {
		g.adopt(g.opts.Now(), b)
	}
}
