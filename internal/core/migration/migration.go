// Package migration plans what happens to the streams of a model engine whose
// VM is reclaimed. A stream finishes before the deadline, its KV cache is
// exported and it resumes at another engine, or it is recomputed there.
//
// The package is a set of pure functions. Streams that finish in time use no
// bandwidth and lose nothing. Exports run one after the other over one link, so
// choosing them is a scheduling problem with a common deadline: the plan picks
// exports that save as many recomputed tokens as possible.
package migration

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Action is what happens to a stream.
type Action string

// The actions.
const (
	Finish    Action = "finish"
	Export    Action = "export"
	Recompute Action = "recompute"
)

// Stream is one stream of the engine that is reclaimed.
type Stream struct {
	ID string
	// PromptTokens and DoneTokens are the numbers of prompt tokens and generated
	// tokens in the KV cache. Their sum is the cost of a recomputation.
	PromptTokens int
	DoneTokens   int
	// TokensLeft is the expected number of tokens still to be generated.
	TokensLeft int
	// TokensPerSecond is the stream's decoding rate.
	TokensPerSecond float64
	// ExportBytes is the size of an export of the stream's KV cache now.
	ExportBytes int64
	// KVBytesPerToken is the number of bytes by which the export grows with each
	// token generated before the export starts.
	KVBytesPerToken int64
	// Pinned is true if the stream cannot be exported because no engine can
	// import it.
	Pinned bool
}

// Options configures a plan. Zero values take the defaults below.
type Options struct {
	// TimeLeft is the time until the VM is reclaimed.
	TimeLeft time.Duration
	// ExportBytesPerSecond is the rate of the engine's link for exports.
	// Zero means that nothing can be exported.
	ExportBytesPerSecond float64
	// ExportOverhead is the fixed time of each export besides the transfer.
	ExportOverhead time.Duration
	// SafetyMargin is the fraction of TimeLeft that is not planned for. Default
	// 0.2.
	SafetyMargin float64
	// Disabled turns exports off: streams finish or are recomputed. This is
	// the baseline.
	Disabled bool
}

const defaultSafetyMargin = 0.2

// Decision is the plan for one stream.
type Decision struct {
	Stream string `json:"stream"`
	Action Action `json:"action"`
	// Start and End are counted from the notice. Start is when an export begins,
	// and End is when the export or a finishing stream ends.
	Start time.Duration `json:"start"`
	End   time.Duration `json:"end"`
	// RecomputedTokens is the expected number of tokens to recompute.
	RecomputedTokens int `json:"recomputed_tokens"`
	// Reason explains the decision to operators.
	Reason string `json:"reason"`
}

// Plan is the plan for all streams of one engine.
type Plan struct {
	// Decisions are in the order in which the caller must start them: exports
	// come first, sorted by start.
	Decisions        []Decision `json:"decisions"`
	RecomputedTokens int        `json:"recomputed_tokens"`
	// BaselineTokens is the number of tokens to recompute without migration.
	BaselineTokens int `json:"baseline_tokens"`
}

// The reasons of decisions.
const (
	reasonFinishes = "finishes before the deadline"
	reasonExported = "export fits before the deadline"
	reasonPinned   = "no engine can import its cache"
	reasonTooLong  = "export does not fit before the deadline"
	reasonLinkFull = "exports that save more tokens fill the link"
	reasonNoExport = "the engine exports nothing"
	reasonDisabled = "migration is switched off"
)

// NewPlan returns the plan for the streams of an engine that is reclaimed.
func NewPlan(streams []Stream, options Options) Plan {
	if options.SafetyMargin <= 0 || options.SafetyMargin >= 1 {
		options.SafetyMargin = defaultSafetyMargin
	}
	budget := time.Duration(float64(max(0, options.TimeLeft)) * (1 - options.SafetyMargin))
	planner := newPlanner(streams, budget, options)
	return planner.plan()
}

// planner computes one plan.
type planner struct {
	options Options
	budget  time.Duration
	streams []Stream
	// reasons holds, by index of the stream, why it is not a candidate.
	reasons []string
	// candidates holds the indices of streams whose export fits on its own.
	candidates []int
}

func newPlanner(streams []Stream, budget time.Duration, options Options) *planner {
	p := &planner{options: options, budget: budget, streams: streams, reasons: make([]string, len(streams))}
	for i, stream := range streams {
		p.reasons[i] = p.skipReason(stream)
		if p.reasons[i] == "" {
			p.candidates = append(p.candidates, i)
		}
	}
	return p
}

// skipReason returns why a stream is not a candidate for export, or an empty
// string if it is one.
func (p *planner) skipReason(stream Stream) string {
	switch {
	case p.finishes(stream):
		return reasonFinishes
	case p.options.Disabled:
		return reasonDisabled
	case p.options.ExportBytesPerSecond <= 0:
		return reasonNoExport
	case stream.Pinned:
		return reasonPinned
	case p.maxExportTime(stream) > p.budget:
		return reasonTooLong
	}
	return ""
}

// finishes reports whether a stream ends within the budget.
func (p *planner) finishes(stream Stream) bool {
	return p.finishTime(stream) <= p.budget
}

func (p *planner) finishTime(stream Stream) time.Duration {
	if stream.TokensLeft <= 0 {
		return 0
	}
	return seconds(float64(stream.TokensLeft) / stream.TokensPerSecond)
}

// exportTime returns the duration of an export that begins at start.
func (p *planner) exportTime(stream Stream, start time.Duration) time.Duration {
	generated := min(stream.TokensPerSecond*start.Seconds(), float64(stream.TokensLeft))
	growth := math.Ceil(max(0, generated)) * float64(max(0, stream.KVBytesPerToken))
	bytes := float64(max(0, stream.ExportBytes)) + growth
	return max(0, p.options.ExportOverhead) + seconds(bytes/p.options.ExportBytesPerSecond)
}

// maxExportTime returns the duration of an export that begins as late as
// possible, when it is largest. Exports are chosen by this duration, so that
// they fit in any order.
func (p *planner) maxExportTime(stream Stream) time.Duration {
	return p.exportTime(stream, p.budget)
}

// seconds converts s to a duration, rounded up. NaN, negative and too large
// values give the longest duration.
func seconds(s float64) time.Duration {
	const maxDuration = time.Duration(math.MaxInt64 / 4)
	if !(s >= 0) || s >= maxDuration.Seconds() {
		return maxDuration
	}
	return time.Duration(math.Ceil(s * float64(time.Second)))
}

// recomputedTokens returns the number of tokens to recompute if a stream neither
// finishes nor is exported. It is a lower bound: the KV cache keeps growing until
// the VM is reclaimed, and only the tokens in it now are counted.
func recomputedTokens(stream Stream) int {
	return max(0, stream.PromptTokens) + max(0, stream.DoneTokens)
}

func (p *planner) plan() Plan {
	chosen := p.choose()
	plan := Plan{Decisions: make([]Decision, 0, len(p.streams))}
	start := time.Duration(0)
	for _, i := range chosen {
		end := start + p.exportTime(p.streams[i], start)
		plan.Decisions = append(plan.Decisions, Decision{
			Stream: p.streams[i].ID, Action: Export, Start: start, End: end, Reason: reasonExported,
		})
		start = end
	}
	for i, stream := range p.streams {
		if !p.finishes(stream) {
			plan.BaselineTokens += recomputedTokens(stream)
		}
		if slices.Contains(chosen, i) {
			continue
		}
		plan.Decisions = append(plan.Decisions, p.withoutExport(i))
	}
	for _, decision := range plan.Decisions {
		plan.RecomputedTokens += decision.RecomputedTokens
	}
	return plan
}

func (p *planner) withoutExport(i int) Decision {
	stream := p.streams[i]
	if p.finishes(stream) {
		return Decision{Stream: stream.ID, Action: Finish, End: p.finishTime(stream), Reason: reasonFinishes}
	}
	reason := p.reasons[i]
	if reason == "" {
		reason = reasonLinkFull
	}
	return Decision{Stream: stream.ID, Action: Recompute, RecomputedTokens: recomputedTokens(stream), Reason: reason}
}

// choose returns the streams to export, in the order in which the exports run.
// It makes two greedy selections, by tokens saved per second of link time and by
// tokens saved, and takes the better one, which saves at least half of the
// optimum. Short exports run first, so that most of them complete even if the
// link is slower than assumed.
func (p *planner) choose() []int {
	byRate := p.selectGreedy(func(a, b int) int {
		return cmp.Compare(p.savedPerSecond(b), p.savedPerSecond(a))
	})
	byTokens := p.selectGreedy(func(a, b int) int {
		return cmp.Compare(recomputedTokens(p.streams[b]), recomputedTokens(p.streams[a]))
	})
	chosen := byRate
	if p.savedTokens(byTokens) > p.savedTokens(byRate) {
		chosen = byTokens
	}
	slices.SortStableFunc(chosen, func(a, b int) int {
		return cmp.Compare(p.maxExportTime(p.streams[a]), p.maxExportTime(p.streams[b]))
	})
	return chosen
}

func (p *planner) savedPerSecond(i int) float64 {
	const minExportTime = time.Microsecond
	return float64(recomputedTokens(p.streams[i])) / max(p.maxExportTime(p.streams[i]), minExportTime).Seconds()
}

func (p *planner) savedTokens(chosen []int) int {
	tokens := 0
	for _, i := range chosen {
		tokens += recomputedTokens(p.streams[i])
	}
	return tokens
}

// selectGreedy goes through the candidates in the given order and takes each one
// that still fits into the budget.
func (p *planner) selectGreedy(order func(a, b int) int) []int {
	candidates := slices.Clone(p.candidates)
	slices.SortStableFunc(candidates, order)
	var chosen []int
	used := time.Duration(0)
	for _, i := range candidates {
		need := p.maxExportTime(p.streams[i])
		if used+need > p.budget {
			continue
		}
		used += need
		chosen = append(chosen, i)
	}
	return chosen
}
