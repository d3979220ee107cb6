package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
	"waxwingcart/internal/core/routes"
)

// kind is a kind of call that a customer sends.
type kind struct {
	class     Class
	cost      float64
	perSecond float64
}

// playKinds plays kinds of calls from one customer at many entries, which renew their units every 350 ms, and
// returns the offered and admitted calls by kind and the units admitted per second.
func playKinds(kinds []kind, entries int, limit Limit, length time.Duration) (offered, admitted []int, perSecond float64) {
	random := rand.New(rand.NewPCG(3, 4))
	allocator := NewAllocator()
	limiters := make([]*Limiter, entries)
	for i := range limiters {
		limiters[i] = NewLimiter()
		limiters[i].Configure(0, 1, []routes.Customer{{Name: "c", Rate: limit.Rate, Burst: limit.Burst}})
	}
	renew := func(now time.Duration, i int, full bool) {
		renewal := limiters[i].Renewal(now)
		renewal.Entry = fmt.Sprint(i)
		if !full {
			renewal.Demand = nil
		}
		limiters[i].Grant(now, now, allocator.Renew(now, renewal))
	}
	offered, admitted = make([]int, len(kinds)), make([]int, len(kinds))
	const step = 5 * time.Millisecond
	units := 0.0
	for now := time.Duration(0); now < length; now += step {
		for i := range limiters {
			if (now/step+time.Duration(i))%70 == 0 {
				renew(now, i, true)
			}
		}
		for k, kind := range kinds {
			for n := random.Float64() + kind.perSecond*step.Seconds(); n >= 1; n-- {
				i := random.IntN(entries)
				l := limiters[i]
				offered[k]++
				if _, ok := l.Offer(now, "c", kind.class, kind.cost, random.Float64()); !ok {
					continue
				}
				ok := l.Take(now, "c", kind.cost)
				if !ok && l.RequestUnits(now, "c", kind.cost) {
					renew(now, i, false)
					ok = l.Take(now, "c", kind.cost)
				}
				if ok {
					admitted[k]++
					units += kind.cost
				}
			}
		}
	}
	return offered, admitted, units / length.Seconds()
}

var competing = []kind{
	{ClassPlain, 200, 60},
	{RankClass(0), 1100, 50},
	{RankClass(1), 2400, 70},
	{RankClass(2), 12_000, 40},
}

// One customer sends 3.5 times what its limit allows. Its urgent and small calls must not be refused for the
// units that its long ones take, and the long ones must not be starved.
func TestUrgentCallsGoFirstBeyondTheLimit(t *testing.T) {
	limit := Limit{Rate: 200_000, Burst: 200_000}
	offered, admitted, perSecond := playKinds(competing, 71, limit, 20*time.Second)
	for k, want := range []struct{ least, most float64 }{{0.9, 1}, {0.9, 1}, {0.3, 1}, {0.03, 0.3}} {
		if share := float64(admitted[k]) / float64(offered[k]); share < want.least || share > want.most {
			t.Errorf("class %d: %.2f of %d calls admitted, want %.2f to %.2f", competing[k].class, share, offered[k], want.least, want.most)
		}
	}
	// The burst comes on top of the rate.
	if highest := limit.Rate + limit.Burst/20; perSecond > 1.02*highest || perSecond < 0.9*limit.Rate {
		t.Errorf("%.0f units a second admitted of %.0f", perSecond, limit.Rate)
	}
}

// A customer within its limit, even if just, is never limited to shares.
func TestNoSharesWithinTheLimit(t *testing.T) {
	total := 0.0
	for _, k := range competing {
		total += k.cost * k.perSecond
	}
	offered, admitted, _ := playKinds(competing, 71, Limit{Rate: 1.2 * total, Burst: 1.2 * total}, 20*time.Second)
	for k := range competing {
		if admitted[k] < offered[k]*98/100 {
			t.Errorf("class %d: %d of %d calls admitted within the limit", competing[k].class, admitted[k], offered[k])
		}
	}
}

// Shares lapse without a leader, whose limits an entry then divides by itself.
func TestSharesLapse(t *testing.T) {
	l := NewLimiter()
	l.Configure(0, 1, []routes.Customer{{Name: "c", Rate: 100, Burst: 100}})
	l.Grant(0, 0, Grant{Entries: 1, Shares: map[string]Shares{"c": {0, 0, 0, 0.1}}})
	if _, ok := l.Offer(sharesLifetime-time.Millisecond, "c", RankClass(2), 1, 0.5); ok {
		t.Error("a call beyond its class's share was admitted")
	}
	if _, ok := l.Offer(sharesLifetime, "c", RankClass(2), 1, 0.5); !ok {
		t.Error("a share counts although it is too old")
	}
}

// For any demand: the shares fit what is available beside the least share of each class, a more urgent class has at least the
// share of a less urgent one, and more room admits no class less.
func TestSharesOfAnyDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var demand Demand
		total := 0.0
		for class := range demand {
			demand[class] = rapid.Float64Range(0, 1e6).Draw(t, "units")
			total += demand[class]
		}
		available := rapid.Float64Range(0, 2*total+1).Draw(t, "available")
		shares, limited := demand.shares(available)
		if limited != (total > available) {
			t.Fatalf("demand %v, available %.0f: limited %t", demand, available, limited)
		}
		if !limited {
			return
		}
		used, least := 0.0, math.Min(minShare, maxReserved*available/total)
		for class := range demand {
			used += shares[class] * demand[class]
			if shares[class] < least-1e-9 || shares[class] > 1+1e-9 {
				t.Fatalf("class %d has share %.3f", class, shares[class])
			}
			if class > 0 && demand[class] > 0 && demand[class-1] > 0 && shares[class] > shares[class-1]+1e-9 {
				t.Fatalf("shares %v of demand %v: a less urgent class has more", shares, demand)
			}
		}
		if used > available*(1+1e-6)+1 {
			t.Fatalf("shares %v of demand %v use %.0f of %.0f", shares, demand, used, available)
		}
		more, still := demand.shares(available * 1.5)
		for class := range demand {
			if still && more[class] < shares[class]-1e-9 {
				t.Fatalf("class %d: share %.3f with half more room, %.3f before", class, more[class], shares[class])
			}
		}
	})
}
