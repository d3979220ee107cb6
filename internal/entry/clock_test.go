package entry

import (
	"testing"
	"time"

	"waxwingcart/internal/bootclock"
	"waxwingcart/internal/core/quota"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/rpc"
)

// An entry whose VM was suspended no longer takes the list of backend servers from
// before as fresh, and accumulates units only as an entry without a grant does.
func TestSuspendedEntry(t *testing.T) {
	e := newStartingEntry(rpc.NewClient(""))
	at := bootclock.Now()
	e.clock = func() time.Duration { return at }
	e.applyList(nil, 1, e.now())
	e.quota.configure(e.now(), &routes.Table{Number: 1, Customers: []routes.Customer{{Name: "heirs", Rate: 1000, Burst: 1000}}})
	e.quota.limiter.Grant(e.now(), e.now(), quota.Grant{Entries: 1})
	takes := func() bool { return e.quota.limiter.Take(e.now(), "heirs", 1) }
	if e.directory.FreshFor(e.now()) <= 0 || takes() {
		t.Fatal("before the suspension the list is not fresh, or units were there without a grant of any")
	}
	at += quota.LeaseDuration + maxListAge
	if e.directory.FreshFor(e.now()) > 0 {
		t.Error("the list from before the suspension is taken as fresh")
	}
	if !takes() {
		t.Error("the entry still waits for units of a grant from before the suspension")
	}
}
