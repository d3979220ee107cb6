package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/intake"
)

// BenchmarkCallerPath measures one request in calm from a caller's connection to the
// end of its answer, with a backend server in the same process.
func BenchmarkCallerPath(b *testing.B) {
	for _, kB := range []int{0, 1, 12, 72} {
		b.Run(fmt.Sprintf("body=%dkB", kB), func(b *testing.B) {
			engine := &versionEngine{version: "v1"}
			engine.rejects.Store(http.StatusOK)
			e := newTakeUpEntry(b, engine)
			e.opts.Intake = intake.NewBudget(64<<20, e.logger, prometheus.NewRegistry())
			conn, err := net.Dial("tcp", serveCallers(b, e, &http.Server{}))
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			answers := bufio.NewReader(conn)
			request := fmt.Sprintf("POST /public/1 HTTP/1.1\r\nHost: desk.example\r\nId: bench\r\nContent-Length: %d\r\n\r\n%s", kB<<10, strings.Repeat("x", kB<<10))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(conn, request); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(answers, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				if response.StatusCode != http.StatusOK {
					b.Fatalf("got status %d, want 200", response.StatusCode)
				}
			}
		})
	}
}
