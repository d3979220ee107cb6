package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Document holds a configuration as separate items, so that applying a change
// decodes only the items that changed. It is not safe for concurrent use.
type Document struct {
	defaults   Policy
	zones      collection[Zone]
	classes    collection[MachineClass]
	services   collection[Service]
	servers    collection[BackendServer]
	customers  collection[Customer]
	exceptions collection[Exception]
}

// NewDocument returns a document that holds only the default policy.
func NewDocument() *Document {
	return &Document{defaults: DefaultPolicy()}
}

// Put sets an item, or removes it if its JSON is empty. On an error the
// document is unchanged.
func (d *Document) Put(item Item) error {
	switch item.Path {
	case pathDefaults:
		return d.putDefaults(item.JSON)
	case PathNumbered:
		// The item is only validated: its content is not part of Config and is
		// read with ParseNumberedDocument.
		_, err := ParseNumberedDocument(item.JSON)
		return err
	}
	kind, name, ok := strings.Cut(item.Path, "/")
	if !ok {
		return fmt.Errorf("configuration item %q: unknown path", item.Path)
	}
	switch kind + "/" {
	case prefixZones:
		return d.zones.put(name, item)
	case prefixClasses:
		return d.classes.put(name, item)
	case prefixServices:
		return d.services.put(name, item)
	case prefixBackendServers:
		return d.servers.put(name, item)
	case prefixCustomers:
		return d.customers.put(name, item)
	case prefixExceptions:
		return d.exceptions.put(name, item)
	}
	return fmt.Errorf("configuration item %q: unknown path", item.Path)
}

func (d *Document) putDefaults(data []byte) error {
	policy := DefaultPolicy()
	if len(data) > 0 {
		if err := json.Unmarshal(data, &policy); err != nil {
			return fmt.Errorf("configuration item %q: %w", pathDefaults, err)
		}
	}
	d.defaults = policy
	return nil
}

// Config returns the document as a configuration. The returned configurations
// share slices with each other and with the document; callers must not modify
// them.
func (d *Document) Config() *Config {
	return &Config{
		Defaults:       d.defaults,
		Zones:          d.zones.list(),
		Classes:        d.classes.list(),
		Services:       d.services.list(),
		BackendServers: d.servers.list(),
		Customers:      d.customers.list(),
		Exceptions:     d.exceptions.list(),
	}
}

// collection holds the elements of one configuration list by name.
type collection[T any] struct {
	values map[string]T
	// sorted caches the elements in order of name for all configurations that
	// Config returns. It is nil after an element has changed.
	sorted []T
}

func (c *collection[T]) put(name string, item Item) error {
	if len(item.JSON) == 0 {
		delete(c.values, name)
		c.sorted = nil
		return nil
	}
	var value T
	if err := json.Unmarshal(item.JSON, &value); err != nil {
		return fmt.Errorf("configuration item %q: %w", item.Path, err)
	}
	if c.values == nil {
		c.values = make(map[string]T)
	}
	c.values[name] = value
	c.sorted = nil
	return nil
}

func (c *collection[T]) list() []T {
	if c.sorted != nil || len(c.values) == 0 {
		return c.sorted
	}
	c.sorted = make([]T, 0, len(c.values))
	for _, name := range slices.Sorted(maps.Keys(c.values)) {
		c.sorted = append(c.sorted, c.values[name])
	}
	return c.sorted
}
