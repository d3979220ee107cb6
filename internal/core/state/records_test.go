package state

import (
	"math"
	"testing"
)

const minute = 60_000

var (
	testKey = Key{Customer: "heirs", Service: "claims", Key: "k-1"}
	ownerA  = Owner{VM: "entry-1", Incarnation: 11}
	ownerB  = Owner{VM: "entry-2", Incarnation: 22}
)

// script applies commands to a machine at consecutive log indexes.
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
	return s.apply(Reserve{Key: testKey, Owner: owner, RequestID: requestID, RetentionMS: 10 * minute}).(ReserveResult)
}

func (s *script) record(owner Owner, requestID string, outcome RecordState) RecordOutcomeResult {
	c := RecordOutcome{Key: testKey, Owner: owner, RequestID: requestID, State: outcome}
	if outcome == RecordAnswered {
		c.Answer = &Answer{Status: 201, Body: []byte("booked by " + requestID)}
	}
	return s.apply(c).(RecordOutcomeResult)
}

func (s *script) expire() ExpireResult {
	return s.apply(Expire{BeforeMS: s.timeMS}).(ExpireResult)
}

func (s *script) expectGranted(result ReserveResult, granted bool, state RecordState) {
	s.t.Helper()
	if result.Granted != granted || result.Record.State != state {
		s.t.Fatalf("granted %t in state %d, expected %t in state %d", result.Granted, result.Record.State, granted, state)
	}
}

func (s *script) expectRecorded(result RecordOutcomeResult, accepted bool, state RecordState) {
	s.t.Helper()
	if result.Accepted != accepted || result.State != state {
		s.t.Fatalf("accepted %t in state %d, expected %t in state %d", result.Accepted, result.State, accepted, state)
	}
}

// Only the attempt that holds the reservation is granted it again, as after a lost
// response. A restarted owner, or another attempt of the same owner, is not.
func TestRepeatedReserve(t *testing.T) {
	s := newScript(t, Options{})
	s.expectGranted(s.reserve(ownerA, "r1"), true, RecordReserved)
	s.expectGranted(s.reserve(ownerA, "r1"), true, RecordReserved)
	s.expectGranted(s.reserve(ownerB, "r2"), false, RecordReserved)
	s.expectGranted(s.reserve(ownerA, "r3"), false, RecordReserved)
	restarted := Owner{VM: ownerA.VM, Incarnation: ownerA.Incarnation + 1}
	s.expectGranted(s.reserve(restarted, "r1"), false, RecordReserved)
	if got := s.machine.Lookup(testKey); got.Owner != ownerA || got.RequestID != "r1" {
		t.Fatalf("wrong holder: got %+v, expected ownerA with r1", got)
	}
}

func TestDigestMismatch(t *testing.T) {
	s := newScript(t, Options{})
	s.reserve(ownerA, "r1")
	other := Reserve{Key: testKey, Digest: [32]byte{1}, Owner: ownerA, RequestID: "r1"}
	result := s.apply(other).(ReserveResult)
	if !result.Mismatch || result.Granted {
		t.Fatalf("got %+v, expected a mismatch", result)
	}
}

// Answered and unknown records can be neither changed nor reserved again.
func TestFinalOutcomes(t *testing.T) {
	for _, outcome := range []RecordState{RecordAnswered, RecordUnknown} {
		s := newScript(t, Options{})
		s.reserve(ownerA, "r1")
		s.expectRecorded(s.record(ownerA, "r1", outcome), true, outcome)
		s.expectRecorded(s.record(ownerA, "r1", outcome), true, outcome)
		s.expectRecorded(s.record(ownerA, "r1", RecordNotRun), false, outcome)
		s.expectGranted(s.reserve(ownerB, "r2"), false, outcome)
		s.expectGranted(s.reserve(ownerA, "r1"), false, outcome)
	}
}

func TestNotRunAllowsNewReservation(t *testing.T) {
	s := newScript(t, Options{})
	s.reserve(ownerA, "r1")
	s.expectRecorded(s.record(ownerB, "r1", RecordNotRun), false, RecordReserved)
	s.expectRecorded(s.record(ownerA, "r1", RecordNotRun), true, RecordNotRun)
	// A delayed duplicate of the first Reserve must not reserve the key for an
	// attempt that was recorded as not run.
	s.expectGranted(s.reserve(ownerA, "r1"), false, RecordNotRun)
	s.expectGranted(s.reserve(ownerB, "r2"), true, RecordReserved)
	s.expectRecorded(s.record(ownerA, "r1", RecordAnswered), false, RecordReserved)
	s.expectRecorded(s.record(ownerB, "r2", RecordAnswered), true, RecordAnswered)
	if got := string(s.machine.Lookup(testKey).Answer.Body); got != "booked by r2" {
		t.Fatalf("stored body is %q, expected that of r2", got)
	}
}

// RecordOutcome is rejected without a reservation, and for a state that is no
// outcome.
func TestRecordWithoutOutcome(t *testing.T) {
	s := newScript(t, Options{})
	s.expectRecorded(s.record(ownerA, "r1", RecordAnswered), false, RecordNone)
	s.reserve(ownerA, "r1")
	for _, state := range []RecordState{RecordNone, RecordReserved, RecordExpired} {
		s.expectRecorded(s.record(ownerA, "r1", state), false, RecordReserved)
	}
}

// An expired record leaves a tombstone, which expires in turn.
func TestExpiry(t *testing.T) {
	s := newScript(t, Options{})
	s.reserve(ownerA, "r1")
	s.record(ownerA, "r1", RecordAnswered)
	s.timeMS += 10 * minute
	s.expire()
	s.expectGranted(s.reserve(ownerB, "r2"), false, RecordAnswered)
	s.timeMS += 2 * expiryUnitMS
	if got := s.expire(); got.Dropped != 1 || got.More {
		t.Fatalf("got %+v, expected one record dropped", got)
	}
	s.expectGranted(s.reserve(ownerB, "r2"), false, RecordExpired)
	s.expectRecorded(s.record(ownerA, "r1", RecordAnswered), false, RecordExpired)
	s.timeMS += TombstoneMS + 2*expiryUnitMS
	s.expire()
	s.expectGranted(s.reserve(ownerB, "r2"), true, RecordReserved)
}

func TestNotRunLeavesNoTombstone(t *testing.T) {
	s := newScript(t, Options{})
	s.reserve(ownerA, "r1")
	s.record(ownerA, "r1", RecordNotRun)
	s.timeMS += 20 * minute
	s.expire()
	s.expectGranted(s.reserve(ownerB, "r2"), true, RecordReserved)
}

// A record that is reserved again is kept for its new retention.
func TestNewReservationExtendsExpiry(t *testing.T) {
	s := newScript(t, Options{})
	s.reserve(ownerA, "r1")
	s.record(ownerA, "r1", RecordNotRun)
	s.timeMS += 9 * minute
	s.reserve(ownerB, "r2")
	s.timeMS += 9 * minute
	s.expire()
	if got := s.machine.Lookup(testKey).State; got != RecordReserved {
		t.Fatalf("record is in state %d before its retention ended", got)
	}
	s.timeMS += 2 * minute
	s.expire()
	s.expectGranted(s.reserve(ownerB, "r2"), false, RecordExpired)
}

// A new leader whose clock is behind can only extend the life of records, and an
// Expire can't drop records beyond the machine's time.
func TestTimeNeverDecreases(t *testing.T) {
	s := newScript(t, Options{})
	begin := s.timeMS
	s.apply(Expire{})
	s.timeMS = begin - 60*minute
	s.reserve(ownerA, "r1")
	if got := s.machine.TimeMS(); got != begin {
		t.Fatalf("machine time is %d, expected %d", got, begin)
	}
	s.timeMS = begin + 5*minute
	s.apply(Expire{BeforeMS: begin + 600*minute})
	s.expectGranted(s.reserve(ownerA, "r1"), true, RecordReserved)
}

// storedBytes reserves a key, records an answer with a body of 10 bytes and
// returns how many of them are stored.
func (s *script) storedBytes(key string) int {
	s.t.Helper()
	k := Key{Key: key}
	body := []byte("0123456789")
	s.apply(Reserve{Key: k, Owner: ownerA, RequestID: "r", RetentionMS: minute})
	s.apply(RecordOutcome{Key: k, Owner: ownerA, RequestID: "r", State: RecordAnswered, Answer: &Answer{Status: 200, Body: body}})
	got := s.machine.Lookup(k).Answer
	if !got.Truncated || got.Status != 200 || string(body) != "0123456789" {
		s.t.Fatalf("key %s: got answer %+v, expected status 200 and a truncated body", key, got)
	}
	return len(got.Body)
}

// Bodies are truncated to the limit of one answer and to what the total leaves.
// Restoring and expiring records keeps the total correct.
func TestAnswerLimits(t *testing.T) {
	s := newScript(t, Options{AnswerBytes: 8, AnswerTotalBytes: 10})
	for i, want := range []int{8, 2, 0} {
		if got := s.storedBytes(string(rune('a' + i))); got != want {
			t.Errorf("answer %d: %d bytes are stored, expected %d", i, got, want)
		}
	}
	restored := New(s.machine.options)
	restored.Restore(s.machine.Snapshot())
	s.machine = restored
	if got := s.storedBytes("d"); got != 0 {
		t.Errorf("after a restore %d bytes are stored, expected 0", got)
	}
	s.timeMS += 5 * minute
	s.expire()
	if got := s.storedBytes("e"); got != 8 {
		t.Errorf("after expiry %d bytes are stored, expected 8", got)
	}
}

func TestRecordLimit(t *testing.T) {
	s := newScript(t, Options{RecordLimit: 1})
	s.apply(Reserve{Key: Key{Key: "other"}, Owner: ownerA, RequestID: "r", RetentionMS: minute})
	if got := s.reserve(ownerA, "r1"); got.Granted || !got.Full {
		t.Fatalf("got %+v, expected Full", got)
	}
	s.timeMS += 5 * minute
	s.expire()
	s.expectGranted(s.reserve(ownerA, "r1"), true, RecordReserved)
}

func TestTombstoneLimit(t *testing.T) {
	s := newScript(t, Options{TombstoneLimit: 2})
	for _, key := range []string{"a", "b", "c"} {
		s.apply(Reserve{Key: Key{Key: key}, Owner: ownerA, RequestID: "r", RetentionMS: minute})
		s.timeMS += 5 * minute
		s.expire()
	}
	for key, state := range map[string]RecordState{"a": RecordNone, "b": RecordExpired, "c": RecordExpired} {
		if got := s.machine.Lookup(Key{Key: key}).State; got != state {
			t.Errorf("key %s is in state %d, expected %d", key, got, state)
		}
	}
}

// A repeated Reserve of the same attempt extends the record's expiry.
func TestRepeatedReserveExtendsExpiry(t *testing.T) {
	s := newScript(t, Options{})
	s.reserve(ownerA, "r1")
	s.timeMS += 9 * minute
	s.reserve(ownerA, "r1")
	s.timeMS += 9 * minute
	s.expire()
	if got := s.machine.Lookup(testKey).State; got != RecordReserved {
		t.Fatalf("record is in state %d before its retention ended", got)
	}
}

// A retention above the limit is lowered to it; the expiry must not overflow into
// the past.
func TestRetentionLimit(t *testing.T) {
	s := newScript(t, Options{})
	s.apply(Reserve{Key: testKey, Owner: ownerA, RequestID: "r1", RetentionMS: math.MaxInt64})
	for _, step := range []struct {
		afterMS int64
		want    RecordState
	}{
		{MaxRetentionMS, RecordReserved},
		{2 * expiryUnitMS, RecordExpired},
	} {
		s.timeMS += step.afterMS
		s.expire()
		if got := s.machine.Lookup(testKey).State; got != step.want {
			t.Fatalf("%d ms later the record is in state %d, expected %d", step.afterMS, got, step.want)
		}
	}
}
