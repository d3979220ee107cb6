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
var testProcess = intake.Process{MemoryMB: 32}

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
	raised.Lower()
	fill(client)
	if got := unread(t, server); got > 2*intake.MaxRaised {
		t.Errorf("%d bytes wait after the buffer was lowered, want at most %d", got, 2*intake.MaxRaised)
	}
}

// What raised buffers take is given back once their bytes have been read, so that later bodies get it.
func TestRaisedBuffersAreGivenBack(t *testing.T) {
	b := New(testProcess)
	all := b.left.Load()
	client, server := pair(t, b)
	raised := b.Raise(server)
	if raised == nil || b.left.Load() >= all {
		t.Fatal("the first buffer was not raised")
	}
	fill(client)
	if !raised.Lower() || b.left.Load() >= all {
		t.Error("bytes that still wait were given back")
	}
	raised.Drained()
	if got := b.left.Load(); got != all {
		t.Errorf("%d bytes are left, want %d", got, all)
	}
	var held []*Raised
	for raised := b.Raise(server); raised != nil; raised = b.Raise(server) {
		held = append(held, raised)
	}
	if b.left.Load() < 0 || len(held) == 0 {
		t.Errorf("%d bytes are left after %d buffers", b.left.Load(), len(held))
	}
	for _, raised := range held {
		raised.Drained()
	}
	if got := b.left.Load(); got != all {
		t.Errorf("%d bytes are left, want %d", got, all)
	}
}

// Without a limit of memory the kernel's own sizes stay.
func TestNoLimit(t *testing.T) {
	b := New(intake.Process{})
	_, server := pair(t, b)
	if raised := b.Raise(server); raised.Lower() {
		t.Error("a buffer was raised without a limit")
	}
}
