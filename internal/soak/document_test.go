package soak

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// The routes and keys that all valid documents have.
const (
	host          = "desk.example"
	pathBase      = "/base/"
	pathOnce      = "/once/"
	pathCurrent   = "/current/"
	serviceBase   = "base"
	serviceLedger = "ledger"
	// serviceBallast has no route. Its backend servers make the list long.
	serviceBallast = "ballast"
	keyBase        = "base-key"
	// bulkKey is the start of the keys of customers with limits, of which there are many:
	// an entry that gets the first request of one draws units, and with them the list
	// of backend servers, at once.
	bulkKey = "bulk-key-"
)

// routeTimeoutMS is every route's time limit. It is well above what a busy machine
// needs, so that no request is refused because it would be late.
const routeTimeoutMS = 4_000

// Flaw is what makes a document invalid.
type Flaw string

// The flaws. A document without a flaw is valid.
const (
	FlawNone      Flaw = ""
	FlawTruncated Flaw = "truncated"
	FlawService   Flaw = "unknown service"
	FlawPrefix    Flaw = "same host and prefix"
	FlawWeights   Flaw = "weights add up to 0"
	FlawTimeout   Flaw = "no timeout"
	FlawKeys      Flaw = "two customers with one key"
)

var flaws = []Flaw{FlawTruncated, FlawService, FlawPrefix, FlawWeights, FlawTimeout, FlawKeys}

// Document is a configuration document. Its label is its version, followed by a
// letter if several documents share the version. Each document moves the route
// /current/ to its own service and adds a route and a key of its own; it keeps those
// of the documents in Kept and drops those of all others.
type Document struct {
	Label   string
	Version int
	Kept    []string
	Flaw    Flaw
	// Customers is the number of further customers, which make the document large.
	Customers int
	// Streams adds the routes of streams.
	Streams bool
	// Troubles adds the route of drafts.
	Troubles bool
}

func serviceOf(label string) string { return "s" + label }
func pathOf(label string) string    { return "/v" + strings.TrimRight(label, "abcdefgh") + "/" }
func keyOf(label string) string     { return "key-" + label }

// labels returns the labels of the documents whose routes and keys this one has.
func (d *Document) labels() []string { return append([]string{d.Label}, d.Kept...) }

// service returns the service of a path, or "" if no route leads there.
func (d *Document) service(path string) string {
	switch path {
	case pathBase:
		return serviceBase
	case pathOnce:
		return serviceLedger
	case pathCurrent:
		return serviceOf(d.Label)
	}
	for _, label := range d.labels() {
		if pathOf(label) == path {
			return serviceOf(label)
		}
	}
	return ""
}

// hasKey reports whether a caller with the key is known.
func (d *Document) hasKey(key string) bool {
	return key == keyBase || strings.HasPrefix(key, bulkKey) || slices.ContainsFunc(d.labels(), func(label string) bool { return keyOf(label) == key })
}

// content returns the document in the platform's format. It depends on the document
// alone.
func (d *Document) content() []byte {
	route := func(path, kind, service string) map[string]any {
		return map[string]any{"name": "route-" + strings.Trim(path, "/"), "host": host, "path_prefix": path, "type": kind,
			"timeout_ms": routeTimeoutMS, "attempts": 2, "service": service}
	}
	once := route(pathOnce, "unsafe", serviceLedger)
	once["attempts"] = 1
	routes := []map[string]any{route(pathBase, "safe", serviceBase), once, route(pathCurrent, "safe", serviceOf(d.Label))}
	services := []map[string]any{{"name": serviceBase}, {"name": serviceLedger}, {"name": serviceBallast}}
	customers := []map[string]any{{"name": "customer", "api_keys": []string{keyBase}}}
	if d.Streams {
		routes = append(routes, streamRoutes(d.Version, route)...)
		services = append(services, map[string]any{"name": serviceModels}, map[string]any{"name": serviceSingle})
	}
	if d.Troubles {
		draft := route(pathDraft, "stream", serviceDrafts)
		draft["resumable"], draft["timeout_ms"] = true, streamTimeoutMS
		routes, services = append(routes, draft), append(services, map[string]any{"name": serviceDrafts})
	}
	for _, label := range d.labels() {
		routes = append(routes, route(pathOf(label), "safe", serviceOf(label)))
		services = append(services, map[string]any{"name": serviceOf(label)})
		customers = append(customers, map[string]any{"name": "customer-" + label, "api_keys": []string{keyOf(label)}})
	}
	for i := range d.Customers {
		customers = append(customers, map[string]any{"name": fmt.Sprintf("bulk-%d", i), "api_keys": []string{fmt.Sprintf("%s%d", bulkKey, i)}, "rate_per_s": 100, "burst": 100})
	}
	switch last := routes[len(routes)-1]; d.Flaw {
	case FlawService:
		last["service"] = "gone"
	case FlawPrefix:
		routes = append(routes, route(pathBase, "safe", serviceLedger))
	case FlawWeights:
		delete(last, "service")
		last["backends"] = []map[string]any{{"service": serviceBase, "weight": 0}}
	case FlawTimeout:
		last["timeout_ms"] = 0
	case FlawKeys:
		customers = append(customers, map[string]any{"name": "second", "api_keys": []string{keyBase}})
	}
	data, err := json.Marshal(map[string]any{"version": d.Version, "routes": routes, "services": services, "tenants": customers})
	if err != nil {
		panic(err)
	}
	if d.Flaw == FlawTruncated {
		return data[:len(data)-1]
	}
	return data
}
