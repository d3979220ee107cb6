package lineage

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "2000")
	}
	os.Exit(m.Run())
}

var (
	v1     = Version{"models", "v1"}
	v2     = Version{"models", "v2"}
	other1 = Version{"other", "v1"}
)

// newBook returns a Book that expects the longest streams.
func newBook() *Book {
	b := New()
	b.Expect(StreamBound)
	return b
}

// listEvery confirms a book's list each second between two times.
func listEvery(b *Book, from, to time.Duration, versions ...Version) {
	for at := from; at <= to; at += time.Second {
		b.Listed(at, versions)
	}
}

// A stream goes on at the version of its record, however many versions there are, and
// an unknown one is refused while a stream can have more than one version.
func TestDecide(t *testing.T) {
	const now = StreamBound + 10*time.Second
	complete := func(versions ...Version) *Book {
		b := newBook()
		listEvery(b, 0, now, versions...)
		return b
	}
	cases := []struct {
		name     string
		book     func() *Book
		named    bool
		expected Decision
	}{
		{"own record", func() *Book {
			b := complete(v1, v2)
			b.Note(now-time.Second, 1, v2, time.Minute, SourceOwn)
			return b
		}, true, Decision{Outcome: Pinned, Version: "v2", Source: SourceOwn, Age: time.Second}},
		{"told record, version not listed here", func() *Book {
			b := complete(v1)
			b.Note(now, 1, v2, time.Minute, SourceEntry)
			return b
		}, true, Decision{Outcome: Pinned, Version: "v2", Source: SourceEntry}},
		{"one version", func() *Book { return complete(v1) }, true, Decision{Outcome: Pinned, Version: "v1", Source: SourceHistory}},
		{"one version, not named", func() *Book { return complete(v1) }, false, Decision{Outcome: Pinned, Version: "v1", Source: SourceHistory}},
		{"two versions", func() *Book { return complete(v1, v2) }, true, Decision{Reason: ReasonNoRecord}},
		{"two versions, not named", func() *Book { return complete(v1, v2) }, false, Decision{Reason: ReasonUnnamed}},
		{"empty version beside another", func() *Book { return complete(v1, Version{Service: "models"}) }, true, Decision{Reason: ReasonNoRecord}},
		{"second version told of only", func() *Book {
			b := complete(v1)
			b.Note(now, 2, v2, time.Minute, SourceEntry)
			return b
		}, true, Decision{Reason: ReasonNoRecord}},
		{"no versions in lists", func() *Book {
			b := newBook()
			b.Listed(now, []Version{{Service: "models"}})
			return b
		}, true, Decision{Outcome: Pinned, Source: SourceHistory}},
		{"lists named a version before", func() *Book {
			b := complete(v1)
			b.Listed(now, []Version{{Service: "models"}})
			return b
		}, true, Decision{Reason: ReasonNoRecord}},
		{"knowledge as long as the streams", func() *Book {
			b := New()
			b.Expect(10 * time.Second)
			listEvery(b, now-10*time.Second, now, v1)
			return b
		}, true, Decision{Outcome: Pinned, Version: "v1", Source: SourceHistory}},
		{"a longer stream was told of", func() *Book {
			b := New()
			b.Expect(10 * time.Second)
			listEvery(b, now-10*time.Second, now, v1)
			b.Note(now, 2, v1, time.Minute, SourceEntry)
			return b
		}, true, Decision{Reason: ReasonNoRecord}},
		{"nothing is known of the streams", func() *Book {
			b := New()
			listEvery(b, 0, now, v1)
			return b
		}, true, Decision{Reason: ReasonNoRecord}},
		{"knowledge too short", func() *Book {
			b := newBook()
			listEvery(b, 20*time.Second, now, v1)
			return b
		}, true, Decision{Reason: ReasonNoRecord}},
		{"list too old", func() *Book {
			b := newBook()
			listEvery(b, 0, now-2*maxListAge, v1)
			return b
		}, true, Decision{Reason: ReasonNoRecord}},
		{"other service", func() *Book {
			b := complete(v1, v2)
			b.Note(now, 1, other1, time.Minute, SourceOwn)
			return b
		}, true, Decision{Outcome: Elsewhere, Source: SourceOwn}},
		{"went on at another service", func() *Book {
			b := complete(v1, v2)
			b.Note(now, 1, other1, time.Minute, SourceOwn)
			b.Note(now, 1, v2, time.Minute, SourceOwn)
			return b
		}, true, Decision{Outcome: Pinned, Version: "v2", Source: SourceOwn}},
		{"ID used twice", func() *Book {
			b := complete(v1, v2)
			b.Note(now, 1, v1, time.Minute, SourceOwn)
			b.Note(now, 1, v2, time.Minute, SourceEntry)
			return b
		}, true, Decision{Reason: ReasonAmbiguous}},
		{"ID used twice at one version", func() *Book {
			b := complete(v1, v2)
			b.Note(now, 1, v1, time.Minute, SourceOwn)
			b.Note(now, 1, v1, time.Minute, SourceEntry)
			return b
		}, true, Decision{Outcome: Pinned, Version: "v1", Source: SourceOwn}},
		{"record over", func() *Book {
			b := complete(v1, v2)
			b.Note(now-2*time.Minute, 1, v1, time.Minute, SourceOwn)
			return b
		}, true, Decision{Reason: ReasonNoRecord}},
	}
	for _, c := range cases {
		if got := c.book().Decide(now, 1, c.named, "models"); got != c.expected {
			t.Errorf("%s: got %+v, expected %+v", c.name, got, c.expected)
		}
	}
}

// A version that is no longer listed counts for as long as its streams can last, and a
// stream that lasts longer than usual keeps it for longer.
func TestVersionOutlivesItsServers(t *testing.T) {
	b := newBook()
	listEvery(b, 0, time.Minute, v1, v2)
	b.Note(time.Minute, 1, v2, time.Hour, SourceEntry)
	listEvery(b, time.Minute, 50*time.Minute, v1)
	b.Expire(50 * time.Minute)
	if got := b.Decide(50*time.Minute, 1, true, "models"); got.Outcome != Unknown || b.Len() != 0 {
		t.Errorf("got %+v with %d records while a stream of v2 may last; expected Unknown without records", got, b.Len())
	}
	listEvery(b, 50*time.Minute, 62*time.Minute, v1)
	b.Expire(62 * time.Minute)
	if got := b.Decide(62*time.Minute, 1, true, "models"); got.Outcome != Pinned {
		t.Errorf("got %+v after all streams of v2, expected Pinned", got)
	}
	if len(b.versions) != 1 {
		t.Errorf("%d versions are remembered, expected 1", len(b.versions))
	}
}

// Beyond the limit the oldest records are evicted and counted.
func TestRecordsAreBounded(t *testing.T) {
	b := newBook()
	b.limit = 3
	for id := StreamID(1); id <= 5; id++ {
		b.Note(0, id, v1, time.Minute, SourceOwn)
		b.Note(0, id, v1, time.Minute, SourceEntry)
	}
	if b.Len() != 3 || b.Evicted() != 2 || len(b.order) != 3 {
		t.Fatalf("%d records, %d in order, %d evicted; expected 3, 3 and 2", b.Len(), len(b.order), b.Evicted())
	}
	for id, expected := range map[StreamID]Outcome{2: Unknown, 3: Pinned} {
		if got := b.Decide(0, id, true, "models"); got.Outcome != expected {
			t.Errorf("stream %d: got %+v, expected outcome %d", id, got, expected)
		}
	}
}

// An entry that starts gets another one's records and history.
func TestSnapshot(t *testing.T) {
	const now = StreamBound + time.Minute
	old := newBook()
	listEvery(old, 0, now, v1)
	old.Note(now, 1, other1, time.Minute, SourceOwn)
	old.Note(now, 1, v1, time.Minute, SourceOwn)
	old.Note(now, 2, v1, time.Minute, SourceEntry)
	old.Note(now, 3, other1, time.Minute, SourceEntry)
	old.Note(now, 3, Version{"other", "v2"}, time.Minute, SourceEntry)
	started := newBook()
	started.Merge(0, old.Snapshot(now))
	if started.Complete(0) {
		t.Error("the other's history counts although no list was read")
	}
	started.Listed(time.Second, []Version{v1})
	started.Merge(time.Second, old.Snapshot(now))
	if got := started.Decide(time.Second, 9, true, "models"); got.Source != SourceHistory {
		t.Errorf("unknown stream: got %+v, expected a decision by history", got)
	}
	if got := started.Decide(time.Second, 2, true, "models"); got.Source != SourceStart || got.Version != "v1" {
		t.Errorf("known stream: got %+v, expected v1", got)
	}
	if got := started.Decide(time.Second, 3, true, "other"); got.Reason != ReasonAmbiguous {
		t.Errorf("ambiguous stream: got %+v", got)
	}
	if first, second := old.Snapshot(now), started.Snapshot(time.Second); len(first.Streams) != len(second.Streams) {
		t.Errorf("%d streams became %d", len(first.Streams), len(second.Streams))
	}
	started.Listed(time.Minute, []Version{v1})
	if started.Complete(time.Minute) {
		t.Error("the history counts as complete after a gap between two lists")
	}
}

// world is what really happens in TestNeverGuessesWrongly.
type world struct {
	now time.Duration
	// came and went say when each version's servers were first and last listed.
	came, went map[string]time.Duration
	begun      map[StreamID]begunStream
	next       StreamID
}

type begunStream struct {
	version string
	at      time.Duration
}

func (w *world) listed() []Version {
	var list []Version
	for name := range w.came {
		if _, gone := w.went[name]; !gone {
			list = append(list, Version{"models", name})
		}
	}
	return list
}

// serving returns the versions at which streams begin. Entries send to a server only
// after it was listed for a moment, and for a while after it was last listed.
func (w *world) serving() []string {
	var names []string
	for name, came := range w.came {
		went, gone := w.went[name]
		if w.now-came > maxListAge && (!gone || w.now-went < unlistedUse) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Whatever lists an entry misses, and whichever records never reach it, a stream that it
// lets go on at a version has begun at this version.
func TestNeverGuessesWrongly(t *testing.T) {
	decided := map[Source]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := &world{came: map[string]time.Duration{"v0": 0}, went: map[string]time.Duration{}, begun: map[StreamID]begunStream{}}
		books := []*Book{newBook(), newBook(), newBook()}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				seconds := rapid.SampledFrom([]int{1, 2, 15, 30, 120, 400}).Draw(t, "seconds")
				connected := rapid.SliceOfN(rapid.Bool(), len(books), len(books)).Draw(t, "connected")
				for range seconds {
					w.now += time.Second
					for i, b := range books {
						if connected[i] {
							b.Listed(w.now, w.listed())
						}
						b.Expire(w.now)
					}
				}
			},
			"version comes": func(t *rapid.T) {
				if len(w.came) < 8 {
					w.came[fmt.Sprintf("v%d", len(w.came))] = w.now
				}
			},
			"version goes": func(t *rapid.T) {
				list := w.listed()
				slices.SortFunc(list, func(a, b Version) int { return int(w.came[a.Name] - w.came[b.Name]) })
				if len(list) > 1 && w.now-w.came[list[0].Name] > maxListGap {
					w.went[list[0].Name] = w.now
				}
			},
			"stream": func(t *rapid.T) {
				names := w.serving()
				if len(names) == 0 {
					return
				}
				name := rapid.SampledFrom(names).Draw(t, "version")
				w.next++
				w.begun[w.next] = begunStream{name, w.now}
				for i, b := range books {
					if rapid.Bool().Draw(t, fmt.Sprint("told", i)) {
						b.Note(w.now, w.next, Version{"models", name}, StreamBound, SourceEntry)
					}
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(books)-1).Draw(t, "entry")
				books[i] = newBook()
			},
			"exchange": func(t *rapid.T) {
				from := rapid.IntRange(0, len(books)-1).Draw(t, "from")
				to := rapid.IntRange(0, len(books)-1).Draw(t, "to")
				books[to].Merge(w.now, books[from].Snapshot(w.now))
			},
			"take up": func(t *rapid.T) {
				for id, stream := range w.begun {
					if w.now-stream.at > StreamBound {
						continue
					}
					for i, b := range books {
						d := b.Decide(w.now, id, true, "models")
						decided[d.Source]++
						if d.Outcome == Pinned && d.Version != stream.version {
							t.Fatalf("entry %d: %+v for a stream that began at %s %s ago", i, d, stream.version, w.now-stream.at)
						}
					}
				}
			},
		})
	})
	t.Logf("decisions by source: %v", decided)
	for _, source := range []Source{SourceEntry, SourceStart, SourceHistory, ""} {
		if decided[source] == 0 {
			t.Errorf("no decision has the source %q", source)
		}
	}
}
