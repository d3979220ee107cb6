package membership

import "time"

// Event is something that an entry learned.
type Event interface{ isEvent() }

// PlatformList is one answer of the platform's list of VMs. It lags.
type PlatformList struct{ VMs []ListedVM }

// ListedVM is one VM of the platform's list.
type ListedVM struct {
	VM   string
	Zone string
	// Incarnation is the platform's text for this start of the VM.
	Incarnation string
	Leaving     bool
}

// Notice is a reclaim notice for a VM, which may be this entry's own.
type Notice struct {
	VM string
	// Incarnation is empty if the platform does not give it. The notice then
	// is for the one that the list shows.
	Incarnation string
	// Left is the time until the VM is reclaimed.
	Left time.Duration
}

// Report is a backend server's own report.
type Report struct {
	VM string
	// Incarnation is the server's text for this start of its process, which
	// need not be the platform's for the VM.
	Incarnation string
	Leaving     bool
}

// Contact is the result of a call by this entry to a backend server or to
// another entry.
type Contact struct {
	Kind Kind
	VM   string
	OK   bool
}

// News is a message of another entry: a request, or the answer to a Send.
type News struct {
	From    string
	Records []Record
	// Request asks for an answer in Effects.Reply.
	Request bool
}

// Tick lets the table act on the passing of time. It should come at least
// every GossipInterval.
type Tick struct{}

func (PlatformList) isEvent() {}
func (Notice) isEvent()       {}
func (Report) isEvent()       {}
func (Contact) isEvent()      {}
func (News) isEvent()         {}
func (Tick) isEvent()         {}

// Effects is what the caller must do after a step.
type Effects struct {
	// Send holds the messages to other entries. The caller feeds the answer
	// back as News, or a failed call as Contact.
	Send []Send
	// Reply answers a News with Request set.
	Reply []Record
	// Changes lists the VMs whose state changed.
	Changes []Change
}

// Send is one message to another entry.
type Send struct {
	Peer    string
	Address string
	Records []Record
}

// Change is a VM's change of state.
type Change struct {
	Kind Kind
	VM   string
	From State
	To   State
}

// Source tells where knowledge came from.
type Source uint8

// The sources.
const (
	SourceList Source = iota
	SourceNotice
	SourceReport
	SourceContact
	SourceNews
	sourceCount
)

// String returns the source's name as the dump shows it.
func (s Source) String() string {
	return [...]string{"platform-list", "notice", "report", "contact", "news"}[s]
}

// Options configures a Table. Zero values take the defaults given.
type Options struct {
	// Self is this entry. Its incarnation must be above that of any earlier
	// start of the VM.
	Self Record
	// Peers are entries known from the settings. They are never forgotten.
	Peers []Record
	// EpochMS is the time at now = 0, in milliseconds since 1970.
	EpochMS int64
	// FullMeshLimit is the number of other entries up to which a notice is
	// pushed to all of them at once and peers are chosen regardless of their
	// zone. Default 46.
	FullMeshLimit int
	// Fanout is the number of random peers of the own zone that fresh news is
	// sent to in one round. Default 4.
	Fanout int
	// Bridges is the number of random peers of other zones that fresh news is
	// sent to in one round. Default 2.
	Bridges int
	// Probes is the number of random peers that are probed in one interval,
	// one of them in another zone. Default 3.
	Probes int
	// ProbeInterval is the time between two rounds of probes. Default 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout is the longest wait for an answer. Default 500 ms.
	ProbeTimeout time.Duration
	// GossipInterval is the time between two rounds while there is fresh
	// news. Default 200 ms.
	GossipInterval time.Duration
	// SuspectAfter is the number of missed probes until an entry is suspect.
	// Default 3.
	SuspectAfter int
	// DeadAfter is how long an entry is suspect until it is dead. Default 5 s.
	DeadAfter time.Duration
	// FailuresUntilUnusable is the number of failed calls in a row after
	// which a backend server is unusable for RetryAfter. Default 3.
	FailuresUntilUnusable int
	// RetryAfter is how long a failing backend server stays unusable before
	// it is tried again. Default 2 s.
	RetryAfter time.Duration
	// SilentAfter is how long a VM that left the platform's list stays usable
	// without a report or a successful call. Default 10 s.
	SilentAfter time.Duration
	// HoldAfter is how long a notice counts for an incarnation of a VM that
	// this entry's list does not show yet. It must be above the list's lag.
	// Default 1 min.
	HoldAfter time.Duration
	// ForgetAfter is how long a VM is kept without any news of it. It must be
	// far above the lag of every source. Default 1 h.
	ForgetAfter time.Duration
	// MaxRecords bounds the records of one message. Default 256.
	MaxRecords int
	// Seed seeds the choice of peers.
	Seed uint64
}

// The defaults of Options.
const (
	defaultFullMeshLimit  = 46
	defaultFanout         = 4
	defaultBridges        = 2
	defaultProbeInterval  = time.Second
	defaultProbeTimeout   = 500 * time.Millisecond
	defaultGossipInterval = 200 * time.Millisecond
	defaultSuspectAfter   = 3
	defaultDeadAfter      = 5 * time.Second
	defaultFailures       = 3
	defaultRetryAfter     = 2 * time.Second
	defaultSilentAfter    = 10 * time.Second
	defaultHoldAfter      = time.Minute
	defaultForgetAfter    = time.Hour
	defaultProbes         = 3
	defaultMaxRecords     = 256
)

func (o *Options) setDefaults() {
	setDefault(&o.FullMeshLimit, defaultFullMeshLimit)
	setDefault(&o.Fanout, defaultFanout)
	setDefault(&o.Bridges, defaultBridges)
	setDefault(&o.ProbeInterval, defaultProbeInterval)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.GossipInterval, defaultGossipInterval)
	setDefault(&o.SuspectAfter, defaultSuspectAfter)
	setDefault(&o.DeadAfter, defaultDeadAfter)
	setDefault(&o.FailuresUntilUnusable, defaultFailures)
	setDefault(&o.RetryAfter, defaultRetryAfter)
	setDefault(&o.SilentAfter, defaultSilentAfter)
	setDefault(&o.HoldAfter, defaultHoldAfter)
	setDefault(&o.ForgetAfter, defaultForgetAfter)
	setDefault(&o.Probes, defaultProbes)
	setDefault(&o.MaxRecords, defaultMaxRecords)
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}
