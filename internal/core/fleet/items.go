package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Item is one part of a configuration, identified by its path, such as
// "customers/heirs". JSON is its content, or nil if the item is removed.
type Item struct {
	Path string
	JSON []byte
}

// The path of the defaults, and the path prefixes of list elements. An
// element's name follows the prefix.
const (
	pathDefaults         = "defaults"
	prefixZones          = "zones/"
	prefixClasses        = "classes/"
	prefixServices       = "services/"
	prefixBackendServers = "backend_servers/"
	prefixCustomers      = "customers/"
	prefixExceptions     = "exceptions/"
)

// IsItemPath reports whether path can be that of an item: the defaults, a numbered document, or
// an element of a list. The name of the list is not checked, as a later version may have more of them.
func IsItemPath(path string) bool {
	return path == pathDefaults || path == PathNumbered || strings.Contains(path, "/")
}

// ZoneOf returns the name of the zone that an item with this path defines, and
// false if it defines none.
func ZoneOf(path string) (string, bool) {
	return strings.CutPrefix(path, prefixZones)
}

// ScopeKey returns the part of an exception's path that identifies its scope,
// such as "service=bookings,zone=cluj-c". It is unique among the exceptions of
// a valid configuration.
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

// Flatten splits a configuration into items by path. It returns an error if
// two list elements have the same path.
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
		if err := add(prefixZones+c.Zones[i].Name, c.Zones[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Classes {
		if err := add(prefixClasses+c.Classes[i].Name, c.Classes[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Services {
		if err := add(prefixServices+c.Services[i].Name, c.Services[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.BackendServers {
		if err := add(prefixBackendServers+c.BackendServers[i].Name, c.BackendServers[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Customers {
		if err := add(prefixCustomers+c.Customers[i].Name, c.Customers[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Exceptions {
		if err := add(prefixExceptions+c.Exceptions[i].ScopeKey(), c.Exceptions[i]); err != nil {
			return nil, err
		}
	}
	return items, nil
}

// Assemble is the inverse of Flatten. The resulting lists are sorted by path.
// Unknown fields inside items are ignored, so that a process can apply a
// configuration that a later version has written.
func Assemble(items map[string][]byte) (*Config, error) {
	d := NewDocument()
	for path, data := range items {
		if err := d.Put(Item{Path: path, JSON: data}); err != nil {
			return nil, err
		}
	}
	return d.Config(), nil
}

// Diff returns the items that change old into new, sorted by path.
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
