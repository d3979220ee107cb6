package entry

import (
	"testing"
	"time"

	"waxwingcart/internal/core/placement"
	"waxwingcart/internal/core/request"
	"waxwingcart/internal/room"
)

// The rank with which a call goes and how servers are compared apply to its placement; a call without a verdict is
// placed as ever.
func TestRoomVerdictAppliesToPlacement(t *testing.T) {
	r := &run{routed: &routedCall{priority: 5}}
	if r.contended() || r.routed.priority != 5 {
		t.Errorf("without a verdict: contended, priority %d", r.routed.priority)
	}
	r.routed.verdict.Store(&room.Verdict{Urgent: true, Contended: true})
	if !r.contended() || r.routed.priority != 0 {
		t.Errorf("with an urgent verdict: priority %d", r.routed.priority)
	}
}

// A refusal without room says that the request has not run, and when there will be room.
func TestNoRoomIsNotRun(t *testing.T) {
	outcome := request.Outcome{Kind: request.OutcomeNotRun, Reason: reasonNoRoom, RetryAfter: time.Second}
	if status := statusOf(outcome); status != 503 {
		t.Errorf("got status %d, want 503", status)
	}
}

// The rank of an attempt reaches the other entries; an attempt of an entry that doesn't announce it counts as the most urgent.
func TestRankIsAnnounced(t *testing.T) {
	job := placement.Job{ID: placement.JobID{Origin: 1, Number: 2}, Rank: 7}
	if item := placedItem(job); item.Rank != 7 {
		t.Errorf("announced rank %d, want 7", item.Rank)
	}
}
