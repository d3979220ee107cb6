package process

import (
	"net"
	"sync"
)

// limitConnections bounds the connections that are open at a time; further
// ones wait in the kernel's queue.
func limitConnections(listener net.Listener, limit int) net.Listener {
	if limit <= 0 {
		return listener
	}
	return &limitedListener{Listener: listener, places: make(chan struct{}, limit)}
}

type limitedListener struct {
	net.Listener
	places chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	l.places <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.places }}, nil
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
