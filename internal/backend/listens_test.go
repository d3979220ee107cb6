package backend

import (
	"context"
	"net"
	"testing"
	"time"
)

// A server that refuses connections has ended; one that does not answer may be behind a cut
// link, and something else may accept the connections of one that has ended.
func TestListens(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	c := New(Options{})
	check := func(what string, timeout time.Duration, wantListens, wantAccepted, wantAnswered bool) {
		t.Helper()
		listens, accepted, answered := c.Listens(context.Background(), address, timeout)
		if listens != wantListens || accepted != wantAccepted || answered != wantAnswered {
			t.Errorf("%s: listens %t, accepted %t, answered %t, want %t, %t and %t", what, listens, accepted, answered, wantListens, wantAccepted, wantAnswered)
		}
	}
	check("listening", time.Minute, true, true, true)
	check("no answer in time", time.Nanosecond, false, false, false)
	accepting := make(chan struct{})
	go func() {
		defer close(accepting)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	check("closing what it accepts", time.Minute, false, true, true)
	_ = listener.Close()
	<-accepting
	check("refusing", time.Minute, false, false, true)
}
