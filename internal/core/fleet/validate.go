package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

// Problem is one fault of a configuration.
type Problem struct {
	// Path names the value, as "exceptions[2].reason".
	Path string
	// Message says what was found and what was expected.
	Message string
}

// String returns the path and the message on one line.
func (p Problem) String() string {
	return p.Path + ": " + p.Message
}

// Validate returns the faults of a configuration, nil if there are none.
func (c *Config) Validate() []Problem {
	v := &validator{config: c}
	v.defaults()
	v.zones()
	v.classes()
	v.services()
	v.customers()
	v.backendServers()
	v.exceptions()
	return v.problems
}

// validator collects the faults of one configuration.
type validator struct {
	config   *Config
	problems []Problem

	zoneNames     map[string]bool
	serviceNames  map[string]bool
	customerNames map[string]bool
	classByName   map[string]*MachineClass
}

func (v *validator) add(path, got, expected string) {
	v.problems = append(v.problems, Problem{
		Path:    path,
		Message: fmt.Sprintf("got %s, expected %s", got, expected),
	})
}

// missing reports a value that is empty and must not be.
func (v *validator) missing(path, expected string) {
	v.add(path, "nothing", expected)
}

// name checks the pattern and uniqueness of a name and records it in seen.
func (v *validator) name(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		v.missing(path, "a name")
	case !validName(name):
		v.add(path, strconv.Quote(name), nameExpected)
	case seen[name]:
		v.add(path, "a second "+strconv.Quote(name), "a name that is used once")
	}
	seen[name] = true
}

const nameExpected = "1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit"

// validName reports whether a name can stand in a path, a header and a metric
// label as it is.
func validName(s string) bool {
	const maxNameBytes = 63
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !letter && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return true
}

// known checks that a name refers to something that the configuration lists.
func (v *validator) known(path, name, kind string, names map[string]bool) bool {
	if names[name] && name != "" {
		return true
	}
	if name == "" {
		v.missing(path, "the name of a "+kind)
		return false
	}
	v.add(path, strconv.Quote(name), "the name of a "+kind+" in "+kind+"s")
	return false
}

func (v *validator) zones() {
	v.zoneNames = make(map[string]bool)
	if len(v.config.Zones) == 0 {
		v.missing("zones", "at least one availability zone")
	}
	for i, zone := range v.config.Zones {
		v.name(element("zones", i)+".name", zone.Name, v.zoneNames)
	}
	for i, zone := range v.config.Zones {
		for _, other := range sortedKeys(zone.DelaysMS) {
			path := element("zones", i) + ".delays_ms." + other
			if v.known(path, other, "zone", v.zoneNames) {
				v.number(path, zone.DelaysMS[other], zoneDelayRange)
			}
		}
	}
}

func (v *validator) classes() {
	v.classByName = make(map[string]*MachineClass)
	seen := make(map[string]bool)
	for i := range v.config.Classes {
		class := &v.config.Classes[i]
		path := element("classes", i)
		v.name(path+".name", class.Name, seen)
		v.classByName[class.Name] = class
		if len(class.PricesPerHour) == 0 {
			v.missing(path+".prices_per_hour", "a price in at least one zone")
		}
		for _, zone := range sortedKeys(class.PricesPerHour) {
			pricePath := path + ".prices_per_hour." + zone
			if v.known(pricePath, zone, "zone", v.zoneNames) {
				v.number(pricePath, class.PricesPerHour[zone], priceRange)
			}
		}
		v.number(path+".tokens_per_second", class.TokensPerSecond, classTokensRange)
		v.number(path+".slots", float64(class.Slots), slotsRange)
		v.number(path+".kv_bytes_per_token", float64(class.KVBytesPerToken), kvBytesRange)
		v.number(path+".export_bytes_per_second", class.ExportBytesPerSecond, exportRateRange)
	}
}

func (v *validator) services() {
	v.serviceNames = make(map[string]bool)
	models := make(map[string]bool)
	for i := range v.config.Services {
		service := &v.config.Services[i]
		path := element("services", i)
		v.name(path+".name", service.Name, v.serviceNames)
		switch service.Kind {
		case ServiceModel:
			v.modelService(path, service, models)
		case ServiceApp:
			v.appService(path, service)
		default:
			v.oneOf(path+".kind", string(service.Kind), string(ServiceModel), string(ServiceApp))
		}
		v.number(path+".peak_requests_per_second", service.PeakRequestsPerSecond, rateRange)
		v.number(path+".mean_tokens", service.MeanTokens, meanTokensRange)
	}
}

func (v *validator) modelService(path string, service *Service, models map[string]bool) {
	switch {
	case service.Model == "":
		v.missing(path+".model", "the model name that callers give")
	case models[service.Model]:
		v.add(path+".model", "a second "+strconv.Quote(service.Model), "a model that one service serves")
	}
	models[service.Model] = true
	if len(service.Repeatable) > 0 {
		v.add(path+".repeatable", "a list", "none, as requests of a model service are repeatable")
	}
}

func (v *validator) appService(path string, service *Service) {
	if service.Model != "" {
		v.add(path+".model", strconv.Quote(service.Model), "none, as the service's kind is app")
	}
	for i, rule := range service.Repeatable {
		if !validRepeatable(rule) {
			v.add(element(path+".repeatable", i), strconv.Quote(rule), `a method and a path prefix, as "GET /records/"`)
		}
	}
}

func validRepeatable(rule string) bool {
	method, prefix, ok := strings.Cut(rule, " ")
	if !ok || method == "" || !strings.HasPrefix(prefix, "/") {
		return false
	}
	return strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == "" && !strings.ContainsAny(prefix, " \t\r\n")
}

func (v *validator) customers() {
	v.customerNames = make(map[string]bool)
	hashes := make(map[string]bool)
	for i := range v.config.Customers {
		customer := &v.config.Customers[i]
		path := element("customers", i)
		v.name(path+".name", customer.Name, v.customerNames)
		if len(customer.KeyHashes) == 0 {
			v.missing(path+".key_hashes", "at least one SHA-256 hash of a bearer key")
		}
		for j, hash := range customer.KeyHashes {
			v.keyHash(element(path+".key_hashes", j), hash, hashes)
		}
		v.number(path+".weight", customer.Weight, weightRange)
		v.number(path+".requests_per_second", customer.RequestsPerSecond, customerRateRange)
		v.number(path+".tokens_per_second", customer.TokensPerSecond, customerTokensRange)
		v.number(path+".max_in_flight", float64(customer.MaxInFlight), inFlightRange)
	}
}

func (v *validator) keyHash(path, hash string, seen map[string]bool) {
	const hexDigits = 64
	switch {
	case len(hash) != hexDigits || strings.Trim(hash, "0123456789abcdef") != "":
		v.add(path, fmt.Sprintf("%d characters", len(hash)), "64 lower-case hexadecimal digits, the SHA-256 hash of a bearer key")
	case seen[hash]:
		v.add(path, "a second use of a key", "a key that one customer has")
	}
	seen[hash] = true
}

func (v *validator) backendServers() {
	names := make(map[string]bool)
	addresses := make(map[string]bool)
	for i := range v.config.BackendServers {
		server := &v.config.BackendServers[i]
		path := element("backend_servers", i)
		v.name(path+".name", server.Name, names)
		if server.VM == "" {
			v.missing(path+".vm", "the VM's name in the platform's list")
		}
		v.known(path+".service", server.Service, "service", v.serviceNames)
		if v.known(path+".zone", server.Zone, "zone", v.zoneNames) {
			v.serverClass(path+".class", server)
		}
		v.address(path+".address", server.Address, addresses)
		v.oneOf(path+".vendor", server.Vendor, vendors...)
		v.oneOf(path+".fencing", string(server.Fencing), string(FencingChecked), string(FencingIgnored))
	}
}

// vendors lists the report shapes that package backend translates.
var vendors = []string{"alpha", "beta", "gamma"}

func (v *validator) serverClass(path string, server *BackendServer) {
	class := v.classByName[server.Class]
	if class == nil {
		v.add(path, quoteOrNothing(server.Class), "the name of a class in classes")
		return
	}
	if _, ok := class.PricesPerHour[server.Zone]; !ok {
		v.add(path, strconv.Quote(server.Class), "a class with a price in zone "+server.Zone)
	}
}

func (v *validator) address(path, address string, seen map[string]bool) {
	switch {
	case !validAddress(address):
		v.add(path, quoteOrNothing(address), `an IP address and port, as "10.0.0.7:8080"`)
	case seen[address]:
		v.add(path, "a second "+strconv.Quote(address), "an address that one server has")
	}
	seen[address] = true
}

func (v *validator) exceptions() {
	scopes := make(map[string]bool)
	for i := range v.config.Exceptions {
		exception := &v.config.Exceptions[i]
		path := element("exceptions", i)
		v.scope(path, exception, scopes)
		if exception.Set == (PolicyOverride{}) {
			v.missing(path+".set", "at least one value to override")
		}
		v.override(path+".set", &exception.Set)
		if strings.TrimSpace(exception.Reason) == "" {
			v.missing(path+".reason", "a written reason")
		}
	}
}

func (v *validator) scope(path string, exception *Exception, scopes map[string]bool) {
	if exception.Service != "" {
		v.known(path+".service", exception.Service, "service", v.serviceNames)
	}
	if exception.Customer != "" {
		v.known(path+".customer", exception.Customer, "customer", v.customerNames)
	}
	if exception.Zone != "" {
		v.known(path+".zone", exception.Zone, "zone", v.zoneNames)
	}
	key := exception.ScopeKey()
	switch {
	case key == "":
		v.missing(path, "a service, a customer or a zone that the exception is for")
	case scopes[key]:
		v.add(path, "a second exception for "+key, "one exception for a scope")
	}
	scopes[key] = true
}

// oneOf checks a value against a list.
func (v *validator) oneOf(path, got string, allowed ...string) {
	for _, a := range allowed {
		if got == a {
			return
		}
	}
	v.add(path, quoteOrNothing(got), "one of "+strings.Join(allowed, ", "))
}

func quoteOrNothing(s string) string {
	if s == "" {
		return "nothing"
	}
	return strconv.Quote(s)
}

func element(list string, i int) string {
	return list + "[" + strconv.Itoa(i) + "]"
}
