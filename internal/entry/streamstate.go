package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/core/lineage"
)

// streamState is what the entry knows of the software versions of streams, for the state
// dump.
type streamState struct {
	Records int    `json:"records"`
	Evicted uint64 `json:"evicted"`
	// ReachS is how far back the history of versions is complete, in seconds, and
	// Complete is true if that is as far as any stream.
	ReachS   float64 `json:"reach_s"`
	Complete bool    `json:"complete"`
	// Versions lists the versions that streams may have, by service.
	Versions map[string][]string `json:"versions"`
}

func (s *streams) state() streamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.entry.now()
	state := streamState{
		Records: s.book.Len(), Evicted: s.book.Evicted(),
		ReachS: s.book.Reach(now).Seconds(), Complete: s.book.Complete(now),
		Versions: make(map[string][]string),
	}
	for _, service := range s.book.Services() {
		if versions := s.book.Versions(now, service); len(versions) > 0 {
			state.Versions[service] = versions
		}
	}
	return state
}

// register exports the number of records and the reach of the history.
func (s *streams) register(registry prometheus.Registerer) {
	registry.MustRegister(
		newGaugeFunc("stream_records", "Records of the versions at which streams began.", func() float64 {
			return s.read(func(b *lineage.Book, _ time.Duration) float64 { return float64(b.Len()) })
		}),
		newGaugeFunc("version_history_seconds", "How far back all versions of all services are known.", func() float64 {
			return s.read(func(b *lineage.Book, now time.Duration) float64 { return b.Reach(now).Seconds() })
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "waxwingcart", Subsystem: "entry", Name: "stream_records_evicted_total",
			Help: "Records of streams dropped before their time because there were too many.",
		}, func() float64 {
			return s.read(func(b *lineage.Book, _ time.Duration) float64 { return float64(b.Evicted()) })
		}),
	)
}

func (s *streams) read(value func(*lineage.Book, time.Duration) float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return value(s.book, s.entry.now())
}
