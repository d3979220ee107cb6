package replica

import (
	"context"
	"crypto/sha256"
	"fmt"

	"github.com/twitchtv/twirp"

	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// maxItemBytes bounds the content of one item of the configuration: twice what operators may send, and half of what is
// read as one part of a snapshot or as one answer.
const maxItemBytes = 8 << 20

// changeDigestBytes is the length of the digest in a change ID.
const changeDigestBytes = 8

// PutDocument commits a numbered document if its number is higher than that of
// the one in force. Otherwise it changes nothing and returns the number in force
// without an error, so that a document may be sent again.
func (s *Service) PutDocument(ctx context.Context, req *wire.PutDocumentRequest) (*wire.PutDocumentResponse, error) {
	if s.replica.status().Role != replication.RoleLeader {
		// The same call may go to all replicas, and a document may be large.
		return nil, rpc.NotLeader(s.replica.leaderAddress())
	}
	if req.Number == 0 {
		return nil, twirp.InvalidArgumentError("number", "must be above 0")
	}
	if len(req.Content) > maxItemBytes {
		return nil, twirp.InvalidArgumentError("content", fmt.Sprintf("got %d bytes, expected at most %d", len(req.Content), maxItemBytes))
	}
	document := fleet.NumberedDocument{Number: req.Number, Content: req.Content}
	item, err := document.Item()
	if err != nil {
		return nil, twirp.InvalidArgumentError("content", err.Error())
	}
	select {
	case s.replica.putting <- struct{}{}:
		defer func() { <-s.replica.putting }()
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, "other documents are being put")
	}
	for {
		current, revision, err := s.numbered(ctx)
		if err != nil {
			return nil, err
		}
		if current >= req.Number {
			return &wire.PutDocumentResponse{Number: current}, nil
		}
		if string(req.Content) == fleet.NullContent {
			return nil, twirp.NewError(twirp.Aborted, "the document is not committed")
		}
		applied, err := s.replica.propose(ctx, changeFor(req.Number, revision, item))
		if err != nil {
			return nil, err
		}
		changed, ok := applied.(state.ChangeResult)
		if !ok {
			return nil, twirp.InternalError("document was not applied")
		}
		s.replica.logger.Info().Str("step", "put document").Uint64("number", req.Number).Uint64("base_revision", revision).
			Bool("accepted", changed.Accepted).Bool("conflict", changed.Conflict).Uint64("revision", changed.Revision).Msg("configuration document proposed")
		if changed.Accepted {
			return &wire.PutDocumentResponse{Number: req.Number}, nil
		}
		if !changed.Conflict {
			return nil, twirp.InvalidArgumentError("content", changed.Invalid)
		}
	}
}

// NumberedDocument returns the document in force here once this replica has applied a revision. It does not
// wait for the event loop, which a stalled disk may hold up.
func (r *Replica) NumberedDocument(ctx context.Context, revision uint64) (fleet.NumberedDocument, error) {
	for {
		r.mu.Lock()
		item, applied, updated := r.numbered, r.numberedAt, r.revisionUpdated
		r.mu.Unlock()
		if applied >= revision {
			return fleet.ParseNumberedDocument(item)
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return fleet.NumberedDocument{}, ctx.Err()
		case <-r.runCtx.Done():
			return fleet.NumberedDocument{}, r.runCtx.Err()
		}
	}
}

// changeFor returns the change that puts a document's item in force at a revision. Its
// ID names the content too: the result of a change is that of the first one with its ID,
// and two operators may send other contents under one number.
func changeFor(number, revision uint64, item fleet.Item) state.ChangeConfig {
	digest := sha256.Sum256(item.JSON)
	return state.ChangeConfig{
		ChangeID:     fmt.Sprintf("document-%d-at-%d-%x", number, revision, digest[:changeDigestBytes]),
		BaseRevision: revision,
		Author:       "operator",
		Items:        []fleet.Item{item},
	}
}

// numbered returns the number of the document in force and the current revision after a quorum
// has confirmed that this replica leads. The number acknowledges a document that was committed before.
func (s *Service) numbered(ctx context.Context) (number, revision uint64, err error) {
	if _, err := s.replica.await(ctx, replication.Read{Durable: true}); err != nil {
		return 0, 0, err
	}
	var item []byte
	err = s.replica.runInLoop(ctx, func() {
		item = s.replica.machine.Item(fleet.PathNumbered)
		revision = s.replica.machine.Revision()
	})
	if err != nil {
		return 0, 0, err
	}
	current, err := fleet.ParseNumberedDocument(item)
	return current.Number, revision, err
}
