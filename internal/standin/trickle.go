package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Trickle listens at the address that it returns, and answers the first request of one connection
// with a beginning, and then with a space after each pause until the caller closes. The channel
// is closed when it has.
func Trickle(beginning string, pause time.Duration) (address string, closed <-chan struct{}, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("listen for a caller: %w", err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		_ = listener.Close()
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
	return listener.Addr().String(), done, nil
}
