package replica

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// Limits on the messages for one peer.
const (
	senderQueueLength = 4096
	maxSenderBatch    = 256
	senderTimeout     = 2 * time.Second
)

// sender delivers replication messages to one peer, in order and in batches.
// Messages are dropped while the queue is full; the protocol sends them again.
type sender struct {
	peer   string
	stub   wire.Replica
	queue  chan []byte
	logger *log.Logger
	// failing is true while deliveries fail. It limits the log to one warning per
	// outage.
	failing bool
}

func newSender(peer string, stub wire.Replica, logger *log.Logger) *sender {
	return &sender{peer: peer, stub: stub, queue: make(chan []byte, senderQueueLength), logger: logger}
}

func (s *sender) send(message []byte) {
	select {
	case s.queue <- message:
	default:
	}
}

func (s *sender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-s.queue:
			s.deliver(ctx, s.batch(message))
		}
	}
}

// batch returns a message and those that are already queued behind it.
func (s *sender) batch(first []byte) [][]byte {
	messages := [][]byte{first}
	for len(messages) < maxSenderBatch {
		select {
		case message := <-s.queue:
			messages = append(messages, message)
		default:
			return messages
		}
	}
	return messages
}

func (s *sender) deliver(ctx context.Context, messages [][]byte) {
	callCtx, cancel := context.WithTimeout(ctx, senderTimeout)
	defer cancel()
	_, err := s.stub.Deliver(callCtx, &wire.DeliverRequest{Messages: messages})
	if err != nil && !s.failing && ctx.Err() == nil {
		s.logger.Warn().Str("step", "deliver").Str("peer", s.peer).Err(rpc.Wrap("deliver", s.peer, err)).Msg("delivering messages to another replica failed")
	}
	if err == nil && s.failing {
		s.logger.Info().Str("step", "deliver").Str("peer", s.peer).Msg("delivering messages to another replica succeeded again")
	}
	s.failing = err != nil
}
