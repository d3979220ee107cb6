// Package rollout runs core/rollout: at the leading replica it commits orders and decisions
// and grants leases in the answers to draws, and at an entry it applies them and reports what
// it has counted.
package rollout

import (
	"math"
	"time"

	"waxwingcart/internal/core/rollout"
	"waxwingcart/internal/wire"
)

// maxCounts bounds the counts that one report may hold.
const maxCounts = 256

func reportToWire(service string, report rollout.Report) *wire.RolloutReport {
	message := &wire.RolloutReport{
		Service: service, Number: report.Number, Sequence: report.Sequence, Requests: report.Requests, Sent: report.Sent,
		Returned: report.Returned, Held: report.Held, Wanted: uint32(min(report.Wanted, math.MaxInt32)),
		Old: uint32(report.Old), Step: uint32(report.Step),
	}
	for key, counts := range report.Evidence {
		message.Counts = append(message.Counts, &wire.RolloutCounts{
			Target: key.Target, Route: key.Route, Responses: counts.Responses, Failures: counts.Failures, Ratios: counts.Ratios[:],
		})
	}
	return message
}

func reportFromWire(incarnation uint64, message *wire.RolloutReport) rollout.Report {
	report := rollout.Report{
		Number: message.Number, Incarnation: incarnation, Sequence: message.Sequence, Requests: message.Requests, Sent: message.Sent,
		Returned: message.Returned, Held: message.Held, Wanted: int(min(message.Wanted, math.MaxInt16)),
		Old: int(message.Old), Step: int(min(message.Step, math.MaxInt16)), Evidence: make(rollout.Evidence),
	}
	for i, counts := range message.Counts {
		if i == maxCounts {
			break
		}
		var taken rollout.Counts
		taken.Responses, taken.Failures = counts.Responses, min(counts.Failures, counts.Responses)
		copy(taken.Ratios[:], counts.Ratios)
		report.Evidence[rollout.Key{Target: counts.Target, Route: counts.Route}] = taken
	}
	return report
}

func leaseToWire(lease rollout.Lease) *wire.RolloutLease {
	return &wire.RolloutLease{
		Service: lease.Service, Target: lease.Target, Number: lease.Number, State: string(lease.State),
		Requests: uint32(lease.Requests), Servers: uint32(lease.Servers), Step: uint32(lease.Step), Final: lease.Final,
	}
}

func leaseFromWire(message *wire.RolloutLease) rollout.Lease {
	return rollout.Lease{
		Service: message.Service, Target: message.Target, Number: message.Number, State: rollout.State(message.State),
		Requests: int(min(message.Requests, math.MaxInt32)), Servers: int(min(message.Servers, math.MaxInt32)),
		Step: int(min(message.Step, math.MaxInt16)), Final: message.Final,
	}
}

// milliseconds returns a time in milliseconds as a duration.
func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
