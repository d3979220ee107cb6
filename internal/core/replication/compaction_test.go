package replication

import "testing"

// A log that grows by few long entries must be compacted too, early enough that a replica with an empty disk
// is sent little besides the state, and not so early that snapshots cost more than the log.
func TestCompactionDue(t *testing.T) {
	limits := CompactionLimits{Entries: 1_000, MinBytes: 100, MaxBytes: 900}
	for _, c := range []struct {
		entries                   uint64
		entryBytes, snapshotBytes int
		want                      bool
	}{
		{0, 0, 0, false},
		{999, 99, 0, false},
		{1_000, 0, 0, true},
		{1, 100, 0, true},
		{1, 199, 200, false},
		{1, 200, 200, true},
		{1, 899, 10_000, false},
		{1, 900, 10_000, true},
	} {
		if got := limits.Due(c.entries, c.entryBytes, c.snapshotBytes); got != c.want {
			t.Errorf("%d entries with %d bytes, snapshot of %d bytes: got due %t, expected %t", c.entries, c.entryBytes, c.snapshotBytes, got, c.want)
		}
	}
}

// A peer with an empty log must get the snapshot rather than the longer entries that it covers, also where these
// are still kept; a peer that lacks little must not.
func TestShorterSnapshotIsPreferred(t *testing.T) {
	const entries, covered, dataBytes = 9, 7, 100
	l := newEntryLog(Bootstrap([]Member{member("a")}))
	for i := range uint64(entries) {
		l.push(Entry{Index: i + 1, Term: 1, Data: make([]byte, dataBytes)})
	}
	l.commit = covered
	if l.snapshotIsShorter(1) {
		t.Error("the empty snapshot of a new log was preferred")
	}
	l.compact(&Snapshot{Index: covered, Term: 1, Data: make([]byte, 2*dataBytes)}, entries, 1<<20)
	for first, want := range map[uint64]bool{0: false, 1: true, covered - 1: true, covered: false, covered + 1: false, entries + 1: false} {
		if got := l.snapshotIsShorter(first); got != want {
			t.Errorf("entries from %d on: got snapshot preferred %t, expected %t", first, got, want)
		}
	}
}

// The leader must not send a peer more than it takes in before the appends count as lost: it sent long entries
// again and again, and a peer with an empty disk didn't catch up.
func TestUnacknowledgedBytesAreBounded(t *testing.T) {
	const window, windowBytes, stable = 16, 1_000, 100
	for _, appendBytes := range []int{1, 300, 5_000} {
		p := newProgress(1, 0)
		p.state = progressReplicate
		send := func() {
			for p.canAppend(stable, window, windowBytes) {
				p.recordAppend(sentAppend{last: p.next, bytes: appendBytes}, 0)
			}
		}
		send()
		want := min(window, (windowBytes+appendBytes-1)/appendBytes)
		if len(p.inflight) != want {
			t.Errorf("appends of %d bytes: %d were sent without acknowledgement, expected %d", appendBytes, len(p.inflight), want)
		}
		p.recordMatch(1, 0)
		send()
		if len(p.inflight) != want || p.inflight[0].last != 2 {
			t.Errorf("appends of %d bytes: got %+v after an acknowledgement, expected %d from index 2 on", appendBytes, p.inflight, want)
		}
		p.startProbe(1)
		if p.inflightBytes != 0 {
			t.Errorf("appends of %d bytes: %d bytes are unacknowledged after the return to probing", appendBytes, p.inflightBytes)
		}
	}
}
