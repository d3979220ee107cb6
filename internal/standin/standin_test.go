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

// TestMain fixes the seed, so that each run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// The command line's defaults are those of DefaultOptions.
func TestDefaultsOfTheCommandLine(t *testing.T) {
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

// stillEngine is an engine whose steps the test takes itself.
func stillEngine(change func(*Options)) *engine {
	opts := DefaultOptions(KindModel, VendorAlpha)
	opts.Slots, opts.QueueLimit = 2, 2
	opts.ReportLag = 0
	if change != nil {
		change(&opts)
	}
	e := newEngine(opts, func() int { return 0 })
	e.stepping = true
	return e
}

// turn takes one step.
func (e *engine) turn() time.Duration {
	e.admit(time.Now())
	pause, prefill := e.plan()
	e.step(prefill)
	return pause
}

func submitted(t *testing.T, e *engine, prompt string, tokens, priority int) *stream {
	t.Helper()
	s := newStream(prompt, tokens)
	s.priority = priority
	if err := e.submit(s); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	e := stillEngine(nil)
	first := submitted(t, e, "a", 2, 0)
	submitted(t, e, "b", 9, 0)
	late := submitted(t, e, "c", 1, 5)
	urgent := submitted(t, e, "d", 1, -1)
	if err := e.submit(newStream("e", 1)); err != errBusy {
		t.Errorf("beyond the queue: %v", err)
	}
	if load := e.reported(); load.running != 2 || load.waiting != 2 {
		t.Errorf("reported %+v", load)
	}
	for first.phase != phaseDone {
		e.turn()
	}
	e.turn()
	if urgent.phase != phaseDone || late.phase != phaseWaiting {
		t.Errorf("urgent %v, late %v", urgent.phase, late.phase)
	}
}

func TestStepsSlowDownWithTheBatch(t *testing.T) {
	e := stillEngine(func(o *Options) { o.TokensPerSecond, o.BatchSlowdown = 100, 0.5 })
	submitted(t, e, "a", 9, 0)
	e.turn()
	alone := e.turn()
	submitted(t, e, "b", 9, 0)
	e.turn()
	if together := e.turn(); alone != 10*time.Millisecond || together != 15*time.Millisecond {
		t.Errorf("a step takes %v alone and %v together", alone, together)
	}
}

// Only the part of a prompt that is not in the cache is computed.
func TestPrefillUsesTheCache(t *testing.T) {
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
	e := stillEngine(nil)
	for i, test := range tests {
		before := e.stats.PrefillTokens
		s := submitted(t, e, test.prompt, 1, 0)
		for s.phase != phaseDone {
			e.turn()
		}
		if got := e.stats.PrefillTokens - before; got != test.want {
			t.Errorf("prompt %d: %d tokens computed, want %d", i, got, test.want)
		}
	}
}

func TestCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	c := newPrefixCache(Options{})
	now := time.Now()
	for _, name := range []string{"a", "b", "a", "c"} {
		c.store([]string{name}, 2*blockTokens, now)
	}
	if c.hit([]string{"b"}) != 0 || c.hit([]string{"a"}) == 0 || c.hit([]string{"c"}) == 0 {
		t.Error("the cache holds others than a and c")
	}
	events, last := c.since(2, now)
	if last != 4 || len(events) != 2 || events[0].Prefix != "c" || events[1].Kind != "evicted" || events[1].Prefix != "b" {
		t.Errorf("%+v, %d", events, last)
	}
	c.store([]string{"d"}, -5, now)
	if c.tokens != 0 {
		t.Errorf("%d tokens held without memory", c.tokens)
	}
}

func TestReportsAreLate(t *testing.T) {
	d := newDelayLine[int](time.Second)
	start := time.Now()
	for i := range 5 {
		d.add(start.Add(time.Duration(i)*time.Second), i+1)
	}
	for _, test := range []struct {
		age  time.Duration
		want int
	}{{4 * time.Second, 4}, {4500 * time.Millisecond, 4}, {5 * time.Second, 5}, {time.Hour, 5}} {
		if got := d.at(start.Add(test.age)); got != test.want {
			t.Errorf("after %v: %d, want %d", test.age, got, test.want)
		}
	}
}

// However a stream is moved about, each of its tokens is decoded once, and its
// prompt is computed once.
func TestMovedStreamsRecomputeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := []*engine{stillEngine(nil), stillEngine(nil), stillEngine(nil)}
		tokens := rapid.IntRange(1, 12).Draw(t, "tokens")
		at, s := engines[0], newStream("prompt", tokens)
		if err := at.submit(s); err != nil {
			t.Fatal(err)
		}
		for s.phase != phaseDone {
			if rapid.Bool().Draw(t, "step") {
				before := s.produced
				at.turn()
				if s.produced < before || s.produced > before+1 {
					t.Fatalf("from %d to %d tokens in a step", before, s.produced)
				}
				continue
			}
			header, err := at.pause(s.id)
			if err != nil {
				continue
			}
			if rapid.Bool().Draw(t, "export fails") {
				at.open(s.id)
				continue
			}
			at = rapid.SampledFrom(engines).Draw(t, "target")
			if s, err = at.adopt(header); err != nil {
				t.Fatal(err)
			}
		}
		var sum engineStats
		for _, e := range engines {
			sum.DecodedTokens += e.stats.DecodedTokens
			sum.PrefillTokens += e.stats.PrefillTokens
		}
		if sum.DecodedTokens != int64(tokens) || sum.PrefillTokens != 2 {
			t.Fatalf("%d tokens decoded, want %d; %d prompt tokens", sum.DecodedTokens, tokens, sum.PrefillTokens)
		}
	})
}

func TestBadOptions(t *testing.T) {
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
			t.Errorf("%s: accepted", name)
		}
	}
}
