// Package migration decides what becomes of the streams of a model engine that
// is reclaimed: finish before the deadline, export the KV cache and resume at
// another engine, or recompute there.
//
// The package is a set of pure functions. Streams that finish need no link and
// lose nothing. Exports share one link and run one after the other, so that
// which of them fit is a scheduling problem with one common deadline: the plan
// takes the exports that save the most recomputed tokens.
package migration

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Action is what becomes of a stream.
type Action string

// The actions.
const (
	Finish    Action = "finish"
	Export    Action = "export"
	Recompute Action = "recompute"
)

// Stream is one stream of the leaving engine.
type Stream struct {
	ID string
	// PromptTokens and DoneTokens are in the KV cache now and are what a
	// recomputation costs.
	PromptTokens int
	DoneTokens   int
	// TokensLeft is the expected number of tokens still to generate.
	TokensLeft int
	// TokensPerSecond is the stream's decoding rate.
	TokensPerSecond float64
	// ExportBytes is the size of the stream's KV cache if exported now.
	ExportBytes int64
	// KVBytesPerToken is what each token adds to it that the stream generates
	// while it waits for its export.
	KVBytesPerToken int64
	// Pinned streams can't be exported, as no engine can import them.
	Pinned bool
}

// Options configures a plan. Zero values take the defaults given.
type Options struct {
	// Left is the time until the VM is reclaimed.
	Left time.Duration
	// ExportBytesPerSecond is the rate of the engine's link for exports.
	// Zero means that nothing can be exported.
	ExportBytesPerSecond float64
	// ExportOverhead is the time that each export takes besides its bytes.
	ExportOverhead time.Duration
	// SafetyMargin is the fraction of Left that is kept free. Default 0.2.
	SafetyMargin float64
	// Disabled gives the baseline without migration: streams finish or are
	// recomputed.
	Disabled bool
}

const defaultSafetyMargin = 0.2

// Decision is the fate of one stream.
type Decision struct {
	Stream string `json:"stream"`
	Action Action `json:"action"`
	// Start is when an export begins, counted from the notice, and End when
	// it or the stream ends.
	Start time.Duration `json:"start"`
	End   time.Duration `json:"end"`
	// RecomputedTokens is the expected number of tokens computed again.
	RecomputedTokens int `json:"recomputed_tokens"`
	// Reason explains the decision to operators.
	Reason string `json:"reason"`
}

// Plan is the fate of all streams of one engine.
type Plan struct {
	// Decisions are in the order in which the caller starts them: exports
	// first, by start.
	Decisions        []Decision `json:"decisions"`
	RecomputedTokens int        `json:"recomputed_tokens"`
	// BaselineTokens is what would be recomputed without migration.
	BaselineTokens int `json:"baseline_tokens"`
}

// The reasons of decisions.
const (
	reasonFinishes   = "finishes before the deadline"
	reasonExported   = "export fits before the deadline"
	reasonPinned     = "no engine can import its cache"
	reasonNoRoom     = "export does not fit before the deadline"
	reasonOutbid     = "exports that save more tokens fill the link"
	reasonNoLink     = "the engine exports nothing"
	reasonNoTransfer = "migration is switched off"
)

// Make plans the streams of an engine that is reclaimed.
func Make(streams []Stream, options Options) Plan {
	if options.SafetyMargin <= 0 || options.SafetyMargin >= 1 {
		options.SafetyMargin = defaultSafetyMargin
	}
	budget := time.Duration(float64(max(0, options.Left)) * (1 - options.SafetyMargin))
	planner := newPlanner(streams, budget, options)
	return planner.plan()
}

// planner holds one plan while it is made.
type planner struct {
	options Options
	budget  time.Duration
	streams []Stream
	reasons []string
	// candidates are the indices of streams whose export fits by itself.
	candidates []int
}

func newPlanner(streams []Stream, budget time.Duration, options Options) *planner {
	p := &planner{options: options, budget: budget, streams: streams, reasons: make([]string, len(streams))}
	for i, stream := range streams {
		p.reasons[i] = p.obstacle(stream)
		if p.reasons[i] == "" {
			p.candidates = append(p.candidates, i)
		}
	}
	return p
}

// obstacle tells why a stream is not a candidate for export, if it is not.
func (p *planner) obstacle(stream Stream) string {
	switch {
	case p.finishes(stream):
		return reasonFinishes
	case p.options.Disabled:
		return reasonNoTransfer
	case p.options.ExportBytesPerSecond <= 0:
		return reasonNoLink
	case stream.Pinned:
		return reasonPinned
	case p.longest(stream) > p.budget:
		return reasonNoRoom
	}
	return ""
}

// finishes tells whether a stream ends within the budget.
func (p *planner) finishes(stream Stream) bool {
	return p.finishTime(stream) <= p.budget
}

func (p *planner) finishTime(stream Stream) time.Duration {
	if stream.TokensLeft <= 0 {
		return 0
	}
	return seconds(float64(stream.TokensLeft) / stream.TokensPerSecond)
}

// exportTime returns how long an export takes that begins at start.
func (p *planner) exportTime(stream Stream, start time.Duration) time.Duration {
	waited := min(stream.TokensPerSecond*start.Seconds(), float64(stream.TokensLeft))
	grown := math.Ceil(max(0, waited)) * float64(max(0, stream.KVBytesPerToken))
	bytes := float64(max(0, stream.ExportBytes)) + grown
	return max(0, p.options.ExportOverhead) + seconds(bytes/p.options.ExportBytesPerSecond)
}

// longest returns how long an export takes at most, whenever it begins. The
// choice of exports counts with it, so that they fit in any order.
func (p *planner) longest(stream Stream) time.Duration {
	return p.exportTime(stream, p.budget)
}

// seconds converts to a duration, rounded up; what is no number or too large
// is as long as can be.
func seconds(s float64) time.Duration {
	const longest = time.Duration(math.MaxInt64 / 4)
	if !(s >= 0) || s >= longest.Seconds() {
		return longest
	}
	return time.Duration(math.Ceil(s * float64(time.Second)))
}

// lostTokens is what is computed again if a stream is not exported. Its cache
// goes on growing until the reclaim, but an exported or finished stream saves
// at least what is there now.
func lostTokens(stream Stream) int {
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
			plan.BaselineTokens += lostTokens(stream)
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
		reason = reasonOutbid
	}
	return Decision{Stream: stream.ID, Action: Recompute, RecomputedTokens: lostTokens(stream), Reason: reason}
}

// choose returns the exports in the order in which they run. It compares two
// choices, by tokens saved for each second of the link and by tokens saved, of
// which the better one saves at least half of what is possible. Short exports
// run first, so that a link slower than assumed still carries most of them.
func (p *planner) choose() []int {
	byRate := p.fill(func(a, b int) int {
		return cmp.Compare(p.savedPerSecond(b), p.savedPerSecond(a))
	})
	byTokens := p.fill(func(a, b int) int {
		return cmp.Compare(lostTokens(p.streams[b]), lostTokens(p.streams[a]))
	})
	chosen := byRate
	if p.saved(byTokens) > p.saved(byRate) {
		chosen = byTokens
	}
	slices.SortStableFunc(chosen, func(a, b int) int {
		return cmp.Compare(p.longest(p.streams[a]), p.longest(p.streams[b]))
	})
	return chosen
}

func (p *planner) savedPerSecond(i int) float64 {
	const shortest = time.Microsecond
	return float64(lostTokens(p.streams[i])) / max(p.longest(p.streams[i]), shortest).Seconds()
}

func (p *planner) saved(chosen []int) int {
	tokens := 0
	for _, i := range chosen {
		tokens += lostTokens(p.streams[i])
	}
	return tokens
}

// fill takes candidates in the given order as long as they fit.
func (p *planner) fill(order func(a, b int) int) []int {
	candidates := slices.Clone(p.candidates)
	slices.SortStableFunc(candidates, order)
	var chosen []int
	used := time.Duration(0)
	for _, i := range candidates {
		need := p.longest(p.streams[i])
		if used+need > p.budget {
			continue
		}
		used += need
		chosen = append(chosen, i)
	}
	return chosen
}
