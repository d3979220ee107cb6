package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startAnswering starts a server that answers each connection with the next bytes from
// the channel and closes it.
func startAnswering(tb testing.TB, answers <-chan []byte) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			data := <-answers
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = conn.Write(data)
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// FuzzAnswer reads any bytes as the answer to a call. Every error must be an *Error that
// leaves open whether the request ran, unless the answer says so; what is taken for
// complete must be the body of the answer; and events must be its beginning.
func FuzzAnswer(f *testing.F) {
	for _, answer := range endlessAnswers {
		f.Add([]byte(answer.beginning + answer.repeated + answer.repeated))
	}
	for _, answer := range slowAnswers {
		f.Add([]byte(answer.beginning + answer.repeated))
	}
	for _, text := range []string{
		"", "\x00\xff", endlessHead + "Content-Length: 4\r\n\r\nbody", endlessHead + "Content-Length: 4\r\n\r\nbodybody",
		"HTTP/1.1 100 Continue\r\n\r\n" + endlessHead + "\r\nbody", endlessChunked + chunks("a", "b") + "0\r\nX: 1\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nbody", "HTTP/1.1 204 None\r\n\r\nbody",
		"HTTP/1.1 503 Busy\r\nX-Not-Started: 1\r\nContent-Length: 4\r\n\r\nbusy", endlessEvents + "id: 0\ndata: x\n\nid: 1\n\n",
		endlessHead + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", endlessHead + strings.Repeat("a:\r\n", 300) + "\r\n",
	} {
		f.Add([]byte(text))
	}
	queue := make(chan []byte, 1)
	address := startAnswering(f, queue)
	client := New(Options{})
	f.Cleanup(client.Close)
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 1<<20 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), endlessTestTimeout)
		defer cancel()
		queue <- data
		call := Call{Step: "dispatch", Address: address, Method: http.MethodGet, Path: "/x", ProgressTimeout: time.Hour}
		checkAnswer(ctx, t, client, call, data)
		if ctx.Err() != nil {
			t.Error("the answer was read until the deadline")
		}
	})
}

func checkAnswer(ctx context.Context, t *testing.T, client *Client, call Call, data []byte) {
	t.Helper()
	checkError := func(err error) {
		var callErr *Error
		if !errors.As(err, &callErr) {
			t.Fatalf("got %T %v, want an *Error", err, err)
		}
		if callErr.Phase.NotRun() && callErr.Phase != PhaseRefused {
			t.Fatalf("got %v although the request was sent", err)
		}
	}
	upstream, err := client.Forward(ctx, call)
	if err != nil {
		checkError(err)
		return
	}
	defer upstream.Close()
	want := referenceBody(t, data)
	if !upstream.Events {
		body, err := upstream.Body(1 << 20)
		if err != nil {
			checkError(err)
		} else if !bytes.Equal(body, want) {
			t.Fatalf("got body %q, want %q", body, want)
		}
		return
	}
	var text []byte
	for {
		event, number, err := upstream.Next()
		if errors.Is(err, io.EOF) {
			if len(text) != len(want) {
				t.Fatalf("a stream of %d bytes ended as complete after %d", len(want), len(text))
			}
			return
		}
		if err != nil {
			checkError(err)
			return
		}
		text = append(text, event...)
		if number < 0 || !bytes.HasPrefix(want, text) {
			t.Fatalf("got event %d, %q, which does not continue %q", number, event, want)
		}
	}
}

// referenceBody returns what net/http's own parser takes for the body of the answer, up
// to the first error.
func referenceBody(t *testing.T, data []byte) []byte {
	t.Helper()
	source := bufio.NewReader(bytes.NewReader(data))
	for {
		response, err := http.ReadResponse(source, &http.Request{Method: http.MethodGet})
		if err != nil {
			t.Fatalf("an answer was read that net/http can't parse: %v", err)
		}
		if response.StatusCode/100 == 1 && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			body, _ := io.ReadAll(source)
			return body
		}
		body, _ := io.ReadAll(response.Body)
		return body
	}
}
