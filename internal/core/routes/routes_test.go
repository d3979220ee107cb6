package routes

import (
	"math"
	"testing"
	"time"
)

func validTable() *Table {
	return &Table{
		Number:   3,
		Services: []Service{{Name: "app"}, {Name: "models"}},
		Routes: []Route{
			{Name: "all", Host: "a.example", PathPrefix: "/", Timeout: time.Second, Targets: []Target{{"app", 1}}},
			{Name: "deep", Host: "a.example", PathPrefix: "/x/y/", Timeout: time.Second, Targets: []Target{{"models", 9}, {"app", 1}}},
		},
		Customers: []Customer{{Name: "heirs", Keys: []string{"k1", "k2"}}, {Name: "clerks", Keys: []string{"k3"}}},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	index := NewIndex(validTable())
	for path, want := range map[string]string{
		"/":         "all",
		"/x/y":      "all",
		"/x/y/":     "deep",
		"/x/y/z/1":  "deep",
		"/x/yz/1":   "all",
		"no-slash":  "",
		"/x//y/1":   "all",
		"/x/y/../1": "deep",
	} {
		route := index.Route("a.example:80", path)
		got := ""
		if route != nil {
			got = route.Name
		}
		if got != want {
			t.Errorf("%s: got route %q, want %q", path, got, want)
		}
	}
	if index.Route("b.example", "/") != nil {
		t.Error("got a route for an unknown host")
	}
}

func TestCustomerByKey(t *testing.T) {
	index := NewIndex(validTable())
	if c := index.Customer("k2"); c == nil || c.Name != "heirs" {
		t.Errorf("customer of k2: got %v, want heirs", c)
	}
	if index.Customer("") != nil || index.Customer("k4") != nil {
		t.Error("got a customer for an empty or unknown key")
	}
}

func TestChooseFollowsWeights(t *testing.T) {
	route := &validTable().Routes[1]
	counts := map[string]int{}
	for i := range 1000 {
		counts[route.Choose(float64(i)/1000)]++
	}
	if counts["models"] != 900 || counts["app"] != 100 {
		t.Errorf("calls by service: got %v, want 900 to models and 100 to app", counts)
	}
}

func TestValidateRejectsInvalidTables(t *testing.T) {
	if err := validTable().Validate(); err != nil {
		t.Fatal(err)
	}
	corruptions := map[string]func(*Table){
		"unknown service":   func(t *Table) { t.Routes[0].Targets[0].Service = "gone" },
		"same host, prefix": func(t *Table) { t.Routes[1].PathPrefix = "/" },
		"weights":           func(t *Table) { t.Routes[0].Targets[0].Weight = 0 },
		"no target":         func(t *Table) { t.Routes[0].Targets = nil },
		"negative weight":   func(t *Table) { t.Routes[1].Targets[1].Weight = -1 },
		"timeout":           func(t *Table) { t.Routes[0].Timeout = 0 },
		"shared key":        func(t *Table) { t.Customers[1].Keys = []string{"k1"} },
		"shared key, name": func(t *Table) {
			t.Customers[1] = Customer{Name: "heirs", Keys: []string{"k2"}, Rate: 5}
		},
		"prefix":             func(t *Table) { t.Routes[0].PathPrefix = "/x" },
		"service twice":      func(t *Table) { t.Services[1].Name = "app" },
		"customer no name":   func(t *Table) { t.Customers[0].Name = "" },
		"service no name":    func(t *Table) { t.Services[0].Name = "" },
		"empty customer key": func(t *Table) { t.Customers[0].Keys = []string{""} },
	}
	for name, corrupt := range corruptions {
		table := validTable()
		corrupt(table)
		if table.Validate() == nil {
			t.Errorf("%s: not rejected", name)
		}
	}
}

func TestCostByUnit(t *testing.T) {
	calls := Customer{}
	tokens := Customer{CountsTokens: true, PlainTokens: 200}
	if calls.Cost(10, 5, true) != 1 || tokens.Cost(10, 5, true) != 15 || tokens.Cost(0, 0, false) != 200 {
		t.Error("wrong cost: expected 1 if calls are counted, otherwise 15 with and 200 without token counts")
	}
}

// A target without a weight gets no calls, wherever it stands in the list and
// however the weights are rounded.
func TestChooseSkipsTargetsWithoutWeight(t *testing.T) {
	for _, weight := range []float64{3e-320, 0.1, 3, 1 << 62} {
		route := &Route{Targets: []Target{{"first", 0}, {"only", weight}, {"last", 0}}}
		for _, draw := range []float64{0, 0.5, math.Nextafter(1, 0)} {
			if got := route.Choose(draw); got != "only" {
				t.Errorf("weight %v, draw %v: got %q, want the only service with a weight", weight, draw, got)
			}
		}
	}
}

// Hosts are compared as HTTP does: the case of letters, a port and a final dot make
// no difference. An IPv6 address is in brackets if a port follows.
func TestHostsAreComparedAsInHTTP(t *testing.T) {
	hosts := map[string][]string{
		"A.Example":   {"a.example", "A.EXAMPLE", "a.example:80", "a.Example.", "a.example.:8080", "a.example:"},
		"b.example.":  {"b.example", "B.example."},
		"c.example:1": {"c.example", "c.example:2"},
		"[fd00::A]":   {"[fd00::a]", "[FD00::A]:80", "fd00::a"},
		"10.0.0.1":    {"10.0.0.1:80", "10.0.0.1"},
		"":            {""},
	}
	for host, same := range hosts {
		table := validTable()
		table.Routes = table.Routes[:1]
		table.Routes[0].Host = host
		index := NewIndex(table)
		for _, other := range same {
			if index.Route(other, "/x") == nil {
				t.Errorf("host %q: no route for the request host %q", host, other)
			}
			twice := validTable()
			twice.Routes[0].Host, twice.Routes[1].Host, twice.Routes[1].PathPrefix = host, other, "/"
			if twice.Validate() == nil {
				t.Errorf("hosts %q and %q were accepted with the same prefix", host, other)
			}
		}
		for _, other := range []string{"example", "a.example.org", "x.a.example", "[fd00::b]:80", "fd00", "[fd00", ".", ":80:", "\u212a"} {
			if index.Route(other, "/x") != nil {
				t.Errorf("host %q: got a route for the request host %q", host, other)
			}
		}
	}
}
