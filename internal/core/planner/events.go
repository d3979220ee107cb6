package planner

import (
	"time"

	"waxwingcart/internal/core/fleet"
)

// Event is something that the planner learned.
type Event interface{ isEvent() }

// Configured puts a fleet configuration in force.
type Configured struct{ Config *fleet.Config }

// Observed lists all VMs of backend servers that exist now.
type Observed struct{ VMs []VM }

// VM is one VM of a backend server.
type VM struct {
	Name  string
	Zone  string
	Class string
	// Service is empty for a VM that the configuration does not name yet.
	Service string
	Leaving bool
	// Loaded is true once the VM serves its service's model. An application
	// server is loaded once it answers.
	Loaded bool
}

// Rented answers a Rent. VM is the new VM's name.
type Rented struct {
	Sequence uint64
	VM       string
}

// Refused answers a Rent that the platform did not grant.
type Refused struct{ Sequence uint64 }

// LoadEnded answers a Load, successful or not.
type LoadEnded struct{ VM string }

// Tick lets the planner act on the passing of time.
type Tick struct{}

func (Configured) isEvent() {}
func (Observed) isEvent()   {}
func (Rented) isEvent()     {}
func (Refused) isEvent()    {}
func (LoadEnded) isEvent()  {}
func (Tick) isEvent()       {}

// Effects is what the caller must do after a step.
type Effects struct {
	Rent    []Rent
	Release []Release
	Load    []Load
}

// Rent asks the platform for a VM.
type Rent struct {
	Sequence uint64
	Zone     string
	Class    string
	Service  string
	Reason   string
}

// Release gives a VM back. The caller drains it first.
type Release struct {
	VM     string
	Reason string
}

// Load wishes a model on a VM. The caller turns it into an order.
type Load struct {
	VM      string
	Service string
	Model   string
	// BytesPerSecond is the part of the weight store's rate that the load may
	// use.
	BytesPerSecond float64
}

// Options configures a Planner. Zero values take the defaults given.
type Options struct {
	// StoreBytesPerSecond is the weight store's rate, shared by all loads.
	// Zero means that it is not limited.
	StoreBytesPerSecond float64
	// LoadBytesPerSecond is the most that one VM can load. Default a quarter
	// of the weight store's rate.
	LoadBytesPerSecond float64
	// BackoffBase is the wait after a first refused start. Default 5 s.
	BackoffBase time.Duration
	// BackoffMax bounds the wait. Default 5 min.
	BackoffMax time.Duration
	// RentTimeout is how long a rented VM may take to be observed.
	// Default 2 min.
	RentTimeout time.Duration
	// ReleaseAfter is how long a VM must be in excess until it is released.
	// Default 2 min.
	ReleaseAfter time.Duration
	// SwitchGain is the part of the cost that a new plan must save before VMs
	// are exchanged for it. Default 0.05.
	SwitchGain float64
	// AppUnitsPerSlot is the number of requests a second that one slot of an
	// application server carries. Default 1.
	AppUnitsPerSlot float64
	// Seed seeds the jitter.
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
