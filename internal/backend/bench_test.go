package backend_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"waxwingcart/internal/answers"
	"waxwingcart/internal/backend"
)

func discardBody(b *testing.B, response *backend.Response, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
}

// BenchmarkDo compares calls on a reused connection with calls that each use a new
// connection.
func BenchmarkDo(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	for _, repeatable := range []bool{true, false} {
		b.Run(fmt.Sprintf("repeatable=%t", repeatable), func(b *testing.B) {
			c := backend.New(backend.Options{})
			defer c.Close()
			b.ReportAllocs()
			for b.Loop() {
				response, err := c.Do(context.Background(), booking(server.Listener.Addr().String(), "r-1", repeatable))
				discardBody(b, response, err)
			}
		})
	}
}

// BenchmarkStream measures the cost of one event of a long stream.
func BenchmarkStream(b *testing.B) {
	event := []byte("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"0123abcd-17 \"}}]}\n\n")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Stream-Id", "s")
		for i := 0; r.Context().Err() == nil; i++ {
			fmt.Fprintf(w, string(event), i)
		}
	}))
	defer server.Close()
	c := backend.New(backend.Options{})
	open := func() *backend.Stream {
		s, err := c.Stream(context.Background(), completion(server.Listener.Addr().String(), "r-1", "p", 1))
		if err != nil {
			b.Fatal(err)
		}
		return s
	}
	s := open()
	defer func() { s.Close() }()
	b.ReportAllocs()
	for b.Loop() {
		_, err := s.Next()
		if err == nil {
			continue
		}
		if answers.KindOf(err) != answers.KindBody {
			b.Fatal(err)
		}
		// The stream has reached its bound.
		s.Close()
		s = open()
	}
}

// BenchmarkIdleServers measures the memory per server with one idle connection.
func BenchmarkIdleServers(b *testing.B) {
	const servers = 500
	var addresses []string
	for range servers {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		defer server.Close()
		addresses = append(addresses, server.Listener.Addr().String())
	}
	for b.Loop() {
		c := backend.New(backend.Options{})
		before := memoryInUse()
		for _, address := range addresses {
			response, err := c.Do(context.Background(), booking(address, "r-1", true))
			discardBody(b, response, err)
		}
		// This includes the server side of the connections, which is in the
		// same process.
		b.ReportMetric(float64(memoryInUse()-before)/servers, "B/server")
		c.Close()
	}
}

// memoryInUse returns the memory in use by heap and stacks.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
