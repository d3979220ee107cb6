package soak

import (
	"net"
	"slices"
	"sync"
	"time"
)

// direction is a direction through a proxy.
type direction int

const (
	toReplica direction = iota
	fromReplica
)

// link is what happens to the data of a connection, by direction.
type link struct {
	silent [2]bool
	delay  time.Duration
}

// proxy forwards TCP connections to a replica's listener for peers.
type proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	cond *sync.Cond
	link link
	open []*proxied
	// closed ends all copying.
	closed bool
}

// proxied is a connection through a proxy.
type proxied struct {
	proxy            *proxy
	client, replica  net.Conn
	silenced, ending bool
}

const (
	proxyDialTimeout = time.Second
	proxyBufferBytes = 32 << 10
)

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	p.cond = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

// forward connects an accepted connection to the replica. While the replica is
// silenced the connection stays open without a counterpart.
func (p *proxy) forward(client net.Conn) {
	c := &proxied{proxy: p, client: client}
	p.mu.Lock()
	for p.link.silent[toReplica] && !p.closed {
		p.cond.Wait()
	}
	p.mu.Unlock()
	replica, err := net.DialTimeout("tcp", p.target, proxyDialTimeout)
	if err != nil {
		reset(client)
		return
	}
	c.replica = replica
	p.mu.Lock()
	p.open = append(p.open, c)
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { c.copy(replica, client, toReplica) })
	group.Go(func() { c.copy(client, replica, fromReplica) })
	group.Wait()
	p.mu.Lock()
	p.open = slices.DeleteFunc(p.open, func(other *proxied) bool { return other == c })
	p.mu.Unlock()
}

// copy passes data in one direction until either side closes. The other direction
// then ends too.
func (c *proxied) copy(to, from net.Conn, d direction) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if !c.pass(d) {
			break
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	c.end()
}

// pass waits until data may pass in a direction, and reports whether the connection
// is still in use.
func (c *proxied) pass(d direction) bool {
	p := c.proxy
	p.mu.Lock()
	delay := p.link.delay
	p.mu.Unlock()
	time.Sleep(delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	for (p.link.silent[d] || c.silenced) && !c.ending && !p.closed {
		p.cond.Wait()
	}
	return !c.ending && !p.closed
}

func (c *proxied) end() {
	c.proxy.mu.Lock()
	c.ending = true
	c.proxy.cond.Broadcast()
	c.proxy.mu.Unlock()
	_ = c.client.Close()
	_ = c.replica.Close()
}

// reset closes a connection with a TCP reset.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// set changes what happens to all connections.
func (p *proxy) set(l link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	p.cond.Broadcast()
}

// silenceOpen silences the open connections, or lets them pass data again.
func (p *proxy) silenceOpen(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		c.silenced = silent
	}
	p.cond.Broadcast()
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	open := slices.Clone(p.open)
	p.mu.Unlock()
	for _, c := range open {
		reset(c.client)
		reset(c.replica)
		c.end()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.cond.Broadcast()
	p.mu.Unlock()
	p.resetAll()
}
