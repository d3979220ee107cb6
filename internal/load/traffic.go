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

// request is one request to send, with the expected answer.
type request struct {
	number       int
	dueAfter     time.Duration // from the start of the run
	class        string
	customer     string
	bearer       string
	method       string
	path         string
	body         []byte
	key          string       // Idempotency-Key
	pair         *bookingPair // set if the booking is sent twice
	abandon      bool         // the caller disconnects after abandonAfter tokens
	promptTokens int
	answer       string
	digest       string // expected in an application's response
}

// abandonAfter is the number of tokens after which some callers disconnect.
const abandonAfter = 2

// streamed reports whether the answer is a stream.
func (r *request) streamed() bool {
	return r.class == ClassBriefing || r.class == ClassAnswer
}

// traffic generates requests from a seeded random source.
type traffic struct {
	opts            Options
	random          *rand.Rand
	customers       []string
	customerWeights []float64
	classWeights    []float64
	prefixes        []string
	generated       int
	dueAfter        time.Duration
	startID         string
}

// newTraffic returns the traffic of one run. Idempotency keys contain the time of the
// start, because entries may still have the records of an earlier run with the same
// seed.
func newTraffic(opts Options) *traffic {
	t := &traffic{
		opts:    opts,
		random:  rand.New(rand.NewPCG(opts.Seed, 0)),
		startID: strconv.FormatInt(time.Now().UnixNano(), 36),
	}
	for customer := range opts.Customers {
		t.customers = append(t.customers, customer)
	}
	slices.Sort(t.customers)
	for _, customer := range t.customers {
		weight := 1.0
		if given, found := opts.Shares[customer]; found {
			weight = given
		}
		t.customerWeights = append(t.customerWeights, weight)
	}
	for _, class := range classes {
		t.classWeights = append(t.classWeights, opts.Mix[class])
	}
	for group := range opts.PrefixGroups {
		t.prefixes = append(t.prefixes, repeatText(fmt.Sprintf("briefing %d ", group), opts.PrefixBytes))
	}
	return t
}

// repeatText repeats a text up to a length.
func repeatText(text string, length int) string {
	return strings.Repeat(text, length/len(text)+1)[:length]
}

// drawIndex returns a random index with a probability proportional to its weight.
func (t *traffic) drawIndex(weights []float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	left := t.random.Float64() * sum
	for i, weight := range weights {
		left -= weight
		if left < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// next returns the next request, or nil after the configured duration or number of
// requests.
func (t *traffic) next() *request {
	t.dueAfter += time.Duration(t.random.ExpFloat64() / t.opts.Rate * float64(time.Second))
	if t.dueAfter > t.opts.Duration || t.generated >= t.opts.Requests {
		return nil
	}
	t.generated++
	r := &request{number: t.generated, dueAfter: t.dueAfter, class: classes[t.drawIndex(t.classWeights)]}
	if len(t.customers) > 0 {
		r.customer = t.customers[t.drawIndex(t.customerWeights)]
		r.bearer = t.opts.Customers[r.customer]
	}
	switch r.class {
	case ClassBriefing:
		t.briefing(r)
	case ClassAnswer:
		t.shortAnswer(r)
	case ClassBooking:
		t.booking(r)
	case ClassLookup:
		t.lookup(r)
	}
	return r
}

// briefing fills in a request for a long answer to a prompt with a shared prefix.
func (t *traffic) briefing(r *request) {
	prefix := t.prefixes[t.random.IntN(len(t.prefixes))]
	rest := repeatText(t.uniqueText(r), t.opts.PromptBytes-t.opts.PrefixBytes)
	t.completion(r, t.opts.Model, prefix+rest, t.opts.BriefingTokens)
}

// shortAnswer fills in a request for a short answer.
func (t *traffic) shortAnswer(r *request) {
	model := t.opts.AnswerModel
	if model == "" {
		model = t.opts.Model
	}
	t.completion(r, model, t.uniqueText(r), t.opts.AnswerTokens)
}

// uniqueText returns a text that no other request has.
func (t *traffic) uniqueText(r *request) string {
	return fmt.Sprintf("request %d/%d/%x ", t.opts.Seed, r.number, t.random.Uint64())
}

// completion fills in a streamed chat completion request.
func (t *traffic) completion(r *request, model, prompt string, tokens int) {
	r.method = http.MethodPost
	r.path = "/v1/chat/completions"
	r.abandon = t.opts.Abandon > 0 && t.random.Float64() < t.opts.Abandon
	r.promptTokens = standin.PromptTokens(prompt)
	r.answer = standin.Answer(prompt, tokens)
	r.body, _ = json.Marshal(map[string]any{
		"model":      model,
		"stream":     true,
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
}

// booking fills in a booking, which must not run twice.
func (t *traffic) booking(r *request) {
	r.method = http.MethodPost
	r.path = "/services/" + t.opts.App + "/bookings"
	r.key = strings.ReplaceAll(strings.TrimSpace(t.uniqueText(r)), " ", "-") + "-" + t.startID
	r.body, _ = json.Marshal(map[string]string{"reference": r.key})
	r.digest = standin.BodyDigest(r.body)
	if t.random.Float64() < t.opts.Duplicates {
		r.pair = &bookingPair{}
	}
}

// lookup fills in a lookup of a random record.
func (t *traffic) lookup(r *request) {
	id := fmt.Sprintf("record-%d", t.random.IntN(10_000))
	r.method = http.MethodGet
	r.path = "/services/" + t.opts.App + "/records/" + id
	r.digest = standin.RecordDigest(id)
}
