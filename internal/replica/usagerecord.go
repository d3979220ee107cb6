package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"waxwingcart/internal/core/state"
	"waxwingcart/internal/core/usage"
)

const (
	// usageCustomer is the customer and service of the records of usage reports.
	// It can't be a customer's name, as names must not contain a slash.
	usageCustomer = "/usage"
	// usageRetention is how long a report's counts are kept: longer than any
	// leader tries to report a window.
	usageRetention = 5 * time.Minute
)

// commitUsage commits a report's counts before they are first sent, and returns
// the counts that were committed first for the window. All leaders use the same
// owner, so that a new leader can complete the record that another one reserved.
func (r *Replica) commitUsage(ctx context.Context, report usage.Report) (usage.Report, error) {
	window := strconv.FormatUint(report.Window, 10)
	key := state.Key{Customer: usageCustomer, Service: usageCustomer, Key: window}
	owner := state.Owner{VM: usageCustomer, Incarnation: 1}
	reserve := state.Reserve{Key: key, Owner: owner, RequestID: "window-" + window, RetentionMS: usageRetention.Milliseconds()}
	record, err := r.usageRecord(ctx, reserve)
	if err != nil {
		return report, err
	}
	if record.State == state.RecordReserved {
		counts, err := json.Marshal(report.Counts)
		if err != nil {
			return report, fmt.Errorf("encode usage of window %d: %w", report.Window, err)
		}
		answer := &state.Answer{Status: http.StatusOK, Body: counts}
		if _, err := r.propose(ctx, state.RecordOutcome{Key: key, Owner: owner, RequestID: reserve.RequestID, State: state.RecordAnswered, Answer: answer}); err != nil {
			return report, fmt.Errorf("commit usage of window %d: %w", report.Window, err)
		}
		if record, err = r.usageRecord(ctx, reserve); err != nil {
			return report, err
		}
	}
	if record.Answer == nil {
		return report, fmt.Errorf("read usage of window %d: record in state %d has no counts", report.Window, record.State)
	}
	var counts usage.Counts
	if err := json.Unmarshal(record.Answer.Body, &counts); err != nil {
		return report, fmt.Errorf("decode usage of window %d: %w", report.Window, err)
	}
	report.Counts = counts
	return report, nil
}

// usageRecord returns the record of a window, and reserves it if there is none.
func (r *Replica) usageRecord(ctx context.Context, reserve state.Reserve) (state.RecordView, error) {
	applied, err := r.propose(ctx, reserve)
	if err != nil {
		return state.RecordView{}, fmt.Errorf("reserve %s: %w", reserve.RequestID, err)
	}
	result, ok := applied.(state.ReserveResult)
	if !ok {
		return state.RecordView{}, fmt.Errorf("reserve %s: not applied", reserve.RequestID)
	}
	return result.Record, nil
}
