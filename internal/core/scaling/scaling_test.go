package scaling

import (
	"fmt"
	"testing"
	"time"
)

// cloud simulates a platform that starts and takes back servers.
type cloud struct {
	t       *testing.T
	now     time.Duration
	scaler  *Scaler
	spec    Spec
	servers map[pool]int
	// starting lists the servers that do not serve yet.
	starting []start
	// shortage is true while no reclaimable servers are available.
	shortage bool
	orders   int
	// cost is the sum of server seconds, weighted by price.
	cost float64
}

type start struct {
	at    time.Duration
	pool  pool
	count int
}

func newCloud(t *testing.T, each int) *cloud {
	c := &cloud{t: t, scaler: New(), servers: make(map[pool]int)}
	c.spec = Spec{Service: "models", Min: 1, Max: 6, Boot: 4 * time.Second, Slots: 18}
	for i := range 4 {
		name := fmt.Sprintf("zone-%d", i)
		c.spec.Zones = append(c.spec.Zones, Zone{Name: name, Price: 1})
		c.servers[pool{name, false}] = each
	}
	return c
}

func (c *cloud) run(until time.Duration, inFlight float64) {
	for ; c.now < until; c.now += time.Second {
		c.finishStarts()
		var list []Server
		for p, n := range c.servers {
			for range n {
				list = append(list, Server{Zone: p.zone, Reclaimable: p.reclaimable})
			}
			price := 1.0
			if p.reclaimable {
				price = 0.22
			}
			c.cost += price * float64(n)
		}
		for _, order := range c.scaler.Step(c.now, Observed{Spec: c.spec, Servers: list, Load: Load{InFlight: inFlight}}) {
			c.apply(order)
		}
	}
}

func (c *cloud) finishStarts() {
	var later []start
	for _, s := range c.starting {
		if c.now >= s.at {
			c.servers[s.pool] += s.count
			continue
		}
		later = append(later, s)
	}
	c.starting = later
}

func (c *cloud) apply(order Order) {
	c.orders++
	p := pool{order.Zone, order.Reclaimable}
	result := OrderResult{Order: order}
	expected := c.servers[p]
	for _, s := range c.starting {
		if s.pool == p {
			expected += s.count
		}
	}
	switch {
	case order.Count > expected && order.Reclaimable && c.shortage:
		result.Refused = true
	case order.Count > expected:
		c.starting = append(c.starting, start{c.now + c.spec.Boot, p, order.Count - expected})
	case order.Count < c.servers[p]:
		c.servers[p] = order.Count
	}
	c.scaler.Step(c.now, result)
}

func (c *cloud) total() (reclaimable, regular int) {
	for p, n := range c.servers {
		if p.reclaimable {
			reclaimable += n
		} else {
			regular += n
		}
	}
	return reclaimable, regular
}

// The regular servers at the start are replaced by reclaimable ones, and are
// released only once those serve.
func TestReclaimableServersTakeOver(t *testing.T) {
	c := newCloud(t, 3)
	c.run(3*time.Second, 75)
	if _, regular := c.total(); regular < 6 {
		t.Fatalf("%d regular servers are left before any replacement serves; load needs 6", regular)
	}
	c.run(12*time.Second, 75)
	if reclaimable, regular := c.total(); reclaimable != 16 || regular != 0 {
		t.Errorf("%d reclaimable and %d regular servers, want 16 and 0", reclaimable, regular)
	}
	if c.orders > 12 {
		t.Errorf("%d orders for 8 pools, expected at most 12", c.orders)
	}
}

// Load pattern: two zones lose their reclaimable servers while the platform has no
// replacements. Regular servers are ordered for the load, and released after the
// shortage.
func TestLostZonesAreReplaced(t *testing.T) {
	c := newCloud(t, 3)
	c.run(12*time.Second, 115)
	c.shortage = true
	c.servers[pool{"zone-0", true}] = 0
	c.servers[pool{"zone-1", true}] = 0
	c.run(20*time.Second, 115)
	reclaimable, regular := c.total()
	if reclaimable+regular < 10 {
		t.Errorf("%d reclaimable and %d regular servers for a load that needs 10", reclaimable, regular)
	}
	c.servers[pool{"zone-2", true}] = 0
	if reclaimable, regular := c.total(); reclaimable+regular < 10 {
		t.Errorf("%d reclaimable and %d regular servers after the loss of a third zone for a load that needs 10", reclaimable, regular)
	}
	c.run(21*time.Second, 115)
	c.shortage = false
	c.run(40*time.Second, 115)
	if reclaimable, regular := c.total(); reclaimable < 18 || regular != 0 {
		t.Errorf("%d reclaimable and %d regular servers after the shortage, expected at least 18 and 0", reclaimable, regular)
	}
}

// Load pattern: load doubles for a few seconds. Servers are added, and they are
// released only some time after the peak.
func TestPeaksAreFollowedAndHeld(t *testing.T) {
	c := newCloud(t, 3)
	c.run(12*time.Second, 100)
	c.run(18*time.Second, 220)
	c.run(24*time.Second, 60)
	if reclaimable, _ := c.total(); reclaimable < 24 {
		t.Errorf("%d reclaimable servers after a peak, expected at least 24", reclaimable)
	}
	c.run(150*time.Second, 60)
	if reclaimable, regular := c.total(); reclaimable < 10 || reclaimable > 12 || regular != 0 {
		t.Errorf("%d reclaimable and %d regular servers long after the peak, expected 10 to 12 and 0", reclaimable, regular)
	}
}

// The number of servers in a zone stays within its minimum and maximum.
func TestBoundsOfAZone(t *testing.T) {
	c := newCloud(t, 1)
	c.run(60*time.Second, 0)
	for _, zone := range c.spec.Zones {
		if n := c.servers[pool{zone.Name, true}] + c.servers[pool{zone.Name, false}]; n != 1 {
			t.Errorf("%s has %d servers without load, want 1", zone.Name, n)
		}
	}
	c.run(90*time.Second, 10_000)
	for _, zone := range c.spec.Zones {
		if n := c.servers[pool{zone.Name, true}] + c.servers[pool{zone.Name, false}]; n > 6 {
			t.Errorf("%s has %d servers, want at most 6", zone.Name, n)
		}
	}
}

// Prompt work that the engines can't process in time needs more engines, even with
// few requests in flight.
func TestPromptWorkAsksForServers(t *testing.T) {
	load := Load{InFlight: 10, Work: 250_000, Rate: 55_000}
	if need := load.need(64); need < 5 || need > 7 {
		t.Errorf("need %g servers for 250,000 tokens per second at 55,000 each, expected 5 to 7", need)
	}
	if need := (Load{InFlight: 10}).need(64); need != 1 {
		t.Errorf("need %g servers for 10 requests, expected 1", need)
	}
}
