package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Document is a configuration held by item, so that a change decodes only the
// items it touches. It is not safe for concurrent use.
type Document struct {
	defaults   Policy
	zones      map[string]Zone
	classes    map[string]MachineClass
	services   map[string]Service
	servers    map[string]BackendServer
	customers  map[string]Customer
	exceptions map[string]Exception
}

// NewDocument returns a document with the default policy and nothing else.
func NewDocument() *Document {
	return &Document{
		defaults:   DefaultPolicy(),
		zones:      make(map[string]Zone),
		classes:    make(map[string]MachineClass),
		services:   make(map[string]Service),
		servers:    make(map[string]BackendServer),
		customers:  make(map[string]Customer),
		exceptions: make(map[string]Exception),
	}
}

// Put sets an item, or removes it if its JSON is empty. On an error the
// document is unchanged.
func (d *Document) Put(item Item) error {
	if item.Path == pathDefaults {
		return d.putDefaults(item.JSON)
	}
	kind, name, ok := strings.Cut(item.Path, "/")
	if !ok {
		return fmt.Errorf("configuration item %q: unknown path", item.Path)
	}
	switch kind + "/" {
	case pathZones:
		return put(d.zones, name, item)
	case pathClasses:
		return put(d.classes, name, item)
	case pathServices:
		return put(d.services, name, item)
	case pathBackendServers:
		return put(d.servers, name, item)
	case pathCustomers:
		return put(d.customers, name, item)
	case pathExceptions:
		return put(d.exceptions, name, item)
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

func put[T any](values map[string]T, name string, item Item) error {
	if len(item.JSON) == 0 {
		delete(values, name)
		return nil
	}
	var value T
	if err := json.Unmarshal(item.JSON, &value); err != nil {
		return fmt.Errorf("configuration item %q: %w", item.Path, err)
	}
	values[name] = value
	return nil
}

// Config returns the document as one configuration. The result shares maps and
// slices inside its list elements with the document and must not be changed.
func (d *Document) Config() *Config {
	return &Config{
		Defaults:       d.defaults,
		Zones:          sorted(d.zones),
		Classes:        sorted(d.classes),
		Services:       sorted(d.services),
		BackendServers: sorted(d.servers),
		Customers:      sorted(d.customers),
		Exceptions:     sorted(d.exceptions),
	}
}

func sorted[T any](values map[string]T) []T {
	if len(values) == 0 {
		return nil
	}
	list := make([]T, 0, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		list = append(list, values[name])
	}
	return list
}
