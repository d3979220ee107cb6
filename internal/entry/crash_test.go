package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/crashguard"
)

// A server that turns a request away, or fails, has not begun an answer on its prompt: the
// parts stay under suspicion.
func TestRejectionAcquitsNoPart(t *testing.T) {
	for _, test := range []struct {
		status  int64
		suspect bool
	}{
		{http.StatusBadRequest, true},
		{http.StatusUnprocessableEntity, true},
		{http.StatusTemporaryRedirect, true},
		{http.StatusInternalServerError, true},
		{http.StatusNoContent, false},
		{0, false},
	} {
		engine := &versionEngine{version: "v1"}
		e := newTakeUpEntry(t, engine)
		p := crashguard.NewRequest(crashguard.Call{ID: "first", Service: "models", Parts: []string{"a", "own"}})
		sharing := crashguard.NewRequest(crashguard.Call{ID: "third", Service: "models", Parts: []string{"a", "own3"}, Target: "/other"})
		e.guard.Crashed(&p, crashguard.Attempt{Instance: "i-0", Version: "v1"}, true, false, e.now())
		time.Sleep(time.Millisecond)

		engine.rejects.Store(test.status)
		w := e.call("/public/1", "Id", "second", "Parts", "a own2")
		if engine.calls.Load() == 0 {
			t.Fatalf("status %d: the server got no request; the caller got %d", test.status, w.Code)
		}
		if got := e.guard.Suspicious(&sharing); got != test.suspect {
			t.Errorf("status %d of the server: under suspicion %t, want %t", test.status, got, test.suspect)
		}
	}
}

// A lookup that is not answered in time is not sent once more, to the same server, after it has
// been barred.
func TestBarredLookupIsNotHedged(t *testing.T) {
	e := newTakeUpEntry(t, &versionEngine{version: "v1"})
	call := crashguard.Call{ID: "first", Service: "models", Method: http.MethodGet, Target: "/records/1"}
	r := &run{entry: e, service: &fleet.Service{Name: "models"}, routed: &routedCall{guarded: crashguard.NewRequest(call)}}
	if !e.policy.takesWork(r, "i-0") {
		t.Fatal("the server does not take a sound lookup")
	}
	for i := range 9 {
		call.ID = fmt.Sprint("again-", i)
		again := crashguard.NewRequest(call)
		at := e.now()
		e.guard.Crashed(&again, crashguard.Attempt{Instance: fmt.Sprint("ended-", i), Version: "v1", Placed: at}, false, false, at)
		time.Sleep(time.Millisecond)
	}
	if verdict := e.guard.Check(&r.routed.guarded, []string{"v1"}); verdict.Allows("v1") {
		t.Fatal("the lookup is not barred")
	}
	if e.policy.takesWork(r, "i-0") {
		t.Error("a barred lookup may be sent to its server once more")
	}
}
