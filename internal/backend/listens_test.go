package backend

import (
	"context"
	"net"
	"testing"
	"time"
)

// A server that refuses connections has ended; one that does not answer may be behind a cut link.
func TestListens(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	c := New(Options{})
	check := func(what string, timeout time.Duration, wantListens, wantAnswered bool) {
		t.Helper()
		if listens, answered := c.Listens(context.Background(), address, timeout); listens != wantListens || answered != wantAnswered {
			t.Errorf("%s: listens %t, answered %t, want %t and %t", what, listens, answered, wantListens, wantAnswered)
		}
	}
	check("listening", time.Minute, true, true)
	check("no answer in time", time.Nanosecond, false, false)
	_ = listener.Close()
	check("refusing", time.Minute, false, true)
}
