package entry

import (
	"time"

	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/quarantine"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/room"
	"waxwingcart/internal/wire"
)

// reasonNoRoom means that the call would not begin in time at any server, or that more urgent calls lack room.
const reasonNoRoom request.Reason = "no-room"

func newRoom(e *Entry) *room.Room {
	if e.opts.Routed == nil || !e.opts.Routed.ContendedCapacity {
		return nil
	}
	return room.New(room.Options{
		Now: e.now, Seed: e.incarnation, Logger: e.logger, Registry: e.opts.Registry, Entries: e.quota.entries,
		Send: func(prices []*wire.CapacityPrice) {
			e.broadcaster.add(false, func(w *wire.News) { w.Prices = append(w.Prices, prices...) })
		},
	})
}

// submitRouted admits a routed call, at once unless capacity is insufficient. Calls that take a stream up go to the
// servers of its version, and are not refused here.
func (p *policy) submitRouted(r *run) {
	if p.entry.room == nil || r.spec.TakesUp {
		r.post(request.Admitted{})
		return
	}
	route := r.routed.route
	latest := placement.MaxStartDelay(route.Stream, route.FirstTarget, route.GapTarget, r.deadline-p.entry.now())
	target := route.FirstTarget
	if target <= 0 {
		target = latest
	}
	r.routed.roomID = p.entry.room.Submit(room.Call{
		RequestID: r.id, Customer: r.customer.Name, Service: r.service.Name, Kind: route.Name, Rank: r.routed.priority,
		Target: target, Deadline: r.deadline, Latest: latest,
		Hash: func() uint64 {
			return uint64(quarantine.NewWhole(r.customer.Name, r.message.method, r.routed.host, r.message.path, r.message.body))
		},
		Look: func(enough time.Duration) (placement.Contention, bool) { return p.contention(r, enough) },
		Done: func(v room.Verdict) { p.roomDecided(r, v) },
	})
}

// contention predicts when the call begins. The caller doesn't hold mu.
func (p *policy) contention(r *run, enough time.Duration) (placement.Contention, bool) {
	entries := p.entry.quota.entries()
	p.mu.Lock()
	defer p.mu.Unlock()
	verdict, _ := p.quarantined(r)
	return p.placer.Contention(p.entry.now(), &placement.Request{
		Service: r.service.Name, Size: r.routed.size, Barred: verdict.Barred, Rank: r.routed.priority,
	}, enough, entries)
}

// roomDecided passes a decision to the call. Refused work counts as load, so that more servers are ordered.
func (p *policy) roomDecided(r *run, v room.Verdict) {
	if !v.Refused {
		r.routed.verdict.Store(&v)
		r.post(request.Admitted{})
		return
	}
	p.mu.Lock()
	p.placer.AddWork(p.entry.now(), r.service.Name, v.Work)
	p.mu.Unlock()
	r.post(request.Refused{Reason: reasonNoRoom, RetryAfter: v.RetryAfter})
}

// contended reports whether the call's service lacks room for some calls, and gives the call the rank with which it goes.
func (r *run) contended() bool {
	v := r.routed.verdict.Load()
	if v == nil {
		return false
	}
	if v.Urgent {
		r.routed.priority = 0
	}
	return v.Contended
}

// roomBegan reports once that the call's answer has begun at its first server.
func (r *run) roomBegan() {
	v := r.routed.verdict.Load()
	if v == nil || v.WentAt == 0 || v.Urgent || r.req.Attempts() > 1 || r.routed.roomBegan {
		return
	}
	r.routed.roomBegan = true
	r.entry.room.Began(r.service.Name, r.routed.priority, *v)
}
