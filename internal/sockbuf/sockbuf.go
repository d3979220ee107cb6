// Package sockbuf bounds the receive buffers of a process's sockets. Bytes that have arrived and were
// not read count against the memory of a VM, and without a bound the kernel lets megabytes wait in each
// socket.
//
// A connection has a small buffer, and a larger one for long bodies. All larger ones share a part of the memory.
package sockbuf

import (
	"net"
	"slices"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"waxwingcart/internal/core/intake"
)

// Buffers sets the receive buffers of a process. A nil Buffers leaves them to the kernel.
type Buffers struct {
	mu sync.Mutex
	// left is what raised buffers may still take, in bytes.
	left int64
	// kept are raised buffers that nobody needs now, the oldest first.
	kept []*Raised
}

// New returns the Buffers of a process, or nil if its memory is not limited.
func New(process intake.Process) *Buffers {
	if process.MemoryMB == 0 {
		return nil
	}
	return &Buffers{left: process.RaisedSize()}
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

// state is what a raised buffer is used for.
type state uint8

const (
	// stateUsed lasts while a long body is read.
	stateUsed state = iota
	// stateKept lasts until the connection's next long body, or until another connection needs the memory:
	// a sender goes by the buffer that it has seen, and what exceeds a smaller one would be sent again.
	stateKept
	// stateWaiting lasts while bytes wait in a buffer that was lowered.
	stateWaiting
	stateReleased
)

// Raised is the raised buffer of one connection. Its methods may be called on nil.
type Raised struct {
	buffers *Buffers
	raw     syscall.RawConn
	bytes   int64
	// state is guarded by the lock of buffers.
	state state
}

// Raise gives a connection a larger receive buffer until Release, at the cost of kept ones. It returns nil if the
// buffer stays as it is.
func (b *Buffers) Raise(conn net.Conn) *Raised {
	if b == nil {
		return nil
	}
	raw := rawConn(conn)
	if raw == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	buffer, bytes := intake.Raised(b.left)
	for ; buffer == 0 && len(b.kept) > 0; buffer, bytes = intake.Raised(b.left) {
		b.kept[0].lower()
	}
	if buffer == 0 {
		return nil
	}
	b.left -= bytes
	_ = b.set(raw, buffer)
	return &Raised{buffers: b, raw: raw, bytes: bytes}
}

// Reuse takes a kept buffer for the next long body. It returns false if there is none any more.
func (r *Raised) Reuse() bool {
	if r == nil {
		return false
	}
	r.buffers.mu.Lock()
	defer r.buffers.mu.Unlock()
	if r.state != stateKept {
		return false
	}
	r.unkeep()
	r.state = stateUsed
	return true
}

// Keep notes that the long body has been read. The buffer is kept for the next one, unless bytes that follow the
// body wait in it.
func (r *Raised) Keep() {
	if r == nil {
		return
	}
	r.buffers.mu.Lock()
	defer r.buffers.mu.Unlock()
	if r.state != stateUsed {
		return
	}
	if r.unread() > 0 {
		r.lower()
		return
	}
	r.state = stateKept
	r.buffers.kept = append(r.buffers.kept, r)
}

// Drained notes that nothing waits in the socket any more.
func (r *Raised) Drained() {
	if r == nil {
		return
	}
	r.buffers.mu.Lock()
	defer r.buffers.mu.Unlock()
	if r.state == stateWaiting {
		r.release()
	}
}

// Release gives the connection, which may be closed, its usual buffer back. What follows a body on it is not read.
func (r *Raised) Release() {
	if r == nil {
		return
	}
	r.buffers.mu.Lock()
	defer r.buffers.mu.Unlock()
	if r.state != stateReleased {
		_ = r.buffers.set(r.raw, intake.BaseBuffer)
		r.unkeep()
		r.release()
	}
}

// lower gives the connection its usual buffer back. What the larger one takes is given back once no more bytes
// wait in it than in a usual one. The caller holds the lock.
func (r *Raised) lower() {
	_ = r.buffers.set(r.raw, intake.BaseBuffer)
	r.unkeep()
	if r.unread() > intake.BaseBuffer {
		r.state = stateWaiting
		return
	}
	r.release()
}

func (r *Raised) release() {
	r.state = stateReleased
	r.buffers.left += r.bytes
}

func (r *Raised) unkeep() {
	if r.state == stateKept {
		r.buffers.kept = slices.DeleteFunc(r.buffers.kept, func(other *Raised) bool { return other == r })
	}
}

// unread returns how many bytes wait in the socket, or 0 if that is not known.
func (r *Raised) unread() int {
	bytes := 0
	_ = r.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			bytes = n
		}
	})
	return bytes
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
