package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A factor must count less the older it is, as recorded disturbances end: after 600 ms it tells nothing.
func TestFactorDecays(t *testing.T) {
	var s speed
	for at := time.Duration(0); at < 10*time.Second; at += sampleInterval {
		s.observe(at, 1.6)
	}
	s.observe(10*time.Second, 4)
	calm := s.slowness(20 * time.Second)
	if calm < 1.5 || calm > 1.7 {
		t.Fatalf("own speed %.2f, the server reported 1.6", calm)
	}
	for _, c := range []struct {
		age         time.Duration
		still, most float64
	}{{0, 1, 1}, {100 * time.Millisecond, 0.75, 0.9}, {300 * time.Millisecond, 0.35, 0.55}, {600 * time.Millisecond, 0, 0}} {
		left := (s.slowness(10*time.Second+c.age) - calm) / (4 - calm)
		if left < c.still-1e-9 || left > c.most+1e-9 {
			t.Errorf("after %v %.2f of the disturbance counts, want %.2f to %.2f", c.age, left, c.still, c.most)
		}
	}
}

// Disturbances must not pass for the server's own speed, and a single report must not either.
func TestOwnSpeedWithoutDisturbances(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, own := range []float64{0.6, 1, 1.6} {
		var s speed
		s.observe(0, own*2.5)
		if single := s.slowness(time.Minute); single >= own*2.5 && own > 0.6 {
			t.Errorf("after one report of %.1f the own speed is %.2f, as if it were certain", own*2.5, single)
		}
		now, disturbedUntil := time.Minute, time.Duration(0)
		for range 2000 {
			now += time.Duration(random.Int64N(int64(100 * time.Millisecond)))
			if now > disturbedUntil+500*time.Millisecond && random.IntN(60) == 0 {
				disturbedUntil = now + 500*time.Millisecond
			}
			factor := own
			if now < disturbedUntil {
				factor *= 2.5
			}
			s.observe(now, factor)
			if now > 70*time.Second && (s.base < 0.9*own || s.base > 1.1*own) {
				t.Fatalf("at %v the own speed is %.2f, the server's is %.2f", now, s.base, own)
			}
		}
	}
}

// Whatever servers and other entries report, in any order and with any age, predictions are finite and
// positive, and a server that reports the highest factor isn't predicted to begin later than a disturbance lasts.
func TestAnyReportsKeepPredictionsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(1)
		p.SetServers([]Server{{Name: "e", Service: "models", Slots: 8, CacheTokens: 100_000}, {Name: "a", Service: "calls", Slots: 6}})
		now := time.Minute
		usual := map[string]time.Duration{}
		size := RequestSize{PromptTokens: 1000, OutputTokens: 10}
		for _, service := range []string{"models", "calls"} {
			d, _ := p.Pick(now, &Request{Service: service, Size: size})
			usual[service] = d.StartDelay
		}
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now += time.Duration(rapid.IntRange(0, 3_000_000_000).Draw(t, "wait"))
			instance := rapid.SampledFrom([]string{"e", "a", "unknown"}).Draw(t, "instance")
			load := Load{
				Running: 0, Waiting: 0,
				Factor: rapid.SampledFrom([]float64{0, 0.1, 0.6, 1, 2.5, 100}).Draw(t, "factor"),
			}
			if rapid.Bool().Draw(t, "own") {
				p.ObserveLoad(now, instance, load)
			} else {
				p.ObserveAnnounced(now, instance, LoadReport{
					Load: load, Age: time.Duration(rapid.Int64Range(-1, int64(time.Hour)).Draw(t, "age")), Pace: rapid.Float64Range(0, 1e9).Draw(t, "pace"),
				})
			}
			for service, usual := range usual {
				d, ok := p.Pick(now, &Request{Service: service, Size: size})
				most := time.Duration(maxSlowness*float64(usual)) + disturbanceLife
				if !ok || d.StartDelay <= 0 || d.StartDelay > most {
					t.Fatalf("%s: predicted %v, want above 0 and at most %v", service, d.StartDelay, most)
				}
			}
			if rate := p.Work(now)["models"].Rate; math.IsNaN(rate) || rate < 0 {
				t.Fatalf("rate %v", rate)
			}
		}
	})
}

// The learned rate is that of an average server: engines that are all disturbed, and say so, must not be learned as
// engines that read half as fast, since scaling would order twice as many.
func TestRateIsIndependentOfFactors(t *testing.T) {
	learned := func(factor float64) float64 {
		p := New(1)
		p.SetServers([]Server{{Name: "e", Service: "models", Slots: 32, CacheTokens: 700_000}})
		now := time.Duration(0)
		for i := range 400 {
			now += time.Second
			size := RequestSize{PromptTokens: 500 + 900*(i%5), OutputTokens: 10}
			d, _ := p.Pick(now, &Request{Service: "models", Size: size})
			job := NewJob(JobID{Origin: 1, Number: uint64(i + 1)}, d, size)
			p.Placed(now, job)
			begins := now + duration(factor*(10+job.Work/70))
			p.ObserveLoad(begins, "e", Load{Running: 1, Factor: factor})
			p.Started(begins, job.ID, true)
			p.Ended(begins, job.ID, ResultAnswered)
		}
		return p.startModelOf("models").rate
	}
	usual := learned(1)
	for _, factor := range []float64{0.6, 1.6, 2.5} {
		if rate := learned(factor); math.Abs(rate/usual-1) > 0.05 {
			t.Errorf("%.1f tokens a millisecond learned at servers with the factor %.1f, %.1f at usual ones", rate, factor, usual)
		}
	}
}

// A server that has been restarted may have another speed: what it reported before must not count.
func TestRestartForgetsReports(t *testing.T) {
	p := New(1)
	p.SetServers([]Server{{Name: "e", Service: "models", Slots: 8, CacheTokens: 100_000}})
	request := &Request{Service: "models", Size: RequestSize{PromptTokens: 1000, OutputTokens: 10}}
	before, _ := p.Pick(0, request)
	p.ObserveLoad(0, "e", Load{Factor: 4})
	p.Restarted("e")
	if after, _ := p.Pick(0, request); after.StartDelay != before.StartDelay {
		t.Errorf("predicted %v, %v before any report", after.StartDelay, before.StartDelay)
	}
}
