package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Item is one keyed part of a configuration. Path names it, as
// "customers/heirs"; JSON is its content, nil if the item is removed.
type Item struct {
	Path string
	JSON []byte
}

// Prefixes of item paths, and the one path without a name.
const (
	pathDefaults       = "defaults"
	pathZones          = "zones/"
	pathClasses        = "classes/"
	pathServices       = "services/"
	pathBackendServers = "backend_servers/"
	pathCustomers      = "customers/"
	pathExceptions     = "exceptions/"
)

// ZoneOf returns the name of the zone that an item with this path defines, and
// false if it defines none.
func ZoneOf(path string) (string, bool) {
	return strings.CutPrefix(path, pathZones)
}

// ScopeKey returns the part of an exception's path that names its scope, as
// "service=bookings,zone=cluj-c". Two exceptions of a valid configuration
// differ in it.
func (e *Exception) ScopeKey() string {
	var parts []string
	if e.Service != "" {
		parts = append(parts, "service="+e.Service)
	}
	if e.Customer != "" {
		parts = append(parts, "customer="+e.Customer)
	}
	if e.Zone != "" {
		parts = append(parts, "zone="+e.Zone)
	}
	return strings.Join(parts, ",")
}

// Flatten splits a configuration into items by path. Two list elements with
// one path are an error.
func Flatten(c *Config) (map[string][]byte, error) {
	items := make(map[string][]byte)
	add := func(path string, value any) error {
		if _, ok := items[path]; ok {
			return fmt.Errorf("flatten configuration: two items %q", path)
		}
		data, err := json.Marshal(value)
		if err != nil {
			return fmt.Errorf("flatten configuration: %s: %w", path, err)
		}
		items[path] = data
		return nil
	}
	if err := add(pathDefaults, c.Defaults); err != nil {
		return nil, err
	}
	for i := range c.Zones {
		if err := add(pathZones+c.Zones[i].Name, c.Zones[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Classes {
		if err := add(pathClasses+c.Classes[i].Name, c.Classes[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Services {
		if err := add(pathServices+c.Services[i].Name, c.Services[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.BackendServers {
		if err := add(pathBackendServers+c.BackendServers[i].Name, c.BackendServers[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Customers {
		if err := add(pathCustomers+c.Customers[i].Name, c.Customers[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Exceptions {
		if err := add(pathExceptions+c.Exceptions[i].ScopeKey(), c.Exceptions[i]); err != nil {
			return nil, err
		}
	}
	return items, nil
}

// Assemble is the inverse of Flatten. Lists come out in order of their paths.
// Unknown fields inside items are ignored, so that a process can follow a
// configuration that was written by a later version.
func Assemble(items map[string][]byte) (*Config, error) {
	d := NewDocument()
	for path, data := range items {
		if err := d.Put(Item{Path: path, JSON: data}); err != nil {
			return nil, err
		}
	}
	return d.Config(), nil
}

// Diff returns the items that turn old into new, in order of path.
func Diff(old, new map[string][]byte) []Item {
	var items []Item
	for path, data := range new {
		if before, ok := old[path]; !ok || !bytes.Equal(before, data) {
			items = append(items, Item{Path: path, JSON: data})
		}
	}
	for path := range old {
		if _, ok := new[path]; !ok {
			items = append(items, Item{Path: path})
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Path, b.Path) })
	return items
}
