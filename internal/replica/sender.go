package replica

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// Limits on the messages for one peer.
const (
	senderQueueLength = 4096
	maxSenderBatch    = 256
	// overdueAfter is how long later messages wait for the answer to a delivery, in addition
	// to the time that its bytes take at minAppendRate. It is far below the election timeout
	// and the lease, so that a silent connection costs no leader its quorum.
	overdueAfter = 200 * time.Millisecond
	// deliveryTimeout bounds one delivery, in addition to the time that its bytes take at
	// minAppendRate.
	deliveryTimeout = 4 * time.Second
	// smallDeliveryBytes is the size up to which a delivery is always made. Larger
	// ones are limited to maxLargeDeliveries at a time, so that copies of a message
	// that is on its way don't fill a slow link.
	smallDeliveryBytes = 4 << 10
	maxLargeDeliveries = 2
)

var errOverdue = errors.New("no answer in time, later messages don't wait for it")

// sender delivers replication messages to one peer in batches: one after the other
// while the peer answers in time, and otherwise beside the overdue ones, which
// reorders messages. Messages may also be dropped; the protocol sends them again.
type sender struct {
	peer string
	// self is the address of this replica, for the peer's answers.
	self    string
	client  *rpc.Client
	stub    wire.Replica
	queue   chan []byte
	logger  *log.Logger
	metrics *metrics
	// large holds a value for each large delivery that is pending.
	large chan struct{}
	// pending counts the deliveries whose calls have not returned.
	pending sync.WaitGroup
	// undelivered, if set, is called after each delivery that failed, and when there is room again after
	// messages were dropped.
	undelivered func()
	// dropped is true if messages were dropped for want of room.
	dropped atomic.Bool
	// failing is true while deliveries fail or are overdue. It limits the log to one
	// warning per outage.
	failing bool

	timeout      time.Duration
	overdueAfter time.Duration
}

func newSender(peer, self string, client *rpc.Client, logger *log.Logger, metrics *metrics) *sender {
	separate := client.Separate()
	return &sender{
		peer:    peer,
		self:    self,
		client:  separate,
		stub:    newStub(peer, separate),
		queue:   make(chan []byte, senderQueueLength),
		logger:  logger,
		metrics: metrics,
		large:   make(chan struct{}, maxLargeDeliveries),

		timeout: deliveryTimeout, overdueAfter: overdueAfter,
	}
}

func (s *sender) send(message []byte) {
	select {
	case s.queue <- message:
	default:
	}
}

func (s *sender) run(ctx context.Context) {
	defer s.client.CloseIdleConnections()
	defer s.pending.Wait()
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

// deliver starts a delivery and waits until it is answered or overdue. If too many
// large deliveries are pending, it delivers only small messages and drops the others.
func (s *sender) deliver(ctx context.Context, messages [][]byte) {
	release := func() {}
	if totalBytes(messages) > smallDeliveryBytes {
		select {
		case s.large <- struct{}{}:
			release = s.releaseLarge
		default:
			messages = smallMessages(messages)
			s.dropped.Store(true)
		}
	}
	if len(messages) == 0 {
		return
	}
	answered := make(chan error, 1)
	s.pending.Go(func() {
		defer release()
		answered <- s.call(ctx, messages)
	})
	overdue := time.NewTimer(s.overdueAfter + transferTime(totalBytes(messages)))
	defer overdue.Stop()
	select {
	case err := <-answered:
		if ctx.Err() == nil {
			s.logChange(err)
		}
	case <-overdue.C:
		s.metrics.deliveryFailures.WithLabelValues(s.peer, "overdue").Inc()
		s.logChange(errOverdue)
		// The fault that silenced the connection may have silenced idle ones too.
		s.client.CloseIdleConnections()
	case <-ctx.Done():
	}
}

// releaseLarge makes room for a large delivery.
func (s *sender) releaseLarge() {
	<-s.large
	if s.dropped.Swap(false) && s.undelivered != nil {
		s.undelivered()
	}
}

func (s *sender) call(ctx context.Context, messages [][]byte) error {
	callCtx, cancel := context.WithTimeout(ctx, s.timeout+transferTime(totalBytes(messages)))
	defer cancel()
	_, err := s.stub.Deliver(callCtx, &wire.DeliverRequest{Messages: messages, Address: s.self})
	if err != nil && ctx.Err() == nil {
		s.metrics.deliveryFailures.WithLabelValues(s.peer, "failed").Inc()
		if s.undelivered != nil {
			s.undelivered()
		}
	}
	return err
}

// transferTime returns the time that bytes take at minAppendRate.
func transferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minAppendRate
}

// logChange logs the start and the end of an outage, given the result of a delivery.
func (s *sender) logChange(err error) {
	if err != nil && !s.failing {
		s.logger.Warn().Str("step", "deliver").Str("peer", s.peer).Err(rpc.Wrap("deliver", s.peer, err)).Msg("delivering messages to another replica failed")
	}
	if err == nil && s.failing {
		s.logger.Info().Str("step", "deliver").Str("peer", s.peer).Msg("delivering messages to another replica succeeded again")
	}
	s.failing = err != nil
}

func totalBytes(messages [][]byte) int {
	total := 0
	for _, message := range messages {
		total += len(message)
	}
	return total
}

// smallMessages returns the messages that fit into a small delivery, in order.
func smallMessages(messages [][]byte) [][]byte {
	var small [][]byte
	total := 0
	for _, message := range messages {
		if total+len(message) <= smallDeliveryBytes {
			small = append(small, message)
			total += len(message)
		}
	}
	return small
}
