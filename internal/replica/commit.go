package replica

import (
	"context"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// maxCommitItems bounds the items of one Commit.
const maxCommitItems = 1024

// Commit commits the items of a batch together. Items fail independently of each
// other; a replica that does not lead refuses the whole batch.
func (s *Service) Commit(ctx context.Context, req *wire.CommitRequest) (*wire.CommitResponse, error) {
	if len(req.Items) > maxCommitItems {
		return nil, twirp.InvalidArgumentError("items", fmt.Sprintf("got %d, expected at most %d", len(req.Items), maxCommitItems))
	}
	if s.replica.status().Role != replication.RoleLeader {
		return nil, rpc.NotLeader(s.replica.leaderAddress())
	}
	response := &wire.CommitResponse{Results: make([]*wire.CommitResult, len(req.Items))}
	var proposals []task
	done := make(chan result, len(req.Items))
	for i, item := range req.Items {
		proposal, err := proposalOf(item)
		if err != nil {
			response.Results[i] = commitError(err)
			continue
		}
		proposal.item, proposal.done = i, done
		proposals = append(proposals, proposal)
	}
	if err := s.enqueue(ctx, proposals); err != nil {
		return nil, err
	}
	return response, s.collect(ctx, req, response, done, len(proposals))
}

func proposalOf(item *wire.CommitItem) (task, error) {
	var body state.Body
	var err error
	switch item := item.Body.(type) {
	case *wire.CommitItem_Reserve:
		body, err = codec.ReserveFromWire(item.Reserve)
	case *wire.CommitItem_Record:
		body, err = codec.RecordOutcomeFromWire(item.Record)
	default:
		err = fmt.Errorf("item is empty")
	}
	if err != nil {
		return task{}, err
	}
	command := state.Command{TimeMS: time.Now().UnixMilli(), Body: body}
	data, err := codec.EncodeCommand(command)
	if err != nil {
		return task{}, err
	}
	return task{event: replication.Propose{Data: data}, command: &command}, nil
}

// enqueue passes all proposals to the loop as one task.
func (s *Service) enqueue(ctx context.Context, proposals []task) error {
	batch := task{fn: func() {
		for _, proposal := range proposals {
			s.replica.handle(proposal)
		}
	}}
	select {
	case s.replica.inbox <- batch:
		return nil
	case <-ctx.Done():
		return twirp.NewError(twirp.ResourceExhausted, "replica is overloaded")
	case <-s.replica.runCtx.Done():
		return twirp.NewError(twirp.Unavailable, "replica stops")
	}
}

// collect waits for the results of all proposals and adds them to the response.
func (s *Service) collect(ctx context.Context, req *wire.CommitRequest, response *wire.CommitResponse, done <-chan result, count int) error {
	for range count {
		select {
		case outcome := <-done:
			response.Results[outcome.item] = s.commitResult(req.Items[outcome.item], outcome)
		case <-ctx.Done():
			return twirp.NewError(twirp.DeadlineExceeded, "no commit in time; the outcome is in doubt")
		case <-s.replica.runCtx.Done():
			return twirp.NewError(twirp.Unavailable, "replica stops; the outcome is in doubt")
		}
	}
	return nil
}

func (s *Service) commitResult(item *wire.CommitItem, outcome result) *wire.CommitResult {
	if outcome.err != nil {
		return commitError(outcome.err)
	}
	applied, _ := outcome.applied.(state.Result)
	if _, ok := item.Body.(*wire.CommitItem_Reserve); ok {
		reserved, err := s.reserved(applied)
		if err != nil {
			return commitError(err)
		}
		return &wire.CommitResult{Body: &wire.CommitResult_Reserve{Reserve: reserved}}
	}
	result, err := recorded(applied)
	if err != nil {
		return commitError(err)
	}
	return &wire.CommitResult{Body: &wire.CommitResult_Record{Record: result}}
}

func commitError(err error) *wire.CommitResult {
	return &wire.CommitResult{Body: &wire.CommitResult_Error{Error: err.Error()}}
}
