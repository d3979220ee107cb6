package state

// Options limits a machine's memory use. The limits affect the results of
// commands, so they must be the same on every replica. A zero field selects the
// default.
type Options struct {
	// HistoryLimit is the maximum number of configuration deltas in the
	// history.
	HistoryLimit int
	// HistoryBytes is the maximum size of the items in the history.
	HistoryBytes int
	// ChangeAnswerLimit is the maximum number of stored change results.
	ChangeAnswerLimit int
	// RecordLimit is the maximum number of idempotency records.
	RecordLimit int
	// AnswerBytes is the maximum size of the stored body of one answer.
	AnswerBytes int
	// AnswerTotalBytes is the maximum size of all stored bodies together. A
	// body beyond it is truncated; status and headers are still stored.
	AnswerTotalBytes int64
	// TombstoneLimit is the maximum number of tombstones.
	TombstoneLimit int
}

// Default limits of Options.
const (
	DefaultHistoryLimit      = 1_024
	DefaultHistoryBytes      = 4 << 20
	DefaultChangeAnswerLimit = 16_384
	DefaultRecordLimit       = 4_000_000
	DefaultAnswerBytes       = 1 << 20
	DefaultAnswerTotalBytes  = 1 << 30
	DefaultTombstoneLimit    = 1 << 20
)

func (o Options) withDefaults() Options {
	setDefault(&o.HistoryLimit, DefaultHistoryLimit)
	setDefault(&o.HistoryBytes, DefaultHistoryBytes)
	setDefault(&o.ChangeAnswerLimit, DefaultChangeAnswerLimit)
	setDefault(&o.RecordLimit, DefaultRecordLimit)
	setDefault(&o.AnswerBytes, DefaultAnswerBytes)
	setDefault(&o.AnswerTotalBytes, DefaultAnswerTotalBytes)
	setDefault(&o.TombstoneLimit, DefaultTombstoneLimit)
	return o
}

func setDefault[T int | int64](value *T, def T) {
	if *value == 0 {
		*value = def
	}
}

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	options Options
	// applied is the index of the last command applied.
	applied uint64
	// timeMS is the largest TimeMS of all applied commands.
	timeMS  int64
	records records
	config  config
}

// New returns an empty machine.
func New(options Options) *Machine {
	options = options.withDefaults()
	return &Machine{
		options: options,
		records: newRecords(options),
		config:  newConfig(options),
	}
}

// Apply applies the command at a log index. A command at or below the last
// applied index is ignored and returns nil.
func (m *Machine) Apply(index, term uint64, command Command) Result {
	if index <= m.applied {
		return nil
	}
	m.applied = index
	m.timeMS = max(m.timeMS, command.TimeMS)
	switch body := command.Body.(type) {
	case Reserve:
		result := m.records.reserve(m.timeMS, body)
		result.Term = term
		return result
	case RecordOutcome:
		return m.records.record(body)
	case ChangeConfig:
		return m.config.apply(m.timeMS, body)
	case Expire:
		return m.records.expire(m.timeMS, min(body.BeforeMS, m.timeMS))
	}
	return nil
}

// Applied returns the index of the last command applied.
func (m *Machine) Applied() uint64 { return m.applied }

// TimeMS returns the machine's time in milliseconds since 1970.
func (m *Machine) TimeMS() int64 { return m.timeMS }

// Records returns the number of idempotency records.
func (m *Machine) Records() int { return m.records.count() }

// Lookup returns the record of a key. It does not check the request's digest.
func (m *Machine) Lookup(key Key) RecordView { return m.records.lookup(hashKey(key)) }

// Revision returns the configuration revision, 0 before the first change.
func (m *Machine) Revision() uint64 { return m.config.revision }

// Zones returns the names of the configured zones in alphabetical order.
func (m *Machine) Zones() []string { return m.config.zones() }

// Items returns the items of the configuration by path. The values must not be
// modified.
func (m *Machine) Items() map[string][]byte { return m.config.copyItems() }

// Item returns the item of the configuration at a path, nil if there is none. It
// must not be modified.
func (m *Machine) Item(path string) []byte { return m.config.items[path] }

// DeltasSince returns the deltas that a process at the given revision is
// missing, in ascending order. If complete is true, a single delta holds the
// complete configuration, because the missing deltas are no longer in the history
// or are together larger than that configuration. The result is empty for a
// process that is up to date or ahead.
func (m *Machine) DeltasSince(revision uint64) (deltas []Delta, complete bool) {
	return m.config.deltasSince(revision)
}

// Complete returns the configuration as one delta.
func (m *Machine) Complete() Delta { return m.config.complete() }

// History returns up to n changes of the history, newest first.
func (m *Machine) History(n int) []Delta { return m.config.newest(n) }

// Prepare turns an operator's request into the command to propose: it parses,
// validates and flattens the configuration.
func (m *Machine) Prepare(request ChangeRequest) ChangeConfig {
	return m.PrepareParsed(ParseChange(request))
}

// PrepareParsed is the part of Prepare that needs the machine's state.
func (m *Machine) PrepareParsed(parsed ParsedChange) ChangeConfig {
	return m.config.prepare(parsed)
}
