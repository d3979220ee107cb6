package routes

import (
	"fmt"
	"maps"
)

// Update is the difference of a table from the one before.
type Update struct {
	Number uint64
	Limits CallerLimits
	// Removed and Added are routes. One that changed is in both.
	Removed, Added []Route
	// Services and Customers are complete, or nil if they have not changed.
	Services  *[]Service
	Customers *[]Customer
}

// changedDivisor bounds the routes that an index holds as changed to the square root of the
// routes divided by it: each update copies these, and then all routes must be copied once.
// At 20,000 routes that is one copy of all in 200 updates.
const changedDivisor = 0.5

// minChanged is the number of changed routes up to which an index does not copy all routes.
const minChanged = 32

// Next returns the index of the next table. It validates what the update changes and what
// depends on it, and fails as Table.Validate would on the whole table. The time that it takes depends on the number
// of changed routes unless services or customers change.
func (x *Index) Next(update Update) (*Index, error) {
	next := *x
	next.Table = &Table{Number: update.Number, Services: x.Services, Customers: x.Customers, Limits: update.Limits}
	if update.Services != nil {
		next.Services = *update.Services
		if _, err := next.validateServices(); err != nil {
			return nil, err
		}
		next.services = indexServices(next.Services)
	}
	if update.Customers != nil {
		next.Customers = *update.Customers
		if err := next.validateCustomers(); err != nil {
			return nil, err
		}
		next.customers = indexCustomers(next.Customers)
	}
	if err := next.replaceRoutes(update.Removed, update.Added); err != nil {
		return nil, err
	}
	if err := next.validateTargets(x); err != nil {
		return nil, err
	}
	next.compact()
	return &next, nil
}

// replaceRoutes sets the routes of an index that still shares them with the one before.
func (x *Index) replaceRoutes(removed, added []Route) error {
	if len(removed)+len(added) == 0 {
		return nil
	}
	x.changed = maps.Clone(x.changed)
	if x.changed == nil {
		x.changed = make(map[routeKey]*Route)
	}
	x.timeouts, x.streamTimeouts = maps.Clone(x.timeouts), maps.Clone(x.streamTimeouts)
	for i := range removed {
		key := removed[i].key()
		held := x.route(key)
		if held == nil {
			return fmt.Errorf("route %q: is to be removed, and is not there", removed[i].Name)
		}
		x.changed[key] = nil
		x.countTimeout(held, -1)
		x.count--
	}
	for i := range added {
		route := &added[i]
		if err := route.validate(x.hasService); err != nil {
			return fmt.Errorf("route %q: %w", route.Name, err)
		}
		key := route.key()
		if other := x.route(key); other != nil {
			return fmt.Errorf("route %q: same host and prefix as route %q", route.Name, other.Name)
		}
		x.changed[key] = route
		x.countTimeout(route, 1)
		x.count++
	}
	return nil
}

func (x *Index) hasService(name string) bool { return x.services[name] != nil }

// validateTargets checks that no route leads to a service that the index before had and this one lacks.
func (x *Index) validateTargets(before *Index) error {
	dropped := false
	for name := range before.services {
		dropped = dropped || !x.hasService(name)
	}
	if !dropped {
		return nil
	}
	for _, route := range x.all() {
		if err := route.validate(x.hasService); err != nil {
			return fmt.Errorf("route %q: %w", route.Name, err)
		}
	}
	return nil
}

// all returns the routes by key, in a new map.
func (x *Index) all() map[routeKey]*Route {
	all := maps.Clone(x.routes)
	for key, route := range x.changed {
		if route == nil {
			delete(all, key)
		} else {
			all[key] = route
		}
	}
	return all
}

// compact merges the changed routes into the others if they are many.
func (x *Index) compact() {
	changed := float64(len(x.changed))
	if len(x.changed) > minChanged && changed*changed*changedDivisor > float64(len(x.routes)) {
		x.routes, x.changed = x.all(), nil
	}
}
