package serverlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Answers overtake each other: a stricter word counts at once, a milder one only if its
// request was sent after the stricter one was read.
func TestWordsThatOvertakeEachOther(t *testing.T) {
	at := func(perSecond float64, sent, read int) Word {
		return Word{PerSecond: perSecond, Sent: time.Duration(sent) * time.Second, Read: time.Duration(read) * time.Second}
	}
	known := at(2, 10, 20)
	for name, test := range map[string]struct {
		word     Word
		replaces bool
	}{
		"lower, overlapping":                  {at(1, 5, 15), true},
		"lower, read before the known's sent": {at(1, 5, 9), false},
		"higher, overlapping":                 {at(3, 15, 30), false},
		"higher, sent after the known's read": {at(3, 21, 30), true},
		"none, overlapping":                   {at(0, 19, 30), false},
		"none, sent after the known's read":   {at(0, 21, 30), true},
		"the same, newer":                     {at(2, 19, 25), true},
		"the same, as new":                    {at(2, 10, 20), false},
	} {
		if got := test.word.replaces(known); got != test.replaces {
			t.Errorf("%s: got %t, want %t", name, got, test.replaces)
		}
	}
	lifted := at(0, 30, 31)
	if at(2, 10, 29).replaces(lifted) || !at(2, 29, 32).replaces(lifted) {
		t.Error("want an older word not to undo the end of a limit, and a newer one to")
	}
}

// A server without a limit, and one whose limit has ended, take all requests.
func TestUnlimited(t *testing.T) {
	s := NewShare(1)
	if !s.Takes(0, "a", 0) || s.Any() || s.Observe(0, "a", Word{}) {
		t.Error("a server that named no limit is limited")
	}
	s.Observe(time.Second, "a", Word{PerSecond: 1, Read: time.Second})
	if s.Takes(time.Second, "a", 0) || !s.Any() {
		t.Error("a limited server takes a request that was not granted")
	}
	if !s.Observe(3*time.Second, "a", Word{Sent: 2 * time.Second, Read: 3 * time.Second}) || !s.Takes(3*time.Second, "a", 0) || s.Any() {
		t.Error("a server whose limit has ended is limited")
	}
}

// Of what is granted, the most urgent requests are served first.
func TestUrgentRequestsFirst(t *testing.T) {
	s, a := NewShare(1), NewAllocator()
	s.Observe(0, "a", Word{PerSecond: 4})
	served := [2]int{}
	for now := time.Duration(0); now < 30*time.Second; now += 10 * time.Millisecond {
		if now%(300*time.Millisecond) == 0 {
			s.Granted(now, a.Renew(now, s.Renewal(now)), 1)
		}
		// Ten less urgent requests and three more urgent ones a second.
		for rank, every := range []time.Duration{330 * time.Millisecond, 100 * time.Millisecond} {
			if now%every != 0 {
				continue
			}
			s.Want(now, "a", rank)
			if s.Takes(now, "a", rank) {
				s.Use(now, "a")
				served[rank]++
			}
		}
	}
	if served[0] < 75 || served[1] == 0 {
		t.Errorf("served %d urgent requests of 90 and %d others under a limit of 120, want at least 75 and some", served[0], served[1])
	}
}

// The callers of refused requests are told the time that the limits give, and later ones a
// later time.
func TestRefusedAreSpread(t *testing.T) {
	s := NewShare(1)
	for _, instance := range []string{"a", "b"} {
		s.Observe(0, instance, Word{PerSecond: 1})
	}
	first := s.Refused(0, []string{"a", "b"})
	if first != time.Second {
		t.Errorf("got %s for the first, want 1s: two servers, each of 1 request a second, and one request refused", first)
	}
	last := first
	for range 40 {
		wait := s.Refused(0, []string{"a", "b"})
		if wait < last || wait > maxWait {
			t.Fatalf("got %s after %s", wait, last)
		}
		last = wait
	}
	if last != maxWait {
		t.Errorf("got %s for the last, want %s", last, maxWait)
	}
}

// Entries with uneven demand share the limits through leaders that change and answers that
// are lost. No server gets more than the rule allows, and one that all want gets most of
// what it takes.
func TestEntriesKeepToLimits(t *testing.T) {
	const (
		length    = 40 * time.Second
		step      = 10 * time.Millisecond
		window    = 4 * time.Second
		stability = 3 * time.Second
	)
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		entries := rapid.IntRange(1, 80).Draw(rt, "entries")
		limit := rapid.Float64Range(0.3, 40).Draw(rt, "limit")
		demand := limit * rapid.Float64Range(2, 10).Draw(rt, "demand")
		faults := rapid.Bool().Draw(rt, "faults")
		shares := make([]*Share, entries)
		weights, total := make([]float64, entries), 0.0
		for i := range shares {
			shares[i] = NewShare(random.Uint64())
			weights[i] = random.Float64() * random.Float64()
			total += weights[i]
		}
		interval := max(300*time.Millisecond, time.Duration(entries)*10*time.Millisecond)
		a := NewAllocator()
		next := make([]time.Duration, entries)
		var sent []time.Duration
		for now := time.Duration(0); now < length; now += step {
			if faults && random.Float64() < step.Seconds()/8 {
				a = NewAllocator()
			}
			for i, s := range shares {
				if now >= next[i] {
					next[i] = now + interval + time.Duration(random.Int64N(int64(interval/4)))
					grant := a.Renew(now, s.Renewal(now))
					if !faults || random.Float64() > 0.05 {
						s.Granted(now, grant, entries)
					}
				}
				if random.Float64() > demand*weights[i]/total*step.Seconds() {
					continue
				}
				s.Want(now, "a", 0)
				if !s.Takes(now, "a", 0) && s.Await(now, []string{"a"}) {
					s.Granted(now, a.Renew(now, s.Renewal(now)), entries)
				}
				if s.Takes(now, "a", 0) {
					s.Use(now, "a")
					sent = append(sent, now)
					s.Observe(now, "a", Word{PerSecond: limit, Sent: now, Read: now})
				}
			}
		}
		late := 0
		for i, from := range sent {
			if from < stability {
				continue
			}
			late++
			n := 0
			for _, at := range sent[i:] {
				if at < from+window {
					n++
				}
			}
			if allowed := int(1.5*limit*window.Seconds()) + 5; n > allowed {
				rt.Fatalf("%d requests in %s from %s on, want at most %d", n, window, from, allowed)
			}
		}
		if least := 0.5 * limit * (length - stability).Seconds(); !faults && float64(late) < least {
			rt.Errorf("%d requests, want at least %.0f, half of what the server takes", late, least)
		}
	})
}

// What servers and other processes say can't make the tables grow without limit.
func TestBounds(t *testing.T) {
	s, a, words := NewShare(1), NewAllocator(), make(map[string]Word)
	for i := range 3 * maxWords {
		instance := fmt.Sprint("i-", i)
		s.Observe(0, instance, Word{PerSecond: 1})
		s.NoteUnreadable(instance)
		words[instance] = Word{PerSecond: 1}
	}
	a.Renew(0, Report{Words: words})
	if len(s.servers) > maxWords || len(s.unreadable) > maxWords || len(a.buckets) > maxWords {
		t.Errorf("got %d, %d and %d servers", len(s.servers), len(s.unreadable), len(a.buckets))
	}
	a.Renew(2*wordKept, Report{})
	if s.Renewal(2 * wordKept); len(s.servers) > 0 || s.Any() || len(a.buckets) > 0 {
		t.Error("old words are kept")
	}
}
