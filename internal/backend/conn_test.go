package backend

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
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

// A server that was out of reach must not get a request after its attempt was
// given up: the connection is reset, so that the network holds nothing of it.
func TestAbandonedAttemptsAreReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	over := &handover{}
	c := &conn{Conn: raw}
	over.got(c)
	if _, err := c.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	over.end()
	if _, err := io.Copy(io.Discard, peer); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, it was not reset", err)
	}
}
