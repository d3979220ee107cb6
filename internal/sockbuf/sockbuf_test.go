package sockbuf

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"waxwingcart/internal/core/intake"
)

// testProcess has room for one raised buffer of the largest size.
var testProcess = intake.Process{MemoryMB: 64}

// pair returns both ends of a connection whose server has bounded buffers.
func pair(t *testing.T, b *Buffers) (client, server net.Conn) {
	t.Helper()
	config := net.ListenConfig{Control: b.Control}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	return client, server
}

// fill writes until the other end takes no more.
func fill(client net.Conn) {
	_ = client.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	_, _ = client.Write(make([]byte, 64<<20))
}

func unread(t *testing.T, conn net.Conn) int {
	t.Helper()
	bytes, err := 0, error(nil)
	_ = rawConn(conn).Control(func(fd uintptr) { bytes, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	if err != nil {
		t.Fatal(err)
	}
	return bytes
}

// Guards against a sender that makes the kernel hold megabytes for one connection: no more bytes wait than twice the
// buffer, also after a long body was read with a larger one.
func TestUnreadBytesAreBounded(t *testing.T) {
	b := New(testProcess)
	client, server := pair(t, b)
	fill(client)
	if got := unread(t, server); got > 2*intake.BaseBuffer {
		t.Errorf("%d bytes wait, want at most %d", got, 2*intake.BaseBuffer)
	}
	client, server = pair(t, b)
	raised := b.Raise(server)
	go fill(client)
	if _, err := io.ReadFull(server, make([]byte, 4<<20)); err != nil {
		t.Fatal(err)
	}
	raised.Keep()
	fill(client)
	if got := unread(t, server); got > 2*intake.MaxRaised {
		t.Errorf("%d bytes wait after a long body, want at most %d", got, 2*intake.MaxRaised)
	}
}

// What raised buffers take is given back once their bytes have been read, or other connections need it, so that later
// bodies get it.
func TestRaisedBuffersAreGivenBack(t *testing.T) {
	b := New(testProcess)
	all := b.left
	check := func(what string, want int64) {
		t.Helper()
		if b.left != want {
			t.Errorf("%s: %d bytes are left, want %d", what, b.left, want)
		}
	}
	client, server := pair(t, b)
	raised := b.Raise(server)
	held := all - b.left
	if raised == nil || held <= 0 {
		t.Fatal("the first buffer was not raised")
	}
	raised.Keep()
	check("kept", all-held)
	if !raised.Reuse() || raised.Reuse() {
		t.Error("a kept buffer is not reused, or twice")
	}
	fill(client)
	raised.Keep()
	check("bytes wait", all-held)
	if raised.Reuse() {
		t.Error("a buffer in which bytes wait is reused")
	}
	raised.Drained()
	check("drained", all)
	_, quiet := pair(t, b)
	kept := b.Raise(quiet)
	kept.Keep()
	var used []*Raised
	for r := b.Raise(server); r != nil; r = b.Raise(server) {
		used = append(used, r)
	}
	if kept.Reuse() || b.left < 0 || len(used) < 2 {
		t.Errorf("a kept buffer stays although others need it: %d bytes are left after %d more", b.left, len(used))
	}
	for _, r := range used {
		r.Release()
		r.Release()
	}
	check("all released", all)
}

// Without a limit of memory the kernel's own sizes stay.
func TestNoLimit(t *testing.T) {
	b := New(intake.Process{})
	_, server := pair(t, b)
	raised := b.Raise(server)
	raised.Keep()
	if raised != nil || raised.Reuse() {
		t.Error("a buffer was raised without a limit")
	}
}
