package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/configdelta"
	"waxwingcart/internal/configsource"
	"waxwingcart/internal/core/docdiff"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/wire"
)

// acknowledgeInterval is how often an entry that can't put the newest revision in
// force acknowledges the older one. It is well below the time for which a replica
// counts an acknowledgement.
const acknowledgeInterval = 5 * time.Second

// configuration is a fleet configuration with its lookup tables. It is
// immutable once published.
type configuration struct {
	*fleet.Config
	revision uint64
	// from is the process that supplied the revision, changeID the change that made
	// it, and proposedAt when that was proposed, by the leader's wall clock.
	from       string
	changeID   string
	proposedAt time.Time
	// routes is set if the configuration is a numbered document.
	routes *routes.Index
	// document is the document from which routes was decoded.
	document  *docdiff.Document
	customers map[[sha256.Size]byte]*fleet.Customer
	models    map[string]*fleet.Service
	services  map[string]*fleet.Service
	servers   map[string]*fleet.BackendServer
}

func newConfiguration(config *fleet.Config, revision uint64) *configuration {
	c := &configuration{
		Config:    config,
		revision:  revision,
		customers: make(map[[sha256.Size]byte]*fleet.Customer),
		models:    make(map[string]*fleet.Service),
		services:  make(map[string]*fleet.Service),
		servers:   make(map[string]*fleet.BackendServer),
	}
	for i := range config.Customers {
		c.addCustomer(&config.Customers[i])
	}
	for i := range config.Services {
		service := &config.Services[i]
		c.services[service.Name] = service
		if service.Kind == fleet.ServiceModel {
			c.models[service.Model] = service
		}
	}
	for i := range config.BackendServers {
		server := &config.BackendServers[i]
		c.servers[server.Name] = server
	}
	return c
}

func (c *configuration) addCustomer(customer *fleet.Customer) {
	for _, text := range customer.KeyHashes {
		var hash [sha256.Size]byte
		if _, err := hex.Decode(hash[:], []byte(text)); err == nil {
			c.customers[hash] = customer
		}
	}
}

// customerOf returns the customer with a bearer key, or nil. Only hashes are
// compared, and the last comparison takes constant time.
func (c *configuration) customerOf(key string) *fleet.Customer {
	if key == "" {
		return nil
	}
	hash := sha256.Sum256([]byte(key))
	customer, ok := c.customers[hash]
	if !ok {
		return nil
	}
	for _, text := range customer.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(text), []byte(hex.EncodeToString(hash[:]))) == 1 {
			return customer
		}
	}
	return nil
}

// configHolder keeps the configuration in force and fetches newer ones.
type configHolder struct {
	entry   *Entry
	current atomic.Pointer[configuration]

	// publishing is held while a configuration is put in force, so that one follows
	// the other. It is taken before mu.
	publishing sync.Mutex

	mu   sync.Mutex
	view *state.View
	// acknowledgedAt is when a call last acknowledged the revision in force.
	acknowledgedAt time.Duration
	// rejected is true if the view rejected the last response.
	rejected bool
	// undecodable is the last revision that could not be decoded, or 0.
	undecodable uint64
	// from is the process or the file that supplied the view's revision.
	from string
	// saved is true if the view was initialized from the copy on disk.
	saved bool
	// firstFetchDone is closed once the first fetch is over.
	firstFetchDone chan struct{}
	source         configsource.Source
	documents      *configdelta.Client
	// replicaTimeout and peerTimeout bound one call to a replica and one to
	// another entry. The source is overdue after overdueAfter, and at a start any process after answerOverdue.
	replicaTimeout time.Duration
	peerTimeout    time.Duration
	overdueAfter   time.Duration
	answerOverdue  time.Duration
}

func newConfigHolder(e *Entry) *configHolder {
	h := &configHolder{
		entry: e, view: state.NewView(), firstFetchDone: make(chan struct{}),
		documents: configdelta.NewClient(e.logger, e.opts.Registry), replicaTimeout: fetchTimeout, peerTimeout: peerTimeout, overdueAfter: overdueAfter, answerOverdue: answerOverdue,
	}
	h.load()
	e.opts.Registry.MustRegister(newGaugeFunc("config_unconfirmed_seconds",
		"Time since a quorum last confirmed the configuration revision of this entry, or since the entry's start.",
		func() float64 { return h.unconfirmed().Seconds() }))
	return h
}

// inForce returns the configuration in force, or nil.
func (h *configHolder) inForce() *configuration { return h.current.Load() }

// request returns a call for the revisions that follow the view's. A call that
// names its process acknowledges that it has the call's revision in force.
func (h *configHolder) request(wait time.Duration) *wire.FetchConfigRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	request := &wire.FetchConfigRequest{
		HaveRevision: h.view.Revision(),
		WaitMs:       wait.Milliseconds(),
		Zone:         h.entry.opts.Zone,
	}
	if h.mayAcknowledge() {
		request.HaveRevision, request.Process = h.current.Load().revision, h.entry.opts.VM
		h.acknowledgedAt = h.entry.now()
	}
	if h.entry.opts.Routed != nil {
		held, _ := h.view.Numbered()
		h.documents.Prepare(request, held)
	}
	return request
}

// mayAcknowledge reports whether the next call should acknowledge the revision
// in force. While the view has a newer one that could not be put in force, only
// a call in each acknowledgeInterval does: a replica answers such a call at once
// with the newer revision. The caller holds mu.
func (h *configHolder) mayAcknowledge() bool {
	current := h.current.Load()
	if current == nil {
		return false
	}
	return current.revision == h.view.Revision() || h.entry.now()-h.acknowledgedAt >= acknowledgeInterval
}

// apply stages a response's deltas and puts the newest revision in force.
func (h *configHolder) apply(from string, response *wire.FetchConfigResponse) {
	h.stage(from, response)
	h.publish()
}

// stage adds a response's deltas to the view without putting them in force.
func (h *configHolder) stage(from string, response *wire.FetchConfigResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	effects := h.step(from, response)
	again := h.rejected
	h.rejected = effects.Err != nil
	if effects.Config != nil {
		h.from = from
	}
	if h.rejected && !again {
		h.entry.logger.Error().Str("step", "apply config").Str("peer", from).Err(effects.Err).Msg("applying received configuration changes failed")
	}
}

// step applies a response to the view. The caller holds mu.
func (h *configHolder) step(from string, response *wire.FetchConfigResponse) state.ViewEffects {
	received := state.DeltasReceived{From: from, Revision: response.Revision, Committed: response.Confirmed}
	var err error
	if n := len(response.Deltas); n > 0 && response.Deltas[n-1].Revision > h.view.Revision() {
		held, _ := h.view.Numbered()
		received.Numbered, err = h.documents.Resolve(from, held, response)
	}
	if err == nil {
		received.Deltas = codec.DeltasFromWire(response.Deltas)
	}
	effects := h.view.Step(h.entry.now(), received)
	if err != nil {
		effects.Err = fmt.Errorf("apply revision %d from %s: %w", response.Revision, from, err)
	}
	return effects
}

// empty reports whether there is no configuration yet.
func (h *configHolder) empty() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Revision() == 0
}

// lastRejected reports whether the view rejected the last response.
func (h *configHolder) lastRejected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rejected
}

// publish puts the view's configuration in force if it is newer. It saves the
// configuration first, without mu: a slow disk delays neither calls nor responses.
func (h *configHolder) publish() {
	h.publishing.Lock()
	defer h.publishing.Unlock()
	next, deltas := h.next()
	if next == nil {
		return
	}
	saving := time.Now()
	h.save(deltas)
	saved := time.Since(saving)
	// Calls see next only once placement has the servers of its services.
	h.entry.policy.setConfiguration(next)
	h.current.Store(next)
	if next.routes != nil {
		h.entry.callerLimits.Set(h.entry.now(), next.routes.Limits)
	}
	h.entry.metrics.revision.Set(float64(next.revision))
	event := h.entry.logger.Info().Str("step", "apply config").Uint64("revision", next.revision).
		Str("peer", next.from).Int64("age_ms", next.age().Milliseconds()).Int64("save_ms", saved.Milliseconds())
	if next.routes != nil {
		event.Uint64("number", next.routes.Number).Int("routes", next.routes.RouteCount()).Int("customers", len(next.routes.Customers))
	}
	event.Msg("configuration in force")
	h.entry.signalInitialized()
}

// next returns the view's configuration, and the deltas to be saved, or nil if it is
// not newer than the one in force or can't be decoded.
func (h *configHolder) next() (*configuration, []state.Delta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.current.Load()
	if h.view.Config() == nil || (current != nil && current.revision >= h.view.Revision()) {
		return nil, nil
	}
	if h.undecodable == h.view.Revision() {
		return nil, nil
	}
	next, err := h.decode()
	if err != nil {
		h.undecodable = h.view.Revision()
		h.entry.logger.Error().Str("step", "apply config").Uint64("revision", h.undecodable).Str("peer", h.from).Err(err).
			Msg("decoding the configuration failed; the previous one stays in force and this one is not acknowledged")
		return nil, nil
	}
	last := h.view.Last()
	next.from, next.changeID, next.proposedAt = h.from, last.ChangeID, time.UnixMilli(last.TimeMS)
	if h.entry.opts.DataDir == "" {
		return next, nil
	}
	return next, h.view.Deltas(0)
}

// age returns the time since the change was proposed, by the wall clocks of this
// process and of the leader, which may differ.
func (c *configuration) age() time.Duration { return max(time.Since(c.proposedAt), 0) }

// decode builds the configuration from the view.
func (h *configHolder) decode() (*configuration, error) {
	if h.entry.opts.Routed == nil {
		return newConfiguration(h.view.Config(), h.view.Revision()), nil
	}
	numbered, err := h.view.Numbered()
	if err != nil {
		return nil, err
	}
	if numbered == nil {
		numbered = &state.Numbered{Content: docdiff.Parse(nil, nil)}
	}
	var previous configuration
	if current := h.current.Load(); current != nil {
		previous = *current
	}
	routed := h.entry.opts.Routed
	index, err := configdelta.Decoder{Whole: routed.Decode, Change: routed.DecodeChange}.Decode(previous.routes, previous.document, numbered)
	if err != nil {
		return nil, err
	}
	config := newConfiguration(routedConfig(index.Table), h.view.Revision())
	config.routes, config.document = index, numbered.Content
	return config, nil
}

// serveFetch answers another process that asks for the configuration.
func (h *configHolder) serveFetch(have uint64) *wire.FetchConfigResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &wire.FetchConfigResponse{
		Deltas:   codec.DeltasToWire(h.view.Deltas(have)),
		Revision: h.view.Revision(),
	}
}

// unconfirmed returns the time since a quorum last confirmed a revision, or
// since the entry's start if none ever did.
func (h *configHolder) unconfirmed() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, _ := h.view.ConfirmedAt()
	return h.entry.now() - at
}

// configState is the configuration's part of the state dump. Revision and ChangeID
// are those in force.
type configState struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id,omitempty"`
	// UnconfirmedS is the time since a quorum last confirmed the revision, in
	// seconds, or -1 if none ever did.
	UnconfirmedS float64 `json:"unconfirmed_s"`
}

func (h *configHolder) state() configState {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := configState{UnconfirmedS: -1}
	if current := h.current.Load(); current != nil {
		s.Revision, s.ChangeID = current.revision, current.changeID
	}
	if at, ok := h.view.ConfirmedAt(); ok {
		s.UnconfirmedS = (h.entry.now() - at).Seconds()
	}
	return s
}
