package entry_test

import (
	"bytes"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingcart/internal/configdelta"
	"waxwingcart/internal/core/docdiff"
	"waxwingcart/internal/entry"
	"waxwingcart/internal/wire"
	"waxwingcart/platform"
)

// costDocument returns a document of which one route depends on the number.
func costDocument(number, count int) []byte {
	var content bytes.Buffer
	fmt.Fprintf(&content, `{"version":%d,"routes":[`, number)
	for i := range count {
		if i > 0 {
			content.WriteByte(',')
		}
		attempts := 2
		if i == count/2 {
			attempts = number
		}
		fmt.Fprintf(&content, `{"name":"route-%d","host":"h%d.example","path_prefix":"/v1/","type":"safe","timeout_ms":1500,"slo_ms":150,"service":"app","attempts":%d}`, i, i, attempts)
	}
	content.WriteString(`],"services":[{"name":"app"}],"tenants":[]}`)
	return content.Bytes()
}

// maxCostRatio bounds the cost of a change at 20,000 routes, divided by that at 200.
const maxCostRatio = 3.0

// changeResponse returns a replica's response to an entry that holds the document with a digest.
func changeResponse(t testing.TB, store *configdelta.Store, number int, content, held []byte) *wire.FetchConfigResponse {
	response := &wire.FetchConfigResponse{Revision: uint64(number), Confirmed: true, Deltas: []*wire.ConfigDelta{{
		Revision: uint64(number), Complete: true,
		Items: []*wire.ConfigItem{{Path: "numbered", Json: fmt.Appendf(nil, `{"number":%d,"content":%s}`, number, content)}},
	}}}
	if len(held) == 0 {
		return response
	}
	if err := store.Fill(&wire.FetchConfigRequest{TakesDocument: true, HeldDigest: held}, response); err != nil {
		t.Fatal(err)
	}
	return response
}

// eachChange puts changes of one route in force at an entry, and passes the number of each and a function that applies it.
func eachChange(t testing.TB, count, changes int, measure func(apply func())) {
	e := entry.NewStopped(&entry.RoutedOptions{Decode: platform.DecodeDocument, DecodeChange: platform.DecodeChange})
	store := configdelta.NewStore(prometheus.NewRegistry())
	first := costDocument(1, count)
	e.ApplyConfig(changeResponse(t, store, 1, first, nil))
	digest := docdiff.Parse(first, nil).Digest()
	held := digest[:]
	if err := store.Put(1, fmt.Appendf(nil, `{"number":1,"content":%s}`, first)); err != nil {
		t.Fatal(err)
	}
	for n := 2; n < 2+changes; n++ {
		response := changeResponse(t, store, n, costDocument(n, count), held)
		held = response.Document.Digest
		measure(func() { e.ApplyConfig(response) })
		if e.ConfigNumber() != uint64(n) {
			t.Fatalf("document %d is not in force", n)
		}
	}
}

// allocatedPerChange returns the bytes that an entry allocates for one changed route.
func allocatedPerChange(t testing.TB, count int) float64 {
	const changes = 20
	total := uint64(0)
	eachChange(t, count, changes, func(apply func()) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		apply()
		runtime.ReadMemStats(&after)
		total += after.TotalAlloc - before.TotalAlloc
	})
	return float64(total) / changes
}

// An entry must not read, copy or index a whole document for one changed route: what it allocates for one
// doesn't grow with the number of routes.
func TestChangeAllocatesInProportion(t *testing.T) {
	small, large := allocatedPerChange(t, 200), allocatedPerChange(t, 20_000)
	if ratio := large / small; ratio > maxCostRatio {
		t.Errorf("got %.0f bytes for a change at 20000 routes and %.0f at 200, a ratio of %.1f, want at most %.1f", large, small, ratio, maxCostRatio)
	} else {
		t.Logf("%.0f bytes at 20000 routes, %.0f at 200, a ratio of %.2f", large, small, ratio)
	}
}

// changeCost returns the median and the mean time that an entry takes to put one changed route in force.
func changeCost(t testing.TB, count int) (median, mean time.Duration) {
	const changes = 300
	var costs []time.Duration
	eachChange(t, count, changes, func(apply func()) {
		started := time.Now()
		apply()
		costs = append(costs, time.Since(started))
	})
	slices.Sort(costs)
	for _, cost := range costs {
		mean += cost / changes
	}
	return costs[len(costs)/2], mean
}

// BenchmarkChange prints the cost of one change at an entry with 20,000 routes, divided by that with 200.
func BenchmarkChange(b *testing.B) {
	for b.Loop() {
		small, smallMean := changeCost(b, 200)
		large, largeMean := changeCost(b, 20_000)
		b.ReportMetric(float64(small.Microseconds()), "µs/200")
		b.ReportMetric(float64(large.Microseconds()), "µs/20000")
		b.ReportMetric(float64(large)/float64(small), "ratio")
		b.ReportMetric(float64(largeMean)/float64(smallMean), "mean-ratio")
	}
}
