package standin

import (
	"flag"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that each run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// The defaults in the struct tags must equal those of DefaultOptions.
func TestDefaultOptionsMatchCommandLine(t *testing.T) {
	var got Options
	parser, err := kong.New(&got)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parser.Parse([]string{"--vm", "a,north,spot,10.0.0.1:80", "--capacity", "spot/north=2"}); err != nil {
		t.Fatal(err)
	}
	want := DefaultOptions(KindModel, VendorAlpha)
	want.VMs = []string{"a,north,spot,10.0.0.1:80"}
	want.Capacity = map[string]int{"spot/north": 2}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

// newManualEngine returns an engine that does not run its loop: the test calls
// stepOnce.
func newManualEngine(change func(*Options)) *engine {
	opts := DefaultOptions(KindModel, VendorAlpha)
	opts.Slots, opts.QueueLimit = 2, 2
	opts.ReportLag = 0
	if change != nil {
		change(&opts)
	}
	e := newEngine(opts, func() int { return 0 })
	e.looping = true
	return e
}

// stepOnce admits streams and runs one step. It returns the time that the step would
// take.
func (e *engine) stepOnce() time.Duration {
	e.admit(time.Now())
	stepTime, prefill := e.planStep()
	e.step(prefill)
	return stepTime
}

// mustSubmit submits a new stream.
func mustSubmit(t *testing.T, e *engine, prompt string, tokens, priority int) *stream {
	t.Helper()
	s := newStream(prompt, tokens)
	s.priority = priority
	if err := e.submit(s); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	e := newManualEngine(nil)
	first := mustSubmit(t, e, "a", 2, 0)
	mustSubmit(t, e, "b", 9, 0)
	late := mustSubmit(t, e, "c", 1, 5)
	urgent := mustSubmit(t, e, "d", 1, -1)
	if err := e.submit(newStream("e", 1)); err != errBusy {
		t.Errorf("submit to a full queue: got %v, want errBusy", err)
	}
	if load := e.delayedLoad(); load.running != 2 || load.waiting != 2 {
		t.Errorf("got load %+v, want 2 running and 2 waiting", load)
	}
	for first.phase != phaseDone {
		e.stepOnce()
	}
	e.stepOnce()
	if urgent.phase != phaseDone || late.phase != phaseWaiting {
		t.Errorf("got urgent stream in phase %v, late stream in phase %v, want done and waiting", urgent.phase, late.phase)
	}
}

func TestStepTimeGrowsWithBatch(t *testing.T) {
	e := newManualEngine(func(o *Options) { o.TokensPerSecond, o.BatchSlowdown = 100, 0.5 })
	mustSubmit(t, e, "a", 9, 0)
	e.stepOnce()
	alone := e.stepOnce()
	mustSubmit(t, e, "b", 9, 0)
	e.stepOnce()
	if together := e.stepOnce(); alone != 10*time.Millisecond || together != 15*time.Millisecond {
		t.Errorf("a step takes %v for one stream and %v for two, want 10ms and 15ms", alone, together)
	}
}

// Prefill computes only the part of a prompt that is not cached.
func TestPrefillSkipsCachedTokens(t *testing.T) {
	prompt := func(length int, tail string) string {
		text := make([]byte, length)
		for i := range text {
			text[i] = 'a' + byte(i/PrefixBytes)
		}
		return string(text) + tail
	}
	tests := []struct {
		prompt string
		want   int64
	}{
		{prompt(3*PrefixBytes, "xxxx"), 3*blockTokens + 1},
		{prompt(3*PrefixBytes, "yyyyyyyy"), 2},
		{prompt(4*PrefixBytes, ""), blockTokens},
		{"other", 2},
		{"other", 0},
	}
	e := newManualEngine(nil)
	for i, test := range tests {
		before := e.stats.PrefillTokens
		s := mustSubmit(t, e, test.prompt, 1, 0)
		for s.phase != phaseDone {
			e.stepOnce()
		}
		if got := e.stats.PrefillTokens - before; got != test.want {
			t.Errorf("prompt %d: %d tokens computed, want %d", i, got, test.want)
		}
	}
}

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newPrefixCache(Options{})
	now := time.Now()
	for _, name := range []string{"a", "b", "a", "c"} {
		c.store([]string{name}, 2*blockTokens, now)
	}
	if c.cachedTokens([]string{"b"}) != 0 || c.cachedTokens([]string{"a"}) == 0 || c.cachedTokens([]string{"c"}) == 0 {
		t.Error("expected blocks a and c in the cache, and no b")
	}
	events, last := c.since(2, now)
	if last != 4 || len(events) != 2 || events[0].Prefix != "c" || events[1].Kind != "evicted" || events[1].Prefix != "b" {
		t.Errorf("got events %+v, last %d, want c stored and b evicted, last 4", events, last)
	}
	c.store([]string{"d"}, -5, now)
	if c.tokens != 0 {
		t.Errorf("got %d cached tokens with a limit below 0, want none", c.tokens)
	}
}

func TestDelayedValue(t *testing.T) {
	d := newDelayedValue[int](time.Second)
	start := time.Now()
	for i := range 5 {
		d.set(start.Add(time.Duration(i)*time.Second), i+1)
	}
	for _, test := range []struct {
		age  time.Duration
		want int
	}{{4 * time.Second, 4}, {4500 * time.Millisecond, 4}, {5 * time.Second, 5}, {time.Hour, 5}} {
		if got := d.get(start.Add(test.age)); got != test.want {
			t.Errorf("after %v: %d, want %d", test.age, got, test.want)
		}
	}
}

// Each token of a stream is decoded once and its prompt is computed once, however
// often the stream is paused, exported to another engine or resumed after a failed
// export.
func TestMigratedStreamsRecomputeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := []*engine{newManualEngine(nil), newManualEngine(nil), newManualEngine(nil)}
		tokens := rapid.IntRange(1, 12).Draw(t, "tokens")
		current, s := engines[0], newStream("prompt", tokens)
		if err := current.submit(s); err != nil {
			t.Fatal(err)
		}
		for s.phase != phaseDone {
			if rapid.Bool().Draw(t, "step") {
				before := s.produced
				current.stepOnce()
				if s.produced < before || s.produced > before+1 {
					t.Fatalf("a step changed the stream from %d to %d tokens, want at most one more", before, s.produced)
				}
				continue
			}
			header, err := current.pause(s.id)
			if err != nil {
				continue
			}
			if rapid.Bool().Draw(t, "export fails") {
				current.attachReader(s.id)
				continue
			}
			current = rapid.SampledFrom(engines).Draw(t, "target")
			if s, err = current.importStream(header); err != nil {
				t.Fatal(err)
			}
		}
		var sum engineStats
		for _, e := range engines {
			sum.DecodedTokens += e.stats.DecodedTokens
			sum.PrefillTokens += e.stats.PrefillTokens
		}
		if sum.DecodedTokens != int64(tokens) || sum.PrefillTokens != 2 {
			t.Fatalf("got %d tokens decoded, want %d; got %d prompt tokens computed, want 2", sum.DecodedTokens, tokens, sum.PrefillTokens)
		}
	})
}

func TestNewRejectsInvalidOptions(t *testing.T) {
	tests := map[string]func(*Options){
		"kind":   func(o *Options) { o.Kind = "x" },
		"vendor": func(o *Options) { o.Vendor = VendorGamma },
		"slots":  func(o *Options) { o.Slots = 0 },
		"rate":   func(o *Options) { o.TokensPerSecond = 0 },
		"export": func(o *Options) { o.ExportBytesPerSecond = 0 },
		"vm":     func(o *Options) { o.Kind, o.VMs = KindPlatform, []string{"a,b"} },
	}
	for name, change := range tests {
		opts := DefaultOptions(KindModel, VendorAlpha)
		change(&opts)
		if _, err := New(opts); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}
