package intake

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testNow = time.Minute

// holder returns a body that arrives at a sufficient rate.
func holder(id uint64, group string, kB int64, age time.Duration) Holder {
	return Holder{ID: id, Group: group, Bytes: kB << 10, Arrived: 1 << 20, Since: testNow - age, Last: testNow}
}

// stalled returns the holder without a byte for a time.
func stalled(h Holder, since time.Duration) Holder {
	h.Last = testNow - since
	return h
}

// Guards against one caller's many requests that displace those of the others: stalled
// bodies go first, then the newest of the group that holds most, and small ones last.
func TestVictims(t *testing.T) {
	slow := holder(4, "a", 100, 10*time.Second)
	slow.Arrived = 10 * MinRate / 2
	answer := holder(6, "b", 500, time.Second)
	answer.Kind = KindAnswer
	for _, test := range []struct {
		name    string
		holders []Holder
		needKB  int64
		want    string
	}{
		{"stalled before newest", []Holder{holder(1, "a", 100, time.Second), stalled(holder(2, "b", 100, 5*time.Second), 2*time.Second)}, 50, "2:stalled"},
		{"longest stall first", []Holder{stalled(holder(1, "a", 100, time.Minute), 2*time.Second), stalled(holder(2, "a", 100, time.Minute), 3*time.Second)}, 50, "2:stalled"},
		{"slow before newest", []Holder{slow, holder(5, "a", 100, time.Second)}, 50, "4:slow"},
		{"largest group, newest", []Holder{holder(1, "a", 100, 3*time.Second), holder(2, "a", 100, 2*time.Second), holder(3, "b", 100, time.Second)}, 50, "2:share"},
		{"small ones last", []Holder{holder(1, "a", 100, 3*time.Second), holder(2, "a", 1, time.Millisecond)}, 50, "1:share"},
		{"answer that is read stays", []Holder{answer, holder(1, "a", 10, time.Second)}, 1000, "1:share"},
		{"answer that nobody reads", []Holder{stalled(answer, 2*time.Second), holder(1, "a", 100, time.Second)}, 50, "6:stalled"},
		{"nothing is needed", []Holder{stalled(holder(1, "a", 100, time.Minute), time.Minute)}, 0, ""},
	} {
		got := ""
		for _, victim := range Victims(testNow, test.holders, test.needKB<<10) {
			got += fmt.Sprintf("%d:%s", victim.ID, victim.Cause)
		}
		if got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

// Enough is freed if the bodies hold enough, nobody gives way twice or without need, and
// a caller below the mean share never gives way to one that holds more and does not stall.
func TestVictimsFreeEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var holders []Holder
		groups, total := make(map[string]int64), int64(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "holders") {
			h := holder(uint64(i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "group"), rapid.Int64Range(1, 500).Draw(t, "kB"),
				time.Duration(rapid.IntRange(0, 30_000).Draw(t, "age"))*time.Millisecond)
			if rapid.Bool().Draw(t, "stalls") {
				h = stalled(h, time.Duration(rapid.IntRange(0, 5_000).Draw(t, "stall"))*time.Millisecond)
			}
			holders = append(holders, h)
			groups[h.Group] += h.Bytes
			total += h.Bytes
		}
		need := rapid.Int64Range(0, total+1).Draw(t, "need")
		seen, freed := make(map[uint64]bool), int64(0)
		for _, victim := range Victims(testNow, holders, need) {
			h := holders[victim.ID]
			if seen[victim.ID] || freed >= need {
				t.Fatalf("%d gave way twice or without need", victim.ID)
			}
			seen[victim.ID] = true
			freed += h.Bytes
			if victim.Cause == CauseShare {
				for group, bytes := range groups {
					large := false
					for _, other := range holders {
						large = large || !seen[other.ID] && other.Group == group && other.Bytes >= total/int64(len(holders))/smallPart
					}
					if bytes > groups[h.Group] && large {
						t.Fatalf("%d of group %s gave way before group %s, which holds more", victim.ID, h.Group, group)
					}
				}
			}
			groups[h.Group] -= h.Bytes
		}
		if freed < min(need, total) {
			t.Fatalf("%d bytes were freed of %d, want %d", freed, total, need)
		}
	})
}

// The limits of connections leave descriptors for the process, also with the ports of
// both roles, and a process with many descriptors keeps its own limits.
func TestConnections(t *testing.T) {
	const descriptors = 3075
	process := Process{Descriptors: descriptors}
	sum := process.Connections(PortMain, 4096) + process.Connections(PortPeers, 4096) + 3*process.Connections(PortOther, 4096)
	if left := descriptors - sum; left < descriptors*3/16 {
		t.Errorf("%d descriptors are left of %d", left, descriptors)
	}
	if got := (Process{Descriptors: 1 << 20}).Connections(PortMain, 4096); got != 4096 {
		t.Errorf("got %d connections with many descriptors, want the limit of 4096", got)
	}
}

// The address with most idle connections loses its oldest one, so that a crowd at one
// address does not displace the others' connections.
func TestOldest(t *testing.T) {
	idle := []Connection{{ID: 1, Address: "other", Since: 1}, {ID: 2, Address: "crowd", Since: 3}, {ID: 3, Address: "crowd", Since: 2}}
	if got := Oldest(idle); got != 2 {
		t.Errorf("got connection %d, want the crowd's oldest", got)
	}
	if got := Oldest(nil); got >= 0 {
		t.Errorf("got %d without idle connections", got)
	}
}

// The bounds of the deployments' VMs leave memory for the heap and descriptors for files, whatever all callers do at
// once.
func TestBoundsFitTheVM(t *testing.T) {
	const (
		// heapPart and programMB are what the heap and the program's own pages take.
		heapPart, programMB = 0.7, 15
		reserved            = 200
	)
	for _, process := range []Process{
		{144, 3075}, {160, 4100}, {184, 4100}, {256, 4096}, {280, 4096}, {284, 4100}, {424, 10250},
	} {
		main := process.Connections(PortMain, 4096)
		unread := int64(main+process.Requests())*BaseBuffer*kernelFactor + process.RaisedSize() + int64(process.Backlog(PortMain))*BaseBuffer*kernelFactor
		left := int64((1-heapPart)*float64(process.MemoryMB)) - programMB
		if unread > left<<20 {
			t.Errorf("%d MB: %d MB may lie unread, %d MB are left", process.MemoryMB, unread>>20, left)
		}
		if sockets := main + process.Requests(); sockets > int(process.Descriptors)-reserved {
			t.Errorf("%d descriptors: %d callers and requests", process.Descriptors, sockets)
		}
	}
}
