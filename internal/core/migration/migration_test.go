package migration

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets rapid's seed and number of checks unless flags give them, so that
// each run draws the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	flag.Parse()
	os.Exit(m.Run())
}

func drawStreams(t *rapid.T) []Stream {
	streams := make([]Stream, rapid.IntRange(0, 12).Draw(t, "n"))
	for i := range streams {
		streams[i] = Stream{
			ID:              fmt.Sprint("s", i),
			PromptTokens:    rapid.IntRange(0, 8000).Draw(t, "prompt"),
			DoneTokens:      rapid.IntRange(0, 2000).Draw(t, "done"),
			TokensLeft:      rapid.IntRange(0, 3000).Draw(t, "left"),
			TokensPerSecond: rapid.Float64Range(0, 60).Draw(t, "rate"),
			ExportBytes:     rapid.Int64Range(0, 4<<30).Draw(t, "bytes"),
			KVBytesPerToken: rapid.Int64Range(0, 1<<20).Draw(t, "growth"),
			Pinned:          rapid.IntRange(0, 9).Draw(t, "pinned") == 0,
		}
	}
	return streams
}

// Checks that every stream gets one decision, that exports and finishing streams
// end before the deadline, that exports do not overlap, and that the plan
// recomputes no more tokens than the baseline without migration.
func TestPlanFitsAndIsNoWorseThanBaseline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		streams := drawStreams(t)
		options := Options{
			TimeLeft:             time.Duration(rapid.IntRange(-1, 60_000).Draw(t, "ms")) * time.Millisecond,
			ExportBytesPerSecond: rapid.Float64Range(0, 1<<30).Draw(t, "link"),
			ExportOverhead:       time.Duration(rapid.IntRange(0, 500).Draw(t, "overhead")) * time.Millisecond,
			Disabled:             rapid.Bool().Draw(t, "disabled"),
		}
		plan := NewPlan(streams, options)
		if len(plan.Decisions) != len(streams) {
			t.Fatalf("%d decisions for %d streams", len(plan.Decisions), len(streams))
		}
		byID := map[string]Stream{}
		for _, stream := range streams {
			byID[stream.ID] = stream
		}
		end := time.Duration(0)
		for _, d := range plan.Decisions {
			stream, ok := byID[d.Stream]
			if !ok {
				t.Fatalf("stream %s is unknown or has two decisions", d.Stream)
			}
			delete(byID, d.Stream)
			if d.Action == Recompute {
				continue
			}
			need := time.Duration(float64(stream.TokensLeft) / stream.TokensPerSecond * 1e9)
			if d.Action == Export {
				generated := min(stream.TokensPerSecond*d.Start.Seconds(), float64(stream.TokensLeft))
				bytes := float64(stream.ExportBytes) + generated*float64(stream.KVBytesPerToken)
				need = options.ExportOverhead + time.Duration(bytes/options.ExportBytesPerSecond*1e9)
			}
			if stream.TokensLeft == 0 && d.Action == Finish {
				need = 0
			}
			if d.End-d.Start < need || d.End > max(0, options.TimeLeft) {
				t.Fatalf("%+v does not end within %v or is shorter than needed", d, options.TimeLeft)
			}
			if d.Action == Export && (d.Start < end || stream.Pinned || options.Disabled) {
				t.Fatalf("export is not allowed or overlaps the previous one: %+v", d)
			}
			if d.Action == Export {
				end = d.End
			}
		}
		options.Disabled = true
		baseline := NewPlan(streams, options)
		if plan.RecomputedTokens > baseline.RecomputedTokens || plan.BaselineTokens != baseline.RecomputedTokens {
			t.Fatalf("recomputed tokens: plan %d, baseline %d, BaselineTokens %d", plan.RecomputedTokens, baseline.RecomputedTokens, plan.BaselineTokens)
		}
	})
}

// Checks that one long export is not chosen over shorter ones that together save
// more tokens, and that shorter ones are not chosen over a long one that saves
// more.
func TestExportsThatSaveMostAreChosen(t *testing.T) {
	stream := func(id string, prompt int, megabytes int64) Stream {
		return Stream{ID: id, PromptTokens: prompt, TokensLeft: 10_000, TokensPerSecond: 20, ExportBytes: megabytes << 20}
	}
	options := Options{TimeLeft: 10 * time.Second, ExportBytesPerSecond: 100 << 20}
	for _, c := range []struct {
		streams []Stream
		want    int
	}{
		{[]Stream{stream("long", 5000, 800), stream("a", 3000, 300), stream("b", 3000, 300)}, 5000},
		{[]Stream{stream("long", 9000, 800), stream("small", 100, 1)}, 100},
	} {
		if plan := NewPlan(c.streams, options); plan.RecomputedTokens != c.want {
			t.Errorf("recomputes %d tokens, want %d: %+v", plan.RecomputedTokens, c.want, plan.Decisions)
		}
	}
}
