package fleet

import (
	"maps"
	"math"
	"slices"
	"strconv"
)

// Range bounds a number. Above excludes Min itself.
type Range struct {
	Min, Max float64
	Above    bool
	Unit     string
}

// String returns the range as text, as "1 to 600000 ms".
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

// Contains reports whether a number is in the range.
func (r Range) Contains(n float64) bool {
	if math.IsNaN(n) || n > r.Max {
		return false
	}
	return n > r.Min || n == r.Min && !r.Above
}

func formatNumber(n float64) string {
	return strconv.FormatFloat(n, 'f', -1, 64)
}

// Ranges of the numbers outside of policies.
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

// Ranges of the numbers of a policy.
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

func (v *validator) number(path string, n float64, r Range) {
	if !r.Contains(n) {
		v.add(path, formatNumber(n), r.String())
	}
}

func (v *validator) defaults() {
	p := &v.config.Defaults
	v.override(pathDefaults, &PolicyOverride{
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

// override checks the values that are set.
func (v *validator) override(path string, o *PolicyOverride) {
	checkNumber(v, path+".first_token_target_ms", o.FirstTokenTargetMS, firstTokenRange)
	checkNumber(v, path+".token_gap_target_ms", o.TokenGapTargetMS, tokenGapRange)
	checkNumber(v, path+".deadline_ms", o.DeadlineMS, deadlineRange)
	checkNumber(v, path+".queue_limit", o.QueueLimit, queueRange)
	checkNumber(v, path+".max_attempts", o.MaxAttempts, attemptsRange)
	checkNumber(v, path+".retry_budget_ratio", o.RetryBudgetRatio, retryBudgetRange)
	checkNumber(v, path+".progress_timeout_ms", o.ProgressTimeoutMS, progressRange)
	checkNumber(v, path+".dial_timeout_ms", o.DialTimeoutMS, dialRange)
	checkNumber(v, path+".body_limit_bytes", o.BodyLimitBytes, bodyRange)
	checkNumber(v, path+".answer_limit_bytes", o.AnswerLimitBytes, answerRange)
	checkNumber(v, path+".retention_s", o.RetentionS, retentionRange)
	checkNumber(v, path+".hedge_after_ms", o.HedgeAfterMS, hedgeRange)
	if o.Routing != nil {
		v.oneOf(path+".routing", string(*o.Routing),
			string(RouteExpectedCompletion), string(RouteRoundRobin), string(RouteLeastInFlight))
	}
}

func checkNumber[T int | int64 | float64](v *validator, path string, n *T, r Range) {
	if n != nil {
		v.number(path, float64(*n), r)
	}
}

func sortedKeys[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}
