package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"waxwingcart/internal/standin"
)

// request is one request to send, with the answer that is right.
type request struct {
	number   int
	at       time.Duration // since the start
	class    string
	customer string
	bearer   string
	method   string
	path     string
	body     []byte
	key      string // Idempotency-Key
	twin     *bookingPair
	abandon  bool // the caller goes away after abandonAfter tokens
	prompt   int  // prompt tokens
	answer   string
	digest   string // of an application's answer
}

// abandonAfter is the number of tokens after which some callers go away.
const abandonAfter = 2

// streamed reports whether the answer is a stream.
func (r *request) streamed() bool {
	return r.class == ClassBriefing || r.class == ClassAnswer
}

// traffic draws requests from a seeded source.
type traffic struct {
	opts      Options
	random    *rand.Rand
	customers []string
	shares    []float64
	parts     []float64
	prefixes  []string
	made      int
	at        time.Duration
	started   string
}

// newTraffic prepares the traffic of one run. Keys carry the time of the start,
// for the records of an earlier run with the same seed may be kept.
func newTraffic(opts Options) *traffic {
	t := &traffic{
		opts:    opts,
		random:  rand.New(rand.NewPCG(opts.Seed, 0)),
		started: strconv.FormatInt(time.Now().UnixNano(), 36),
	}
	for customer := range opts.Customers {
		t.customers = append(t.customers, customer)
	}
	slices.Sort(t.customers)
	for _, customer := range t.customers {
		share := 1.0
		if given, found := opts.Shares[customer]; found {
			share = given
		}
		t.shares = append(t.shares, share)
	}
	for _, class := range classes {
		t.parts = append(t.parts, opts.Mix[class])
	}
	for group := range opts.PrefixGroups {
		t.prefixes = append(t.prefixes, filler(fmt.Sprintf("briefing %d ", group), opts.PrefixBytes))
	}
	return t
}

// filler repeats a text up to a length.
func filler(text string, length int) string {
	return strings.Repeat(text, length/len(text)+1)[:length]
}

// draw returns an index with a chance in proportion to its part.
func (t *traffic) draw(parts []float64) int {
	sum := 0.0
	for _, part := range parts {
		sum += part
	}
	left := t.random.Float64() * sum
	for i, part := range parts {
		left -= part
		if left < 0 {
			return i
		}
	}
	return len(parts) - 1
}

// next returns the next request, or nil once the time or number is up.
func (t *traffic) next() *request {
	t.at += time.Duration(t.random.ExpFloat64() / t.opts.Rate * float64(time.Second))
	if t.at > t.opts.Duration || t.made >= t.opts.Requests {
		return nil
	}
	t.made++
	r := &request{number: t.made, at: t.at, class: classes[t.draw(t.parts)]}
	if len(t.customers) > 0 {
		r.customer = t.customers[t.draw(t.shares)]
		r.bearer = t.opts.Customers[r.customer]
	}
	switch r.class {
	case ClassBriefing:
		t.briefing(r)
	case ClassAnswer:
		t.short(r)
	case ClassBooking:
		t.booking(r)
	case ClassLookup:
		t.lookup(r)
	}
	return r
}

// briefing asks for a long answer to a prompt with a shared prefix.
func (t *traffic) briefing(r *request) {
	prefix := t.prefixes[t.random.IntN(len(t.prefixes))]
	rest := filler(t.unique(r), t.opts.PromptBytes-t.opts.PrefixBytes)
	t.completion(r, t.opts.Model, prefix+rest, t.opts.BriefingTokens)
}

// short asks for a short answer.
func (t *traffic) short(r *request) {
	model := t.opts.AnswerModel
	if model == "" {
		model = t.opts.Model
	}
	t.completion(r, model, t.unique(r), t.opts.AnswerTokens)
}

// unique returns a text that no other request has.
func (t *traffic) unique(r *request) string {
	return fmt.Sprintf("request %d/%d/%x ", t.opts.Seed, r.number, t.random.Uint64())
}

func (t *traffic) completion(r *request, model, prompt string, tokens int) {
	r.method = http.MethodPost
	r.path = "/v1/chat/completions"
	r.abandon = t.opts.Abandon > 0 && t.random.Float64() < t.opts.Abandon
	r.prompt = standin.PromptTokens(prompt)
	r.answer = standin.Answer(prompt, tokens)
	r.body, _ = json.Marshal(map[string]any{
		"model":      model,
		"stream":     true,
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
}

// booking asks for a run that must not be repeated.
func (t *traffic) booking(r *request) {
	r.method = http.MethodPost
	r.path = "/services/" + t.opts.App + "/bookings"
	r.key = strings.ReplaceAll(strings.TrimSpace(t.unique(r)), " ", "-") + "-" + t.started
	r.body, _ = json.Marshal(map[string]string{"reference": r.key})
	r.digest = standin.BodyDigest(r.body)
	if t.random.Float64() < t.opts.Duplicates {
		r.twin = &bookingPair{}
	}
}

// lookup reads a record.
func (t *traffic) lookup(r *request) {
	id := fmt.Sprintf("record-%d", t.random.IntN(10_000))
	r.method = http.MethodGet
	r.path = "/services/" + t.opts.App + "/records/" + id
	r.digest = standin.RecordDigest(id)
}
