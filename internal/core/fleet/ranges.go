package fleet

import (
	"maps"
	"math"
	"slices"
	"strconv"
)

// Range is the range of valid values of a number, including both ends unless
// Above is set, which excludes Min.
type Range struct {
	Min, Max float64
	Above    bool
	Unit     string
}

// String formats the range, for example as "1 to 600000 ms".
func (r Range) String() string {
	from := formatNumber(r.Min)
	if r.Above {
		from = "above " + from
	}
	text := from + " to " + formatNumber(r.Max)
	if r.Unit != "" {
		text += " " + r.Unit
	}
	return text
}

// Contains reports whether n is in the range.
func (r Range) Contains(n float64) bool {
	if math.IsNaN(n) || n > r.Max {
		return false
	}
	return n > r.Min || n == r.Min && !r.Above
}

func formatNumber(n float64) string {
	return strconv.FormatFloat(n, 'f', -1, 64)
}

// Valid ranges of numbers outside Policy.
var (
	zoneDelayRange      = Range{Min: 0, Max: 10_000, Unit: "ms"}
	priceRange          = Range{Min: 0, Max: 1e6}
	classTokensRange    = Range{Min: 0, Max: 1e7, Unit: "tokens/s"}
	slotsRange          = Range{Min: 1, Max: 100_000}
	kvBytesRange        = Range{Min: 0, Max: 1 << 24, Unit: "bytes"}
	exportRateRange     = Range{Min: 0, Max: 1e12, Unit: "bytes/s"}
	rateRange           = Range{Min: 0, Max: 1e6, Unit: "requests/s"}
	meanTokensRange     = Range{Min: 0, Max: 1e6, Unit: "tokens"}
	weightRange         = Range{Min: 0, Max: 1_000, Above: true}
	customerRateRange   = Range{Min: 0, Max: 1e6, Above: true, Unit: "requests/s"}
	customerTokensRange = Range{Min: 0, Max: 1e8, Above: true, Unit: "tokens/s"}
	inFlightRange       = Range{Min: 1, Max: 1e6, Unit: "requests"}
)

// Valid ranges of the numbers of a Policy.
var (
	firstTokenRange  = Range{Min: 1, Max: 600_000, Unit: "ms"}
	tokenGapRange    = Range{Min: 1, Max: 60_000, Unit: "ms"}
	deadlineRange    = Range{Min: 10, Max: 3_600_000, Unit: "ms"}
	queueRange       = Range{Min: 0, Max: 100_000, Unit: "requests"}
	attemptsRange    = Range{Min: 1, Max: 10}
	retryBudgetRange = Range{Min: 0, Max: 1}
	progressRange    = Range{Min: 50, Max: 600_000, Unit: "ms"}
	dialRange        = Range{Min: 10, Max: 60_000, Unit: "ms"}
	bodyRange        = Range{Min: 1 << 10, Max: 64 << 20, Unit: "bytes"}
	answerRange      = Range{Min: 0, Max: 1 << 20, Unit: "bytes"}
	retentionRange   = Range{Min: 3_600, Max: 604_800, Unit: "s"}
	hedgeRange       = Range{Min: 0, Max: 60_000, Unit: "ms"}
)

func (v *validator) checkRange(path string, n float64, r Range) {
	if !r.Contains(n) {
		v.addProblem(path, formatNumber(n), r.String())
	}
}

func (v *validator) checkDefaults() {
	p := &v.config.Defaults
	v.checkOverride(pathDefaults, &PolicyOverride{
		FirstTokenTargetMS: &p.FirstTokenTargetMS,
		TokenGapTargetMS:   &p.TokenGapTargetMS,
		DeadlineMS:         &p.DeadlineMS,
		QueueLimit:         &p.QueueLimit,
		MaxAttempts:        &p.MaxAttempts,
		RetryBudgetRatio:   &p.RetryBudgetRatio,
		ProgressTimeoutMS:  &p.ProgressTimeoutMS,
		DialTimeoutMS:      &p.DialTimeoutMS,
		BodyLimitBytes:     &p.BodyLimitBytes,
		AnswerLimitBytes:   &p.AnswerLimitBytes,
		RetentionS:         &p.RetentionS,
		Routing:            &p.Routing,
		PrefixAffinity:     &p.PrefixAffinity,
		Migration:          &p.Migration,
		HedgeAfterMS:       &p.HedgeAfterMS,
	})
}

// checkOverride checks the values that are set.
func (v *validator) checkOverride(path string, o *PolicyOverride) {
	checkOptional(v, path+".first_token_target_ms", o.FirstTokenTargetMS, firstTokenRange)
	checkOptional(v, path+".token_gap_target_ms", o.TokenGapTargetMS, tokenGapRange)
	checkOptional(v, path+".deadline_ms", o.DeadlineMS, deadlineRange)
	checkOptional(v, path+".queue_limit", o.QueueLimit, queueRange)
	checkOptional(v, path+".max_attempts", o.MaxAttempts, attemptsRange)
	checkOptional(v, path+".retry_budget_ratio", o.RetryBudgetRatio, retryBudgetRange)
	checkOptional(v, path+".progress_timeout_ms", o.ProgressTimeoutMS, progressRange)
	checkOptional(v, path+".dial_timeout_ms", o.DialTimeoutMS, dialRange)
	checkOptional(v, path+".body_limit_bytes", o.BodyLimitBytes, bodyRange)
	checkOptional(v, path+".answer_limit_bytes", o.AnswerLimitBytes, answerRange)
	checkOptional(v, path+".retention_s", o.RetentionS, retentionRange)
	checkOptional(v, path+".hedge_after_ms", o.HedgeAfterMS, hedgeRange)
	if o.Routing != nil {
		v.checkOneOf(path+".routing", string(*o.Routing),
			string(RouteExpectedCompletion), string(RouteRoundRobin), string(RouteLeastInFlight))
	}
}

func checkOptional[T int | int64 | float64](v *validator, path string, n *T, r Range) {
	if n != nil {
		v.checkRange(path, float64(*n), r)
	}
}

func sortedKeys[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}
