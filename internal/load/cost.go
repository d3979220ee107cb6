package load

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"waxwingcart/internal/core/fleet"
)

// configuredPricePerHour returns the price per hour of all backend servers, from the
// fleet configuration or else from the options.
func configuredPricePerHour(opts Options) (float64, error) {
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

// fleetPrice returns the price per hour of all backend servers.
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

// setPrice sets the price of the run.
func (r *Result) setPrice(pricePerHour float64, elapsed time.Duration) {
	r.Price = pricePerHour * elapsed.Hours()
	if r.All.Inside > 0 {
		r.PricePer1000 = r.Price / float64(r.All.Inside) * 1000
	}
}
