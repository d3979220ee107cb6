package detour

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"waxwingcart/internal/connreset"
	"waxwingcart/internal/core/detour"
)

// Path is the path at which an entry serves tunnels to others.
const Path = "/tunnel"

const (
	// serverParameter names the server's address in a request for a tunnel, and protocolName the
	// protocol of the connection after it.
	serverParameter = "server"
	protocolName    = "waxwingcart-tunnel"
	// maxTunnels bounds the tunnels that an entry serves at once.
	maxTunnels = 256
	// tunnelIdle is how long a tunnel may pass on no byte. It is longer than a request may take.
	tunnelIdle = 5 * time.Minute
	// chunkBytes is the size of a tunnel's buffers, and of its largest chunk.
	chunkBytes = 16 << 10
	// chunkHeaderBytes is the size of a chunk's length, in big-endian order. A length of zero is
	// the end of the server's bytes; without it, the connection broke off.
	chunkHeaderBytes = 4
)

// errServerUnreached means that another entry could not connect to a server.
var errServerUnreached = errors.New("the server was not reached")

// dialThrough asks a peer for a tunnel to a server.
func (d *Detour) dialThrough(ctx context.Context, peer, server string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: peerDialTimeout, Control: d.opts.Buffers.Control}
	raw, err := dialer.DialContext(ctx, "tcp", peer)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	conn, err := d.requestTunnel(raw, peer, server)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("peer %s: %w", peer, err)
	}
	return conn, nil
}

func (d *Detour) requestTunnel(raw net.Conn, peer, server string) (net.Conn, error) {
	target := url.URL{Scheme: "http", Host: peer, Path: Path, RawQuery: url.Values{serverParameter: {server}}.Encode()}
	request, err := http.NewRequest(http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocolName)
	request.Header.Set("Authorization", "Bearer "+d.opts.Secret)
	_ = raw.SetDeadline(time.Now().Add(peerTimeout))
	if err := request.Write(raw); err != nil {
		return nil, err
	}
	buffered := bufio.NewReaderSize(raw, chunkHeaderBytes+chunkBytes)
	response, err := http.ReadResponse(buffered, request)
	if err != nil {
		return nil, err
	}
	_ = response.Body.Close()
	switch response.StatusCode {
	case http.StatusSwitchingProtocols:
	case http.StatusBadGateway:
		return nil, errServerUnreached
	default:
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return &chunkedConn{Conn: raw, buffered: buffered}, raw.SetDeadline(time.Time{})
}

// chunkedConn reads the chunks of a tunnel. An end that the server did not make is an error, as
// the bytes before it may end an answer that is not whole.
type chunkedConn struct {
	net.Conn
	buffered *bufio.Reader
	// left is the number of bytes of the current chunk that were not read.
	left  uint32
	ended bool
}

func (c *chunkedConn) Read(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		if err := binary.Read(c.buffered, binary.BigEndian, &c.left); err != nil {
			return 0, unexpected(err)
		}
		if c.left == 0 {
			c.ended = true
			return 0, io.EOF
		}
	}
	n, err := c.buffered.Read(data[:min(len(data), int(c.left))])
	c.left -= uint32(n)
	return n, unexpected(err)
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// SetLinger makes Close reset the connection, like net.TCPConn.
func (c *chunkedConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// tunnels counts the tunnels that an entry serves.
type tunnels struct {
	mu       sync.Mutex
	open     map[*tunnel]bool
	draining bool
	// idle is closed once a draining entry serves no tunnel.
	idle chan struct{}
}

// tunnel passes bytes on between another entry and a server.
type tunnel struct {
	peer, server net.Conn
	buffered     *bufio.ReadWriter
	// resets tells whether the server ended its connection orderly.
	resets connreset.Tracker
	// lastPassed is when a byte was last passed on, in Unix nanoseconds.
	lastPassed atomic.Int64
}

// serve returns the result for the counter.
func (d *Detour) serve(w http.ResponseWriter, r *http.Request) string {
	server := r.URL.Query().Get(serverParameter)
	switch {
	case r.Header.Get("Upgrade") != protocolName:
		w.WriteHeader(http.StatusUpgradeRequired)
		return "invalid"
	case !d.known(server):
		w.WriteHeader(http.StatusForbidden)
		return "unknown-server"
	case d.path.Load() == detour.CutOff:
		w.WriteHeader(http.StatusServiceUnavailable)
		return "cut-off"
	}
	t := &tunnel{}
	if !d.tunnels.add(t) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return "busy"
	}
	defer d.tunnels.remove(t)
	dialer := net.Dialer{Timeout: dialTimeout, Control: d.opts.Buffers.Control}
	conn, err := dialer.DialContext(r.Context(), "tcp", server)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return "unreachable"
	}
	t.server = conn
	defer conn.Close()
	t.peer, t.buffered, err = http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return "failed"
	}
	defer t.peer.Close()
	_, _ = t.buffered.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocolName + "\r\n\r\n")
	if t.buffered.Flush() != nil {
		return "failed"
	}
	t.run()
	return "connected"
}

// run passes bytes on until either side ends. What the other entry has broken off is broken off
// at the server, too.
func (t *tunnel) run() {
	t.lastPassed.Store(time.Now().UnixNano())
	var passing sync.WaitGroup
	passing.Go(func() {
		_ = t.pass(t.peer, t.buffered.Reader, func(data []byte) (int, error) { return t.resets.Write(t.server, data) })
		reset(t.server)
	})
	err := t.resets.ReadError(t.server, t.pass(t.server, t.server, t.writeChunk))
	if errors.Is(err, io.EOF) {
		_, err = t.peer.Write(make([]byte, chunkHeaderBytes))
	}
	if err == nil {
		_ = t.peer.Close()
	} else {
		reset(t.peer)
	}
	passing.Wait()
}

func (t *tunnel) writeChunk(data []byte) (int, error) {
	header := make([]byte, chunkHeaderBytes, chunkHeaderBytes+len(data))
	binary.BigEndian.PutUint32(header, uint32(len(data)))
	return t.peer.Write(append(header, data...))
}

// pass reads until an error and writes what it reads. The connection is that of the reader.
func (t *tunnel) pass(conn net.Conn, from io.Reader, write func([]byte) (int, error)) error {
	buffer := make([]byte, chunkBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(tunnelIdle))
		n, err := from.Read(buffer)
		if n > 0 {
			t.lastPassed.Store(time.Now().UnixNano())
			if _, err := write(buffer[:n]); err != nil {
				return err
			}
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && time.Now().UnixNano()-t.lastPassed.Load() < int64(tunnelIdle) {
			continue
		}
		if err != nil {
			return err
		}
	}
}

// reset closes a connection so that its other end can't take it for complete.
func reset(conn net.Conn) {
	if linger, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = linger.SetLinger(0)
	}
	_ = conn.Close()
}

// add registers a tunnel. It returns false if there are too many or the entry drains.
func (t *tunnels) add(one *tunnel) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining || len(t.open) >= maxTunnels {
		return false
	}
	if t.open == nil {
		t.open = make(map[*tunnel]bool)
	}
	t.open[one] = true
	return true
}

func (t *tunnels) remove(one *tunnel) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, one)
	if t.draining && len(t.open) == 0 {
		close(t.idle)
	}
}

// Drain refuses further tunnels and returns a channel that is closed once the last one has ended.
func (d *Detour) Drain() <-chan struct{} {
	t := &d.tunnels
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.draining {
		t.draining = true
		if len(t.open) == 0 {
			close(t.idle)
		}
	}
	return t.idle
}
