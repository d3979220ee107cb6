package routes

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// Validate returns the first error found in a table, or nil if it is valid.
func (t *Table) Validate() error {
	services, err := t.validateServices()
	if err != nil {
		return err
	}
	known := func(name string) bool { return services[name] }
	routeNames := make(map[routeKey]string, len(t.Routes))
	for i := range t.Routes {
		route := &t.Routes[i]
		if err := route.validate(known); err != nil {
			return fmt.Errorf("route %q: %w", route.Name, err)
		}
		key := route.key()
		if other, taken := routeNames[key]; taken {
			return fmt.Errorf("route %q: same host and prefix as route %q", route.Name, other)
		}
		routeNames[key] = route.Name
	}
	return t.validateCustomers()
}

// validateServices returns the names of the services.
func (t *Table) validateServices() (map[string]bool, error) {
	services := make(map[string]bool, len(t.Services))
	for _, service := range t.Services {
		if service.Name == "" {
			return nil, errors.New("service without a name")
		}
		if services[service.Name] {
			return nil, fmt.Errorf("service %q stands twice", service.Name)
		}
		services[service.Name] = true
	}
	return services, nil
}

// validate checks a route. known reports whether there is a service with a name.
func (r *Route) validate(known func(name string) bool) error {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.PathPrefix)
	}
	if r.Timeout <= 0 {
		return errors.New("timeout is not positive")
	}
	total := 0.0
	for _, target := range r.Targets {
		if !known(target.Service) {
			return fmt.Errorf("unknown service %q", target.Service)
		}
		if !(target.Weight >= 0) {
			return fmt.Errorf("negative weight of service %q", target.Service)
		}
		total += target.Weight
	}
	if total == 0 || math.IsInf(total, 0) {
		return errors.New("weights add up to 0 or to more than a number holds")
	}
	return nil
}

// validateCustomers compares customers by their place in the list: two may have the
// same name, but a key must say which one of them holds it.
func (t *Table) validateCustomers() error {
	owners := make(map[string]int)
	for i := range t.Customers {
		customer := &t.Customers[i]
		if customer.Name == "" {
			return errors.New("customer without a name")
		}
		for _, key := range customer.Keys {
			if key == "" {
				return fmt.Errorf("customer %q: a key is empty", customer.Name)
			}
			if owner, taken := owners[key]; taken && owner != i {
				return fmt.Errorf("customer %q: a key belongs to customer %q too", customer.Name, t.Customers[owner].Name)
			}
			owners[key] = i
		}
	}
	return nil
}
