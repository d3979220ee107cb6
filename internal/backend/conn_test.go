package backend

import (
	"net"
	"sync/atomic"
	"testing"
)

// network counts the bytes that reach it.
type network struct {
	net.Conn
	bytes atomic.Int64
}

func (n *network) Write(data []byte) (int, error) {
	n.bytes.Add(int64(len(data)))
	return len(data), nil
}

func (n *network) Close() error { return nil }

// Once an attempt ended without a byte handed over, none follows, whichever
// way writing, connecting and ending interleave.
func TestNoByteFollowsTheEnd(t *testing.T) {
	before, after := 0, 0
	for range 5000 {
		wire := &network{}
		c := &conn{Conn: wire}
		over := &handover{}
		written := make(chan struct{})
		go func() {
			defer close(written)
			over.got(c)
			_, _ = c.Write([]byte("request"))
		}()
		handed := over.end()
		<-written
		if !handed && wire.bytes.Load() > 0 {
			t.Fatal("bytes were handed over after the end")
		}
		if handed {
			after++
		} else {
			before++
		}
	}
	t.Logf("ended before and after the first byte: %d, %d", before, after)
}

func TestEndLeavesTheNextOwnerAlone(t *testing.T) {
	c := &conn{Conn: &network{}}
	first, second := &handover{}, &handover{}
	first.got(c)
	_, _ = c.Write([]byte("first"))
	second.got(c)
	if !first.end() {
		t.Error("the first attempt handed bytes over")
	}
	if _, err := c.Write([]byte("second")); err != nil {
		t.Errorf("the second attempt was cut off: %v", err)
	}
}
