package standin

import (
	"errors"
	"fmt"
	"time"
)

// Kinds of stand-ins.
const (
	KindModel    = "model"
	KindApp      = "app"
	KindPlatform = "platform"
)

// Vendors, each with its own format of load reports.
const (
	VendorAlpha = "alpha"
	VendorBeta  = "beta"
	VendorGamma = "gamma"
)

// Options configures a stand-in. Its tags make it usable as a kong command.
type Options struct {
	Listen  string `help:"IP address and port to listen on; port 0 takes a free one." default:"127.0.0.1:0"`
	Kind    string `help:"What to stand in for." enum:"model,app,platform" default:"model"`
	Vendor  string `help:"Shape of the load report; app servers speak gamma." enum:"alpha,beta,gamma" default:"alpha"`
	Name    string `help:"Name in logs and stream names." default:"standin"`
	Zone    string `help:"Availability zone in logs." default:""`
	Version string `help:"Software version, for faults of one version." default:""`
	Model   string `help:"Model loaded at the start." default:"briefing-70b"`

	Fencing string `help:"Whether orders with an older fencing number are refused." enum:"checked,ignored" default:"checked"`

	Slots                  int     `help:"Requests run at the same time." default:"8"`
	QueueLimit             int     `help:"Requests that wait for a slot before more are refused." default:"256"`
	TokensPerSecond        float64 `help:"Decoded tokens per second of a stream that runs alone." default:"200"`
	BatchSlowdown          float64 `help:"Relative growth of a decoding step from one stream to all slots busy." default:"0.5"`
	PrefillTokensPerSecond float64 `help:"Prompt tokens computed per second." default:"20000"`

	KVTokens             int     `name:"kv-tokens" help:"Tokens of KV cache that the memory holds." default:"65536"`
	ExportBytesPerToken  int     `help:"Size of a token's KV cache in an export, in bytes." default:"64"`
	ExportBytesPerSecond float64 `help:"Rate of KV export and import, in bytes per second." default:"16777216"`

	ReportLag     time.Duration `help:"Age of load reports and cache events." default:"200ms"`
	CacheGapEvery int           `help:"Every which cache event is lost; 0 loses none." default:"7"`
	KeepStreams   time.Duration `help:"How long a stream outlives its last connection." default:"10s"`

	RunTime time.Duration `help:"Time that an app server takes for one run." default:"5ms"`

	VMs       []string           `name:"vm" help:"A platform's VM as name,zone,class,address; may be repeated." sep:"none"`
	Spares    []string           `name:"spare" help:"Address that a rented VM gets; may be repeated."`
	Capacity  map[string]int     `help:"VMs that can be rented by class/zone, as spot/kochi-a=2."`
	Prices    map[string]float64 `help:"Price of a VM hour by class/zone, as spot/kochi-a=0.42."`
	StartTime time.Duration      `help:"Time from renting a VM until it is listed as live." default:"500ms"`
}

// Validate returns an error for the first option that is out of range.
func (o Options) Validate() error {
	switch {
	case o.Kind != KindModel && o.Kind != KindApp && o.Kind != KindPlatform:
		return fmt.Errorf("kind %q: expected model, app or platform", o.Kind)
	case o.Kind == KindPlatform:
		return nil
	case o.Slots < 1:
		return errors.New("slots: expected 1 or more")
	case o.Kind == KindApp:
		return nil
	case o.Vendor != VendorAlpha && o.Vendor != VendorBeta:
		return fmt.Errorf("vendor %q: expected alpha or beta for a model engine", o.Vendor)
	case o.TokensPerSecond <= 0 || o.PrefillTokensPerSecond <= 0:
		return errors.New("token rates: expected more than 0")
	case o.ExportBytesPerSecond <= 0 || o.ExportBytesPerToken < 0:
		return errors.New("export rate: expected more than 0 bytes per second")
	case o.KVTokens < 0 || o.BatchSlowdown < 0 || o.QueueLimit < 0:
		return errors.New("kv-tokens, batch-slowdown and queue-limit: expected 0 or more")
	}
	return nil
}

// DefaultOptions returns the defaults of the command line.
func DefaultOptions(kind, vendor string) Options {
	return Options{
		Listen: "127.0.0.1:0", Kind: kind, Vendor: vendor, Name: "standin",
		Model: "briefing-70b", Fencing: "checked",
		Slots: 8, QueueLimit: 256, TokensPerSecond: 200, BatchSlowdown: 0.5,
		PrefillTokensPerSecond: 20000, KVTokens: 65536,
		ExportBytesPerToken: 64, ExportBytesPerSecond: 16 << 20,
		ReportLag: 200 * time.Millisecond, CacheGapEvery: 7,
		KeepStreams: 10 * time.Second, RunTime: 5 * time.Millisecond,
		StartTime: 500 * time.Millisecond,
	}
}
