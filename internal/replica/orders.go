package replica

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"waxwingcart/internal/backend"
	"waxwingcart/internal/core/fleet"
	"waxwingcart/internal/core/orders"
	"waxwingcart/internal/core/replication"
	"waxwingcart/internal/periodic"
)

// Timing of orders. orderTimeout must be shorter than leaseDuration, as an order
// must end within a lease that was just renewed.
const (
	orderTick    = 50 * time.Millisecond
	orderTimeout = 150 * time.Millisecond
)

// orderRunner runs the order dispatcher and sends its orders to the backend
// servers while this replica leads.
type orderRunner struct {
	replica  *Replica
	backends *backend.Client

	mu         sync.Mutex
	dispatcher *orders.Dispatcher
	addresses  map[string]string
	// ledTerm is the term that the dispatcher leads, or 0.
	ledTerm  uint64
	revision uint64
}

func newOrderRunner(r *Replica) *orderRunner {
	return &orderRunner{
		replica:  r,
		backends: backend.New(backend.Options{DialTimeout: orderTimeout}),
		dispatcher: orders.New(orders.Options{
			LeaseDuration: leaseDuration,
			MaxClockDrift: maxClockDrift,
			OrderTimeout:  orderTimeout,
		}),
		addresses: make(map[string]string),
	}
}

func (o *orderRunner) run(ctx context.Context) {
	defer o.backends.Close()
	periodic.Run(ctx, orderTick, func() {
		o.updateRole(ctx)
		o.updateConfig(ctx)
		o.step(ctx, orders.Tick{})
	})
}

// updateRole tells the dispatcher whether this replica leads and until when its
// lease is valid.
func (o *orderRunner) updateRole(ctx context.Context) {
	status := o.replica.status()
	leads := status.Role == replication.RoleLeader
	switch {
	case leads && o.ledTerm != status.Term:
		o.ledTerm = status.Term
		o.step(ctx, orders.BecameLeader{Term: status.Term})
	case !leads && o.ledTerm != 0:
		o.ledTerm = 0
		o.step(ctx, orders.SteppedDown{})
	}
	if leads && status.Lease.Valid {
		o.step(ctx, orders.Leased{Term: status.Term, Until: status.Lease.Until})
	}
}

// updateConfig passes the configured conditions of the backend servers to the
// dispatcher when the configuration has changed.
func (o *orderRunner) updateConfig(ctx context.Context) {
	if o.ledTerm == 0 {
		o.revision = 0
		return
	}
	items, revision, err := o.replica.itemsSince(ctx, o.revision)
	if err != nil || items == nil {
		return
	}
	config, err := fleet.Assemble(items)
	if err != nil {
		return
	}
	o.revision = revision
	o.setDesired(ctx, config)
}

// setDesired tells the dispatcher which model each model engine has to serve, and
// removes engines that are no longer configured.
func (o *orderRunner) setDesired(ctx context.Context, config *fleet.Config) {
	models := make(map[string]string)
	for _, service := range config.Services {
		if service.Kind == fleet.ServiceModel {
			models[service.Name] = service.Model
		}
	}
	configured := make(map[string]string)
	for _, server := range config.BackendServers {
		model, ok := models[server.Service]
		if !ok {
			continue
		}
		configured[server.Name] = server.Address
		o.setAddress(server.Name, server.Address)
		o.step(ctx, orders.Desired{
			Server:     server.Name,
			Fencing:    server.Fencing,
			Conditions: map[orders.Kind]string{orders.SetModel: model},
		})
	}
	for _, name := range o.serverNames() {
		if _, ok := configured[name]; !ok {
			o.setAddress(name, "")
			o.step(ctx, orders.Removed{Server: name})
		}
	}
}

func (o *orderRunner) setAddress(name, address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if address == "" {
		delete(o.addresses, name)
		return
	}
	o.addresses[name] = address
}

func (o *orderRunner) serverNames() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := make([]string, 0, len(o.addresses))
	for name := range maps.Keys(o.addresses) {
		names = append(names, name)
	}
	return names
}

// step passes an event to the dispatcher at the current time and executes the
// effects.
func (o *orderRunner) step(ctx context.Context, ev orders.Event) {
	o.mu.Lock()
	effects := o.dispatcher.Step(o.replica.now(), ev)
	o.mu.Unlock()
	for _, read := range effects.Reads {
		go o.read(ctx, read)
	}
	for _, send := range effects.Sends {
		go o.send(ctx, send)
	}
	if effects.StepDown != 0 {
		o.replica.logger.Warn().Str("step", "order").Uint64("highest", effects.StepDown).Msg("a backend server has seen the order of a newer leader; resigning the leadership")
		o.replica.inbox <- task{event: replication.Resign{}}
	}
}

// withDeadline bounds a call by a time on this replica's clock. The remaining
// time is computed when the call starts, so that a process that was paused since
// the decision sends nothing late.
func (o *orderRunner) withDeadline(ctx context.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, deadline-o.replica.now())
}

func (o *orderRunner) address(server string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.addresses[server]
}

func (o *orderRunner) read(ctx context.Context, read orders.Read) {
	callCtx, cancel := o.withDeadline(ctx, read.Deadline)
	defer cancel()
	result := orders.ReadResult{Server: read.Server, Sequence: read.Sequence}
	address := o.address(read.Server)
	state, err := o.backends.Orders(callCtx, address)
	if err != nil {
		o.replica.logger.Debug().Str("step", "read orders").Str("peer", address).Err(err).Msg("reading the orders of a backend server failed")
		o.step(ctx, result)
		return
	}
	result.OK = true
	result.Highest = state.Highest
	result.Conditions = make(map[orders.Kind]string, len(state.Desired))
	for kind, value := range state.Desired {
		result.Conditions[orders.Kind(kind)] = value
	}
	o.step(ctx, result)
}

func (o *orderRunner) send(ctx context.Context, send orders.Send) {
	callCtx, cancel := o.withDeadline(ctx, send.Deadline)
	defer cancel()
	result := orders.SendResult{Server: send.Server, Sequence: send.Sequence, Result: orders.ResultApplied}
	address := o.address(send.Server)
	err := o.backends.Order(callCtx, address, backend.Order{Fencing: send.Fencing, Kind: string(send.Kind), Value: send.Value})
	if err != nil {
		result.Result = orders.ResultFailed
		var callErr *backend.Error
		if errors.As(err, &callErr) && callErr.Highest > 0 {
			result.Result, result.Highest = orders.ResultRefused, callErr.Highest
		}
		o.replica.logger.Warn().Str("step", "order").Str("peer", address).Uint64("fencing", send.Fencing).Err(err).Msg("sending an order to a backend server failed")
	}
	o.replica.metrics.orders.WithLabelValues(orderResults[result.Result]).Inc()
	o.step(ctx, result)
}

var orderResults = map[orders.Result]string{
	orders.ResultFailed:  "failed",
	orders.ResultApplied: "applied",
	orders.ResultRefused: "refused",
}

func (o *orderRunner) state() orders.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dispatcher.State(o.replica.now())
}
