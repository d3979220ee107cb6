package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// endlessConcurrent is the number of answers without end that an entry must bear at
// once.
const endlessConcurrent = 200

// manyHeaders is a head of short lines, which take most memory for their bytes.
func manyHeaders(bytes int) string {
	var b strings.Builder
	b.WriteString(endlessHead)
	for i := 0; b.Len() < bytes; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// Checks that the memory for 200 answers that are read at once leaves most of the
// smallest VM, 184 MB, to the rest of the entry. Each answer ends in a silence, in
// which the memory in use is measured.
func TestEndlessAnswersShareMemory(t *testing.T) {
	const maxMemory = 90 << 20
	for name, answer := range map[string]string{
		"bodies":                 endlessHead + "Content-Length: 10000000\r\n\r\n" + strings.Repeat("x", 1<<20),
		"events":                 endlessEvents + "id: 0\ndata: " + strings.Repeat("x", 200<<10),
		"heads":                  manyHeaders(60<<10) + "Content-Length: 100000000\r\n\r\n",
		"heads within the bound": manyHeaders(15 << 10),
	} {
		t.Run(name, func(t *testing.T) {
			before := liveMemory()
			done := readAtOnce(t, answer)
			used := liveMemory() - before
			done()
			if used > maxMemory {
				t.Errorf("%d answers take %d MB, want at most %d MB", endlessConcurrent, used>>20, maxMemory>>20)
			}
		})
	}
}

// readAtOnce reads the answer on many connections until the servers have sent all of
// it or their connections are closed. The returned function ends the calls.
func readAtOnce(t *testing.T, answer string) (done func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var sent sync.WaitGroup
	sent.Add(endlessConcurrent)
	stop := make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, answer)
				sent.Done()
				<-stop
			}()
		}
	}()
	client := New(Options{})
	ctx, cancel := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	var reading atomic.Int64
	for range endlessConcurrent {
		calls.Go(func() {
			call := Call{Step: "dispatch", Address: listener.Addr().String(), Method: http.MethodGet, Path: "/x", DialTimeout: time.Hour, ProgressTimeout: time.Hour}
			reading.Add(1)
			_ = readWhole(ctx, client, call)
			reading.Add(-1)
		})
	}
	sent.Wait()
	// What is still in the buffers of the sockets is read within moments.
	time.Sleep(time.Second)
	t.Logf("%d answers are still being read", reading.Load())
	return func() {
		cancel()
		calls.Wait()
		close(stop)
		client.Close()
	}
}

// liveMemory is the memory in use after a collection.
func liveMemory() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
