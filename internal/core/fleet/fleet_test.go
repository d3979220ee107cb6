package fleet

import (
	"net/netip"
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func loadSmallConfig(t testing.TB) *Config {
	t.Helper()
	data, err := os.ReadFile("testdata/small.json")
	if err != nil {
		t.Fatal(err)
	}
	config, err := ParseJSON(data)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func TestValidate(t *testing.T) {
	number := 5.0
	tests := []struct {
		change func(c *Config)
		// want is the beginning of the only problem, or empty if the
		// configuration is valid.
		want string
	}{
		{func(c *Config) {}, ""},
		{func(c *Config) { c.Defaults.MaxAttempts = 0 }, "defaults.max_attempts: got 0, expected 1 to 10"},
		{func(c *Config) { c.Defaults.Routing = "fast" }, `defaults.routing: got "fast", expected one of expected-completion,`},
		{func(c *Config) { c.Zones = append(c.Zones, Zone{Name: "Alba I"}) }, `zones[2].name: got "Alba I", expected 1 to 63 of`},
		{func(c *Config) { c.Zones = append(c.Zones, c.Zones[1]) }, `zones[2].name: got a second "mures-d"`},
		{func(c *Config) { c.Zones[0].DelaysMS["alba"] = 1 }, `zones[0].delays_ms.alba: got "alba", expected the name of a zone`},
		{func(c *Config) { c.Classes[0].PricesPerHour["mures-d"] = -1 }, "classes[0].prices_per_hour.mures-d: got -1"},
		{func(c *Config) { c.Classes[0].Slots = 0 }, "classes[0].slots: got 0, expected 1 to"},
		{func(c *Config) { c.Services[0].Model = "" }, "services[0].model: got nothing"},
		{func(c *Config) { c.Services[1].Kind = "batch" }, `services[1].kind: got "batch", expected one of model, app`},
		{func(c *Config) { c.Services[1].Repeatable[0] = "GET records" }, "services[1].repeatable[0]: got"},
		{func(c *Config) { c.BackendServers[0].Address = "engine:80" }, `backend_servers[0].address: got "engine:80", expected an IP address and port`},
		{func(c *Config) { c.BackendServers[0].Zone = "mures-d" }, "backend_servers[0].class: got \"g1\", expected a class with a price in zone mures-d"},
		{func(c *Config) { c.BackendServers[0].Service = "verdicts" }, "backend_servers[0].service: got \"verdicts\""},
		{func(c *Config) { c.BackendServers[0].Fencing = "" }, "backend_servers[0].fencing: got nothing"},
		{func(c *Config) { c.Customers[0].KeyHashes[0] = "secret" }, "customers[0].key_hashes[0]: got 6 characters"},
		{func(c *Config) { c.Customers[0].Weight = 0 }, "customers[0].weight: got 0, expected above 0 to 1000"},
		{func(c *Config) { c.Exceptions[0].Reason = " " }, "exceptions[0].reason: got nothing, expected a written reason"},
		{func(c *Config) { c.Exceptions[0].Set = PolicyOverride{} }, "exceptions[0].set: got nothing"},
		{func(c *Config) { c.Exceptions[0].Service = "" }, "exceptions[0]: got nothing, expected a service, a customer or a zone"},
		{func(c *Config) { c.Exceptions[0].Zone = "alba" }, "exceptions[0].zone: got \"alba\""},
		{func(c *Config) { c.Exceptions[0].Set.RetentionS = &number }, "exceptions[0].set.retention_s: got 5, expected 3600 to 604800 s"},
		{func(c *Config) { c.Exceptions[1] = c.Exceptions[0] }, "exceptions[1]: got a second exception for service=desk"},
	}
	for _, test := range tests {
		c := loadSmallConfig(t)
		test.change(c)
		problems := c.Validate()
		switch {
		case test.want == "" && len(problems) == 0:
		case test.want == "" || len(problems) != 1 || !strings.HasPrefix(problems[0].String(), test.want):
			t.Errorf("got %v, expected %q", problems, test.want)
		}
	}
}

func TestPolicyFor(t *testing.T) {
	queue := func(n int) PolicyOverride { return PolicyOverride{QueueLimit: &n} }
	c := &Config{
		Defaults: DefaultPolicy(),
		Exceptions: []Exception{
			{Service: "desk", Customer: "rally", Set: queue(6)},
			{Customer: "rally", Set: queue(4)},
			{Zone: "cluj-c", Set: queue(2)},
			{Service: "desk", Set: queue(3)},
			{Service: "desk", Zone: "cluj-c", Set: queue(5)},
		},
	}
	tests := []struct {
		service, customer, zone string
		want                    int
	}{
		{"briefings", "other", "mures-d", DefaultPolicy().QueueLimit},
		{"briefings", "other", "cluj-c", 2},
		{"desk", "other", "mures-d", 3},
		{"briefings", "rally", "cluj-c", 4},
		{"desk", "other", "cluj-c", 5},
		{"desk", "rally", "cluj-c", 6},
	}
	for _, test := range tests {
		policy := c.PolicyFor(test.service, test.customer, test.zone)
		if policy.QueueLimit != test.want {
			t.Errorf("%s/%s/%s: queue limit %d, expected %d", test.service, test.customer, test.zone, policy.QueueLimit, test.want)
		}
		policy.QueueLimit = c.Defaults.QueueLimit
		if policy != c.Defaults {
			t.Errorf("%s/%s/%s: the exceptions changed more than the queue limit", test.service, test.customer, test.zone)
		}
	}
}

// Checks that PolicyOverride has a field for every field of Policy and that
// apply copies it.
func TestOverrideCoversPolicy(t *testing.T) {
	policy, over := reflect.TypeFor[Policy](), reflect.TypeFor[PolicyOverride]()
	for i := range policy.NumField() {
		field := policy.Field(i)
		match, ok := over.FieldByName(field.Name)
		if !ok || match.Type.Elem() != field.Type {
			t.Fatalf("%s has no override", field.Name)
		}
		var o PolicyOverride
		value := reflect.New(field.Type)
		reflect.ValueOf(&o).Elem().FieldByName(field.Name).Set(value)
		p := DefaultPolicy()
		reflect.ValueOf(&p).Elem().Field(i).Set(reflect.ValueOf(DefaultPolicy()).Field(i))
		o.apply(&p)
		if !reflect.ValueOf(p).Field(i).IsZero() {
			t.Errorf("override of %s has no effect", field.Name)
		}
	}
}

// drawConfig draws a configuration that holds a subset of the elements of c.
func drawConfig(t *rapid.T, c *Config) *Config {
	d := *c
	d.Defaults.QueueLimit = rapid.IntRange(0, 3).Draw(t, "queue")
	d.Zones = drawElements(t, c.Zones)
	d.Services = drawElements(t, c.Services)
	d.Customers = drawElements(t, c.Customers)
	for i := range d.Customers {
		d.Customers[i].Weight = rapid.SampledFrom([]float64{1, 2}).Draw(t, "weight")
	}
	d.BackendServers = drawElements(t, c.BackendServers)
	d.Exceptions = drawElements(t, c.Exceptions)
	return &d
}

func drawElements[T any](t *rapid.T, list []T) []T {
	var kept []T
	for _, element := range list {
		if rapid.Bool().Draw(t, "keep") {
			kept = append(kept, element)
		}
	}
	return kept
}

// Checks that applying a diff to a document gives the same configuration as
// assembling all items, leaves configurations returned earlier unchanged, and
// that flattening reverses assembling.
func TestFlattenAssembleDiff(t *testing.T) {
	whole := loadSmallConfig(t)
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawConfig(t, whole), drawConfig(t, whole)
		from, err := Flatten(before)
		if err != nil {
			t.Fatal(err)
		}
		to, err := Flatten(after)
		if err != nil {
			t.Fatal(err)
		}
		document := NewDocument()
		putAll(t, document, Diff(nil, from))
		first := document.Config()
		putAll(t, document, Diff(from, to))
		assembled := mustAssemble(t, to)
		if !reflect.DeepEqual(document.Config(), assembled) {
			t.Fatal("applying the diff and assembling all items give different configurations")
		}
		if !reflect.DeepEqual(first, mustAssemble(t, from)) {
			t.Fatal("applying the diff changed a configuration returned earlier")
		}
		again, err := Flatten(assembled)
		if err != nil || !reflect.DeepEqual(again, to) {
			t.Fatalf("flattening the assembled configuration: got %v, %v, expected the items it was assembled from", again, err)
		}
	})
}

func putAll(t *rapid.T, document *Document, items []Item) {
	for _, item := range items {
		if err := document.Put(item); err != nil {
			t.Fatal(err)
		}
	}
}

func mustAssemble(t *rapid.T, items map[string][]byte) *Config {
	config, err := Assemble(items)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func TestFlattenRefusesDuplicates(t *testing.T) {
	c := loadSmallConfig(t)
	c.Zones = append(c.Zones, c.Zones[0])
	if _, err := Flatten(c); err == nil {
		t.Fatal("two zones with the same name were accepted")
	}
}

func TestDocumentPutFails(t *testing.T) {
	d := NewDocument()
	for _, item := range []Item{
		{Path: "planets/earth", JSON: []byte("{}")},
		{Path: "zones", JSON: []byte("{}")},
		{Path: "zones/cluj-c", JSON: []byte("[]")},
		{Path: "defaults", JSON: []byte("7")},
	} {
		if err := d.Put(item); err == nil {
			t.Errorf("%s = %s was accepted", item.Path, item.JSON)
		}
	}
	if !reflect.DeepEqual(d.Config(), NewDocument().Config()) {
		t.Error("a rejected item changed the document")
	}
}

func TestParseJSONIsStrict(t *testing.T) {
	for _, data := range []string{`{"zone": []}`, `{} {}`, `{"defaults": {"queue_limit": "7"}}`, ``} {
		if _, err := ParseJSON([]byte(data)); err == nil {
			t.Errorf("%s was accepted", data)
		}
	}
}

// Compares validAddress with netip.ParseAddrPort, which accepts the same
// addresses and also scope zones, embedded IPv4 addresses and port 0.
func TestValidAddress(t *testing.T) {
	pieces := rapid.SliceOfN(rapid.SampledFrom([]string{
		"127.0.0.1", "10.", "255", "256", "01", ".", ":", "::", "[", "]", "fd00", "7", "0", "%eth0", ":80", ":65536", "[::1]", "g",
	}), 0, 10)
	rapid.Check(t, func(t *rapid.T) {
		s := strings.Join(pieces.Draw(t, "pieces"), "")
		parsed, err := netip.ParseAddrPort(s)
		want := err == nil && parsed.Port() != 0 && parsed.Addr().Zone() == "" &&
			(parsed.Addr().Is4() || !strings.Contains(s, "."))
		if got := validAddress(s); got != want {
			t.Fatalf("%q: got %t, expected %t", s, got, want)
		}
	})
}

func FuzzParseJSON(f *testing.F) {
	data, err := os.ReadFile("testdata/small.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"exceptions": [{"set": {}}], "zones": [{"delays_ms": {"": 1e308}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ParseJSON(data)
		if err != nil || len(c.Validate()) > 0 {
			return
		}
		items, err := Flatten(c)
		if err != nil {
			t.Fatalf("flatten a valid configuration: %v", err)
		}
		assembled, err := Assemble(items)
		if err != nil {
			t.Fatal(err)
		}
		if problems := assembled.Validate(); len(problems) > 0 {
			t.Fatalf("a valid configuration is invalid after Flatten and Assemble: %v", problems)
		}
	})
}
