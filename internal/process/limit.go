package process

import (
	"errors"
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

// CloseWrite closes the connection for writing alone.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
