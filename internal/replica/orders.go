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

// Timing of orders. An order's time must fit into a lease that was just
// renewed.
const (
	orderTick    = 50 * time.Millisecond
	orderTimeout = 150 * time.Millisecond
)

// orderer gives backend servers their orders while this replica leads.
type orderer struct {
	replica  *Replica
	backends *backend.Client

	mu         sync.Mutex
	dispatcher *orders.Dispatcher
	addresses  map[string]string
	led        uint64
	revision   uint64
}

func newOrderer(r *Replica) *orderer {
	return &orderer{
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

func (o *orderer) run(ctx context.Context) {
	defer o.backends.Close()
	periodic.Run(ctx, orderTick, func() {
		o.followRole(ctx)
		o.followConfig(ctx)
		o.step(ctx, orders.Tick{})
	})
}

// followRole tells the dispatcher whether this replica leads and until when.
func (o *orderer) followRole(ctx context.Context) {
	status := o.replica.status()
	leads := status.Role == replication.RoleLeader
	switch {
	case leads && o.led != status.Term:
		o.led = status.Term
		o.step(ctx, orders.Led{Term: status.Term})
	case !leads && o.led != 0:
		o.led = 0
		o.step(ctx, orders.SteppedDown{})
	}
	if leads && status.Lease.Valid {
		o.step(ctx, orders.Leased{Term: status.Term, Until: status.Lease.Until})
	}
}

// followConfig gives the dispatcher the conditions that the configuration
// asks of the backend servers.
func (o *orderer) followConfig(ctx context.Context) {
	if o.led == 0 {
		o.revision = 0
		return
	}
	var config *fleet.Config
	var revision uint64
	err := o.replica.do(ctx, func() {
		revision = o.replica.machine.Revision()
		if revision != o.revision {
			config, _ = fleet.Assemble(o.replica.machine.Items())
		}
	})
	if err != nil || config == nil {
		return
	}
	o.revision = revision
	o.desire(ctx, config)
}

// desire orders each model engine to serve its service's model.
func (o *orderer) desire(ctx context.Context, config *fleet.Config) {
	models := make(map[string]string)
	for _, service := range config.Services {
		if service.Kind == fleet.ServiceModel {
			models[service.Name] = service.Model
		}
	}
	wanted := make(map[string]string)
	for _, server := range config.BackendServers {
		model, ok := models[server.Service]
		if !ok {
			continue
		}
		wanted[server.Name] = server.Address
		o.setAddress(server.Name, server.Address)
		o.step(ctx, orders.Desired{
			Server:     server.Name,
			Fencing:    server.Fencing,
			Conditions: map[orders.Kind]string{orders.SetModel: model},
		})
	}
	for _, name := range o.known() {
		if _, ok := wanted[name]; !ok {
			o.setAddress(name, "")
			o.step(ctx, orders.Removed{Server: name})
		}
	}
}

func (o *orderer) setAddress(name, address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if address == "" {
		delete(o.addresses, name)
		return
	}
	o.addresses[name] = address
}

func (o *orderer) known() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := make([]string, 0, len(o.addresses))
	for name := range maps.Keys(o.addresses) {
		names = append(names, name)
	}
	return names
}

// step feeds an event at the present time and carries out what follows.
func (o *orderer) step(ctx context.Context, ev orders.Event) {
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
		o.replica.logger.Warn().Str("step", "order").Uint64("highest", effects.StepDown).Msg("a backend server knows a newer leader")
		o.replica.inbox <- work{event: replication.Resign{}}
	}
}

// until bounds a call by a time of this replica's clock. The bound is worked
// out from the clock now, so that a process that was frozen since the decision
// sends nothing late.
func (o *orderer) until(ctx context.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, deadline-o.replica.now())
}

func (o *orderer) address(server string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.addresses[server]
}

func (o *orderer) read(ctx context.Context, read orders.Read) {
	call, cancel := o.until(ctx, read.Deadline)
	defer cancel()
	current := orders.Current{Server: read.Server, Sequence: read.Sequence}
	address := o.address(read.Server)
	state, err := o.backends.Orders(call, address)
	if err != nil {
		o.replica.logger.Debug().Str("step", "read orders").Str("peer", address).Err(err).Msg("orders not read")
		o.step(ctx, current)
		return
	}
	current.OK = true
	current.Highest = state.Highest
	current.Conditions = make(map[orders.Kind]string, len(state.Desired))
	for kind, value := range state.Desired {
		current.Conditions[orders.Kind(kind)] = value
	}
	o.step(ctx, current)
}

func (o *orderer) send(ctx context.Context, send orders.Send) {
	call, cancel := o.until(ctx, send.Deadline)
	defer cancel()
	answer := orders.Answer{Server: send.Server, Sequence: send.Sequence, Result: orders.ResultApplied}
	address := o.address(send.Server)
	err := o.backends.Order(call, address, backend.Order{Fencing: send.Fencing, Kind: string(send.Kind), Value: send.Value})
	if err != nil {
		answer.Result = orders.ResultFailed
		var callErr *backend.Error
		if errors.As(err, &callErr) && callErr.Highest > 0 {
			answer.Result, answer.Highest = orders.ResultRefused, callErr.Highest
		}
		o.replica.logger.Warn().Str("step", "order").Str("peer", address).Uint64("fencing", send.Fencing).Err(err).Msg("order not applied")
	}
	o.replica.metrics.orders.WithLabelValues(orderResults[answer.Result]).Inc()
	o.step(ctx, answer)
}

var orderResults = map[orders.Result]string{
	orders.ResultFailed:  "failed",
	orders.ResultApplied: "applied",
	orders.ResultRefused: "refused",
}

func (o *orderer) state() orders.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dispatcher.State(o.replica.now())
}
