package load_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"waxwingcart/internal/load"
	"waxwingcart/internal/standin"
)

const fleetText = `{
	// Two engines.
	"classes": [{"name": "spot", "prices_per_hour": {"north": 1.5, "south": 2}}],
	"backend_servers": [
		{"name": "a", "class": "spot", "zone": "north"},
		{"name": "b", "class": "spot", "zone": "south"},
	],
}`

func TestPriceFromFleetConfiguration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(fleetText)
	r, _ := runLoad(t, "", func(o *load.Options) { o.Fleet, o.Requests = path, 5 })
	if want := 3.5 / 3600 * r.DurationSeconds; r.Price < want*0.999 || r.Price > want*1.001 {
		t.Errorf("price %g, want %g", r.Price, want)
	}
	for text, want := range map[string]string{
		"{": "fleet", strings.Replace(fleetText, `"south"}`, `"west"}`, 1): `no price for class "spot" in zone "west"`,
	} {
		write(text)
		opts := load.DefaultOptions("127.0.0.1:1")
		opts.Fleet = path
		if _, err := load.Measure(t.Context(), opts); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one with %q", err, want)
		}
	}
}

// VMs are charged for as long as the platform lists them.
func TestPriceFromPlatform(t *testing.T) {
	opts := standin.DefaultOptions(standin.KindPlatform, "")
	opts.VMs = []string{"a,north,spot,10.0.0.1:80", "b,north,spot,10.0.0.2:80"}
	opts.Prices = map[string]float64{"spot/north": 3600}
	address := serve(t, opts)
	r, _ := runLoad(t, "", func(o *load.Options) {
		o.Platform, o.Rate, o.Requests, o.Duration = address, 20, 15, time.Minute
	})
	if want := 2 * r.DurationSeconds; r.Price < want*0.999 || r.Price > want*1.001 {
		t.Errorf("price %g, want %g", r.Price, want)
	}
}
