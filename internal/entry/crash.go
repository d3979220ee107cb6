package entry

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/core/quarantine"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/crashguard"
	"waxwingcart/internal/wire"
)

// reasonCrashingPart means that backend servers crash under a part of the prompt.
// reasonCrashingRequest means that they crash under the request itself.
const (
	reasonCrashingPart    request.Reason = "crashing-part"
	reasonCrashingRequest request.Reason = "crashing-request"
)

// maxBrokenOff is the number of servers that may break a request off before its first event
// while it or a part of its prompt is under suspicion.
const maxBrokenOff = 2

func newCrashGuard(e *Entry) *crashguard.Guard {
	return crashguard.New(crashguard.Options{
		Now: e.now, Seed: e.incarnation, Logger: e.logger, Registry: e.opts.Registry,
		Send: func(news *wire.News) { e.broadcaster.addAlone(news) }, Address: e.opts.PeerAddress,
		Peers: func() []string { return e.broadcaster.peers() }, Listens: e.backends.Listens,
		Peer: func(peer string) wire.Peer { return wire.NewPeerProtobufClient("http://"+peer, e.opts.Client) },
		Server: func(instance string) (string, bool) {
			server := e.directory.Server(instance)
			if server == nil {
				return "", false
			}
			return server.Address, true
		},
		Leaving: func(instance string) bool {
			e.policy.mu.Lock()
			defer e.policy.mu.Unlock()
			return e.policy.placer.IsLeaving(instance)
		},
		Ended: func(instance string) {
			e.policy.mu.Lock()
			defer e.policy.mu.Unlock()
			e.policy.placer.Restarted(instance)
		},
	})
}

// catchUpBars asks another entry what is barred. Calls that arrive while this entry starts
// wait for the answer.
func (e *Entry) catchUpBars(ctx context.Context) {
	e.guard.CatchUp(ctx)
	e.barsUnknown.Store(false)
	e.signalInitialized()
}

// Bars returns the prompt parts that this entry knows to be barred.
func (s *PeerService) Bars(context.Context, *wire.BarsRequest) (*wire.BarsResponse, error) {
	if s.entry.barsUnknown.Load() {
		return nil, twirp.NewError(twirp.Unavailable, "the entry starts and has not asked for bars itself")
	}
	return s.entry.guard.Bars(), nil
}

// guarded returns a routed call as the quarantine sees it.
func (r *run) guarded() crashguard.Request {
	call := &r.routed.call
	var parts []string
	for _, part := range call.Prompt.Parts {
		parts = append(parts, part.ID)
	}
	return crashguard.NewRequest(crashguard.Call{
		ID: call.RequestID, Service: r.service.Name, Model: call.Prompt.Model, Customer: r.customer.Name, Parts: parts,
		Method: r.message.method, Host: r.routed.host, Target: r.message.path, Body: r.message.body,
	})
}

// Sight says what this entry can say of a backend server.
func (s *PeerService) Sight(ctx context.Context, req *wire.SightRequest) (*wire.SightResponse, error) {
	return s.entry.guard.Sight(ctx, req.Instance), nil
}

// noteBrokenOff reports an attempt that its server broke off before the first event.
func (r *run) noteBrokenOff(a *attempt, failure request.Failure) {
	broken := failure.Phase == request.PhaseHandedOver && !failure.Silent && !failure.StreamGone && !failure.Answered
	if a == nil || !broken || a.tokens > 0 || r.routed == nil {
		return
	}
	r.routed.brokenOff++
	r.entry.guard.BrokenOff(&r.routed.guarded, crashguard.Attempt{
		Instance: a.server.Name, Address: a.server.Address, Version: a.version, Placed: a.started,
	}, failure.Status != 0)
}

// noteWholeAnswer reports a whole answer with success. Others may have been written before
// anything was done with the prompt.
func (r *run) noteWholeAnswer(a *attempt) {
	if r.routed != nil && a.tokens == 0 && a.answer != nil && a.answer.status/100 == http.StatusOK/100 {
		r.entry.guard.Begun(&r.routed.guarded, a.version)
	}
}

// mayCrash reports whether the call must not be tried again: servers broke it off, and
// ended under it or a part of its prompt, and no answer has begun on that since.
func (r *run) mayCrash() bool {
	return r.routed != nil && r.routed.brokenOff >= maxBrokenOff && r.entry.guard.Suspicious(&r.routed.guarded)
}

// quarantineRefusal refuses a call that is barred at all versions.
func quarantineRefusal(verdict quarantine.Verdict) request.NoServer {
	refusal := request.NoServer{Reason: reasonCrashingPart, RetryAfter: addJitter(verdict.RetryAfter)}
	if verdict.Own {
		refusal.Reason = reasonCrashingRequest
	}
	return refusal
}

// quarantined returns the verdict on a routed call at the versions where it may be placed.
// The caller holds mu.
func (p *policy) quarantined(r *run) (verdict quarantine.Verdict, everywhere bool) {
	versions := p.placer.Versions(r.service.Name)
	if r.routed.pinned {
		versions = []string{r.routed.version}
	}
	verdict = p.entry.guard.Check(&r.routed.guarded, versions)
	return verdict, len(versions) > 0 && len(verdict.Barred) == len(versions)
}
