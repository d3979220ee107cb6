// Package sockbuf bounds the receive buffers of a process's sockets. Bytes that have arrived and were
// not read count against the memory of a VM, and without a bound the kernel lets megabytes wait in each
// socket.
//
// A connection has a small buffer, and a larger one while a long body is read from it. All larger ones
// share a part of the memory.
package sockbuf

import (
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"waxwingcart/internal/core/intake"
)

// Buffers sets the receive buffers of a process. A nil Buffers leaves them to the kernel.
type Buffers struct {
	// left is what raised buffers may still take, in bytes.
	left atomic.Int64
}

// New returns the Buffers of a process, or nil if its memory is not limited.
func New(process intake.Process) *Buffers {
	if process.MemoryMB == 0 {
		return nil
	}
	b := &Buffers{}
	b.left.Store(process.RaisedSize())
	return b
}

// Control sets the receive buffer of a socket that connects or listens. Connections inherit it from
// their listener. It is a hook of net.Dialer and net.ListenConfig.
func (b *Buffers) Control(_, _ string, raw syscall.RawConn) error {
	return b.set(raw, intake.BaseBuffer)
}

// ControlPeer is like Control for a connection to another process of the deployment.
func (b *Buffers) ControlPeer(_, _ string, raw syscall.RawConn) error {
	return b.set(raw, intake.PeerBuffer)
}

// set sets a receive buffer. A system that refuses it keeps its own bound.
func (b *Buffers) set(raw syscall.RawConn, bytes int) error {
	if b == nil {
		return nil
	}
	return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) })
}

// Raised is the raised buffer of one connection. Its methods may be called on nil; they are called by
// one goroutine at a time.
type Raised struct {
	buffers *Buffers
	raw     syscall.RawConn
	bytes   int64
	lowered bool
}

// Raise gives a connection a larger receive buffer until Lower. It returns nil if the buffer stays as it
// is.
func (b *Buffers) Raise(conn net.Conn) *Raised {
	if b == nil {
		return nil
	}
	raw := rawConn(conn)
	if raw == nil {
		return nil
	}
	for {
		left := b.left.Load()
		buffer, bytes := intake.Raised(left)
		if buffer == 0 {
			return nil
		}
		if b.left.CompareAndSwap(left, left-bytes) {
			_ = b.set(raw, buffer)
			return &Raised{buffers: b, raw: raw, bytes: bytes}
		}
	}
}

// Lower gives the connection its usual buffer back. It reports whether bytes still wait in the larger
// one: then Drained has to be called once they have been read, or the connection is closed.
func (r *Raised) Lower() (waiting bool) {
	if r == nil || r.lowered {
		return false
	}
	r.lowered = true
	_ = r.buffers.set(r.raw, intake.BaseBuffer)
	unread := -1
	_ = r.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
	})
	if unread != 0 && unread >= intake.BaseBuffer {
		return true
	}
	r.Drained()
	return false
}

// Drained gives back what the larger buffer takes.
func (r *Raised) Drained() {
	if r != nil && r.bytes > 0 {
		r.buffers.left.Add(r.bytes)
		r.bytes = 0
	}
}

// rawConn returns the socket of a connection that may be wrapped, or nil.
func rawConn(conn net.Conn) syscall.RawConn {
	for conn != nil {
		if socket, ok := conn.(syscall.Conn); ok {
			raw, err := socket.SyscallConn()
			if err != nil {
				return nil
			}
			return raw
		}
		within, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = within.NetConn()
	}
	return nil
}

// SetBacklog bounds how many connections wait to be accepted at a listener: bytes that have arrived on
// them were not read either.
func SetBacklog(listener net.Listener, connections int) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), connections) })
}
