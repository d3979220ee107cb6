package replica

import (
	"testing"
	"time"
)

// An entry that restarts with an older revision in force does not have the
// newer one that it acknowledged before.
func TestRestartedEntryIsPending(t *testing.T) {
	a := newAcks()
	now := time.Unix(1000, 0)
	a.put("e1", "kochi-a", 7, now)
	a.put("e1", "kochi-a", 5, now.Add(time.Second))
	inForce, pending, _ := a.zones([]string{"kochi-a"}, 7, now.Add(time.Second))
	if len(inForce) != 0 || len(pending) != 1 {
		t.Errorf("got revision 7 in force in %v and pending in %v, want it pending", inForce, pending)
	}
}
