package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Print writes the result as human-readable tables.
func (r *Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "seed %d, %.3g requests/s offered, %.1f s, %d requests, %d not sent for want of connections\n\n",
		r.Seed, r.RatePerSecond, r.DurationSeconds, r.Offered, r.NotSent)
	fmt.Fprintln(w, "requests\tsent\tfull\tinside target\trefused\tbroken\twrong\tof sent\tof accepted")
	r.eachGroup(func(name string, g Group) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f%%\n", name, g.Sent, g.Full, g.Inside,
			g.Refused, g.Broken, g.Wrong, 100*g.InsideOfSent, 100*g.InsideOfAccepted)
	})
	fmt.Fprintln(w, "\nlatency in ms (p50/p95/p99/max)\tfirst token\ttoken gap\tcompletion\trefusal")
	r.eachGroup(func(name string, g Group) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", name, g.FirstToken, g.TokenGap, g.Completion, g.Refusal)
	})
	if len(r.Refusals) > 0 {
		fmt.Fprintln(w, "\nrefusals by reason\toutcome\tcount")
	}
	for _, refusal := range r.Refusals {
		fmt.Fprintf(w, "%s\t%s\t%d\n", refusal.Reason, refusal.Outcome, refusal.Count)
	}
	fmt.Fprintln(w)
	r.printCounts(w)
	return w.Flush()
}

// eachGroup calls f for the group of all requests and for those of each class and
// each customer.
func (r *Result) eachGroup(f func(name string, g Group)) {
	f("all", r.All)
	for _, class := range slices.Sorted(maps.Keys(r.Classes)) {
		f(class, r.Classes[class])
	}
	for _, customer := range slices.Sorted(maps.Keys(r.Customers)) {
		f("customer "+customer, r.Customers[customer])
	}
}

func (r *Result) printCounts(w io.Writer) {
	fmt.Fprintf(w, "broken by\t%s\n", formatCounts(r.BrokenBy))
	fmt.Fprintf(w, "wrong by\t%s\n", formatCounts(r.WrongBy))
	fmt.Fprintf(w, "refusals without outcome, without Retry-After\t%d, %d\n", r.Unstated, r.NoRetryAfter)
	fmt.Fprintf(w, "resumed, resent, retried\t%d, %d, %d\n", r.Resumes, r.Resends, r.Retries)
	fmt.Fprintf(w, "entries not reached\t%d\n", r.DialErrors)
	fmt.Fprintf(w, "abandoned by callers, cancelled at engines\t%d, %d\n", r.All.Abandoned, r.Tokens.Cancelled)
	fmt.Fprintf(w, "doubled runs\t%d\n", r.Doubled)
	fmt.Fprintf(w, "answered and not run\t%d\n", r.Missing)
	fmt.Fprintf(w, "said not-run and ran\t%d\n", r.FalseNotRuns)
	t := r.Tokens
	fmt.Fprintf(w, "tokens decoded, delivered, recomputed\t%d, %d, %d\n", t.Decoded, t.Delivered, t.Recomputed)
	fmt.Fprintf(w, "prompt tokens computed, from cache, repeated\t%d, %d, %d\n", t.Prefill, t.Cached, t.PrefillRepeated)
	fmt.Fprintf(w, "price, per 1,000 inside target\t%.4f, %.4f\n", r.Price, r.PricePer1000)
	if len(r.Unaudited) > 0 {
		fmt.Fprintf(w, "stand-ins gone at the end\t%s\n", strings.Join(r.Unaudited, ", "))
	}
}

// String returns the percentiles as the table shows them.
func (p Percentiles) String() string {
	if p.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f/%.1f", p.P50, p.P95, p.P99, p.Max)
}

func formatCounts(by map[string]int) string {
	if len(by) == 0 {
		return "none"
	}
	parts := []string{}
	for _, name := range slices.Sorted(maps.Keys(by)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, by[name]))
	}
	return strings.Join(parts, ", ")
}
