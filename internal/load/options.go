// Package load sends open-loop traffic to entries, checks each answer against the
// one that the stand-ins must give, and reports latency, refusals, cost and the runs
// that the stand-ins counted.
package load

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Classes of requests.
const (
	ClassBriefing = "briefing"
	ClassAnswer   = "answer"
	ClassBooking  = "booking"
	ClassLookup   = "lookup"
)

var classes = []string{ClassBriefing, ClassAnswer, ClassBooking, ClassLookup}

// Limits of a run.
const (
	maxRequests = 10_000_000
	maxInFlight = 20_000
	maxDuration = 24 * time.Hour
)

// Options configures a run. Its tags make it usable as a kong command.
type Options struct {
	Entries    []string `name:"entry" help:"Entry's IP address and port; may be repeated." required:""`
	Standins   []string `name:"standin" help:"Stand-in's IP address and port, to check what was run; may be repeated."`
	Platform   string   `help:"Platform's IP address and port, to sum up the price of the VMs listed during the run."`
	Fleet      string   `help:"Fleet configuration, to sum up the price of its backend servers." type:"existingfile"`
	PriceHour  float64  `name:"price-per-hour" help:"Price of all backend servers per hour, if neither of the above is given."`
	JSON       bool     `name:"json" help:"Print the result as JSON."`
	FailBroken bool     `help:"Fail if a request got neither a full answer nor a refusal."`

	Seed        uint64        `help:"Seed of arrivals, classes and prompts." default:"1"`
	Rate        float64       `help:"Requests per second, on the mean." default:"20"`
	Duration    time.Duration `help:"How long requests are sent." default:"10s"`
	Requests    int           `help:"Requests sent at most." default:"1000000"`
	MaxInFlight int           `help:"Requests in flight at most; those beyond it are counted as not sent." default:"2000"`
	Timeout     time.Duration `help:"Time after which a request is given up." default:"30s"`
	Retries     int           `help:"Times that a refused request is sent again after its Retry-After." default:"0"`
	Resends     int           `help:"Times that a request whose connection broke is sent again or resumed." default:"5"`

	Customers map[string]string  `name:"customer" help:"Customer's name and bearer key, as ledgerworks=KEY; may be repeated."`
	Shares    map[string]float64 `name:"share" help:"Customer's part of the traffic, as ledgerworks=3; 1 if not given."`
	Mix       map[string]float64 `help:"Parts of the classes of request." default:"briefing=3;answer=4;booking=1;lookup=2"`

	Model          string  `help:"Model that briefings and answers ask for." default:"briefing-70b"`
	AnswerModel    string  `help:"Model that short answers ask for, if another one."`
	App            string  `help:"Application service of bookings and lookups." default:"claims"`
	PromptBytes    int     `help:"Length of a briefing's prompt, in bytes." default:"4096"`
	PrefixBytes    int     `help:"Length of the prefix that briefings share, in bytes." default:"3072"`
	PrefixGroups   int     `help:"Number of shared prefixes." default:"16"`
	BriefingTokens int     `help:"Tokens of a briefing." default:"64"`
	AnswerTokens   int     `help:"Tokens of a short answer." default:"8"`
	Duplicates     float64 `help:"Share of bookings that are sent twice at once under one key." default:"0.2"`
	Abandon        float64 `help:"Share of streams whose caller goes away after two tokens." default:"0"`

	FirstTokenTarget time.Duration `help:"Target for the first token, and for the whole answer of an application." default:"930ms"`
	TokenGapTarget   time.Duration `help:"Target for the gap between two tokens, met by 95 in 100 gaps of an answer." default:"44ms"`
}

// DefaultOptions returns the defaults of the command line.
func DefaultOptions(entries ...string) Options {
	return Options{
		Entries: entries, Seed: 1, Rate: 20, Duration: 10 * time.Second,
		Requests: 1_000_000, MaxInFlight: 2000, Timeout: 30 * time.Second,
		Resends: 5,
		Mix: map[string]float64{
			ClassBriefing: 3, ClassAnswer: 4, ClassBooking: 1, ClassLookup: 2,
		},
		Model: "briefing-70b", App: "claims", PromptBytes: 4096,
		PrefixBytes: 3072, PrefixGroups: 16, BriefingTokens: 64,
		AnswerTokens: 8, Duplicates: 0.2,
		FirstTokenTarget: 930 * time.Millisecond,
		TokenGapTarget:   44 * time.Millisecond,
	}
}

// Validate returns an error for the first option that is out of range.
func (o Options) Validate() error {
	switch {
	case len(o.Entries) == 0:
		return errors.New("entry: expected one or more")
	case !(o.Rate > 0 && o.Rate <= 1e6):
		return fmt.Errorf("rate %g: expected more than 0, up to 1000000", o.Rate)
	case o.Duration <= 0 || o.Duration > maxDuration:
		return fmt.Errorf("duration %v: expected more than 0, up to %v", o.Duration, maxDuration)
	case o.Requests < 1 || o.Requests > maxRequests:
		return fmt.Errorf("requests %d: expected 1 to %d", o.Requests, maxRequests)
	case o.MaxInFlight < 1 || o.MaxInFlight > maxInFlight:
		return fmt.Errorf("max-in-flight %d: expected 1 to %d", o.MaxInFlight, maxInFlight)
	case o.Timeout <= 0:
		return errors.New("timeout: expected more than 0")
	case o.Retries < 0 || o.Resends < 0:
		return errors.New("retries and resends: expected 0 or more")
	case o.BriefingTokens < 1 || o.AnswerTokens < 1:
		return errors.New("briefing-tokens and answer-tokens: expected 1 or more")
	case o.PromptBytes < 1 || o.PrefixBytes < 0 || o.PrefixBytes > o.PromptBytes:
		return errors.New("prompt-bytes: expected 1 or more, and no less than prefix-bytes")
	case o.PrefixGroups < 1:
		return errors.New("prefix-groups: expected 1 or more")
	case !(o.Duplicates >= 0 && o.Duplicates <= 1):
		return errors.New("duplicates: expected 0 to 1")
	case !(o.Abandon >= 0 && o.Abandon <= 1):
		return errors.New("abandon: expected 0 to 1")
	}
	for _, address := range slices.Concat(o.Entries, o.Standins, []string{o.Platform}) {
		if _, err := netip.ParseAddrPort(address); err != nil && address != "" {
			return fmt.Errorf("address %q: expected an IP address and port", address)
		}
	}
	if strings.ContainsAny(o.App, "/?#% ") {
		return fmt.Errorf("app %q: expected the name of a service", o.App)
	}
	return o.validateWeights()
}

func (o Options) validateWeights() error {
	sum := 0.0
	for class, weight := range o.Mix {
		if !slices.Contains(classes, class) {
			return fmt.Errorf("mix: class %q: expected one of %s", class, strings.Join(classes, ", "))
		}
		if !(weight >= 0 && weight < 1e9) {
			return fmt.Errorf("mix: %s=%g: expected 0 or more", class, weight)
		}
		sum += weight
	}
	if sum <= 0 {
		return errors.New("mix: expected a class with more than 0")
	}
	for customer, weight := range o.Shares {
		if _, known := o.Customers[customer]; !known {
			return fmt.Errorf("share: customer %q has no key", customer)
		}
		if !(weight > 0 && weight < 1e9) {
			return fmt.Errorf("share: %s=%g: expected more than 0", customer, weight)
		}
	}
	return nil
}
