package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"waxwingcart/internal/codec"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/routes"
	"waxwingcart/internal/core/state"
	"waxwingcart/internal/rpc"
	"waxwingcart/internal/wire"
)

// Timing of fetching the configuration.
const (
	// fetchWait is how long a replica may hold a call until there is a newer
	// revision. It is short enough that a call over a dead connection ends
	// before a new configuration must be in force.
	fetchWait    = 700 * time.Millisecond
	fetchTimeout = 1200 * time.Millisecond
	fetchRetry   = 200 * time.Millisecond
	// firstFetchRetry is the delay before a starting entry asks a replica
	// again that did not answer: it may have started together with the entry
	// and listen a moment later. A replica that answers without a leader's
	// confirmation is asked at intervals that grow from firstFetchRetry to
	// fetchRetry.
	firstFetchRetry = 50 * time.Millisecond
	// acknowledgeInterval is how often an entry that can't put the newest
	// revision in force acknowledges the older one. It is well below the time
	// for which a replica counts an acknowledgement.
	acknowledgeInterval = 5 * time.Second
	// savedConfirmTimeout is how long an entry with a saved configuration
	// waits for a quorum's confirmation, and peerTimeout bounds asking the
	// entries of its own zone.
	savedConfirmTimeout = 2 * time.Second
	peerTimeout         = 2 * time.Second
	// confirmTimeout is how long an entry without a saved configuration waits
	// for a quorum's confirmation.
	confirmTimeout = 10 * time.Second
)

// configuration is a fleet configuration with its lookup tables. It is
// immutable once published.
type configuration struct {
	*fleet.Config
	revision uint64
	// routes is set if the configuration is a numbered document.
	routes    *routes.Index
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
}

func newConfigHolder(e *Entry) *configHolder {
	h := &configHolder{entry: e, view: state.NewView(), firstFetchDone: make(chan struct{})}
	h.load()
	return h
}

// inForce returns the configuration in force, or nil.
func (h *configHolder) inForce() *configuration { return h.current.Load() }

// run fetches the first configuration from all reachable replicas and entries,
// and then follows the replicas.
func (h *configHolder) run(ctx context.Context) {
	h.fetchFirst(ctx)
	for ctx.Err() == nil {
		if delay := h.fetchNext(ctx); delay > 0 {
			wait(ctx, delay)
		}
	}
}

// fetchNext asks the replicas once, and the entries if no replica confirms. It
// returns the time to wait before the next call.
func (h *configHolder) fetchNext(ctx context.Context) time.Duration {
	confirmed := h.fetchFromReplicas(ctx)
	if !confirmed {
		h.fetchFromPeers(ctx)
	}
	if !confirmed || h.lastRejected() {
		return fetchRetry
	}
	return 0
}

func wait(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// fetchFromReplicas asks the replicas for newer revisions, the leader first,
// until one answers with a quorum's confirmation. Only the leader holds the
// call until there is something new, and only a call to the leader
// acknowledges the revision that this entry has. It reports whether a replica
// confirmed.
func (h *configHolder) fetchFromReplicas(ctx context.Context) bool {
	addresses := h.entry.replicas.Addresses()
	if leader := h.entry.replicas.Leader(); leader != "" {
		addresses = append([]string{leader}, addresses...)
	}
	for _, address := range addresses {
		request := h.request(fetchWait)
		call, cancel := context.WithTimeout(ctx, fetchTimeout)
		response, err := h.entry.replicas.Stub(address).FetchConfig(call, request)
		cancel()
		if err != nil {
			h.entry.logger.Debug().Str("step", "fetch config").Str("peer", address).Err(err).Msg("fetching the configuration from a replica failed")
			continue
		}
		h.apply(address, response)
		h.entry.replicas.SetAddresses(response.Replicas)
		if response.Confirmed {
			h.entry.replicas.SetLeader(address)
			return true
		}
		if response.Leader != "" && response.Leader != address {
			h.entry.replicas.SetLeader(response.Leader)
		}
	}
	return false
}

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

// fetchFirst puts the first configuration in force. The revision that replicas
// know may be older than the one this entry had in force before it restarted,
// so without a saved copy it waits for a quorum's confirmation. In a zone that
// is cut off none arrives; after a limited time the entry uses the newest
// revision that any reachable process has.
func (h *configHolder) fetchFirst(ctx context.Context) {
	timeout := confirmTimeout
	if h.saved {
		timeout = savedConfirmTimeout
	}
	h.runFirstFetch(ctx, timeout)
	h.publish()
	close(h.firstFetchDone)
}

// firstFetch asks all replicas and entries for the first configuration in
// parallel and repeatedly, so that one that does not answer does not delay the
// others.
type firstFetch struct {
	holder *configHolder
	stop   context.CancelFunc
	group  sync.WaitGroup

	mu    sync.Mutex
	asked map[string]bool
}

// runFirstFetch fetches until a quorum has confirmed the configuration or the
// timeout is over.
func (h *configHolder) runFirstFetch(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f := &firstFetch{holder: h, stop: cancel, asked: make(map[string]bool)}
	f.askReplicas(ctx)
	for _, peer := range h.entry.opts.Peers {
		f.group.Go(func() {
			for ctx.Err() == nil {
				h.fetchFromPeer(ctx, peer)
				wait(ctx, fetchRetry)
			}
		})
	}
	f.group.Wait()
}

// askReplicas starts asking the known replicas that are not being asked yet.
func (f *firstFetch) askReplicas(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range f.holder.entry.replicas.Addresses() {
		if f.asked[address] {
			continue
		}
		f.asked[address] = true
		f.group.Go(func() { f.askReplica(ctx, address) })
	}
}

// askReplica asks one replica until any replica has answered with a quorum's
// confirmation. A replica that knows no leader holds the call until there is
// one.
func (f *firstFetch) askReplica(ctx context.Context, address string) {
	h := f.holder
	delay := firstFetchRetry
	for ctx.Err() == nil {
		request := h.request(fetchWait)
		request.AwaitLeader = true
		call, cancel := context.WithTimeout(ctx, fetchTimeout)
		response, err := h.entry.replicas.Stub(address).FetchConfig(call, request)
		cancel()
		if err != nil {
			h.entry.logger.Debug().Str("step", "fetch config").Str("peer", address).Err(err).Msg("fetching the configuration from a replica failed")
			wait(ctx, firstFetchRetry)
			continue
		}
		h.stage(address, response)
		h.entry.replicas.SetAddresses(response.Replicas)
		if response.Confirmed {
			h.entry.replicas.SetLeader(address)
			f.stop()
			return
		}
		f.askReplicas(ctx)
		wait(ctx, delay)
		delay = min(2*delay, fetchRetry)
	}
}

// fetchFromPeers asks the entries of its own zone when no replica answers.
func (h *configHolder) fetchFromPeers(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for _, peer := range h.entry.opts.Peers {
		if peer.Zone == h.entry.opts.Zone {
			h.fetchFromPeer(call, peer)
		}
	}
	h.publish()
}

func (h *configHolder) fetchFromPeer(ctx context.Context, peer Peer) {
	stub := wire.NewPeerProtobufClient("http://"+peer.Address, h.entry.opts.Client)
	response, err := stub.Config(ctx, h.request(0))
	if err != nil {
		h.entry.logger.Debug().Str("step", "fetch config").Err(rpc.Wrap("fetch config", peer.Address, err)).Msg("fetching the configuration from another entry failed")
		return
	}
	h.stage(peer.Address, response)
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
	effects := h.view.Step(h.entry.now(), state.DeltasReceived{
		From:      from,
		Deltas:    codec.DeltasFromWire(response.Deltas),
		Revision:  response.Revision,
		Committed: response.Confirmed,
	})
	h.rejected = effects.Err != nil
	if effects.Config != nil {
		h.from = from
	}
	if effects.Err != nil {
		h.entry.logger.Error().Str("step", "apply config").Str("peer", from).Err(effects.Err).Msg("applying received configuration changes failed")
	}
}

// lastRejected reports whether the view rejected the last response.
func (h *configHolder) lastRejected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rejected
}

// publish puts the view's configuration in force if it is newer.
func (h *configHolder) publish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.current.Load()
	if h.view.Config() == nil || (current != nil && current.revision >= h.view.Revision()) {
		return
	}
	if h.undecodable == h.view.Revision() {
		return
	}
	next, err := h.decode()
	if err != nil {
		h.undecodable = h.view.Revision()
		h.entry.logger.Error().Str("step", "apply config").Uint64("revision", h.undecodable).Str("peer", h.from).Err(err).
			Msg("decoding the configuration failed; the previous one stays in force and this one is not acknowledged")
		return
	}
	saving := time.Now()
	h.save()
	saved := time.Since(saving)
	// Calls see next only once placement has the servers of its services.
	h.entry.policy.setConfiguration(next)
	h.current.Store(next)
	h.entry.metrics.revision.Set(float64(next.revision))
	event := h.entry.logger.Info().Str("step", "apply config").Uint64("revision", next.revision).
		Str("peer", h.from).Int64("age_ms", h.changeAge().Milliseconds()).Int64("save_ms", saved.Milliseconds())
	if next.routes != nil {
		event.Uint64("number", next.routes.Number).Int("routes", len(next.routes.Routes)).Int("customers", len(next.routes.Customers))
	}
	event.Msg("configuration in force")
	h.entry.signalInitialized()
}

// changeAge returns the time since the view's last change was proposed, by the
// wall clocks of this process and of the leader, which may differ. The caller
// holds mu.
func (h *configHolder) changeAge() time.Duration {
	return max(time.Since(time.UnixMilli(h.view.Last().TimeMS)), 0)
}

// decode builds the configuration from the view.
func (h *configHolder) decode() (*configuration, error) {
	if h.entry.opts.Routed == nil {
		return newConfiguration(h.view.Config(), h.view.Revision()), nil
	}
	numbered, err := h.view.NumberedDocument()
	if err != nil {
		return nil, err
	}
	table, err := h.entry.opts.Routed.Decode(numbered.Content)
	if err != nil {
		return nil, fmt.Errorf("document %d: %w", numbered.Number, err)
	}
	config := newConfiguration(routedConfig(table), h.view.Revision())
	config.routes = routes.NewIndex(table)
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

// configState is the configuration's part of the state dump.
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
	s := configState{Revision: h.view.Revision(), ChangeID: h.view.Last().ChangeID, UnconfirmedS: -1}
	if at, ok := h.view.ConfirmedAt(); ok {
		s.UnconfirmedS = (h.entry.now() - at).Seconds()
	}
	return s
}
