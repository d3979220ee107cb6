package rpc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"waxwingcart/internal/wire"
)

// Limits of a Batcher.
const (
	// maxBatchItems bounds the items of one Commit call.
	maxBatchItems = 512
	// maxBatchesInFlight is the number of Commit calls in flight at a time.
	maxBatchesInFlight = 2
	batchQueueLength   = 4096
	// batchTimeout bounds the search for a leader for one batch.
	batchTimeout = 10 * time.Second
	// itemRetryDelay is the delay before an item that was not committed is sent
	// again.
	itemRetryDelay = 20 * time.Millisecond
)

// ErrClosed is returned after the batcher's context has ended.
var ErrClosed = errors.New("batcher is closed")

// Batcher combines concurrent reservations and outcomes into common Commit calls
// to the leader.
type Batcher struct {
	replicas *Replicas
	queue    chan *batchItem
	ctx      context.Context
}

// batchItem is an item that waits for its result. ctx is that of the caller.
type batchItem struct {
	item   *wire.CommitItem
	ctx    context.Context
	result chan *wire.CommitResult
}

// NewBatcher returns a batcher that runs until the context ends.
func NewBatcher(ctx context.Context, replicas *Replicas) *Batcher {
	b := &Batcher{replicas: replicas, queue: make(chan *batchItem, batchQueueLength), ctx: ctx}
	for range maxBatchesInFlight {
		go b.run()
	}
	return b
}

// Reserve commits a reservation. It retries until the context ends.
func (b *Batcher) Reserve(ctx context.Context, request *wire.ReserveRequest) (*wire.ReserveResponse, error) {
	result, err := b.commit(ctx, &wire.CommitItem{Body: &wire.CommitItem_Reserve{Reserve: request}})
	if err != nil {
		return nil, fmt.Errorf("reserve: %w", err)
	}
	return result.GetReserve(), nil
}

// Record commits an outcome. It retries until the context ends.
func (b *Batcher) Record(ctx context.Context, request *wire.RecordRequest) (*wire.RecordResponse, error) {
	result, err := b.commit(ctx, &wire.CommitItem{Body: &wire.CommitItem_Record{Record: request}})
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return result.GetRecord(), nil
}

func (b *Batcher) commit(ctx context.Context, item *wire.CommitItem) (*wire.CommitResult, error) {
	for {
		result, err := b.submit(ctx, item)
		if err != nil {
			return nil, err
		}
		if result.GetError() == "" {
			return result, nil
		}
		if pause(ctx, itemRetryDelay) != nil {
			return nil, errors.New(result.GetError())
		}
	}
}

// submit queues an item and waits for its result.
func (b *Batcher) submit(ctx context.Context, item *wire.CommitItem) (*wire.CommitResult, error) {
	queued := &batchItem{item: item, ctx: ctx, result: make(chan *wire.CommitResult, 1)}
	select {
	case b.queue <- queued:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-b.ctx.Done():
		return nil, ErrClosed
	}
	select {
	case result := <-queued.result:
		return result, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-b.ctx.Done():
		return nil, ErrClosed
	}
}

func (b *Batcher) run() {
	for {
		select {
		case <-b.ctx.Done():
			return
		case first := <-b.queue:
			b.commitBatch(b.gather(first))
		}
	}
}

// gather returns a batch of the first item and of those queued behind it whose
// callers still wait.
func (b *Batcher) gather(first *batchItem) []*batchItem {
	items := []*batchItem{first}
	for len(items) < maxBatchItems {
		select {
		case next := <-b.queue:
			if next.ctx.Err() == nil {
				items = append(items, next)
			}
		default:
			return items
		}
	}
	return items
}

// commitBatch commits a batch at the leader and passes the results to the
// callers.
func (b *Batcher) commitBatch(items []*batchItem) {
	request := &wire.CommitRequest{Items: make([]*wire.CommitItem, len(items))}
	for i, item := range items {
		request.Items[i] = item.item
	}
	ctx, cancel := context.WithTimeout(b.ctx, batchTimeout)
	defer cancel()
	response, err := CallInTurn(ctx, b.replicas, "commit", func(ctx context.Context, stub wire.Replica) (*wire.CommitResponse, error) {
		return stub.Commit(ctx, request)
	})
	if err == nil && len(response.Results) != len(items) {
		err = fmt.Errorf("commit: got %d results, expected %d", len(response.Results), len(items))
	}
	for i, item := range items {
		if err != nil {
			item.result <- &wire.CommitResult{Body: &wire.CommitResult_Error{Error: err.Error()}}
			continue
		}
		item.result <- response.Results[i]
	}
}
