package crashguard

import (
	"fmt"
	"testing"
)

// BenchmarkNewRequest measures what the identity of a request costs, by the size of its body.
func BenchmarkNewRequest(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10, 1 << 20} {
		call := Call{ID: "r-1", Service: "models", Model: "m", Customer: "heirs", Parts: []string{"a", "b", "own"}, Method: "POST", Host: "desk.example", Target: "/dossiers/1", Body: make([]byte, size)}
		b.Run(fmt.Sprintf("%d bytes", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_ = NewRequest(call)
			}
		})
	}
}
