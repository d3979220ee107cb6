package process

import (
	"net"
	"sync"
)

// limitConnections limits the number of open connections of a listener. Further
// connections wait in the kernel's accept queue.
func limitConnections(listener net.Listener, limit int) net.Listener {
	if limit <= 0 {
		return listener
	}
	return &limitedListener{Listener: listener, semaphore: make(chan struct{}, limit)}
}

type limitedListener struct {
	net.Listener
	semaphore chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	l.semaphore <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.semaphore
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.semaphore }}, nil
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
