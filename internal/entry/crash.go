package entry

import (
	"context"
	"strings"
	"time"

	"waxwingcart/internal/core/request"
)

const (
	// crashProbeTimeout bounds the connection that shows whether a server still listens.
	crashProbeTimeout = 150 * time.Millisecond
	// maxLoggedParts and maxLoggedPart bound the parts of a prompt in a log line, in parts
	// and in bytes of a part's ID.
	maxLoggedParts = 8
	maxLoggedPart  = 24
)

// brokenOff is an attempt that its server broke off before the first event.
type brokenOff struct {
	run     *run
	server  string
	address string
	version string
	// head is true if the head of the answer had arrived.
	head   bool
	waited time.Duration
}

// noteBrokenOff finds out whether a server that broke off an attempt before its first
// event has ended, if the prompt has parts that other requests share.
func (r *run) noteBrokenOff(a *attempt, failure request.Failure) {
	broken := failure.Phase == request.PhaseHandedOver && !failure.Silent && !failure.StreamGone && !failure.Answered
	if a == nil || !broken || a.tokens > 0 || r.routed == nil || len(r.routed.size.Parts) == 0 {
		return
	}
	b := brokenOff{
		run: r, server: a.server.Name, address: a.server.Address, version: a.version,
		head: failure.Status != 0, waited: r.entry.now() - a.started,
	}
	go b.probe()
}

// probe logs whether the server still listens.
func (b brokenOff) probe() {
	e := b.run.entry
	listens := e.backends.Listens(context.Background(), b.address, crashProbeTimeout)
	e.logger.Info().Str("step", "broken off").Str("request", b.run.id).Str("server", b.server).Str("peer", b.address).
		Str("version", b.version).Str("model", b.run.routed.call.Prompt.Model).Str("parts", b.run.loggedParts()).
		Bool("head", b.head).Int64("waited_ms", b.waited.Milliseconds()).Bool("listens", listens).
		Msg("a backend server broke off an attempt before its first event")
}

// loggedParts returns the first shared parts of the prompt.
func (r *run) loggedParts() string {
	var ids []string
	parts := r.routed.call.Prompt.Parts
	for _, part := range parts[:min(len(parts)-1, maxLoggedParts)] {
		ids = append(ids, part.ID[:min(len(part.ID), maxLoggedPart)])
	}
	return strings.Join(ids, ",")
}
