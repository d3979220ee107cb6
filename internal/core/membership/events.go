package membership

import "time"

// Event is an input of Table.Step.
type Event interface{ isEvent() }

// PlatformList is the platform's list of VMs. It lags behind the actual state.
type PlatformList struct{ VMs []ListedVM }

// ListedVM is one VM in the platform's list.
type ListedVM struct {
	VM   string
	Zone string
	// Incarnation is the platform's identifier of this start of the VM.
	Incarnation string
	Leaving     bool
}

// Notice is a reclaim notice for a VM, which may be this entry's own.
type Notice struct {
	VM string
	// Incarnation is the incarnation to be reclaimed. It is empty if the
	// platform does not provide it; the notice then applies to the incarnation
	// that the list shows.
	Incarnation string
	// TimeLeft is the time until the VM is reclaimed.
	TimeLeft time.Duration
}

// Report is a backend server's report about itself.
type Report struct {
	VM string
	// Incarnation is the server's identifier of this start of its process. It
	// need not equal the platform's identifier of the VM's start.
	Incarnation string
	Leaving     bool
}

// CallResult is the result of a call by this entry to a backend server or to
// another entry.
type CallResult struct {
	Kind Kind
	VM   string
	OK   bool
}

// GossipMessage is a gossip message from another entry: a request, or the response
// to a Send.
type GossipMessage struct {
	From    string
	Records []Record
	// Request is true if the sender expects Effects.Reply as the response.
	Request bool
}

// Tick triggers timeouts and periodic messages. The caller should send it at least
// every GossipInterval.
type Tick struct{}

func (PlatformList) isEvent()  {}
func (Notice) isEvent()        {}
func (Report) isEvent()        {}
func (CallResult) isEvent()    {}
func (GossipMessage) isEvent() {}
func (Tick) isEvent()          {}

// Effects is what the caller must do after a step.
type Effects struct {
	// Send holds the messages to other entries. The caller passes each response
	// to Step as a GossipMessage, and a failed call as a CallResult.
	Send []Send
	// Reply is the response to a GossipMessage with Request set.
	Reply []Record
	// Changes lists the changes of state.
	Changes []Change
}

// Send is one message to another entry.
type Send struct {
	Peer    string
	Address string
	Records []Record
}

// Change is a change of one VM's state.
type Change struct {
	Kind Kind
	VM   string
	From State
	To   State
}

// Source is where information about a VM came from.
type Source uint8

// The sources.
const (
	SourceList Source = iota
	SourceNotice
	SourceReport
	SourceCall
	SourceGossip
	sourceCount
)

// String returns the source's name as shown in the state dump.
func (s Source) String() string {
	return [...]string{"platform-list", "notice", "report", "contact", "news"}[s]
}

// Options configures a Table. A zero field selects the default.
type Options struct {
	// Self is this entry's record. Its incarnation must be higher than that of
	// any earlier start of the VM.
	Self Record
	// Peers holds the entries known from the settings. They are never removed.
	Peers []Record
	// EpochMS is the time at now = 0, in milliseconds since 1970.
	EpochMS int64
	// FullMeshLimit is the number of other entries up to which an urgent record
	// is pushed to all of them and peers are chosen regardless of their zone.
	// Default 46.
	FullMeshLimit int
	// Fanout is the number of random peers of the own zone to which changes are
	// sent in one round. Default 4.
	Fanout int
	// CrossZoneFanout is the number of random peers of other zones to which
	// changes are sent in one round. Default 2.
	CrossZoneFanout int
	// Probes is the number of random peers that are probed in one interval, one
	// of them in another zone. Default 3.
	Probes int
	// ProbeInterval is the time between two rounds of probes. Default 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a probe waits for an answer. Default 500 ms.
	ProbeTimeout time.Duration
	// GossipInterval is the time between two rounds while there are changes to
	// send. Default 200 ms.
	GossipInterval time.Duration
	// SuspectMisses is the number of missed probes after which an entry is
	// suspect. Default 3.
	SuspectMisses int
	// DeadAfter is how long an entry stays suspect before it is dead. Default
	// 5 s.
	DeadAfter time.Duration
	// FailuresUntilUnusable is the number of failed calls in a row after
	// which a backend server is unusable for RetryAfter. Default 3.
	FailuresUntilUnusable int
	// RetryAfter is how long a failing backend server stays unusable before
	// it is tried again. Default 2 s.
	RetryAfter time.Duration
	// UnlistedTimeout is how long a VM that disappeared from the platform's list
	// stays usable without a report or a successful call. Default 10 s.
	UnlistedTimeout time.Duration
	// NoticeHold is how long a notice counts for an incarnation of a VM that the
	// list received by this entry does not show yet. It must be longer than the
	// list's lag. Default 1 min.
	NoticeHold time.Duration
	// ForgetAfter is how long a VM is kept without an update. It must be much
	// longer than the lag of every source. Default 1 h.
	ForgetAfter time.Duration
	// MaxRecords is the maximum number of records in one push or gossip round,
	// not counting those that are sent without a recent change. Default 256.
	MaxRecords int
	// Seed seeds the choice of peers.
	Seed uint64
}

// Default values of Options.
const (
	defaultFullMeshLimit         = 46
	defaultFanout                = 4
	defaultCrossZoneFanout       = 2
	defaultProbeInterval         = time.Second
	defaultProbeTimeout          = 500 * time.Millisecond
	defaultGossipInterval        = 200 * time.Millisecond
	defaultSuspectMisses         = 3
	defaultDeadAfter             = 5 * time.Second
	defaultFailuresUntilUnusable = 3
	defaultRetryAfter            = 2 * time.Second
	defaultUnlistedTimeout       = 10 * time.Second
	defaultNoticeHold            = time.Minute
	defaultForgetAfter           = time.Hour
	defaultProbes                = 3
	defaultMaxRecords            = 256
)

func (o *Options) setDefaults() {
	setDefault(&o.FullMeshLimit, defaultFullMeshLimit)
	setDefault(&o.Fanout, defaultFanout)
	setDefault(&o.CrossZoneFanout, defaultCrossZoneFanout)
	setDefault(&o.ProbeInterval, defaultProbeInterval)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.GossipInterval, defaultGossipInterval)
	setDefault(&o.SuspectMisses, defaultSuspectMisses)
	setDefault(&o.DeadAfter, defaultDeadAfter)
	setDefault(&o.FailuresUntilUnusable, defaultFailuresUntilUnusable)
	setDefault(&o.RetryAfter, defaultRetryAfter)
	setDefault(&o.UnlistedTimeout, defaultUnlistedTimeout)
	setDefault(&o.NoticeHold, defaultNoticeHold)
	setDefault(&o.ForgetAfter, defaultForgetAfter)
	setDefault(&o.Probes, defaultProbes)
	setDefault(&o.MaxRecords, defaultMaxRecords)
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}
