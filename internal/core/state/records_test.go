package state

import (
	"math"
	"testing"
)

const minute = 60_000

var (
	booking = Key{Customer: "heirs", Service: "claims", Key: "k-1"}
	first   = Owner{VM: "entry-1", Incarnation: 11}
	second  = Owner{VM: "entry-2", Incarnation: 22}
)

// script applies commands to a machine at rising indexes.
type script struct {
	t       *testing.T
	machine *Machine
	index   uint64
	timeMS  int64
}

func newScript(t *testing.T, options Options) *script {
	return &script{t: t, machine: New(options), timeMS: 1_000_000_000}
}

func (s *script) apply(body Body) Result {
	s.index++
	return s.machine.Apply(s.index, 1, Command{TimeMS: s.timeMS, Body: body})
}

func (s *script) reserve(owner Owner, requestID string) ReserveResult {
	return s.apply(Reserve{Key: booking, Owner: owner, RequestID: requestID, RetentionMS: 10 * minute}).(ReserveResult)
}

func (s *script) record(owner Owner, requestID string, outcome RecordState) RecordResult {
	c := Record{Key: booking, Owner: owner, RequestID: requestID, State: outcome}
	if outcome == RecordAnswered {
		c.Answer = &Answer{Status: 201, Body: []byte("booked by " + requestID)}
	}
	return s.apply(c).(RecordResult)
}

func (s *script) expire() ExpireResult {
	return s.apply(Expire{BeforeMS: s.timeMS}).(ExpireResult)
}

func (s *script) expectGranted(result ReserveResult, granted bool, state RecordState) {
	s.t.Helper()
	if result.Granted != granted || result.Record.State != state {
		s.t.Fatalf("granted %t in state %d, expected %t in %d", result.Granted, result.Record.State, granted, state)
	}
}

func (s *script) expectRecorded(result RecordResult, accepted bool, state RecordState) {
	s.t.Helper()
	if result.Accepted != accepted || result.State != state {
		s.t.Fatalf("accepted %t in state %d, expected %t in %d", result.Accepted, result.State, accepted, state)
	}
}

func TestReserveAgainAfterLostAnswer(t *testing.T) {
	s := newScript(t, Options{})
	s.expectGranted(s.reserve(first, "r1"), true, RecordReserved)
	s.expectGranted(s.reserve(first, "r1"), true, RecordReserved)
	s.expectGranted(s.reserve(second, "r2"), false, RecordReserved)
	s.expectGranted(s.reserve(first, "r3"), false, RecordReserved)
	restarted := Owner{VM: first.VM, Incarnation: first.Incarnation + 1}
	s.expectGranted(s.reserve(restarted, "r1"), false, RecordReserved)
	if got := s.machine.Lookup(booking); got.Owner != first || got.RequestID != "r1" {
		t.Fatalf("held by %+v", got)
	}
}

func TestMismatch(t *testing.T) {
	s := newScript(t, Options{})
	s.reserve(first, "r1")
	other := Reserve{Key: booking, Digest: [32]byte{1}, Owner: first, RequestID: "r1"}
	result := s.apply(other).(ReserveResult)
	if !result.Mismatch || result.Granted {
		t.Fatalf("got %+v, expected a mismatch", result)
	}
}

func TestFinalOutcomes(t *testing.T) {
	for _, outcome := range []RecordState{RecordAnswered, RecordUnknown} {
		s := newScript(t, Options{})
		s.reserve(first, "r1")
		s.expectRecorded(s.record(first, "r1", outcome), true, outcome)
		s.expectRecorded(s.record(first, "r1", outcome), true, outcome)
		s.expectRecorded(s.record(first, "r1", RecordNotRun), false, outcome)
		s.expectGranted(s.reserve(second, "r2"), false, outcome)
		s.expectGranted(s.reserve(first, "r1"), false, outcome)
	}
}

func TestNotRunFreesTheKey(t *testing.T) {
	s := newScript(t, Options{})
	s.reserve(first, "r1")
	s.expectRecorded(s.record(second, "r1", RecordNotRun), false, RecordReserved)
	s.expectRecorded(s.record(first, "r1", RecordNotRun), true, RecordNotRun)
	// A late copy of the first reservation must not revive its attempt.
	s.expectGranted(s.reserve(first, "r1"), false, RecordNotRun)
	s.expectGranted(s.reserve(second, "r2"), true, RecordReserved)
	s.expectRecorded(s.record(first, "r1", RecordAnswered), false, RecordReserved)
	s.expectRecorded(s.record(second, "r2", RecordAnswered), true, RecordAnswered)
	if got := string(s.machine.Lookup(booking).Answer.Body); got != "booked by r2" {
		t.Fatalf("replays %q", got)
	}
}

func TestRecordWithoutOutcome(t *testing.T) {
	s := newScript(t, Options{})
	s.expectRecorded(s.record(first, "r1", RecordAnswered), false, RecordNone)
	s.reserve(first, "r1")
	for _, state := range []RecordState{RecordNone, RecordReserved, RecordExpired} {
		s.expectRecorded(s.record(first, "r1", state), false, RecordReserved)
	}
}

func TestExpiry(t *testing.T) {
	s := newScript(t, Options{})
	s.reserve(first, "r1")
	s.record(first, "r1", RecordAnswered)
	s.timeMS += 10 * minute
	s.expire()
	s.expectGranted(s.reserve(second, "r2"), false, RecordAnswered)
	s.timeMS += 2 * expiryUnitMS
	if got := s.expire(); got.Dropped != 1 || got.More {
		t.Fatalf("got %+v, expected one record dropped", got)
	}
	s.expectGranted(s.reserve(second, "r2"), false, RecordExpired)
	s.expectRecorded(s.record(first, "r1", RecordAnswered), false, RecordExpired)
	s.timeMS += TombstoneMS + 2*expiryUnitMS
	s.expire()
	s.expectGranted(s.reserve(second, "r2"), true, RecordReserved)
}

func TestNotRunLeavesNoTombstone(t *testing.T) {
	s := newScript(t, Options{})
	s.reserve(first, "r1")
	s.record(first, "r1", RecordNotRun)
	s.timeMS += 20 * minute
	s.expire()
	s.expectGranted(s.reserve(second, "r2"), true, RecordReserved)
}

// A record that is reserved anew lives for its new retention.
func TestReservedAnewExpiresLater(t *testing.T) {
	s := newScript(t, Options{})
	s.reserve(first, "r1")
	s.record(first, "r1", RecordNotRun)
	s.timeMS += 9 * minute
	s.reserve(second, "r2")
	s.timeMS += 9 * minute
	s.expire()
	if got := s.machine.Lookup(booking).State; got != RecordReserved {
		t.Fatalf("record is in state %d before its retention ended", got)
	}
	s.timeMS += 2 * minute
	s.expire()
	s.expectGranted(s.reserve(second, "r2"), false, RecordExpired)
}

// A new leader whose clock is behind makes records live longer, never shorter;
// an Expire can't name a time that the state has not reached.
func TestClockGoesBack(t *testing.T) {
	s := newScript(t, Options{})
	begin := s.timeMS
	s.apply(Expire{})
	s.timeMS = begin - 60*minute
	s.reserve(first, "r1")
	if got := s.machine.TimeMS(); got != begin {
		t.Fatalf("state time is %d, expected %d", got, begin)
	}
	s.timeMS = begin + 5*minute
	s.apply(Expire{BeforeMS: begin + 600*minute})
	s.expectGranted(s.reserve(first, "r1"), true, RecordReserved)
}

// answer reserves a key, records an answer of 10 bytes and returns how much of
// it is kept.
func (s *script) answer(key string) int {
	s.t.Helper()
	k := Key{Key: key}
	body := []byte("0123456789")
	s.apply(Reserve{Key: k, Owner: first, RequestID: "r", RetentionMS: minute})
	s.apply(Record{Key: k, Owner: first, RequestID: "r", State: RecordAnswered, Answer: &Answer{Status: 200, Body: body}})
	got := s.machine.Lookup(k).Answer
	if !got.Truncated || got.Status != 200 || string(body) != "0123456789" {
		s.t.Fatalf("key %s: answer %+v", key, got)
	}
	return len(got.Body)
}

func TestAnswerLimits(t *testing.T) {
	s := newScript(t, Options{AnswerBytes: 8, AnswerTotalBytes: 10})
	for i, want := range []int{8, 2, 0} {
		if got := s.answer(string(rune('a' + i))); got != want {
			t.Errorf("answer %d: %d bytes are kept, expected %d", i, got, want)
		}
	}
	restored := New(s.machine.options)
	restored.Restore(s.machine.Snapshot())
	s.machine = restored
	if got := s.answer("d"); got != 0 {
		t.Errorf("after a restore %d bytes are kept, expected 0", got)
	}
	s.timeMS += 5 * minute
	s.expire()
	if got := s.answer("e"); got != 8 {
		t.Errorf("after expiry %d bytes are kept, expected 8", got)
	}
}

func TestRecordLimit(t *testing.T) {
	s := newScript(t, Options{RecordLimit: 1})
	s.apply(Reserve{Key: Key{Key: "other"}, Owner: first, RequestID: "r", RetentionMS: minute})
	if got := s.reserve(first, "r1"); got.Granted || !got.Full {
		t.Fatalf("got %+v, expected it to be full", got)
	}
	s.timeMS += 5 * minute
	s.expire()
	s.expectGranted(s.reserve(first, "r1"), true, RecordReserved)
}

func TestTombstoneLimit(t *testing.T) {
	s := newScript(t, Options{TombstoneLimit: 2})
	for _, key := range []string{"a", "b", "c"} {
		s.apply(Reserve{Key: Key{Key: key}, Owner: first, RequestID: "r", RetentionMS: minute})
		s.timeMS += 5 * minute
		s.expire()
	}
	for key, state := range map[string]RecordState{"a": RecordNone, "b": RecordExpired, "c": RecordExpired} {
		if got := s.machine.Lookup(Key{Key: key}).State; got != state {
			t.Errorf("key %s is in state %d, expected %d", key, got, state)
		}
	}
}

// A reservation that is sent again keeps its record for the retention from
// then on.
func TestResentReservationExpiresLater(t *testing.T) {
	s := newScript(t, Options{})
	s.reserve(first, "r1")
	s.timeMS += 9 * minute
	s.reserve(first, "r1")
	s.timeMS += 9 * minute
	s.expire()
	if got := s.machine.Lookup(booking).State; got != RecordReserved {
		t.Fatalf("record is in state %d before its retention ended", got)
	}
}

// A retention that is out of range is bounded; it must not overflow to the
// past.
func TestLongestRetention(t *testing.T) {
	s := newScript(t, Options{})
	s.apply(Reserve{Key: booking, Owner: first, RequestID: "r1", RetentionMS: math.MaxInt64})
	for _, step := range []struct {
		afterMS int64
		want    RecordState
	}{
		{MaxRetentionMS, RecordReserved},
		{2 * expiryUnitMS, RecordExpired},
	} {
		s.timeMS += step.afterMS
		s.expire()
		if got := s.machine.Lookup(booking).State; got != step.want {
			t.Fatalf("%d ms on it is in state %d, expected %d", step.afterMS, got, step.want)
		}
	}
}
