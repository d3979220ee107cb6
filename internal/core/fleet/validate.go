package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

// Problem is one error in a configuration.
type Problem struct {
	// Path identifies the value, for example "exceptions[2].reason".
	Path string
	// Message says which value was found and which was expected.
	Message string
}

// String returns the path and the message on one line.
func (p Problem) String() string {
	return p.Path + ": " + p.Message
}

// Validate returns the problems of a configuration, or nil if it is valid.
func (c *Config) Validate() []Problem {
	v := &validator{config: c}
	v.checkDefaults()
	v.checkZones()
	v.checkClasses()
	v.checkServices()
	v.checkCustomers()
	v.checkBackendServers()
	v.checkExceptions()
	return v.problems
}

// validator collects the problems of one configuration.
type validator struct {
	config   *Config
	problems []Problem

	zoneNames     map[string]bool
	serviceNames  map[string]bool
	customerNames map[string]bool
	classByName   map[string]*MachineClass
}

func (v *validator) addProblem(path, got, expected string) {
	v.problems = append(v.problems, Problem{
		Path:    path,
		Message: fmt.Sprintf("got %s, expected %s", got, expected),
	})
}

// addMissing records that a required value is empty.
func (v *validator) addMissing(path, expected string) {
	v.addProblem(path, "nothing", expected)
}

// checkName checks that a name is valid and not in seen, and adds it to seen.
func (v *validator) checkName(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		v.addMissing(path, "a name")
	case !validName(name):
		v.addProblem(path, strconv.Quote(name), nameExpected)
	case seen[name]:
		v.addProblem(path, "a second "+strconv.Quote(name), "a name that is used once")
	}
	seen[name] = true
}

const nameExpected = "1 to 63 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit"

// validName reports whether s can be used in a path, a header and a metric
// label without escaping.
func validName(s string) bool {
	const maxNameBytes = 63
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return true
}

// checkReference checks that a name refers to an element that the configuration
// lists, and reports whether it does.
func (v *validator) checkReference(path, name, kind string, names map[string]bool) bool {
	if names[name] && name != "" {
		return true
	}
	if name == "" {
		v.addMissing(path, "the name of a "+kind)
		return false
	}
	v.addProblem(path, strconv.Quote(name), "the name of a "+kind+" in "+kind+"s")
	return false
}

func (v *validator) checkZones() {
	v.zoneNames = make(map[string]bool)
	if len(v.config.Zones) == 0 {
		v.addMissing("zones", "at least one availability zone")
	}
	for i, zone := range v.config.Zones {
		v.checkName(elementPath("zones", i)+".name", zone.Name, v.zoneNames)
	}
	for i, zone := range v.config.Zones {
		for _, other := range sortedKeys(zone.DelaysMS) {
			path := elementPath("zones", i) + ".delays_ms." + other
			if v.checkReference(path, other, "zone", v.zoneNames) {
				v.checkRange(path, zone.DelaysMS[other], zoneDelayRange)
			}
		}
	}
}

func (v *validator) checkClasses() {
	v.classByName = make(map[string]*MachineClass)
	seen := make(map[string]bool)
	for i := range v.config.Classes {
		class := &v.config.Classes[i]
		path := elementPath("classes", i)
		v.checkName(path+".name", class.Name, seen)
		v.classByName[class.Name] = class
		if len(class.PricesPerHour) == 0 {
			v.addMissing(path+".prices_per_hour", "a price in at least one zone")
		}
		for _, zone := range sortedKeys(class.PricesPerHour) {
			pricePath := path + ".prices_per_hour." + zone
			if v.checkReference(pricePath, zone, "zone", v.zoneNames) {
				v.checkRange(pricePath, class.PricesPerHour[zone], priceRange)
			}
		}
		v.checkRange(path+".tokens_per_second", class.TokensPerSecond, classTokensRange)
		v.checkRange(path+".slots", float64(class.Slots), slotsRange)
		v.checkRange(path+".kv_bytes_per_token", float64(class.KVBytesPerToken), kvBytesRange)
		v.checkRange(path+".export_bytes_per_second", class.ExportBytesPerSecond, exportRateRange)
	}
}

func (v *validator) checkServices() {
	v.serviceNames = make(map[string]bool)
	models := make(map[string]bool)
	for i := range v.config.Services {
		service := &v.config.Services[i]
		path := elementPath("services", i)
		v.checkName(path+".name", service.Name, v.serviceNames)
		switch service.Kind {
		case ServiceModel:
			v.checkModelService(path, service, models)
		case ServiceApp:
			v.checkAppService(path, service)
		default:
			v.checkOneOf(path+".kind", string(service.Kind), string(ServiceModel), string(ServiceApp))
		}
		v.checkRange(path+".peak_requests_per_second", service.PeakRequestsPerSecond, rateRange)
		v.checkRange(path+".mean_tokens", service.MeanTokens, meanTokensRange)
	}
}

func (v *validator) checkModelService(path string, service *Service, models map[string]bool) {
	switch {
	case service.Model == "":
		v.addMissing(path+".model", "the model name that callers give")
	case models[service.Model]:
		v.addProblem(path+".model", "a second "+strconv.Quote(service.Model), "a model that one service serves")
	}
	models[service.Model] = true
	if len(service.Repeatable) > 0 {
		v.addProblem(path+".repeatable", "a list", "none, as requests of a model service are repeatable")
	}
}

func (v *validator) checkAppService(path string, service *Service) {
	if service.Model != "" {
		v.addProblem(path+".model", strconv.Quote(service.Model), "none, as the service's kind is app")
	}
	for i, rule := range service.Repeatable {
		if !validRepeatable(rule) {
			v.addProblem(elementPath(path+".repeatable", i), strconv.Quote(rule), `a method and a path prefix, as "GET /records/"`)
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

func (v *validator) checkCustomers() {
	v.customerNames = make(map[string]bool)
	hashes := make(map[string]bool)
	for i := range v.config.Customers {
		customer := &v.config.Customers[i]
		path := elementPath("customers", i)
		v.checkName(path+".name", customer.Name, v.customerNames)
		if len(customer.KeyHashes) == 0 {
			v.addMissing(path+".key_hashes", "at least one SHA-256 hash of a bearer key")
		}
		for j, hash := range customer.KeyHashes {
			v.checkKeyHash(elementPath(path+".key_hashes", j), hash, hashes)
		}
		v.checkRange(path+".weight", customer.Weight, weightRange)
		v.checkRange(path+".requests_per_second", customer.RequestsPerSecond, customerRateRange)
		v.checkRange(path+".tokens_per_second", customer.TokensPerSecond, customerTokensRange)
		v.checkRange(path+".max_in_flight", float64(customer.MaxInFlight), inFlightRange)
	}
}

func (v *validator) checkKeyHash(path, hash string, seen map[string]bool) {
	const hexDigits = 64
	switch {
	case len(hash) != hexDigits || strings.Trim(hash, "0123456789abcdef") != "":
		v.addProblem(path, fmt.Sprintf("%d characters", len(hash)), "64 lower-case hexadecimal digits, the SHA-256 hash of a bearer key")
	case seen[hash]:
		v.addProblem(path, "a second use of a key", "a key that one customer has")
	}
	seen[hash] = true
}

func (v *validator) checkBackendServers() {
	names := make(map[string]bool)
	addresses := make(map[string]bool)
	for i := range v.config.BackendServers {
		server := &v.config.BackendServers[i]
		path := elementPath("backend_servers", i)
		v.checkName(path+".name", server.Name, names)
		if server.VM == "" {
			v.addMissing(path+".vm", "the VM's name in the platform's list")
		}
		v.checkReference(path+".service", server.Service, "service", v.serviceNames)
		if v.checkReference(path+".zone", server.Zone, "zone", v.zoneNames) {
			v.checkServerClass(path+".class", server)
		}
		v.checkAddress(path+".address", server.Address, addresses)
		v.checkOneOf(path+".vendor", server.Vendor, vendors...)
		v.checkOneOf(path+".fencing", string(server.Fencing), string(FencingChecked), string(FencingIgnored))
	}
}

// vendors lists the report formats that package backend can parse.
var vendors = []string{"alpha", "beta", "gamma"}

func (v *validator) checkServerClass(path string, server *BackendServer) {
	class := v.classByName[server.Class]
	if class == nil {
		v.addProblem(path, quoteOrNothing(server.Class), "the name of a class in classes")
		return
	}
	if _, ok := class.PricesPerHour[server.Zone]; !ok {
		v.addProblem(path, strconv.Quote(server.Class), "a class with a price in zone "+server.Zone)
	}
}

func (v *validator) checkAddress(path, address string, seen map[string]bool) {
	switch {
	case !validAddress(address):
		v.addProblem(path, quoteOrNothing(address), `an IP address and port, as "10.0.0.7:8080"`)
	case seen[address]:
		v.addProblem(path, "a second "+strconv.Quote(address), "an address that one server has")
	}
	seen[address] = true
}

func (v *validator) checkExceptions() {
	scopes := make(map[string]bool)
	for i := range v.config.Exceptions {
		exception := &v.config.Exceptions[i]
		path := elementPath("exceptions", i)
		v.checkScope(path, exception, scopes)
		if exception.Set == (PolicyOverride{}) {
			v.addMissing(path+".set", "at least one value to override")
		}
		v.checkOverride(path+".set", &exception.Set)
		if strings.TrimSpace(exception.Reason) == "" {
			v.addMissing(path+".reason", "a written reason")
		}
	}
}

func (v *validator) checkScope(path string, exception *Exception, scopes map[string]bool) {
	if exception.Service != "" {
		v.checkReference(path+".service", exception.Service, "service", v.serviceNames)
	}
	if exception.Customer != "" {
		v.checkReference(path+".customer", exception.Customer, "customer", v.customerNames)
	}
	if exception.Zone != "" {
		v.checkReference(path+".zone", exception.Zone, "zone", v.zoneNames)
	}
	key := exception.ScopeKey()
	switch {
	case key == "":
		v.addMissing(path, "a service, a customer or a zone that the exception is for")
	case scopes[key]:
		v.addProblem(path, "a second exception for "+key, "one exception for a scope")
	}
	scopes[key] = true
}

// checkOneOf checks that a value is one of those allowed.
func (v *validator) checkOneOf(path, got string, allowed ...string) {
	for _, a := range allowed {
		if got == a {
			return
		}
	}
	v.addProblem(path, quoteOrNothing(got), "one of "+strings.Join(allowed, ", "))
}

func quoteOrNothing(s string) string {
	if s == "" {
		return "nothing"
	}
	return strconv.Quote(s)
}

func elementPath(list string, i int) string {
	return list + "[" + strconv.Itoa(i) + "]"
}
