package backend

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
)

// countingConn counts the bytes written to it.
type countingConn struct {
	net.Conn
	bytes atomic.Int64
}

func (n *countingConn) Write(data []byte) (int, error) {
	n.bytes.Add(int64(len(data)))
	return len(data), nil
}

func (n *countingConn) Close() error { return nil }

// Checks that no byte is written after abandon has reported that none was, however
// connecting, writing and abandoning interleave.
func TestNoWriteAfterAbandon(t *testing.T) {
	before, after := 0, 0
	for range 5000 {
		network := &countingConn{}
		c := &conn{Conn: network}
		tracker := &writeTracker{}
		writerDone := make(chan struct{})
		go func() {
			defer close(writerDone)
			tracker.track(c)
			_, _ = c.Write([]byte("request"))
		}()
		anyWritten := tracker.abandon()
		<-writerDone
		if !anyWritten && network.bytes.Load() > 0 {
			t.Fatal("bytes were written after the attempt was abandoned")
		}
		if anyWritten {
			after++
		} else {
			before++
		}
	}
	t.Logf("abandoned before and after the first byte: %d, %d", before, after)
}

// Checks that abandoning a completed attempt does not seal a connection that the
// next attempt has taken over.
func TestAbandonKeepsConnectionOfNextOwner(t *testing.T) {
	c := &conn{Conn: &countingConn{}}
	first, second := &writeTracker{}, &writeTracker{}
	first.track(c)
	_, _ = c.Write([]byte("first"))
	second.track(c)
	if !first.abandon() {
		t.Error("the first attempt wrote bytes but reports none")
	}
	if _, err := c.Write([]byte("second")); err != nil {
		t.Errorf("the write of the second attempt failed: %v", err)
	}
}

// Checks that abandoning an attempt resets the connection. Otherwise the network
// could deliver the request to a server that becomes reachable again later.
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
	tracker := &writeTracker{}
	c := &conn{Conn: raw}
	tracker.track(c)
	if _, err := c.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	tracker.abandon()
	if _, err := io.Copy(io.Discard, peer); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}
