package replica

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/quota"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/core/serverlimit"
	"waxwingcart/internal/wire"
)

// drawFleet is a leader's limits and the limiters of many entries.
type drawFleet struct {
	now      time.Duration
	limits   *limits
	limiters []*quota.Limiter
	versions []uint64
	bytes    int
}

func newDrawFleet(entries, customers int) *drawFleet {
	f := &drawFleet{limits: newLimits(), versions: make([]uint64, entries)}
	var list []routes.Customer
	for i := range customers {
		list = append(list, routes.Customer{Name: fmt.Sprintf("customer-%d", i), Rate: 100_000, Burst: 100_000})
	}
	for range entries {
		limiter := quota.NewLimiter()
		limiter.Configure(0, 7, list)
		f.limiters = append(f.limiters, limiter)
	}
	return f
}

// draw sends one draw over the wire's format.
func (f *drawFleet) draw(t testing.TB, i int) {
	request := codec.RenewalToWire(f.limiters[i].Renewal(f.now))
	request.Process, request.PeersVersion = fmt.Sprint("e", i), f.versions[i]
	f.bytes += proto.Size(request)
	grant, _, ok := f.limits.renew(f.now, 1, codec.RenewalFromWire(request), serverlimit.Report{})
	if !ok {
		t.Fatal("the leader refused a draw")
	}
	response := codec.GrantToWire(grant)
	peer := &wire.EntryPeer{Address: fmt.Sprintf("10.1.%d.%d:7060", i/250, i%250), Zone: "kochi-a"}
	response.Peers, response.PeersVersion = f.limits.updatePeer(f.now, request.Process, peer, request.PeersVersion)
	f.bytes += proto.Size(response)
	f.versions[i] = response.PeersVersion
	f.limiters[i].Grant(f.now, f.now, codec.GrantFromWire(response))
}

// In a fleet of 300 entries and 40 customers nearly every call needs a draw. One that only asks for a
// call's units carries neither the limits nor the entries that the other side has.
func TestDrawOfOneCallIsSmall(t *testing.T) {
	const maxBytes = 400
	f := newDrawFleet(300, 40)
	for range 2 {
		for i := range f.limiters {
			f.draw(t, i)
		}
	}
	f.now, f.bytes = 100*time.Millisecond, 0
	f.limiters[3].Offer(f.now, "customer-5", quota.ClassPlain, 1000, 0)
	if f.limiters[3].Take(f.now, "customer-5", 1000) || !f.limiters[3].RequestUnits(f.now, "customer-5", 1000) {
		t.Fatal("the call needs no units")
	}
	f.draw(t, 3)
	if !f.limiters[3].Take(f.now, "customer-5", 1000) {
		t.Error("the call got no units")
	}
	if f.bytes > maxBytes {
		t.Errorf("a draw for one call takes %d bytes, want at most %d", f.bytes, maxBytes)
	}
}

// A new leader gets the limits with the second draw at the latest, and each entry gets the list of
// entries whenever it has changed.
func TestNewLeaderGetsLimits(t *testing.T) {
	f := newDrawFleet(3, 2)
	for range 2 {
		for i := range f.limiters {
			f.draw(t, i)
		}
	}
	f.limits = newLimits()
	f.now = time.Second
	f.draw(t, 0)
	if !f.limiters[0].LeaderLacksLimits() {
		t.Error("the entry doesn't know that the new leader lacks the limits")
	}
	f.draw(t, 0)
	f.limiters[0].Offer(f.now, "customer-1", quota.ClassPlain, 1000, 0)
	f.limiters[0].RequestUnits(f.now, "customer-1", 1000)
	f.draw(t, 0)
	if !f.limiters[0].Take(f.now, "customer-1", 1000) {
		t.Error("the new leader grants nothing")
	}
	version := f.versions[0]
	f.draw(t, 1)
	f.draw(t, 0)
	if f.versions[0] == version {
		t.Error("the entry does not have the list with another entry")
	}
	list, again := f.limits.updatePeer(f.now, "e0", &wire.EntryPeer{Address: "10.1.0.0:7060", Zone: "kochi-a"}, f.versions[0])
	if list != nil || again != f.versions[0] {
		t.Error("an unchanged list was sent again")
	}
	f.now += 2 * peerLifetime
	list, _ = f.limits.updatePeer(f.now, "e0", &wire.EntryPeer{Address: "10.1.0.0:7060", Zone: "kochi-a"}, f.versions[0])
	if len(list) != 1 {
		t.Errorf("got %d entries after all others had ended, want 1", len(list))
	}
}

// A leader of a previous version doesn't say which limits it has. It gets them with each draw, and no draw
// follows another at once.
func TestLeaderOfPreviousVersion(t *testing.T) {
	f := newDrawFleet(1, 2)
	for range 5 {
		f.now += time.Second
		renewal := f.limiters[0].Renewal(f.now)
		if len(renewal.Limits) != 2 {
			t.Fatalf("a draw holds %d limits, want 2", len(renewal.Limits))
		}
		f.limiters[0].Grant(f.now, f.now, quota.Grant{Entries: 1})
		if f.limiters[0].LeaderLacksLimits() {
			t.Fatal("another draw would follow at once")
		}
	}
}

// BenchmarkDraw shows how the leader's work for a draw grows with the number of entries.
func BenchmarkDraw(b *testing.B) {
	for _, entries := range []int{6, 60, 300, 1000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			f := newDrawFleet(entries, 40)
			for range 2 {
				for i := range f.limiters {
					f.draw(b, i)
				}
			}
			b.ResetTimer()
			for i := range b.N {
				f.now += time.Millisecond
				f.draw(b, i%entries)
			}
		})
	}
}
