package entry

import (
	"time"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/membership"
	"waxwingcart/internal/core/migration"
	"waxwingcart/internal/core/request"
)

// defaultNotice is the assumed time until a leaving VM is reclaimed if no
// notice gave one.
const defaultNotice = 20 * time.Second

// exportOverhead is the time that an export takes in addition to the transfer
// of its bytes.
const exportOverhead = 50 * time.Millisecond

// moveStreams decides for each stream on a leaving VM whether it finishes
// there, moves with its KV cache, or is generated again elsewhere.
func (e *Entry) moveStreams(vm string) {
	config := e.config.inForce()
	if config == nil {
		return
	}
	left := e.timeLeft(vm)
	for i := range config.BackendServers {
		server := &config.BackendServers[i]
		service := config.services[server.Service]
		if server.VM == vm && service != nil && service.Kind == fleet.ServiceModel {
			e.moveServerStreams(config, server, left)
		}
	}
}

// timeLeft returns the time until a VM is reclaimed.
func (e *Entry) timeLeft(vm string) time.Duration {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	for _, member := range e.members.table.Members() {
		if member.VM == vm && member.Kind == membership.KindBackend && member.DeadlineMS > 0 {
			return max(time.Until(time.UnixMilli(member.DeadlineMS)), 0)
		}
	}
	return defaultNotice
}

// moveServerStreams plans the moves of one engine's streams and starts them.
func (e *Entry) moveServerStreams(config *configuration, server *fleet.BackendServer, timeLeft time.Duration) {
	class := classOf(config, server.Class)
	runs := make(map[string]*run)
	var streams []migration.Stream
	e.forEachRun(func(r *run) {
		position := r.position.Load()
		if position == nil || position.Server != server.Name || r.service.Kind != fleet.ServiceModel {
			return
		}
		runs[r.id] = r
		streams = append(streams, r.migrationStream(class))
	})
	if len(streams) == 0 {
		return
	}
	policy := config.PolicyFor(server.Service, "", e.opts.Zone)
	plan := migration.NewPlan(streams, migration.Options{
		TimeLeft:             timeLeft,
		ExportBytesPerSecond: e.exportBandwidth(class),
		ExportOverhead:       exportOverhead,
		Disabled:             !policy.Migration,
	})
	e.logger.Info().Str("step", "migrate").Str("peer", server.Address).Int("streams", len(streams)).Int64("left_ms", timeLeft.Milliseconds()).
		Int("recomputed_tokens", plan.RecomputedTokens).Int("baseline_tokens", plan.BaselineTokens).Msg("planned how to move the streams of a leaving backend server")
	for _, decision := range plan.Decisions {
		runs[decision.Stream].startMove(server.Name, decision)
	}
}

func classOf(config *configuration, name string) *fleet.MachineClass {
	for i := range config.Classes {
		if config.Classes[i].Name == name {
			return &config.Classes[i]
		}
	}
	return &fleet.MachineClass{}
}

// exportBandwidth returns this entry's share of an engine's export bandwidth,
// in bytes per second. The other entries export their streams at the same
// time.
func (e *Entry) exportBandwidth(class *fleet.MachineClass) float64 {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	return class.ExportBytesPerSecond / float64(max(len(e.members.table.Entries("")), 1))
}

// migrationStream describes the request's stream for the migration plan.
func (r *run) migrationStream(class *fleet.MachineClass) migration.Stream {
	done := int(r.delivered.Load())
	rate := class.TokensPerSecond / float64(max(class.Slots, 1))
	if elapsed := (r.entry.now() - r.arrived).Seconds(); done > 1 && elapsed > 0 {
		rate = float64(done) / elapsed
	}
	return migration.Stream{
		ID:              r.id,
		PromptTokens:    r.size.PromptTokens,
		DoneTokens:      done,
		TokensLeft:      max(r.size.OutputTokens-done, 0),
		TokensPerSecond: rate,
		ExportBytes:     int64(class.KVBytesPerToken) * int64(r.size.PromptTokens+done),
		KVBytesPerToken: int64(class.KVBytesPerToken),
	}
}

// startMove counts one decision of a migration plan and carries it out when it
// is due.
func (r *run) startMove(server string, decision migration.Decision) {
	r.entry.metrics.streamMoves.WithLabelValues(string(decision.Action)).Inc()
	if decision.Action == migration.Finish {
		return
	}
	time.AfterFunc(decision.Start, func() {
		move := request.Move{Server: server, Export: decision.Action == migration.Export}
		if move.Export {
			target, ok := r.entry.policy.chooseServer(r, []string{server})
			move.Export, move.Target = ok, target.Server
		}
		r.post(move)
	})
}
