package crashguard

import (
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/quarantine"
	"waxwingcart/internal/wire"
)

func crashNews(now time.Duration, c quarantine.Crash) *wire.News {
	return &wire.News{Crashes: []*wire.Crash{codec.CrashToWire(now, c)}}
}

func acquittedNews(now time.Duration, a quarantine.Acquittal) *wire.News {
	return &wire.News{Acquitted: []*wire.Acquitted{codec.AcquittedToWire(now, a)}}
}

func barNews(now time.Duration, b quarantine.Bar) *wire.News {
	return &wire.News{Bars: []*wire.Bar{codec.BarToWire(now, b)}}
}

// Told applies what another entry says.
func (g *Guard) Told(news *wire.News) {
	if news == nil || len(news.Crashes)+len(news.Acquitted)+len(news.Bars) == 0 {
		return
	}
	now := g.opts.Now()
	for _, c := range news.Crashes {
		g.crashTold(now, codec.CrashFromWire(now, c))
	}
	for _, a := range news.Acquitted {
		g.acquit(now, a)
	}
	for _, b := range news.Bars {
		g.adopt(now, codec.BarFromWire(now, b))
	}
}

// crashTold applies a crash that another entry saw, unless its server has answered here since:
// the other entry is cut off from it then.
func (g *Guard) crashTold(now time.Duration, c quarantine.Crash) {
	g.mu.Lock()
	at, answered := g.answered[c.Instance]
	if ended, _ := quarantine.Ended(c.At, []quarantine.Sighting{{Answered: answered, AnsweredAt: at}}); !ended {
		g.mu.Unlock()
		g.opts.Logger.Info().Str("step", "quarantine").Str("server", c.Instance).Int64("since_ms", (at - c.At).Milliseconds()).
			Msg("another entry takes a backend server as ended that has answered since")
		return
	}
	bars := g.core.Crashed(now, c)
	g.mu.Unlock()
	g.opts.Ended(c.Instance)
	g.announce(bars, "barred", "")
}

func (g *Guard) acquit(now time.Duration, a *wire.Acquitted) {
	g.mu.Lock()
	ended := g.core.Acquit(codec.AcquittedFromWire(now, a))
	g.mu.Unlock()
	g.note(ended, changeEnded, "")
}

// adopt applies a bar, or tells the others of the answer that proves it wrong.
func (g *Guard) adopt(now time.Duration, b quarantine.Bar) {
	g.mu.Lock()
	adopted, begun, refuted := g.core.Adopt(now, b)
	g.mu.Unlock()
	switch {
	case refuted:
		g.opts.Send(acquittedNews(now, quarantine.Acquittal{Release: b.Release, At: begun, Parts: []quarantine.Part{b.Part}}))
	case adopted:
		g.note([]quarantine.Bar{b}, "adopted", "")
	}
}
