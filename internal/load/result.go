package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the longest latency that is recorded, in microseconds.
	histogramMax = int64(time.Hour / time.Microsecond)
	// histogramDigits is the number of significant digits that are recorded.
	histogramDigits = 3
)

// Percentiles are latencies in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Group is the result of the requests of one class or customer, or of all.
type Group struct {
	Sent    int `json:"sent"`
	Full    int `json:"full"`
	Inside  int `json:"inside_target"`
	Refused int `json:"refused"`
	Broken  int `json:"broken"`
	Wrong   int `json:"wrong"`
	// Abandoned counts the streams whose caller disconnected. The shares below leave
	// them out.
	Abandoned int `json:"abandoned"`
	// InsideOfSent is the share of all requests that met the targets.
	// InsideOfAccepted is their share of the requests that were not refused.
	InsideOfSent     float64     `json:"inside_of_sent"`
	InsideOfAccepted float64     `json:"inside_of_accepted"`
	FirstToken       Percentiles `json:"first_token"`
	TokenGap         Percentiles `json:"token_gap"`
	Completion       Percentiles `json:"completion"`
	Refusal          Percentiles `json:"refusal"`
}

// Refusal counts the refusals with one reason and stated outcome.
type Refusal struct {
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
	Count   int    `json:"count"`
}

// Tokens compares what the stand-ins computed with what callers needed.
type Tokens struct {
	Decoded   int64 `json:"decoded"`
	Delivered int64 `json:"delivered"`
	// Recomputed is the number of tokens that were decoded but not delivered.
	Recomputed int64 `json:"recomputed"`
	Prefill    int64 `json:"prefill"`
	Cached     int64 `json:"cached"`
	// PromptNeeded counts the prompt tokens of each request that got a token, once per
	// request.
	PromptNeeded int64 `json:"prompt_needed"`
	// PrefillRepeated counts the prompt tokens that were computed or found in a cache
	// beyond PromptNeeded.
	PrefillRepeated int64 `json:"prefill_repeated"`
	Cancelled       int64 `json:"cancelled"`
}

// Result is the result of a run.
type Result struct {
	Seed            uint64           `json:"seed"`
	RatePerSecond   float64          `json:"rate_per_second"`
	DurationSeconds float64          `json:"duration_s"`
	Offered         int              `json:"offered"`
	NotSent         int              `json:"not_sent"`
	All             Group            `json:"all"`
	Classes         map[string]Group `json:"classes"`
	Customers       map[string]Group `json:"customers"`
	Refusals        []Refusal        `json:"refusals"`
	// Unstated counts the refusals that do not state whether the request ran.
	Unstated int `json:"unstated"`
	// NoRetryAfter counts the requests that got a refusal with status 429 or 503 and no
	// Retry-After.
	NoRetryAfter int            `json:"no_retry_after"`
	BrokenBy     map[string]int `json:"broken_by"`
	WrongBy      map[string]int `json:"wrong_by"`
	Resumes      int            `json:"resumes"`
	Resends      int            `json:"resends"`
	Retries      int            `json:"retries"`
	DialErrors   int            `json:"dial_errors"`
	// Doubled counts the bookings that ran more than once.
	Doubled int `json:"doubled_runs"`
	// Missing counts the bookings that got a full answer but did not run.
	Missing int `json:"missing_runs"`
	// FalseNotRuns counts the refusals with outcome not-run of a request that ran.
	FalseNotRuns int `json:"not_run_that_ran"`
	// Unaudited lists the stand-ins that did not respond at the end. Their last report
	// counts.
	Unaudited []string `json:"unaudited"`
	Tokens    Tokens   `json:"tokens"`
	// Price is the price of the backend servers during the run.
	Price float64 `json:"price"`
	// PricePer1000 is the price per 1,000 requests that met the targets. It is 0 if none
	// did or no price is known.
	PricePer1000 float64 `json:"price_per_1000_inside"`
}

// Faults returns the number of outcomes that must never occur.
func (r *Result) Faults() int {
	return r.All.Wrong + r.Doubled + r.Missing + r.FalseNotRuns
}

// group aggregates outcomes into a Group.
type group struct {
	Group
	first, gap, completion, refusal *hdrhistogram.Histogram
}

func newGroup() *group {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	return &group{first: newHistogram(), gap: newHistogram(), completion: newHistogram(), refusal: newHistogram()}
}

// record adds a latency to a histogram, whose unit is a microsecond.
func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	micros := min(max(latency.Microseconds(), 1), histogramMax)
	_ = histogram.RecordValue(micros)
}

// add counts one outcome.
func (g *group) add(o *outcome, inside bool) {
	g.Sent++
	switch o.ending {
	case endFull:
		g.Full++
		record(g.first, o.first)
		record(g.completion, o.total)
	case endRefused:
		g.Refused++
		record(g.refusal, o.total)
	case endBroken:
		g.Broken++
	case endWrong:
		g.Wrong++
	case endAbandoned:
		g.Abandoned++
	}
	if inside {
		g.Inside++
	}
	for _, gap := range o.gaps {
		record(g.gap, gap)
	}
}

// result returns the Group with its shares and percentiles.
func (g *group) result() Group {
	summary := g.Group
	summary.InsideOfSent = ratio(summary.Inside, summary.Sent-summary.Abandoned)
	summary.InsideOfAccepted = ratio(summary.Inside, summary.Sent-summary.Abandoned-summary.Refused)
	summary.FirstToken = percentiles(g.first)
	summary.TokenGap = percentiles(g.gap)
	summary.Completion = percentiles(g.completion)
	summary.Refusal = percentiles(g.refusal)
	return summary
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Percentiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}
