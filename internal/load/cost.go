package load

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"waxwingcart/internal/core/fleet"
)

// priceHour returns the price of the backend servers per hour, as far as it
// is known before the run.
func priceHour(opts Options) (float64, error) {
	if opts.Fleet == "" {
		return opts.PriceHour, nil
	}
	text, err := os.ReadFile(opts.Fleet)
	if err != nil {
		return 0, fmt.Errorf("fleet: %w", err)
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return 0, fmt.Errorf("fleet %s: %w", opts.Fleet, err)
	}
	var config fleet.Config
	if err := json.Unmarshal(plain, &config); err != nil {
		return 0, fmt.Errorf("fleet %s: %w", opts.Fleet, err)
	}
	return fleetPrice(config)
}

// fleetPrice sums up the price of all backend servers per hour.
func fleetPrice(config fleet.Config) (float64, error) {
	classes := make(map[string]fleet.MachineClass)
	for _, class := range config.Classes {
		classes[class.Name] = class
	}
	sum := 0.0
	for _, server := range config.BackendServers {
		price, found := classes[server.Class].PricesPerHour[server.Zone]
		if !found {
			return 0, fmt.Errorf("fleet: no price for class %q in zone %q", server.Class, server.Zone)
		}
		sum += price
	}
	return sum, nil
}

// price sets what the run cost.
func (r *Result) price(perHour float64, elapsed time.Duration) {
	r.Price = perHour * elapsed.Hours()
	if r.All.Inside > 0 {
		r.PricePer1000 = r.Price / float64(r.All.Inside) * 1000
	}
}
