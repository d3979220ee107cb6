package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/phuslu/log"

	"waxwingcart/internal/crashguard"
)

// benchLoss is the share of datagrams that BenchmarkQuarantine loses.
const benchLoss = 0.02

// BenchmarkQuarantine reports what a barred prompt part costs a deployment of 80 entries in 4
// zones, of whose datagrams one in fifty is lost: the time until all entries know the bar, and
// the datagrams and bytes of all entries until then and in each second that it holds.
func BenchmarkQuarantine(b *testing.B) {
	const held = 60 * time.Second
	for range b.N {
		d := newBenchDeployment()
		now, random := time.Hour, rand.New(rand.NewPCG(1, 2))
		for _, e := range d.entries {
			e.startedAt, e.clock, e.logger = 0, func() time.Duration { return now }, &log.Logger{Level: log.PanicLevel}
			e.guard = newCrashGuard(e)
		}
		prompt := func(id string) crashguard.Request {
			return crashguard.NewRequest(crashguard.Call{ID: id, Service: "models", Model: "m", Customer: "heirs", Parts: []string{"f1", "5a", "bad0", id}})
		}
		sound := crashguard.NewRequest(crashguard.Call{ID: "sound", Service: "models", Model: "m", Customer: "heirs", Parts: []string{"f1", "own"}})
		d.lost = func() bool { return random.Float64() < benchLoss }
		tick := func() {
			d.tick(b, now)
			now += batchDelay
		}
		barred := func() (entries int) {
			for _, e := range d.entries {
				entries += min(e.guard.Repeat(), 1)
			}
			return entries
		}
		const crashes = 3
		for i := range crashes {
			for _, e := range d.entries {
				for range 4 {
					e.guard.Begun(&sound, "")
				}
			}
			p := prompt(fmt.Sprint("bad-", i))
			server := crashguard.Attempt{Instance: fmt.Sprint("i-", i), Placed: now - 50*time.Millisecond}
			d.entries[i*17].guard.Crashed(&p, server, true, false, now)
			for range 10 * min(crashes-1-i, 1) {
				tick()
			}
		}
		from := now
		for barred() < benchEntries {
			tick()
		}
		b.ReportMetric(float64((now-from)/time.Millisecond), "ms-to-all")
		b.ReportMetric(float64(d.datagrams), "datagrams-to-all")
		b.ReportMetric(float64(d.bytes), "bytes-to-all")
		datagrams, bytes := d.datagrams, d.bytes
		for from = now; now < from+held; {
			barred()
			tick()
		}
		b.ReportMetric(float64(d.datagrams-datagrams)/held.Seconds(), "datagrams/s")
		b.ReportMetric(float64(d.bytes-bytes)/held.Seconds(), "bytes/s")
	}
}
