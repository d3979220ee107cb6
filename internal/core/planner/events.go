package planner

import (
	"time"

	"waxwingcart/internal/core/fleet"
)

// Event is an input of Planner.Step.
type Event interface{ isEvent() }

// Configured applies a fleet configuration.
type Configured struct{ Config *fleet.Config }

// Observed reports all existing VMs of backend servers.
type Observed struct{ VMs []VM }

// VM is one VM of a backend server.
type VM struct {
	Name  string
	Zone  string
	Class string
	// Service is empty for a VM that is not in the configuration yet.
	Service string
	Leaving bool
	// Loaded is true once the VM serves its service's model, or once an
	// application server answers.
	Loaded bool
}

// Rented reports that a Rent was granted. VM is the name of the new VM.
type Rented struct {
	Sequence uint64
	VM       string
}

// Refused reports that the platform refused a Rent.
type Refused struct{ Sequence uint64 }

// LoadEnded reports the end of a LoadModel, successful or not.
type LoadEnded struct{ VM string }

// Tick reports the passage of time.
type Tick struct{}

func (Configured) isEvent() {}
func (Observed) isEvent()   {}
func (Rented) isEvent()     {}
func (Refused) isEvent()    {}
func (LoadEnded) isEvent()  {}
func (Tick) isEvent()       {}

// Effects lists the actions that the caller of Step must carry out.
type Effects struct {
	Rent    []Rent
	Release []Release
	Load    []LoadModel
}

// Rent requests a VM from the platform.
type Rent struct {
	Sequence uint64
	Zone     string
	Class    string
	Service  string
	Reason   string
}

// Release returns a VM to the platform. The caller drains it first.
type Release struct {
	VM     string
	Reason string
}

// LoadModel asks for a model to be loaded on a VM. The caller sends the order for it.
type LoadModel struct {
	VM      string
	Service string
	Model   string
	// BytesPerSecond is the share of the weight store's rate that the load may
	// use.
	BytesPerSecond float64
}

// Options configures a Planner. Zero values select the defaults.
type Options struct {
	// StoreBytesPerSecond is the weight store's rate, shared by all loads.
	// Zero means no limit.
	StoreBytesPerSecond float64
	// LoadBytesPerSecond is the highest rate at which one VM can load. Default
	// a quarter of the weight store's rate.
	LoadBytesPerSecond float64
	// BackoffBase is the delay after the first refused rent request. Default
	// 5 s.
	BackoffBase time.Duration
	// BackoffMax limits the delay. Default 5 min.
	BackoffMax time.Duration
	// RentTimeout is how long a rented VM may take until it is observed.
	// Default 2 min.
	RentTimeout time.Duration
	// ReleaseAfter is how long a VM must be in excess before it is released.
	// Default 2 min.
	ReleaseAfter time.Duration
	// SwitchGain is the fraction of the cost that a new plan must save before
	// VMs are replaced for it. Default 0.05.
	SwitchGain float64
	// AppUnitsPerSlot is the number of requests per second that one slot of an
	// application server carries. Default 1.
	AppUnitsPerSlot float64
	// Seed is the seed of the backoff jitter.
	Seed uint64
}

// The defaults of Options.
const (
	defaultBackoffBase  = 5 * time.Second
	defaultBackoffMax   = 5 * time.Minute
	defaultRentTimeout  = 2 * time.Minute
	defaultReleaseAfter = 2 * time.Minute
	defaultSwitchGain   = 0.05
	defaultLoadShare    = 0.25
)

func (o *Options) setDefaults() {
	setDefault(&o.BackoffBase, defaultBackoffBase)
	setDefault(&o.BackoffMax, defaultBackoffMax)
	setDefault(&o.RentTimeout, defaultRentTimeout)
	setDefault(&o.ReleaseAfter, defaultReleaseAfter)
	setDefault(&o.SwitchGain, defaultSwitchGain)
	setDefault(&o.AppUnitsPerSlot, 1)
	setDefault(&o.LoadBytesPerSecond, o.StoreBytesPerSecond*defaultLoadShare)
	if o.StoreBytesPerSecond > 0 {
		o.LoadBytesPerSecond = min(o.LoadBytesPerSecond, o.StoreBytesPerSecond)
	}
}

func setDefault[T float64 | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}
