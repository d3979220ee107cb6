package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// Trickle answers the first request of one connection with a beginning, and then with a space
// after each pause until the caller closes. The channel is closed when it has.
func Trickle(listener net.Listener, beginning string, pause time.Duration) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, err = io.WriteString(conn, beginning)
		for err == nil {
			time.Sleep(pause)
			_, err = io.WriteString(conn, " ")
		}
	}()
	return closed
}
